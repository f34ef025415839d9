/**
 * A caller's limits under a grant, shared out to the entry hosts without a counter in common.
 *
 * Each entry host enforces its own share of the whole. The shares add up to the limit, but for limits
 * below the number of entry hosts, where each still gives one: then at most as many more requests are
 * let in as there are entry hosts beyond the limit. A balancer that spreads a caller's requests
 * unevenly makes some entry hosts refuse early, by at most the share that others leave unused.
 * @module
 */
import type * as objects from "./objects.js";
import * as budget from "../store/budget.js";

export type Limits = objects.Grant["spec"]["limits"];

/** This host's share of a whole-number limit: host `index` of `hosts`, both from the list of hosts. */
export function share(limit: number, hosts: number, index: number): number {
  const of = Math.max(1, hosts);
  return Math.max(1, Math.floor(limit / of) + (index < limit % of ? 1 : 0));
}

/** What one caller uses of one grant on this host. */
export interface Usage {
  readonly running: number;
  /** Undefined where the grant sets no rate. */
  readonly bucket: budget.Bucket | undefined;
}

export const UNUSED: Usage = { running: 0, bucket: undefined };

/** Where this host stands among the entry hosts. */
export interface Position {
  readonly hosts: number;
  readonly index: number;
}

export type Verdict =
  | { readonly ok: true; readonly usage: Usage }
  | { readonly ok: false; readonly what: "concurrency" | "rate"; readonly waitMs: number };

/** Lets one more request in, or says which limit it would break and when to come back. */
export function enter(u: Usage, l: Limits, at: Position, now: number, busyMs: number): Verdict {
  if (l.concurrency !== undefined && u.running >= share(l.concurrency, at.hosts, at.index)) {
    return { ok: false, what: "concurrency", waitMs: busyMs };
  }
  if (l.rate === undefined) return { ok: true, usage: { ...u, running: u.running + 1 } };
  const rate = l.rate / Math.max(1, at.hosts);
  const size = Math.max(1, rate);
  const had = u.bucket ?? budget.full(rate, size, now);
  const taken = budget.take({ ...had, rate, size, tokens: Math.min(size, had.tokens) }, now);
  if (!taken.ok) return { ok: false, what: "rate", waitMs: taken.waitMs };
  return { ok: true, usage: { running: u.running + 1, bucket: taken.bucket } };
}

/** One request is over. */
export function exit(u: Usage): Usage {
  if (u.running === 0) throw new RangeError("no request is under way");
  return { ...u, running: u.running - 1 };
}
