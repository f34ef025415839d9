/**
 * Decides whether an endpoint daemon denies a seat at once, so that the entry daemon tries another engine.
 *
 * This is for bursts on fleets with many entry hosts: the state of an engine's queue that an entry daemon
 * has is up to some hundred ms old, and several entry daemons choose the same engine in that time. Only the
 * endpoint daemon knows its current queue. It denies a seat for a request that would be late because of
 * the wait here, and sends its current state along. That costs one more trip to an engine, some 3 ms between
 * failure domains. If the entry daemon knows no better engine, it asks again with `firm` set, and the
 * request then waits here. Pure.
 * @module
 */

/** Estimated times of a request on an engine, in ms. */
export interface WaitEstimate {
  /** From now until the engine would start to read its prompt. */
  readonly waitMs: number;
  /** From the start of reading its prompt until its first event. */
  readonly ownMs: number;
  /** From now until the target time of its first event; a later first event is late. */
  readonly targetMs: number;
}

/** Waits of up to this many ms are accepted: asking another engine costs about as much as it can gain. */
const ACCEPTED_WAIT_MS = 20;

/** Whether a request would be late here, but would be on time on an engine without a queue. */
export function isDiverted(s: WaitEstimate): boolean {
  if (s.waitMs <= ACCEPTED_WAIT_MS) return false;
  return s.ownMs <= s.targetMs && s.waitMs + s.ownMs > s.targetMs;
}
