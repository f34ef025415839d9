/**
 * How long a stream may go on after it began. Pure functions.
 * @module
 */
import type * as catalog from "../catalog.js";

/** A stream may go on for so many times the timeout of its route. */
const TIMEOUTS_PER_STREAM = 2;
/** Bounds of that time, in milliseconds. */
const MIN_MS = 10_000;
const MAX_MS = 600_000;

/** Milliseconds for which a stream of a route may go on after it began. */
export function maxMs(route: Pick<catalog.Route, "timeoutMs">): number {
  return Math.min(MAX_MS, Math.max(MIN_MS, TIMEOUTS_PER_STREAM * route.timeoutMs));
}

/** The same for the streams of any route. */
export function longestMs(config: catalog.Config | undefined): number {
  return Math.max(MIN_MS, ...(config?.routes ?? []).filter((r) => r.resumable).map(maxMs));
}
