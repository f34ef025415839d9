/**
 * Load shedding: which requests an entry host refuses because its own event loop is behind. Pure.
 *
 * A refusal costs much less than serving, so refusing some requests lets the loop catch up. The share that is refused rises
 * with the lag instead of jumping at one value: the lag then settles where the host can just serve the rest, and does not
 * swing between refusing everything and nothing.
 * @module
 */
import * as loopLag from "./loop-lag.js";

/** What is considered of a request. */
export interface Request {
  /** Urgency of its route; 0 is the most urgent. */
  readonly rank: number;
  /** Milliseconds after its arrival at which its first event or its answer is late. */
  readonly targetMs: number;
}

/** Lags as fractions of a route's target. */
interface Tolerance {
  /** Up to this one, all requests are served. */
  readonly from: number;
  /** From this one on, all are refused while the lag lasts. A refusal should not come after a quarter of the target. */
  readonly to: number;
  /** From this one on, the answer would be late in any case: what is left of the target is less than workers take. */
  readonly late: number;
}

/** By rank; a more urgent request tolerates more lag, since refusals of the less urgent ones reduce it. */
const TOLERANCE_BY_RANK = [
  { from: 0.15, to: 0.25, late: 0.9 },
  { from: 0.1, to: 0.2, late: 0.75 },
  { from: 0.05, to: 0.15, late: 0.6 },
] as const satisfies readonly Tolerance[];
/** Least milliseconds over which the refused share rises from none to all; about the length of the turns of a busy loop. */
const MIN_RISE_MS = 50;

/**
 * Why a request is refused because of the lag, or undefined if it is served; `random` is 0 or more and less than 1. After a
 * single long turn, only requests that would be late in any case are refused, because the loop is not overloaded.
 */
export function refusalReason(lag: loopLag.Lag, r: Request, random: number): string | undefined {
  if (lag.ms <= loopLag.NORMAL_MS) return undefined;
  const tolerance: Tolerance = TOLERANCE_BY_RANK[r.rank] ?? TOLERANCE_BY_RANK[2];
  if (lag.ms < tolerance.late * r.targetMs) {
    if (lag.isSingle) return undefined;
    const fromMs = Math.max(loopLag.NORMAL_MS, tolerance.from * r.targetMs);
    const toMs = Math.max(fromMs + MIN_RISE_MS, tolerance.to * r.targetMs);
    if ((lag.ms - fromMs) / (toMs - fromMs) <= random) return undefined;
  }
  return `this host is overloaded: its event loop is ${Math.round(lag.ms)} ms behind`;
}
