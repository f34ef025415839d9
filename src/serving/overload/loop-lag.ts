/**
 * Event loop lag: how long what the process reads now has waited in the kernel, by the times of a timer's beats. Pure.
 *
 * A beat runs at most once in each turn of the event loop, before the turn polls. Whatever a poll reads arrived after the
 * previous poll began, and so after the beat before the last one. In turns longer than a beat, the lag is thus at most two
 * beats less than the longest time that what is read now can have waited.
 * @module
 */

/** Milliseconds between two beats: a fraction of the shortest latency targets of routes, and 20 short wake-ups a second. */
export const BEAT_MS = 50;
/** Lag in ms up to which nothing is done differently. Callers' shortest targets are little longer. */
export const NORMAL_MS = 100;

/** Latest beats of a process, in monotonic ms and ms; undefined while no beats run. */
export type Beats =
  | {
      /** What is read now arrived after this. */
      readonly sinceAt: number;
      readonly lastAt: number;
      /** Milliseconds between the two latest beats, and between the two before. */
      readonly gapMs: number;
      readonly priorGapMs: number;
    }
  | undefined;

/** A lag at one moment. */
export interface Lag {
  readonly ms: number;
  /** The lag is from a single long turn, as of a suspended process, and the turns before it were short. */
  readonly isSingle: boolean;
}

export const NO_LAG: Lag = { ms: 0, isSingle: true };

/** Beats that begin at `now`, after a time without any, of which nothing is known. */
export function start(now: number): Beats {
  return { sinceAt: now, lastAt: now, gapMs: 0, priorGapMs: 0 };
}

/** State after a beat at `now`. */
export function recordBeat(s: Beats, now: number): Beats {
  if (!s) return start(now);
  return { sinceAt: s.lastAt, lastAt: now, gapMs: now - s.lastAt, priorGapMs: s.gapMs };
}

/** State after the poll that follows the last beat: what is read later arrived after that poll began. */
export function recordPoll(s: Beats): Beats {
  return s && { ...s, sinceAt: s.lastAt };
}

function lateMs(gapMs: number): number {
  return Math.max(0, gapMs - BEAT_MS);
}

/** The lag of what is read at `now`. */
export function lagAt(s: Beats, now: number): Lag {
  if (!s) return NO_LAG;
  const currentMs = now - s.lastAt;
  const ms = lateMs(s.lastAt - s.sinceAt) + lateMs(currentMs);
  const wasPolled = s.sinceAt === s.lastAt;
  const isSingle = wasPolled
    ? s.gapMs <= NORMAL_MS
    : s.priorGapMs <= NORMAL_MS && currentMs <= NORMAL_MS;
  return { ms, isSingle };
}
