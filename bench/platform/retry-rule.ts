/**
 * The platform's rule on retries over all hosts, for what judges plays and runs.
 * @module
 */

/** What is configured, as the rule reads it. */
export interface Bounds {
  readonly windowMs: number;
  readonly ratio: number;
  readonly slack: number;
}

/** By how many retries a window exceeds what is allowed in it. */
export interface Window {
  readonly from: number;
  readonly retries: number;
  readonly allowed: number;
}

/**
 * The window that begins with a retry and exceeds the rule by most; undefined where there were none. A window's requests are
 * those in it, in the one before, or in the one half a window before, whichever are most. Times are in order.
 */
export function worst(
  asked: readonly number[],
  retried: readonly number[],
  b: Bounds,
): Window | undefined {
  let found: Window | undefined;
  const over = (w: Window): number => w.retries - w.allowed;
  for (const from of new Set(retried)) {
    const starts = [from, from - b.windowMs / 2, from - b.windowMs];
    const requests = Math.max(...starts.map((t) => within(asked, t, t + b.windowMs)));
    const retries = within(retried, from, from + b.windowMs);
    const window = { from, retries, allowed: b.ratio * requests + b.slack };
    if (!found || over(window) > over(found)) found = window;
  }
  return found;
}

/** The number of `times`, which are in order, from `from` to `to`, both included. */
function within(times: readonly number[], from: number, to: number): number {
  return firstAfter(times, to) - firstAfter(times, from - 1e-9);
}

/** Index of the first of `times` that is later than `t`. */
function firstAfter(times: readonly number[], t: number): number {
  let low = 0;
  let high = times.length;
  while (low < high) {
    const mid = (low + high) >> 1;
    if ((times[mid] ?? Infinity) > t) high = mid;
    else low = mid + 1;
  }
  return low;
}
