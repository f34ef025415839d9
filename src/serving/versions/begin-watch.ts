/**
 * Watches a request that was sent until it begins, and breaks it off if it does not while its version may still be used. A
 * newer version may be declared, or become known, after the request was sent.
 * @module
 */
import * as clock from "../../host/clock.js";

/** Longest time in ms between two looks at the versions known. */
const CHECK_MS = 500;

/**
 * Starts a watch, which is to be cancelled when the request begins or its send ends. `leftMs` returns the milliseconds within
 * which the request must begin, Infinity if there is no limit, and `onLate` is called once when none are left.
 */
export function start(clk: clock.Clock, leftMs: () => number, onLate: () => void): clock.Timer {
  return clock.countdown(clk, leftMs, onLate, CHECK_MS);
}
