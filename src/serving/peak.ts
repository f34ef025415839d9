/**
 * Highest of the recent readings of a value. Pure.
 * @module
 */

/** Highest readings of the current span and the one before, so that a reading counts for one to two spans. */
export interface Peak {
  /** Start of the current span, in ms of the clock that the readings are timed by. */
  readonly at: number;
  readonly most: number;
  readonly mostBefore: number;
}

/** Adds a reading `n` taken at `now`. */
export function read(p: Peak | undefined, n: number, now: number, spanMs: number): Peak {
  if (!p || now - p.at >= 2 * spanMs) return { at: now, most: n, mostBefore: n };
  if (now - p.at >= spanMs) return { at: now, most: n, mostBefore: p.most };
  return { ...p, most: Math.max(p.most, n) };
}

/** The highest reading of both spans. */
export function highest(p: Peak): number {
  return Math.max(p.most, p.mostBefore);
}
