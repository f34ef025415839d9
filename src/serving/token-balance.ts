/**
 * The token bucket in which one owner of a total (a team's usage cap or a worker's rate limit,
 * shared by all hosts) keeps its part of that total.
 *
 * It bounds callers that ask for many times the total at any number of hosts, while hosts and
 * owners come and go. The parts of all owners add up to one at most, so however the hosts are split
 * between owners, the buckets together fill no faster than the cap. The bucket of a new owner
 * starts empty, so a restart grants neither the burst nor the overdraft a second time. Pure.
 * @module
 */
import * as tokenBucket from "../store/token-bucket.js";

/** A cap: units (requests or tokens) per second, and the burst that may be used at once. */
export interface Cap {
  readonly perS: number;
  readonly burst: number;
}

/** Units left in a bucket at one moment; below 0 while the overdraft is in use. */
export interface Balance {
  readonly level: number;
  /** Steady ms at which `level` was computed. */
  readonly at: number;
}

/** The result of drawing units for some requests, in order. */
export interface DrawResult {
  readonly left: Balance;
  /** Number of requests admitted; they are the first ones of the list. */
  readonly granted: number;
  /** Milliseconds that each admitted request waits before it is sent. */
  readonly delaysMs: readonly number[];
  /**
   * Milliseconds until the first request that was not admitted could be; undefined if this owner's
   * part is too small ever to admit it.
   */
  readonly waitMs: number | undefined;
}

const MS_PER_S = 1000;
/** Minimum burst, in milliseconds of the cap's rate; it applies to caps with a smaller burst. */
const MIN_BURST_MS = 200;
/**
 * An owner with more than this part of the hosts may admit requests larger than its bucket. No two
 * owners can have more than half.
 */
const MAJORITY = 0.5;

/**
 * The bucket of an owner that has just taken over a cap: empty, with the overdraft counted as used
 * by the previous owner.
 */
export function initial(now: number, overdraft: number): Balance {
  return { level: -overdraft, at: now };
}

function bucketSize(cap: Cap, part: number): number {
  return part * Math.max(cap.burst, (cap.perS * MIN_BURST_MS) / MS_PER_S);
}

/** A balance as the token bucket of an owner with `part` of the hosts. */
function bucketOf(a: Balance, cap: Cap, part: number): tokenBucket.Bucket {
  return { rate: cap.perS * part, size: bucketSize(cap, part), tokens: a.level, at: a.at };
}

/**
 * The balance at `now`, refilled at the rate for `part` of the hosts. Units above the bucket size
 * for that part are kept, so that hosts reconnecting all at once don't lose them.
 */
export function refill(a: Balance, cap: Cap, part: number, now: number): Balance {
  const { tokens, at } = tokenBucket.refill(bucketOf(a, cap, part), now);
  return { level: Math.min(Math.max(a.level, tokens), bucketSize(cap, 1)), at };
}

/** A request to draw units. */
export interface DrawRequest {
  /** Units of each request, in the order in which they are to be admitted. */
  readonly wants: readonly number[];
  /** Milliseconds that a request may wait for future refill; the units are taken at once. */
  readonly patienceMs: number;
}

/**
 * Draws units for requests, in order, up to the first that can't be admitted. Over all owners
 * together they may exceed the cap by `overdraft` at most, which later requests pay back. So a team
 * whose cap is hardly larger than one request, and whose requests arrive a few at once, is still
 * served.
 */
export function draw(
  a: Balance,
  cap: Cap,
  part: number,
  { wants, patienceMs }: DrawRequest,
  overdraft: number,
): DrawResult {
  let left = a;
  const delaysMs: number[] = [];
  for (const [granted, units] of wants.entries()) {
    const needed = neededFor(units, cap, part, overdraft);
    if (needed === undefined) return { left, granted, delaysMs, waitMs: undefined };
    const taken = tokenBucket.take(bucketOf(left, cap, part), left.at, needed);
    const waitMs = taken.ok ? 0 : taken.waitMs;
    if (waitMs > patienceMs) return { left, granted, delaysMs, waitMs };
    delaysMs.push(waitMs);
    left = { ...left, level: left.level - units };
  }
  return { left, granted: wants.length, delaysMs, waitMs: 0 };
}

/**
 * Units that the bucket must hold before a request of `units` is admitted; undefined if the bucket
 * of an owner with `part` can never hold as many.
 */
function neededFor(units: number, cap: Cap, part: number, overdraft: number): number | undefined {
  if (part <= 0) return undefined;
  const needed = units - overdraft * part;
  const size = bucketSize(cap, part);
  if (needed <= size) return needed;
  return part > MAJORITY ? size : undefined;
}

/** Returns the units of a request that was admitted but did not run. */
export function refund(a: Balance, cap: Cap, units: number): Balance {
  return { ...a, level: Math.min(bucketSize(cap, 1), a.level + units) };
}
