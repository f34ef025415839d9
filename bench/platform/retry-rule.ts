/**
 * The platform's limit on retries over all hosts together, for checks of recorded runs.
 * @module
 */

/** The retry budget: in any window, `ratio` retries for each request and `slack` more. */
export interface RetryBudget {
  readonly windowMs: number;
  readonly ratio: number;
  readonly slack: number;
}

/** Retries in a window that starts at `from`, and the number allowed in it. */
export interface RetryWindow {
  readonly from: number;
  readonly retries: number;
  readonly allowed: number;
}

/**
 * Of the windows that begin with a retry, the one that exceeds its allowance by most; undefined when there were no retries.
 * The allowance counts the requests in the window itself, in the window before it, or in the one that starts half a window
 * earlier, whichever is most. `asked` and `retried` are ascending times of requests and retries.
 */
export function worstWindow(
  asked: readonly number[],
  retried: readonly number[],
  b: RetryBudget,
): RetryWindow | undefined {
  let found: RetryWindow | undefined;
  const excess = (w: RetryWindow): number => w.retries - w.allowed;
  for (const from of new Set(retried)) {
    const starts = [from, from - b.windowMs / 2, from - b.windowMs];
    const requests = Math.max(...starts.map((t) => countBetween(asked, t, t + b.windowMs)));
    const retries = countBetween(retried, from, from + b.windowMs);
    const window = { from, retries, allowed: b.ratio * requests + b.slack };
    if (!found || excess(window) > excess(found)) found = window;
  }
  return found;
}

/** The number of `times` (ascending) from `from` to `to`, both included. */
function countBetween(times: readonly number[], from: number, to: number): number {
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
