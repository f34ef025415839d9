/**
 * Whether an endpoint daemon sends a request back to its entry daemon at once, so that another engine is
 * looked for.
 *
 * The load that this answers is a burst on a fleet with many entry hosts: each of them knows an engine's
 * queue as it was up to some hundred ms ago, and several choose the same engine meanwhile. The endpoint
 * daemon knows its queue as it is. A request that would be late because it waits here goes back with that
 * news, which costs one more way to an engine, some 3 ms between failure domains. Where the entry daemon
 * knows no better engine it asks once more and says so, and then the request waits here. Pure.
 * @module
 */

/** How a request stands on an engine; times from now, in ms. */
export interface Standing {
  /** Until its prompt would be begun. */
  readonly waitMs: number;
  /** From then until its first event. */
  readonly ownMs: number;
  /** Until its first event is late. */
  readonly targetMs: number;
}

/** Milliseconds of waiting up to which another ask costs about as much as it can gain. */
const LEAST_WAIT_MS = 20;

/** Whether a request is better looked after elsewhere: it would be late here, and only for waiting. */
export function isDiverted(s: Standing): boolean {
  if (s.waitMs <= LEAST_WAIT_MS) return false;
  return s.ownMs <= s.targetMs && s.waitMs + s.ownMs > s.targetMs;
}
