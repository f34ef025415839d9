/**
 * A token bucket as an immutable value. It limits the rates of calls to the store, of retries and of
 * callers' requests.
 * @module
 */
import type * as clock from "../host/clock.js";
import * as outcome from "../request/outcome.js";

const MS_PER_S = 1000;

/** The state of a token bucket. */
export interface Bucket {
  /** Tokens added per second. */
  readonly rate: number;
  /** Capacity in tokens. */
  readonly size: number;
  /** Tokens available at time `at`. */
  readonly tokens: number;
  /** Time of the steady clock, in ms, at which `tokens` was computed. */
  readonly at: number;
}

/** Creates a bucket that is full at time `at`. */
export function fullBucket(rate: number, size: number, at: number): Bucket {
  if (!(rate > 0) || !(size >= 1))
    throw new RangeError(`invalid token bucket: rate ${rate}, size ${size}`);
  return { rate, size, tokens: size, at };
}

/** Returns the bucket at time `now`, with the tokens added since. */
export function refill(b: Bucket, now: number): Bucket {
  const added = (Math.max(0, now - b.at) / MS_PER_S) * b.rate;
  return { ...b, tokens: Math.min(b.size, b.tokens + added), at: Math.max(b.at, now) };
}

/** Takes `n` tokens and returns the new bucket, or the milliseconds to wait when it holds fewer. */
export function take(
  b: Bucket,
  now: number,
  n = 1,
):
  { readonly ok: true; readonly bucket: Bucket } | { readonly ok: false; readonly waitMs: number } {
  const filled = refill(b, now);
  if (filled.tokens >= n) return { ok: true, bucket: { ...filled, tokens: filled.tokens - n } };
  return { ok: false, waitMs: Math.ceil(((n - filled.tokens) / b.rate) * MS_PER_S) };
}

/**
 * Takes one token for the call named `what`. Throws a `StepError` with outcome `not_run` when none is left.
 */
export type SpendCall = (what: string) => void;

/** Numbers of calls made and refused, for `status`. */
export interface CallCounts {
  readonly spent: number;
  readonly refused: number;
}

/** Creates a budget of `rate` calls per second to one peer, and counts the calls. */
export function createCallBudget(clk: clock.Clock, rate: number, peer: string) {
  let bucket = fullBucket(rate, rate, clk.steady());
  let count: CallCounts = { spent: 0, refused: 0 };
  const spend: SpendCall = (what) => {
    const taken = take(bucket, clk.steady());
    if (taken.ok) {
      bucket = taken.bucket;
      count = { ...count, spent: count.spent + 1 };
      return;
    }
    count = { ...count, refused: count.refused + 1 };
    throw outcome.notRun(
      "overloaded",
      "store",
      peer,
      `The budget of ${rate} calls per second is used up; ${what} was not called.`,
      taken.waitMs,
    );
  };
  return { spend, count: () => count };
}
