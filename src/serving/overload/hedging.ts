/**
 * Decides when a call to a plain service is hedged, that is, sent once more to another worker because its answer would
 * otherwise be late. Pure functions.
 * @module
 */
import type * as catalog from "../catalog.js";

/** Fraction of the latest calls whose response times are at most the time in which a hedge is expected to be answered. */
const QUANTILE = 0.9;
/** Number of the latest response times that are kept for each service. */
const WINDOW = 64;
/** Fewest response times that a quantile is taken of; a host gets about one call a second for each service. */
const MIN_TIMES = 5;
/**
 * Share of the target after which a hedge may be sent although answers usually take longer. Where they take most of the target,
 * a hedge would otherwise come too late.
 */
const LATEST_START = 0.5;
/** Runs that a hedged call uses: the first send and the hedge. */
const HEDGED_RUNS = 2;

/** Response times in ms of the latest calls to a service, the oldest first. */
export type ResponseTimes = readonly number[];

/** The response times after one more call was answered in `ms`. */
export function record(times: ResponseTimes, ms: number): ResponseTimes {
  return [...times.slice(-(WINDOW - 1)), ms];
}

/** The quantile of the response times in ms by which hedges are timed; undefined after too few calls. */
export function quantileMs(times: ResponseTimes): number | undefined {
  if (times.length < MIN_TIMES) return undefined;
  const sorted = [...times].sort((a, b) => a - b);
  return sorted[Math.ceil(QUANTILE * sorted.length) - 1];
}

/** What is known of a call to a plain service that is about to be sent. */
export interface Call {
  readonly route: Pick<catalog.Route, "kind" | "attempts" | "targetMs">;
  /** Runs, or possible runs, of the call so far. */
  readonly runs: number;
  /** Whether it was hedged before. */
  readonly isHedged: boolean;
  /** Milliseconds since it arrived. */
  readonly waitedMs: number;
  /** Milliseconds until its deadline. */
  readonly leftMs: number;
}

/** Whether a call may run on two workers side by side. */
function mayHedge({ route, runs, isHedged }: Call): boolean {
  return route.kind === "idempotent" && runs + HEDGED_RUNS <= route.attempts && !isHedged;
}

/**
 * Milliseconds after which a call that is sent now is hedged if no answer has arrived; undefined if it is not hedged. A hedge
 * is sent early enough to be answered by the target, but not before an answer of usual duration has had time to arrive, or
 * half of the target has passed.
 * `responseMs` is the {@link quantileMs} of the service.
 */
export function hedgeInMs(c: Call, responseMs: number | undefined): number | undefined {
  if (responseMs === undefined || !mayHedge(c)) return undefined;
  const { targetMs } = c.route;
  const leastMs = Math.min(responseMs, LATEST_START * targetMs);
  const delayMs = Math.max(targetMs - c.waitedMs - responseMs, leastMs);
  return delayMs < c.leftMs ? delayMs : undefined;
}
