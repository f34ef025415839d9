/**
 * A caller's limits under a grant, divided among the entry hosts without a shared counter.
 *
 * Each entry host enforces its own share. The shares add up to the limit, except where the limit is
 * below the number of entry hosts: every host then still admits one request, so the limit is exceeded
 * by at most the number of entry hosts minus the limit. If a load balancer spreads a caller's requests
 * unevenly, some entry hosts refuse early, by at most the share that the other hosts leave unused.
 * @module
 */
import type * as objects from "./objects.js";
import * as tokenBucket from "../store/token-bucket.js";

/** The limits that a grant declares. */
export type Limits = objects.Grant["spec"]["limits"];

/**
 * Returns this host's share of an integer limit. `hosts` is the number of entry hosts and `index` this
 * host's position among them, both taken from the platform's list of hosts.
 */
export function share(limit: number, hosts: number, index: number): number {
  const hostCount = Math.max(1, hosts);
  return Math.max(1, Math.floor(limit / hostCount) + (index < limit % hostCount ? 1 : 0));
}

/** What one caller currently uses of one grant on this host. */
export interface Usage {
  /** Requests in flight. */
  readonly running: number;
  /** Token bucket of the rate limit; undefined until a request was admitted under a rate limit. */
  readonly bucket: tokenBucket.Bucket | undefined;
}

/** The usage of a caller that has sent no request. */
export const UNUSED: Usage = { running: 0, bucket: undefined };

/** This host's position among the entry hosts: `index` of `hosts`, counted from 0. */
export interface Position {
  readonly hosts: number;
  readonly index: number;
}

/** Whether a request is admitted; if not, which limit it would exceed, and in how many ms to retry. */
export type Verdict =
  | { readonly ok: true; readonly usage: Usage }
  | { readonly ok: false; readonly what: "concurrency" | "rate"; readonly waitMs: number };

/**
 * Admits one more request, or says which limit it would exceed and when to retry. `busyMs` is the
 * wait to suggest when the concurrency limit is reached.
 */
export function enter(
  u: Usage,
  l: Limits,
  position: Position,
  now: number,
  busyMs: number,
): Verdict {
  if (
    l.concurrency !== undefined &&
    u.running >= share(l.concurrency, position.hosts, position.index)
  ) {
    return { ok: false, what: "concurrency", waitMs: busyMs };
  }
  if (l.rate === undefined) return { ok: true, usage: { ...u, running: u.running + 1 } };
  const rate = l.rate / Math.max(1, position.hosts);
  const size = Math.max(1, rate);
  const current = u.bucket ?? tokenBucket.fullBucket(rate, size, now);
  const taken = tokenBucket.take(
    { ...current, rate, size, tokens: Math.min(size, current.tokens) },
    now,
  );
  if (!taken.ok) return { ok: false, what: "rate", waitMs: taken.waitMs };
  return { ok: true, usage: { running: u.running + 1, bucket: taken.bucket } };
}

/** Returns the usage after one request has ended. */
export function exit(u: Usage): Usage {
  if (u.running === 0) throw new RangeError("no request is in flight");
  return { ...u, running: u.running - 1 };
}
