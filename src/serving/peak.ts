/**
 * Highest of the recent readings of a value. Pure.
 * @module
 */

/** Highest readings of the current span and the one before, so that a reading counts for one to two spans. */
export interface Peak {
  /** Start of the current span, in ms of the clock that the readings are timed by. */
  readonly spanStart: number;
  readonly currentMax: number;
  readonly previousMax: number;
}

/** Adds a reading `n` taken at `now`. */
export function addReading(p: Peak | undefined, n: number, now: number, spanMs: number): Peak {
  if (!p || now - p.spanStart >= 2 * spanMs)
    return { spanStart: now, currentMax: n, previousMax: n };
  if (now - p.spanStart >= spanMs)
    return { spanStart: now, currentMax: n, previousMax: p.currentMax };
  return { ...p, currentMax: Math.max(p.currentMax, n) };
}

/** The highest reading of both spans. */
export function highest(p: Peak): number {
  return Math.max(p.currentMax, p.previousMax);
}
