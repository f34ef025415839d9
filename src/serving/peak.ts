/**
 * The highest of the readings of a while. Pure.
 * @module
 */

/** Readings of one span and of the one before, so that a reading is remembered for one span at least and two at most. */
export interface Peak {
  /** Start of the span, in ms of the clock of the readings. */
  readonly at: number;
  readonly most: number;
  readonly mostBefore: number;
}

/** The peak with one more reading `n` at `now`. */
export function read(p: Peak | undefined, n: number, now: number, spanMs: number): Peak {
  if (!p || now - p.at >= 2 * spanMs) return { at: now, most: n, mostBefore: n };
  if (now - p.at >= spanMs) return { at: now, most: n, mostBefore: p.most };
  return { ...p, most: Math.max(p.most, n) };
}

/** The highest reading that is remembered. */
export function highest(p: Peak): number {
  return Math.max(p.most, p.mostBefore);
}
