/**
 * Decides which retries may use a scarce retry budget. Pure.
 *
 * A retry leaves alone what more urgent retries are expected to need in the next two seconds, beyond what the account earns
 * meanwhile. So the budget is first come, first served while it lasts, and the rest of it goes to the most urgent.
 * @module
 */
import * as decayingRate from "./decaying-rate.js";

/** What the priority of a retry depends on. */
export interface Retry {
  /** Urgency of its route; 0 is the most urgent. */
  readonly rank: number;
  /** Its first event would come after its target. */
  readonly isLate: boolean;
}

/** Rate of the requested retries of one kind. */
interface RequestedRate extends Retry {
  readonly rate: decayingRate.Rate;
}

/** Retries requested lately for one service, by rank and lateness. */
export type Requested = readonly RequestedRate[];

/** Record of a process that has just started. */
export const NONE: Requested = [];

/** What an account holds. */
export interface Balance {
  /** Retries that remain, with the fraction earned towards the next one. */
  readonly retries: number;
  /** Retries that it earns per second. */
  readonly earnedPerS: number;
}

/** Whether a retry may use the budget, with the figures that decided it. */
export interface Decision {
  /** `reserved` if what remains is kept for more urgent retries. */
  readonly kind: "eligible" | "reserved";
  /** Priority class; 0 is the most urgent. */
  readonly priority: number;
  /** Retries kept for more urgent classes. */
  readonly reserve: number;
}

/**
 * Time constant in ms of the mean rates. Their mean age is that of a sliding window of one second; 1,000 ms follows a sudden
 * failure too slowly, so that the first retries of all classes use up what the urgent ones need.
 */
const RATE_MS = 500;
/**
 * Time ahead in s for which retries are kept for more urgent classes. A shorter one leaves the most urgent too little of a budget
 * that is nearly used up; with a longer one, more of what is kept is never used.
 */
const AHEAD_S = 2;
/** Rate per second below which retries count as not requested, since a decaying mean never reaches 0. */
const MIN_PER_S = 0.1;
/** Rounding error allowed in a sum of fractions of tokens. */
const ROUNDING_TOLERANCE = 1e-9;

/** Priority class of a retry: its rank, or one step less urgent if it cannot be on time any more. */
export function classOf(r: Retry): number {
  return r.isLate ? r.rank + 1 : r.rank;
}

/** The record after a retry was requested at the monotonic ms `now`. */
export function record(requested: Requested, r: Retry, now: number): Requested {
  const isSame = (e: Retry): boolean => e.rank === r.rank && e.isLate === r.isLate;
  const before = requested.find(isSame)?.rate ?? decayingRate.NONE;
  const rate = decayingRate.record(before, now, RATE_MS);
  return [...requested.filter((e) => !isSame(e)), { rank: r.rank, isLate: r.isLate, rate }];
}

/** Decides whether a retry may be charged to the budget at the monotonic ms `now`. */
export function decide(requested: Requested, r: Retry, left: Balance, now: number): Decision {
  const priority = classOf(r);
  const reserve = reserveFor(requested, r, left.earnedPerS, now);
  const isReserved = reserve > 0 && left.retries - 1 < reserve - ROUNDING_TOLERANCE;
  return { kind: isReserved ? "reserved" : "eligible", priority, reserve };
}

/** Retries to be kept for classes that are more urgent than that of `r`. */
function reserveFor(requested: Requested, r: Retry, earnedPerS: number, now: number): number {
  const perS = (e: RequestedRate): number => decayingRate.at(e.rate, now, RATE_MS);
  const current = requested.filter((e) => perS(e) >= MIN_PER_S);
  // Retries of a single rank are first come, first served.
  if (current.every((e) => e.rank === r.rank)) return 0;
  const wantedPerS = current
    .filter((e) => classOf(e) < classOf(r))
    .reduce((sum, e) => sum + perS(e), 0);
  return Math.max(0, wantedPerS - earnedPerS) * AHEAD_S;
}
