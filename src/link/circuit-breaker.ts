/**
 * A circuit breaker as an immutable value: after repeated failures no requests are sent to a peer, until a
 * single trial request to it succeeds.
 * @module
 */

/** Thresholds and times of a circuit breaker. */
export interface Options {
  /** Number of consecutive failures that opens the circuit. */
  readonly failures: number;
  /** Milliseconds for which the circuit stays open at first; doubled after each failed trial. */
  readonly openMs: number;
  /** Upper bound on the time for which the circuit stays open, in ms. */
  readonly openMaxMs: number;
}

/**
 * State of a circuit breaker. `closed`: requests are sent, and `failures` counts consecutive failures.
 * `open`: no requests until `until`. `trial`: one request was sent at `since` to test the peer.
 */
export type CircuitBreaker =
  | { readonly kind: "closed"; readonly failures: number }
  | { readonly kind: "open"; readonly until: number; readonly openMs: number }
  | { readonly kind: "trial"; readonly openMs: number; readonly since: number };

/** The state without failures. */
export const CLOSED: CircuitBreaker = { kind: "closed", failures: 0 };

/** Whether a request may be sent at time `now`. */
export function allows(c: CircuitBreaker, now: number): boolean {
  switch (c.kind) {
    case "closed":
      return true;
    case "open":
      return now >= c.until;
    case "trial":
      // If a trial never ends, another is allowed after `openMs`; otherwise the peer would be blocked forever.
      return now >= c.since + c.openMs;
  }
}

/** Returns the state after a request was sent; unless the circuit is closed, that request is the trial. */
export function recordSend(c: CircuitBreaker, now: number): CircuitBreaker {
  return c.kind === "closed" ? c : { kind: "trial", openMs: c.openMs, since: now };
}

/** Returns the state after a request succeeded. */
export function recordSuccess(): CircuitBreaker {
  return CLOSED;
}

/** Returns the state after a request failed. */
export function recordFailure(c: CircuitBreaker, opts: Options, now: number): CircuitBreaker {
  switch (c.kind) {
    case "closed":
      if (c.failures + 1 < opts.failures) return { kind: "closed", failures: c.failures + 1 };
      return { kind: "open", until: now + opts.openMs, openMs: opts.openMs };
    case "open":
      return c;
    case "trial": {
      const openMs = Math.min(opts.openMaxMs, c.openMs * 2);
      return { kind: "open", until: now + openMs, openMs };
    }
  }
}
