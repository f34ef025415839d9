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

/** Lags that a request tolerates; the fractions are of its route's target. */
interface Tolerance {
  /**
   * Fraction from which on all are refused while the lag lasts. Requests wait up to a loop's turn longer than the lag says,
   * and a refusal should not come after a quarter of the target.
   */
  readonly to: number;
  /** Least ms over which the refused share rises from none to all; about a turn of a busy loop, longer if more urgent. */
  readonly riseMs: number;
  /** Fraction from which on the answer would be late in any case: what is left is less than workers take. */
  readonly late: number;
}

/** By rank; a more urgent request tolerates more lag, since refusals of the less urgent ones reduce it. */
const TOLERANCE_BY_RANK = [
  { to: 0.15, riseMs: 100, late: 0.9 },
  { to: 0.12, riseMs: 70, late: 0.75 },
  { to: 0.09, riseMs: 40, late: 0.6 },
] as const satisfies readonly Tolerance[];
/** Fraction of the target at which refusals begin, if that is more than the normal lag. */
const FROM_TARGETS = 0.05;

/**
 * Milliseconds from a daemon's start during which no request is refused because of the lag. Its code is not compiled yet and
 * it connects to all engines, so refusals would not end the lag. After a power cut, their callers would return to hosts that are
 * starting as well.
 */
export const STARTUP_MS = 3000;

/**
 * Why a request is refused because of the lag, or undefined if it is served; `random` is 0 or more and less than 1. The
 * request's own wait decides whether it would be late in any case, `host` which share is refused: otherwise requests on open
 * connections would take all the time, and those that wait to be accepted would be refused. After a single long turn, only
 * requests that would be late in any case are refused, because the loop is not overloaded.
 */
export function refusalReason(
  ownMs: number,
  host: loopLag.Lag,
  r: Request,
  random: number,
): string | undefined {
  if (host.ms <= loopLag.NORMAL_MS) return undefined;
  const tolerance: Tolerance = TOLERANCE_BY_RANK[r.rank] ?? TOLERANCE_BY_RANK[2];
  if (ownMs < tolerance.late * r.targetMs) {
    if (host.isSingle) return undefined;
    const fromMs = Math.max(loopLag.NORMAL_MS, FROM_TARGETS * r.targetMs);
    const toMs = Math.max(fromMs + tolerance.riseMs, tolerance.to * r.targetMs);
    if ((host.ms - fromMs) / (toMs - fromMs) <= random) return undefined;
  }
  return `this host is overloaded: its event loop is ${Math.round(host.ms)} ms behind`;
}
