/**
 * Exponential moving averages, for estimates.
 * @module
 */

/** Weight of a new sample, from 0 to 1; the previous average has the rest. */
const SAMPLE_WEIGHT = 0.2;

/** The average after one more sample. */
export function update(average: number, sample: number): number {
  return average + SAMPLE_WEIGHT * (sample - average);
}
