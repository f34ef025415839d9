/**
 * How long connections wait to be accepted. Pure.
 *
 * Node.js accepts one connection in each turn of the event loop. While every turn accepts one, others may wait behind it;
 * a turn without one shows that none waits. A connection accepted in such an unbroken run arrived after the turn before the
 * run, so it has waited for between nothing and the age of the run. Half the age is taken: that is exact at twice the load
 * that the host can serve.
 * @module
 */
import * as loopLag from "./loop-lag.js";

/** An unbroken run of turns that each accepted a connection; undefined when none waits. */
export type Run =
  | {
      /** Monotonic ms at which it began. */
      readonly startedAt: number;
      /** Lag of what was read then. */
      readonly lag: loopLag.Lag;
    }
  | undefined;

/** The run after a connection is accepted at `now`, when what is read has the given lag. */
export function recordAccept(run: Run, now: number, lag: loopLag.Lag): NonNullable<Run> {
  return run ?? { startedAt: now, lag };
}

/** The most milliseconds that a connection accepted at `now` may have waited. */
export function mostWaitMs(run: NonNullable<Run>, now: number): number {
  return run.lag.ms + (now - run.startedAt);
}

/** The lag of a connection accepted at `now`. */
export function lagAt(run: NonNullable<Run>, now: number): loopLag.Lag {
  const ageMs = now - run.startedAt;
  return {
    ms: run.lag.ms + ageMs / 2,
    isSingle: run.lag.isSingle && ageMs <= loopLag.NORMAL_MS,
  };
}
