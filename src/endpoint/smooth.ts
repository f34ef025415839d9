/**
 * Smoothed figures, for estimates.
 * @module
 */

/** Weight of a new figure against all before it. */
const WEIGHT = 0.2;

/** The smoothed figure after one more was seen. */
export function towards(old: number, seen: number): number {
  return old + WEIGHT * (seen - old);
}
