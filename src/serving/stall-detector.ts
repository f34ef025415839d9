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
export interface StallState {
  readonly lastBeatAt: number;
  readonly catchingUpUntil: number;
}

/** State of a process that starts at `now`. */
export function start(now: number): StallState {
  return { lastBeatAt: now, catchingUpUntil: -Infinity };
}

/** Whether the next beat is so late that the process must have been stalled. */
function hasStalled(s: StallState, now: number): boolean {
  return now - s.lastBeatAt > BEAT_MS + MAX_BEAT_DELAY_MS;
}

/** State after a beat at `now`. */
export function recordBeat(s: StallState, now: number): StallState {
  return {
    lastBeatAt: now,
    catchingUpUntil: hasStalled(s, now) ? now + CATCH_UP_MS : s.catchingUpUntil,
  };
}

/** Whether what is read at `now` may have arrived during a stall. */
export function isCatchingUp(s: StallState, now: number): boolean {
  return hasStalled(s, now) || now < s.catchingUpUntil;
}
