/**
 * Detects that the process was stalled: it was stopped, or its host was suspended. What it reads right after a stall arrived
 * during it. Pure.
 * @module
 */

/** Milliseconds between two beats of a running process. */
export const BEAT_MS = 500;
/** Milliseconds by which a beat may be late on a busy host without counting as a stall. */
const MAX_BEAT_DELAY_MS = 500;
/** Milliseconds after a stall within which the process has read all that arrived during it. */
const CATCH_UP_MS = 500;

/** Last beat of a process, and the end of its catching up after a stall; both in monotonic ms. */
export interface Pulse {
  readonly at: number;
  readonly catchesUpUntil: number;
}

/** State of a process that starts at `now`. */
export function begin(now: number): Pulse {
  return { at: now, catchesUpUntil: -Infinity };
}

/** Whether the next beat is so late that the process must have been stalled. */
function hasStalled(s: Pulse, now: number): boolean {
  return now - s.at > BEAT_MS + MAX_BEAT_DELAY_MS;
}

/** State after a beat at `now`. */
export function beat(s: Pulse, now: number): Pulse {
  return { at: now, catchesUpUntil: hasStalled(s, now) ? now + CATCH_UP_MS : s.catchesUpUntil };
}

/** Whether what is read at `now` may have arrived during a stall. */
export function isCatchingUp(s: Pulse, now: number): boolean {
  return hasStalled(s, now) || now < s.catchesUpUntil;
}
