/**
 * How many requests may be sent to a further endpoint. All hosts share one allowance for each
 * service, without a counter on the path: each keeps to its part by itself.
 * @module
 */

export interface Options {
  /** Further sends allowed for each request, over a window. */
  readonly ratio: number;
  /** Further sends allowed in a window besides, over all hosts. */
  readonly slack: number;
  readonly windowMs: number;
}

/** Part of its allowance that a host uses, since hosts count one another late. */
const USED = 0.8;
/** Hosts taken for granted until told. */
export const HOSTS = 6;

/** What one host sent for one service in the window. */
export interface Window {
  readonly requests: readonly number[];
  readonly further: readonly number[];
}

export const EMPTY: Window = { requests: [], further: [] };

function within(times: readonly number[], after: number): readonly number[] {
  const first = times.findIndex((t) => t > after);
  return first < 0 ? [] : times.slice(first);
}

/** A request was let in at `now`, on the steady clock in ms. */
export function request(w: Window, now: number, opts: Options): Window {
  return { ...w, requests: [...within(w.requests, now - opts.windowMs), now] };
}

/** The window with one further send in it; undefined when it is not allowed. */
export function take(w: Window, now: number, hosts: number, opts: Options): Window | undefined {
  const after = now - opts.windowMs;
  const requests = within(w.requests, after);
  const further = within(w.further, after);
  const part = opts.ratio * requests.length + opts.slack / Math.max(1, hosts);
  if (further.length + 1 > part * USED) return undefined;
  return { requests, further: [...further, now] };
}
