/**
 * A token bucket, as a value. It bounds calls to the store, retries and callers' rates.
 * @module
 */
import type * as clock from "../host/clock.js";
import * as outcome from "../request/outcome.js";

const MS_PER_S = 1000;

/** Tokens at a moment. */
export interface Bucket {
  /** Tokens a second that flow in. */
  readonly rate: number;
  /** Tokens it holds at most. */
  readonly size: number;
  readonly tokens: number;
  /** Reading of the steady clock, in ms, that `tokens` holds for. */
  readonly at: number;
}

/** A full bucket at time `at`. */
export function full(rate: number, size: number, at: number): Bucket {
  if (!(rate > 0) || !(size >= 1)) throw new RangeError(`no bucket of rate ${rate}, size ${size}`);
  return { rate, size, tokens: size, at };
}

/** The bucket at `now`, with what flowed in since. */
export function fill(b: Bucket, now: number): Bucket {
  const flowed = (Math.max(0, now - b.at) / MS_PER_S) * b.rate;
  return { ...b, tokens: Math.min(b.size, b.tokens + flowed), at: Math.max(b.at, now) };
}

/** The bucket after taking `n` tokens, or the milliseconds to wait when it holds fewer. */
export function take(
  b: Bucket,
  now: number,
  n = 1,
):
  { readonly ok: true; readonly bucket: Bucket } | { readonly ok: false; readonly waitMs: number } {
  const at = fill(b, now);
  if (at.tokens >= n) return { ok: true, bucket: { ...at, tokens: at.tokens - n } };
  return { ok: false, waitMs: Math.ceil(((n - at.tokens) / b.rate) * MS_PER_S) };
}

/** Spends one unit on a call, or throws a `StepError` of outcome `not_run` when none is left. */
export type Spend = (what: string) => void;

/** Counts of what was spent and refused, for `status`. */
export interface Count {
  readonly spent: number;
  readonly refused: number;
}

/** A budget of calls a second to one peer, with its running count. */
export function meter(clk: clock.Clock, rate: number, peer: string) {
  let bucket = full(rate, rate, clk.steady());
  let count: Count = { spent: 0, refused: 0 };
  const spend: Spend = (what) => {
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
      `The budget of ${rate} calls a second is spent; ${what} was not called.`,
      taken.waitMs,
    );
  };
  return { spend, count: () => count };
}
