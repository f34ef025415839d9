/**
 * Rate of events as an exponentially decaying mean. Pure.
 * @module
 */

/** Events per second, as of the monotonic ms `at`. */
export interface Rate {
  readonly perS: number;
  readonly at: number;
}

/** The rate before the first event. */
export const NONE: Rate = { perS: 0, at: 0 };

/** The rate in events per second at `now`; `timeConstantMs` is the time in which it falls to 1/e without events. */
export function at(r: Rate, now: number, timeConstantMs: number): number {
  return r.perS * Math.exp(-Math.max(0, now - r.at) / timeConstantMs);
}

/** The rate after an event at `now`. */
export function record(r: Rate, now: number, timeConstantMs: number): Rate {
  return { perS: at(r, now, timeConstantMs) + 1000 / timeConstantMs, at: now };
}
