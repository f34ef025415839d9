/**
 * Decides by its API key whether a request is accepted, given the age of this host's configuration. Pure.
 *
 * Keys are added and revoked while hosts are cut off from the store. A host with an old configuration could accept a
 * key that has been revoked, or reject one that has been added. So accepting and rejecting each need a configuration
 * that is fresh enough; without it the request is refused with a time after which to retry.
 * @module
 */
import type * as catalog from "./catalog.js";
import * as watchPace from "./watch-pace.js";

/** The key that a request presents, or why it presents none. */
export type PresentedKey =
  /** `digest` is the SHA-256 of the key, in hex. */
  | { readonly kind: "key"; readonly digest: string }
  | { readonly kind: "none"; readonly why: string };

/** Whether a request is accepted. */
export type Verdict =
  /** Accepted: no key is required. */
  | { readonly kind: "open" }
  /** Accepted: the key belongs to `team`. */
  | { readonly kind: "team"; readonly team: catalog.Team }
  /** Rejected for good: no configuration that may be in force has the key. */
  | { readonly kind: "unknown"; readonly why: string }
  /** Undecided: this host's configuration may be older than the one in force. */
  | { readonly kind: "unsure"; readonly why: string };

/** How old the configuration may be: milliseconds since it was last known to be as new as the store. */
export interface FreshnessBounds {
  /** Maximum age for accepting a key. */
  readonly acceptWithinMs: number;
  /** Maximum age for rejecting a request for good. */
  readonly rejectWithinMs: number;
}

/** How far a host's configuration may be behind the one in force. */
export interface Freshness {
  /** Milliseconds since it was last known to be as new as the store. */
  readonly ageMs: number;
  /** Whether no newer one is known to exist that the store may have lost. */
  readonly isNewest: boolean;
}

/** Milliseconds allowed from the decision on a request to its arrival at a worker, if it does not wait in between. */
const FORWARDING_MS = 500;

/** Lower bound of `acceptWithinMs`, in ms: a host needs this long to learn of a change. */
const MIN_ACCEPT_MS = 300;
/** The shortest time, in ms, within which the revocation of a key can be guaranteed. */
export const MIN_REVOKED_MS = watchPace.SILENT_WATCH_MS + FORWARDING_MS + MIN_ACCEPT_MS;

/**
 * The freshness bounds with which all hosts meet the operator's guarantees: a change is in force after `inForceMs`, and
 * a revoked key is not accepted after `revokedMs`. If `revokedMs` is undefined, no time is guaranteed for revocation.
 */
export function freshnessBounds(inForceMs: number, revokedMs: number | undefined): FreshnessBounds {
  const acceptWithinMs =
    revokedMs === undefined ? Infinity : revokedMs - watchPace.SILENT_WATCH_MS - FORWARDING_MS;
  return { acceptWithinMs, rejectWithinMs: inForceMs };
}

/** Whether the configuration is fresh enough to reject a request for a key or route that it does not have. */
export function mayReject(freshness: Freshness, bounds: FreshnessBounds): boolean {
  return freshness.isNewest && freshness.ageMs <= bounds.rejectWithinMs;
}

/** Decides whether a request on `route` that presents `presented` is accepted. */
export function authenticate(
  config: catalog.Config,
  route: catalog.Route,
  presented: PresentedKey,
  freshness: Freshness,
  bounds: FreshnessBounds,
): Verdict {
  if (!config.teams || route.allowsAnonymous) return { kind: "open" };
  const team = presented.kind === "key" ? config.teams.byDigest.get(presented.digest) : undefined;
  if (team && freshness.ageMs <= bounds.acceptWithinMs) return { kind: "team", team };
  if (team || !mayReject(freshness, bounds)) {
    const why = freshness.isNewest
      ? `the keys in force were last confirmed ${Math.round(freshness.ageMs)} ms ago`
      : "a newer configuration may be in force";
    return { kind: "unsure", why };
  }
  return { kind: "unknown", why: presented.kind === "key" ? "the key is unknown" : presented.why };
}
