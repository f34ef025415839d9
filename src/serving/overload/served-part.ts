/**
 * Whether refusing requests would let a host catch up: only if the requests that are served take a good part of its time, and not if most
 * connections bring none, or most requests are refused for another reason. Pure.
 * @module
 */
import * as decayingRate from "./decaying-rate.js";

/** Requests served for each connection accepted or ended and request read below which refusals would gain nothing. */
const LEAST_PART = 0.05;
/** Milliseconds over which both are counted. */
const TIME_CONSTANT_MS = 300;

/** Connections accepted and ended and requests read lately, and requests served. */
export interface Counts {
  readonly brought: decayingRate.Rate;
  readonly served: decayingRate.Rate;
}

export const NONE: Counts = { brought: decayingRate.NONE, served: decayingRate.NONE };

/** The counts after a connection is accepted or ended or a request read, or after a request is passed on to be served. */
export function record(c: Counts, what: keyof Counts, now: number): Counts {
  return { ...c, [what]: decayingRate.record(c[what], now, TIME_CONSTANT_MS) };
}

/** Whether enough of what callers bring are requests that are served. */
export function isEnough(c: Counts, now: number): boolean {
  const perS = (r: decayingRate.Rate): number => decayingRate.at(r, now, TIME_CONSTANT_MS);
  return perS(c.served) >= LEAST_PART * perS(c.brought);
}
