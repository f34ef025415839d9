/**
 * How long a version of an adapter may still be used once a newer one is declared. The host that sends a request decides, by
 * what it knows at the time of writing; what was checked before, such as at the grant of a seat, may be outdated by then. Pure.
 * @module
 */
import type * as declared from "./declared.js";

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
const SEND_FRACTION = 0.5;
const BEGIN_FRACTION = 0.9;

/** The limits where a declared version must be the only one in use after `versionMs`. */
export function limitsOf(versionMs: number): Limits {
  return { sendMs: SEND_FRACTION * versionMs, beginMs: BEGIN_FRACTION * versionMs };
}

/** Milliseconds from `now` for which a request may be sent on the version before the newest one; 0 if it may not. */
export function olderForMs(d: declared.Declared | undefined, limits: Limits, now: number): number {
  return d ? Math.max(0, d.notBefore + limits.sendMs - now) : Infinity;
}

/** What an endpoint daemon is told of the version before the newest one; undefined if it may not be used. */
export function olderFor(
  d: declared.Declared | undefined,
  limits: Limits,
  now: number,
): { readonly version: number; readonly forMs: number } | undefined {
  const forMs = olderForMs(d, limits, now);
  return d && forMs > 0 ? { version: d.previous, forMs: Math.ceil(forMs) } : undefined;
}

/**
 * The oldest version on which a request may be sent at `now` that is expected to begin in `expectedMs`; 0 if none is declared.
 */
export function oldestUsable(
  d: declared.Declared | undefined,
  limits: Limits,
  now: number,
  expectedMs = 0,
): number {
  if (!d) return 0;
  const beginsInTime = now + expectedMs < d.notBefore + limits.beginMs;
  return beginsInTime && olderForMs(d, limits, now) > 0 ? d.previous : d.version;
}

/**
 * Milliseconds from `now` within which a request that was sent on `version`, undefined if it names none, must have begun;
 * negative if it is late.
 */
export function beginsWithinMs(
  d: declared.Declared | undefined,
  version: number | undefined,
  limits: Limits,
  now: number,
): number {
  if (!d || (version !== undefined && version >= d.version)) return Infinity;
  return d.notBefore + limits.beginMs - now;
}
