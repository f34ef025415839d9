/**
 * Takes a peer that fails out of use, and lets it back by one trial at a time.
 * @module
 */

export interface Options {
  /** Failures in a row that open the circuit. */
  readonly failures: number;
  /** Milliseconds it stays open at first; doubled after each failed trial. */
  readonly openMs: number;
  readonly openMaxMs: number;
}

export type Circuit =
  | { readonly kind: "closed"; readonly failures: number }
  | { readonly kind: "open"; readonly until: number; readonly openMs: number }
  | { readonly kind: "trial"; readonly openMs: number; readonly since: number };

export const CLOSED: Circuit = { kind: "closed", failures: 0 };

/** Whether a request may be sent at `now`. */
export function allows(c: Circuit, now: number): boolean {
  switch (c.kind) {
    case "closed":
      return true;
    case "open":
      return now >= c.until;
    case "trial":
      // A trial that never came back must not shut the peer out for good.
      return now >= c.since + c.openMs;
  }
}

/** The circuit after a request was sent. */
export function sent(c: Circuit, now: number): Circuit {
  return c.kind === "closed" ? c : { kind: "trial", openMs: c.openMs, since: now };
}

export function succeeded(): Circuit {
  return CLOSED;
}

export function failed(c: Circuit, opts: Options, now: number): Circuit {
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
