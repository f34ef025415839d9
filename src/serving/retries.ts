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

/** What came of asking for a further send, and what decided it. */
export interface Verdict {
  readonly allowed: boolean;
  /** Further sends of this host in the window, this one included if it is allowed. */
  readonly used: number;
  /** Requests of this host in the window. */
  readonly requests: number;
  /** Hosts that share the slack, as far as known. */
  readonly hosts: number | undefined;
}

/** What one host has sent for each service, against its part of the allowances. */
export class Budget {
  private readonly windows = new Map<string, Window>();

  constructor(
    private readonly opts: Options,
    /** Steady ms. */
    private readonly now: () => number,
  ) {}

  /** A request for a service was let in. */
  request(service: string): void {
    const window = this.windows.get(service) ?? EMPTY;
    this.windows.set(service, request(window, this.now(), this.opts));
  }

  /** Whether one further send is allowed to this host, one of `hosts` that share the allowance; it is counted if so. */
  take(service: string, hosts: number | undefined): Verdict {
    const window = this.windows.get(service) ?? EMPTY;
    const next = take(window, this.now(), hosts ?? HOSTS, this.opts);
    if (next) this.windows.set(service, next);
    const { further, requests } = next ?? window;
    return {
      allowed: next !== undefined,
      used: further.length,
      requests: requests.length,
      hosts,
    };
  }
}
