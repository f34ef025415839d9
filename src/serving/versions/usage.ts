/**
 * How long a version of an adapter may still be used once a newer one is declared. The host that sends a request decides, by
 * what it knows at the time of writing; what was checked before, such as at the grant of a seat, may be outdated by then. Pure.
 * @module
 */
import * as declared from "./declared.js";

/** Times in ms after which a newer version may have been declared. */
export interface Limits {
  /** A request on the version before may be sent until then. */
  readonly sendMs: number;
  /** Such a request must have begun by then. */
  readonly beginMs: number;
}

/**
 * The limits as fractions of the time within which a new version must be the only one in use. Engines replace an adapter once
 * no request uses it, so some time on the version before lets most of its requests end; the rest is left for a request to
 * begin at its engine, and for its cancellation to arrive.
 */
const SEND_FRACTION = 0.7;
const BEGIN_FRACTION = 0.9;

/** The limits where a declared version must be the only one in use after `versionMs`. */
export function limitsOf(versionMs: number): Limits {
  return { sendMs: SEND_FRACTION * versionMs, beginMs: BEGIN_FRACTION * versionMs };
}

/**
 * The oldest version on which a request may be sent at `now` that is expected to begin in `expectedMs`; 0 if none is declared.
 */
export function oldestUsable(
  known: declared.Declared | undefined,
  limits: Limits,
  now: number,
  expectedMs = 0,
): number {
  return declared.oldestSince(known, now - usableMs(limits, expectedMs));
}

/** Milliseconds after a newer version for which a request may be sent that is expected to begin in `expectedMs`. */
function usableMs({ sendMs, beginMs }: Limits, expectedMs: number): number {
  return Math.max(0, Math.min(sendMs, beginMs - expectedMs));
}

/** What an endpoint daemon is told of the version before the newest one; undefined if it may not be used. */
export function olderFor(
  known: declared.Declared | undefined,
  limits: Limits,
  now: number,
  expectedMs = 0,
): { readonly version: number; readonly forMs: number } | undefined {
  if (!known) return undefined;
  const forMs = Math.ceil(known.notBefore + usableMs(limits, expectedMs) - now);
  return forMs > 0 ? { version: known.steps.at(-2)?.version ?? known.base, forMs } : undefined;
}

/**
 * Milliseconds from `now` within which a request that was sent on `version`, undefined if it names none, must have begun;
 * negative if it is late.
 */
export function beginsWithinMs(
  known: declared.Declared | undefined,
  version: number | undefined,
  limits: Limits,
  now: number,
): number {
  return declared.outdatedSince(known, version ?? 0) + limits.beginMs - now;
}
