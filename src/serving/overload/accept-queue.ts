/**
 * How long connections wait to be accepted. Pure.
 *
 * Node.js accepts one connection in each turn of the event loop. While every turn accepts one, others may wait behind it;
 * a turn without one shows that none waits. A connection accepted in such an unbroken run arrived after the turn before the
 * run. While a run lasts, the host connects to itself from time to time: what is accepted between two of these probes arrived between
 * them, since connections are accepted in the order in which they arrived.
 * @module
 */
import * as loopLag from "./loop-lag.js";

/** Milliseconds from the beginning of a run to its first probe, and between two probes at least. */
const PROBE_MS = 50;
/** Part of the wait of the oldest probe that passes between two probes at least, so that few are open at once. */
const PROBE_PART = 0.25;

/** An unbroken run of turns that each accepted a connection; undefined when none waits. */
export type Run =
  | {
      /** Monotonic ms at which it began. */
      readonly startedAt: number;
      /** Lag of what was read then. */
      readonly lag: loopLag.Lag;
      /** Monotonic ms; what is accepted now arrived after that. */
      readonly since: number;
      /** Monotonic ms at which the probes that are not accepted yet were sent, in order, and the latest one. */
      readonly probes: readonly number[];
      readonly probedAt: number;
    }
  | undefined;

type Open = NonNullable<Run>;

/** The run after a connection is accepted at `now`, when what is read has the given lag. */
export function recordAccept(run: Run, now: number, lag: loopLag.Lag): Open {
  return run ?? { startedAt: now, lag, since: now, probes: [], probedAt: now };
}

/** Whether a probe should be sent at `now`. */
export function isProbeDue({ probes: [oldest], probedAt }: Open, now: number): boolean {
  return now - probedAt >= Math.max(PROBE_MS, PROBE_PART * (now - (oldest ?? now)));
}

/** The run after a probe is sent at `now`. */
export function recordProbe(run: Open, now: number): Open {
  return { ...run, probes: [...run.probes, now], probedAt: now };
}

/** The run after the probe that was sent at `sentAt` is accepted. */
export function recordProbeAccepted(run: Open, sentAt: number): Open {
  const probes = run.probes.filter((at) => at > sentAt);
  return { ...run, lag: loopLag.NO_LAG, since: Math.max(run.since, sentAt), probes };
}

/** The run after the probe that was sent at `sentAt` could not connect. */
export function recordProbeFailed(run: Open, sentAt: number): Open {
  return { ...run, probes: run.probes.filter((at) => at !== sentAt) };
}

/** The most milliseconds that a connection accepted at `now` may have waited. */
export function mostWaitMs(run: Open, now: number): number {
  return run.lag.ms + (now - run.since);
}

/** The lag of a connection accepted at `now`: the middle between the least and the most that it may have waited. */
export function lagAt(run: Open, now: number): loopLag.Lag {
  const leastMs = now - (run.probes[0] ?? now);
  const waitMs = (leastMs + (now - run.since)) / 2;
  return {
    ms: run.lag.ms + waitMs,
    isSingle: run.lag.isSingle && now - run.startedAt <= loopLag.NORMAL_MS,
  };
}
