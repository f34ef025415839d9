/**
 * When an entry host writes its next batch to the log of open streams: at once while there are batches left of its part of the
 * store's write rate, else when the next one is due. Pure.
 * @module
 */
import * as tokenBucket from "../../store/token-bucket.js";

/** Share of the store's write rate that the logs of all hosts may use. */
export const WRITE_SHARE = 0.1;
/** Least and most batches a second of one host. */
const MIN_RATE = 0.1;
const MAX_RATE = 20;
/** Batches a second of a host that does not know how many there are. */
const UNKNOWN_RATE = 4;
/** Seconds for which batches that were not needed are saved up. */
const SAVED_S = 1;
/** Least seconds from a batch that failed to the next. */
const RETRY_S = 0.25;

/** Batches a second of one host, by the number of entry hosts and the calls that the store takes a second. */
export function batchesPerS(
  hosts: number | undefined,
  writesPerS: number,
  share = WRITE_SHARE,
): number {
  if (hosts === undefined) return UNKNOWN_RATE;
  return Math.min(MAX_RATE, Math.max(MIN_RATE, (share * writesPerS) / hosts));
}

/** The batches that are left after one was taken, or the milliseconds until there is one. */
export type Taken = ReturnType<typeof tokenBucket.take>;

/**
 * Takes a batch at `now`, in ms of the steady clock, from those that are left; `left` is undefined before the first one. The rate may
 * have changed since the last one.
 */
export function take(left: tokenBucket.Bucket | undefined, rate: number, now: number): Taken {
  const size = Math.max(1, SAVED_S * rate);
  if (!left) return tokenBucket.take(tokenBucket.fullBucket(rate, size, now), now);
  const filled = tokenBucket.refill({ ...left, rate }, now);
  return tokenBucket.take({ ...filled, size, tokens: Math.min(size, filled.tokens) }, now);
}

/** What is left after a batch that failed at `now`: none, so that the next one waits. */
export function failed(left: tokenBucket.Bucket, now: number): tokenBucket.Bucket {
  return { ...left, tokens: Math.min(0, 1 - RETRY_S * left.rate), at: now };
}
