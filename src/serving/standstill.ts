/**
 * Whether a process stood still: it was stopped, or its host was suspended. What it reads next came while it did not look.
 * Pure.
 * @module
 */

/** Milliseconds between two beats of a process that runs. */
export const BEAT_MS = 500;
/** Milliseconds by which a beat may be late on a busy host. */
const LATE_MS = 500;
/** Milliseconds in which a process that ran on has read what came meanwhile. */
const CATCH_UP_MS = 500;

/** The last beat of a process, and until when it catches up; monotonic ms. */
export interface Pulse {
  readonly at: number;
  readonly catchesUpUntil: number;
}

export function begin(now: number): Pulse {
  return { at: now, catchesUpUntil: -Infinity };
}

function stood(p: Pulse, now: number): boolean {
  return now - p.at > BEAT_MS + LATE_MS;
}

/** The pulse after a beat at `now`. */
export function beat(p: Pulse, now: number): Pulse {
  return { at: now, catchesUpUntil: stood(p, now) ? now + CATCH_UP_MS : p.catchesUpUntil };
}

/** Whether what is read at `now` may have come while the process stood still. */
export function isCatchingUp(p: Pulse, now: number): boolean {
  return stood(p, now) || now < p.catchesUpUntil;
}
