/**
 * Whether a request is let in by its key, as far as this host can know. Pure.
 *
 * Keys are added and taken away while hosts are cut off from the store. A host that goes on with what it knew would
 * let in a key that was taken away; one that refuses for good what it does not know would turn away a key that was
 * added. So both need knowledge that is young enough, and without it the caller is told to come back.
 * @module
 */
import type * as catalog from "./catalog.js";

/** What a request shows of itself. */
export type Shown =
  /** The SHA-256 of its key, in hex. */
  | { readonly kind: "key"; readonly digest: string }
  | { readonly kind: "none"; readonly why: string };

export type Verdict =
  /** No key is asked for. */
  | { readonly kind: "open" }
  | { readonly kind: "team"; readonly team: catalog.Team }
  /** For good: no configuration that may be in force knows the key. */
  | { readonly kind: "unknown"; readonly why: string }
  /** This host has not heard from the store for too long. */
  | { readonly kind: "unsure"; readonly why: string };

/** How old knowledge may be, in ms since it was as new as the store. */
export interface Bounds {
  /** To let a key in. */
  readonly trustMs: number;
  /** To refuse for good. */
  readonly refuseMs: number;
}

/** Milliseconds for which a watch of the store may be silent while changes are made, by the users' pages. */
const SILENT_WATCH_MS = 1000;
/** Milliseconds from the judgment of a request to its arrival at a worker, where nothing makes it wait. */
const WAY_MS = 500;

/** Milliseconds for which knowledge must be good at least, so that a host can hear of changes meanwhile. */
const LEAST_TRUST_MS = 300;
/** Milliseconds after which a key that was taken away can be kept out at the earliest. */
export const LEAST_REVOKED_MS = SILENT_WATCH_MS + WAY_MS + LEAST_TRUST_MS;

/**
 * The bounds by which all hosts keep to the operator's: a change is in force after `inForceMs`, and a key that was
 * taken away lets nothing in after `revokedMs`, or at some time where that is undefined.
 */
export function bounds(inForceMs: number, revokedMs: number | undefined): Bounds {
  const trustMs = revokedMs === undefined ? Infinity : revokedMs - SILENT_WATCH_MS - WAY_MS;
  return { trustMs, refuseMs: inForceMs };
}

/** Whether this host may refuse for good what the configuration does not have. */
export function maySayNo(newsAgeMs: number, b: Bounds): boolean {
  return newsAgeMs <= b.refuseMs;
}

/** Judges a request on `route` by what it shows. */
export function judge(
  config: catalog.Config,
  route: catalog.Route,
  shown: Shown,
  newsAgeMs: number,
  b: Bounds,
): Verdict {
  if (!config.teams || route.open) return { kind: "open" };
  const team = shown.kind === "key" ? config.teams.byDigest.get(shown.digest) : undefined;
  if (team && newsAgeMs <= b.trustMs) return { kind: "team", team };
  const ageMs = Math.round(newsAgeMs);
  if (team || !maySayNo(newsAgeMs, b)) {
    return { kind: "unsure", why: `the keys in force were last heard ${ageMs} ms ago` };
  }
  return { kind: "unknown", why: shown.kind === "key" ? "the key is unknown" : shown.why };
}
