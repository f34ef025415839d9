/**
 * Decides whether a request is admitted, how long it may wait, and when a refused one should be retried. Pure.
 *
 * While more prompts arrive than the engines can process, each admitted request is late and delays those behind it, so
 * a request that would wait too long is refused at once. Only waiting counts: a request is not refused for its own
 * size, since it would take as long on an idle engine, and a late answer is still useful.
 * @module
 */
import type * as choice from "./choice.js";

/** What admission considers of a request; times are in ms. */
export interface RequestTimes {
  /** Urgency of its route; 0 is the most urgent. */
  readonly rank: number;
  /** Time from its arrival after which its first event is late. */
  readonly targetMs: number;
  /** Longest pause between two events that is not late; Infinity where the route sets none. */
  readonly gapMs: number;
  /** Time left until its deadline. */
  readonly leftMs: number;
  /** Whether its answer has begun, so that its caller can't be told to retry. */
  readonly hasBegun?: boolean;
}

/** Whether a request is admitted; if not, why, and after how many milliseconds it should be retried. */
export type Decision =
  | { readonly kind: "serve"; readonly waitRatio: number | undefined }
  | {
      readonly kind: "refuse";
      readonly why: string;
      readonly retryAfterMs: number;
      /** The estimated wait as a fraction of the longest admitted one; undefined where something else decided. */
      readonly waitRatio: number | undefined;
      /** Whether the wait is the cause: the request could be served if it did not wait. */
      readonly isForWait: boolean;
    };

/**
 * Longest admitted waiting time by rank, as a fraction of the target. At 1, an answer is late even if it took no time
 * of its own. More urgent requests may wait a little longer, since less urgent ones give way to them meanwhile, and
 * since the known state of the queue is about 20 ms old.
 */
const MAX_WAIT_RATIO_BY_RANK = [1.4, 1.3, 1.0] as const;

/**
 * The same for a team that exceeds its share where others ask too, as a fraction of the ratios above. Requests of other
 * teams that arrive later are served before its own, so it waits longer than estimated.
 */
const OVER_SHARE_RATIO = 0.7;

/** The decision for a request that no wait was estimated for. */
export const SERVE: Decision = { kind: "serve", waitRatio: undefined };

/**
 * Waits, as fractions of the longest admitted one, between which the share of refused requests rises from none to all where
 * refusals are graded. The state of an engine is up to some hundred ms old, so with a threshold all hosts admit everything
 * until the queue is too long, and then refuse everything until it is short.
 */
const GRADED_FROM = 0.8;
const GRADED_TO = 1.2;

/** Whether a request is refused because of its wait; `draw` as for {@link decide}. */
function isWaitTooLong(waitRatio: number, draw: number | undefined): boolean {
  if (draw === undefined) return waitRatio > 1;
  return draw < (waitRatio - GRADED_FROM) / (GRADED_TO - GRADED_FROM);
}

/**
 * Decides whether a request is admitted, by the estimate of its best endpoint. `givesWay` says that its team exceeds its
 * share there and others ask too. `draw` is a random number, 0 or more and less than 1, by which refusals are graded; where
 * undefined, all requests are refused whose wait exceeds the longest admitted one.
 */
export function decide(
  r: RequestTimes,
  best: choice.Estimate,
  givesWay = false,
  draw?: number,
): Decision {
  const waitMs = best.firstMs - best.serviceMs;
  if (best.firstMs > r.leftMs) {
    const why = `the first event would come in ${Math.round(best.firstMs)} ms, after the deadline`;
    const isForWait = best.serviceMs <= r.leftMs;
    return { kind: "refuse", why, retryAfterMs: waitMs, waitRatio: undefined, isForWait };
  }
  const maxRatio = MAX_WAIT_RATIO_BY_RANK[r.rank] ?? MAX_WAIT_RATIO_BY_RANK[2];
  const shareRatio = givesWay ? OVER_SHARE_RATIO : 1;
  const waitRatio = waitMs / (r.targetMs * maxRatio * shareRatio);
  if (!isWaitTooLong(waitRatio, draw)) return { kind: "serve", waitRatio };
  const share = givesWay ? ", and its team exceeds its share" : "";
  const why = `it would wait ${Math.round(waitMs)} ms before it is begun${share}`;
  return { kind: "refuse", why, retryAfterMs: waitMs, waitRatio, isForWait: true };
}

/** Longest wait in milliseconds until a worker's limit admits a request; above it, the request goes elsewhere. */
export const MAX_LIMIT_WAIT_MS = 500;

/** Longest wait while there is no usable endpoint, as a fraction of the target; refusals must come early. */
const ENDPOINT_WAIT_RATIO = 0.2;
/**
 * By the callers' documented behaviour, a caller abandons a stream without events after the longest of these: a number
 * of milliseconds, a multiple of the target, and a multiple of the longest pause between events that is not late.
 */
const PATIENCE_MS = 2000;
const PATIENCE_TARGETS = 4;
const PATIENCE_GAPS = 8;
/** Longest wait for a seat, as a fraction of the time before the caller leaves; the rest must suffice for a retry. */
const SEAT_WAIT_RATIO = 0.6;

/** Milliseconds for which a request may wait while no endpoint is usable; longer if an engine is starting or it has begun. */
export function maxEndpointWaitMs(r: RequestTimes, isStarting: boolean): number {
  return isStarting || r.hasBegun ? maxSeatWaitMs(r) : r.targetMs * ENDPOINT_WAIT_RATIO;
}

/**
 * Milliseconds for which a request may wait for a seat; after that it is better that its caller is told to retry. One that has
 * begun waits for as long as its caller does.
 */
export function maxSeatWaitMs(r: RequestTimes): number {
  const gapsMs = Number.isFinite(r.gapMs) ? PATIENCE_GAPS * r.gapMs : 0;
  const patienceMs = Math.max(PATIENCE_MS, PATIENCE_TARGETS * r.targetMs, gapsMs);
  return (r.hasBegun ? 1 : SEAT_WAIT_RATIO) * Math.min(r.leftMs, patienceMs);
}

/** Milliseconds over which retries are spread at random after a worker accepts requests again. */
const RETRY_SPREAD_MS = 250;

/**
 * Milliseconds after which a caller should retry where a worker accepts requests again in `availableInMs`; `random` is
 * 0 or more and less than 1.
 */
export function retryWhenOpenMs(availableInMs: number, random: number): number {
  return availableInMs + random * RETRY_SPREAD_MS;
}

/** Latest retry, as a fraction of the time left until the deadline; later, callers no longer retry. */
const MAX_RETRY_RATIO = 0.3;
/** Shortest time, in milliseconds, after which a refused caller is told to retry, unless its deadline is near. */
const MIN_RETRY_MS = 120;
/**
 * Milliseconds after which a caller is told to retry where it is unknown when the request can be served: about the time
 * for a daemon to start and for an engine to load a base model from its disk.
 */
export const DEFAULT_RETRY_AFTER_MS = 1500;

/** Milliseconds after which a refused caller should retry, limited so that it still has time then. */
export function retryAfterMs(wantedMs: number, leftMs: number): number {
  return Math.min(Math.max(0, leftMs) * MAX_RETRY_RATIO, Math.max(MIN_RETRY_MS, wantedMs));
}
