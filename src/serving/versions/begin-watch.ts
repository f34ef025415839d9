/**
 * Watches a request that was sent until it begins, and breaks it off if it does not while its version may still be used. A
 * newer version may be declared, or become known, after the request was sent.
 * @module
 */
import type * as clock from "../../host/clock.js";

/** Longest time in ms between two looks at the versions known. */
const CHECK_MS = 500;

/** The watch over one request. */
export interface BeginWatch {
  /** Ends the watch; to be called when the request begins or its send ends. */
  readonly close: () => void;
}

/**
 * Starts a watch. `leftMs` returns the milliseconds within which the request must begin, Infinity if there is no limit, and
 * `onLate` is called once when none are left.
 */
export function start(clk: clock.Clock, leftMs: () => number, onLate: () => void): BeginWatch {
  const check = (): void => {
    const ms = leftMs();
    if (ms <= 0) onLate();
    else timer = clk.after(Math.min(ms, CHECK_MS), check);
  };
  let timer = clk.after(Math.min(CHECK_MS, Math.max(1, leftMs())), check);
  return {
    close: () => {
      timer.cancel();
    },
  };
}
