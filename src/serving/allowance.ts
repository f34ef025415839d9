/**
 * What is left of a total over all hosts at one place that keeps it, be it a team's usage cap or a worker's limit: a token
 * bucket of which each place has a part.
 *
 * The load that this answers is callers that ask for many times the total at any number of hosts, while hosts and places
 * come and go. The parts of all places add up to one at most, so however the hosts are split, no more flows in than
 * the cap allows. A place that is new begins with nothing, so a restart gives neither burst nor overdraft anew. Pure.
 * @module
 */
import * as budget from "../store/budget.js";

/** A cap in units of whatever it counts: those a second, and those that may come at once besides. */
export interface Cap {
  readonly perS: number;
  readonly burst: number;
}

/** What is left at a moment; below 0 where the overdraft is used. */
export interface Allowance {
  readonly level: number;
  /** Steady ms that `level` holds for. */
  readonly at: number;
}

/** What came of asking for some requests, in their order. */
export interface Drawn {
  readonly left: Allowance;
  /** Requests that are let in, from the first on. */
  readonly granted: number;
  /** Milliseconds until each of them may go on. */
  readonly delaysMs: readonly number[];
  /** Milliseconds until the next of them would be let in; undefined where this place can't ever tell. */
  readonly waitMs: number | undefined;
}

const MS_PER_S = 1000;
/** Milliseconds of a cap's rate that may come at once, where its burst is smaller. */
const LEAST_BURST_MS = 200;
/** Part of the hosts above which a place decides alone; no two places have it. */
const MOST = 0.5;

/** A place that has just begun to keep a cap: nothing is left, and `overdraft` counts as used by the one before. */
export function begun(now: number, overdraft: number): Allowance {
  return { level: -overdraft, at: now };
}

function sizeOf(cap: Cap, part: number): number {
  return part * Math.max(cap.burst, (cap.perS * LEAST_BURST_MS) / MS_PER_S);
}

/** An allowance as the bucket of a place with `part` of the hosts. */
function bucketOf(a: Allowance, cap: Cap, part: number): budget.Bucket {
  return { rate: cap.perS * part, size: sizeOf(cap, part), tokens: a.level, at: a.at };
}

/**
 * The allowance at `now`, with what flowed in while the place had `part` of the hosts. What is there beyond that part
 * stays: hosts that all reconnect must not take it away.
 */
export function flow(a: Allowance, cap: Cap, part: number, now: number): Allowance {
  const { tokens, at } = budget.fill(bucketOf(a, cap, part), now);
  return { level: Math.min(Math.max(a.level, tokens), sizeOf(cap, 1)), at };
}

/** What is asked for. */
export interface Wish {
  /** What each request counts, in the order in which they are to be let in. */
  readonly wants: readonly number[];
  /** Milliseconds for which a request may wait for what flows in by then; it is taken at once. */
  readonly patienceMs: number;
}

/**
 * Asks for requests. What they exceed the cap by is `overdraft` at most, over all places together, and is made up for by
 * those after them; so a team whose cap is hardly larger than one request, and whose requests come a few at once, is not
 * shut out.
 */
export function draw(
  a: Allowance,
  cap: Cap,
  part: number,
  { wants, patienceMs }: Wish,
  overdraft: number,
): Drawn {
  let left = a;
  const delaysMs: number[] = [];
  for (const [granted, units] of wants.entries()) {
    const needed = neededFor(units, cap, part, overdraft);
    if (needed === undefined) return { left, granted, delaysMs, waitMs: undefined };
    const there = budget.take(bucketOf(left, cap, part), left.at, needed);
    const waitMs = there.ok ? 0 : there.waitMs;
    if (waitMs > patienceMs) return { left, granted, delaysMs, waitMs };
    delaysMs.push(waitMs);
    left = { ...left, level: left.level - units };
  }
  return { left, granted: wants.length, delaysMs, waitMs: 0 };
}

/** What must be there for a request of `units`; undefined where a place with `part` never has as much. */
function neededFor(units: number, cap: Cap, part: number, overdraft: number): number | undefined {
  if (part <= 0) return undefined;
  const needed = units - overdraft * part;
  const size = sizeOf(cap, part);
  if (needed <= size) return needed;
  return part > MOST ? size : undefined;
}

/** Gives back what was let in and did not run. */
export function refund(a: Allowance, cap: Cap, units: number): Allowance {
  return { ...a, level: Math.min(sizeOf(cap, 1), a.level + units) };
}
