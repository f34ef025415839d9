/**
 * The pace at which a daemon follows the store: how soon it must know of a change, and how many calls it may make.
 * @module
 */
import type * as entryGrace from "./entry-grace.js";

/** How often a daemon asks the store for changes. Each watch call is a load on the store. */
export interface WatchPace extends entryGrace.KeepTimes {
  /** Milliseconds that one watch call waits at most for changes. */
  readonly watchMs: number;
  /** Milliseconds after which an unanswered call is hedged by a second one. Undefined to never hedge. */
  readonly overdueMs: number | undefined;
  /** Minimum milliseconds from the start of one watch call to the next, so that one call returns many changes. */
  readonly minIntervalMs: number;
  /**
   * The same for `catchUpMs` milliseconds after the store has been restored from a backup. What it had acknowledged is then
   * written again, and must be in force by the time that counts from its first acknowledgement.
   */
  readonly catchUpIntervalMs: number;
  readonly catchUpMs: number;
  /** Milliseconds until a watch call that failed is first retried. The wait doubles with each further failure. */
  readonly retryMs: number;
}

/*
 * The fractions below are parts of the time within which a change must be in force. In the worst case a change is made
 * right after a response, waits for the next call, that call hangs, and its hedge returns the change: after
 * INTERVAL_FRACTION + HEDGE_FRACTION = 0.75 of the time. The rest is left for the response to arrive. This bounds the
 * age of an entry daemon's catalog while a call hangs, whatever else changes in the store.
 */
/** Time from the start of one watch call to the next. In a large fleet calls return at once, so this sets their rate. */
const INTERVAL_FRACTION = 0.5;
/** The same after the store has been restored from a backup. */
const CATCH_UP_INTERVAL_FRACTION = 0.1;
/** Longest duration of one watch call. The call returns at once when something changes. */
const WATCH_FRACTION = 0.15;
/** Time until a call is hedged: beyond its longest duration, a slow store has time to respond (some 300 ms). */
const HEDGE_FRACTION = 0.25;
/**
 * Time for which an endpoint is kept if its entry may only have expired in an outage. Its sum with
 * {@link INTERVAL_FRACTION} and the time of the store's response must stay below 1.
 */
const KEEP_MISSING_FRACTION = 0.35;
/** The same after the store has been restored from a backup, when the time counts from a deletion that the store had lost. */
const KEEP_DELETED_FRACTION = 0.1;
/**
 * Milliseconds for which a watch of the store may report nothing although changes are made, by the platform's
 * documentation.
 */
export const SILENT_WATCH_MS = 1000;
/** Milliseconds until the first retry of a call that failed. */
export const RETRY_MS = 60;

/** The pace for daemons in which a change must be in force at most `inForceMs` after the store accepted it. */
export function promptPace(inForceMs: number): WatchPace {
  return {
    watchMs: Math.round(WATCH_FRACTION * inForceMs),
    overdueMs: HEDGE_FRACTION * inForceMs,
    minIntervalMs: INTERVAL_FRACTION * inForceMs,
    catchUpIntervalMs: CATCH_UP_INTERVAL_FRACTION * inForceMs,
    catchUpMs: inForceMs,
    retryMs: RETRY_MS,
    keepMissingMs: KEEP_MISSING_FRACTION * inForceMs,
    keepDeletedMs: KEEP_DELETED_FRACTION * inForceMs,
  };
}

/**
 * The pace for endpoint daemons. They need not be faster: an adapter's version must be in force after 5 s, and they also
 * learn of versions with each request for a seat. They are many, and the store's rate limits grow more slowly than
 * their number.
 */
export const RELAXED_PACE: WatchPace = {
  watchMs: 25_000,
  overdueMs: undefined,
  minIntervalMs: 1500,
  catchUpIntervalMs: 1500,
  catchUpMs: 0,
  retryMs: 1500,
  keepMissingMs: 0,
  keepDeletedMs: 0,
};
