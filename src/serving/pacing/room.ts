/**
 * Decides whether an engine's batch and KV cache have room for one more request, from the seats that are granted. An
 * engine that gets more than they hold preempts running requests, and reads their prompts again. Pure.
 * @module
 */
import * as backlog from "../backlog.js";
import type * as catalog from "../catalog.js";

/** Tokens of one request, as its entry daemon estimates them. */
export interface Need {
  readonly promptTokens: number;
  readonly answerTokens: number;
}

/** A granted seat. */
export interface GrantedSeat {
  readonly need: Need;
  /** Monotonic ms of the grant. */
  readonly grantedAt: number;
  readonly hasBegun: boolean;
}

/** Granted seats that are open, and the tokens that they need. */
export interface Usage {
  readonly requests: number;
  readonly tokens: number;
}

/** What a request lacks: a place in the batch, or tokens in the KV cache. */
export type Lack = "batch" | "cache";

/**
 * Factor on the estimated answer tokens. The estimate is right at the median, and answers reach over three times as
 * much; the sum over a full batch stays below this factor times the estimates' sum.
 */
const ANSWER_MARGIN = 1.5;

/** Tokens in the KV cache that are kept free for a request. */
export function tokensOf(n: Need): number {
  return n.promptTokens + ANSWER_MARGIN * n.answerTokens;
}

/**
 * Whether a granted seat counts at `now`. One without a first event stops counting after some time: its entry host may
 * be frozen, and must not keep others from being served.
 */
export function isOpen(s: GrantedSeat, now: number): boolean {
  return s.hasBegun || now - s.grantedAt < backlog.FIRST_EVENT_TIMEOUT_MS;
}

/** What the granted seats take at `now`. */
export function usageOf(seats: Iterable<GrantedSeat>, now: number): Usage {
  let usage: Usage = { requests: 0, tokens: 0 };
  for (const s of seats) if (isOpen(s, now)) usage = plus(usage, s.need);
  return usage;
}

/** The usage with one more request. */
export function plus(u: Usage, need: Need): Usage {
  return { requests: u.requests + 1, tokens: u.tokens + tokensOf(need) };
}

/** What a request lacks beside the usage; undefined if it fits. One that fits nowhere runs alone. */
export function lackOf(u: Usage, need: Need, batch: catalog.Batch): Lack | undefined {
  if (u.requests === 0) return undefined;
  if (u.requests >= batch.requests) return "batch";
  return u.tokens + tokensOf(need) > batch.cacheTokens ? "cache" : undefined;
}

/**
 * Milliseconds until the next seat without a first event stops counting; Infinity if there is none. The end of a seat
 * is not foreseen.
 */
export function freeInMs(seats: Iterable<GrantedSeat>, now: number): number {
  let ms = Infinity;
  for (const s of seats) {
    if (s.hasBegun || !isOpen(s, now)) continue;
    ms = Math.min(ms, s.grantedAt + backlog.FIRST_EVENT_TIMEOUT_MS - now);
  }
  return ms;
}

/**
 * Estimated ms until a request that arrives behind the `ahead` waiting ones has a place, if a seat is held for
 * `holdMs`: one place becomes free every `holdMs / batch.requests`, and tokens in the same proportion.
 */
export function waitMs(
  u: Usage,
  ahead: Usage,
  typical: Need,
  batch: catalog.Batch,
  holdMs: number,
): number {
  const places = Math.max(0, u.requests + ahead.requests + 1 - batch.requests) / batch.requests;
  const wanted = u.tokens + ahead.tokens + tokensOf(typical);
  const tokens = Math.max(0, wanted - batch.cacheTokens) / batch.cacheTokens;
  return u.requests + ahead.requests === 0 ? 0 : Math.max(places, tokens) * holdMs;
}
