/**
 * Time, passed in so that decisions and daemons can run under a test's hand.
 * @module
 */
import * as timers from "node:timers";

/** A pending call; cancelling one that ran or was cancelled does nothing. */
export interface Timer {
  readonly cancel: () => void;
}

/** The clocks every part is given. */
export interface Clock {
  /** The time of day; it may jump, so use it for records and never for timeouts. */
  readonly now: () => Date;
  /**
   * Milliseconds that have passed at the most: those of the steady clock or of the time of day, whichever says
   * more. It never goes back; only differences have meaning.
   *
   * It is for all that must not be thought younger than it is: ages of news, leases, time budgets, waits. A host
   * that was suspended finds them run out when it wakes, and asks again; so does one whose time of day stepped
   * ahead. A step back changes nothing.
   */
  readonly mono: () => number;
  /**
   * Milliseconds that have passed at the least: those of the steady clock, which stands still while the host is
   * suspended. It never goes back; only differences have meaning.
   *
   * It is for allowances that grow with time, so that no jump of the time of day gives more of them: windows of
   * retries, rates of calls and callers.
   */
  readonly steady: () => number;
  /** Calls `run` once, `ms` milliseconds from now. */
  readonly after: (ms: number, run: () => void) => Timer;
}

/** Differences between the two clocks up to this many ms are how they run, and no suspension and no step. */
const DRIFT_MS = 100;

/** How far the time of day is ahead of the steady clock, and the sum of its leaps ahead; both in ms. */
interface Lead {
  readonly aheadMs: number;
  readonly leaptMs: number;
}

/** The lead after both clocks were read: `aheadMs` is how far the time of day is ahead of the steady one now. */
function lead(before: Lead, aheadMs: number): Lead {
  const leapMs = aheadMs - before.aheadMs;
  if (Math.abs(leapMs) <= DRIFT_MS) return before;
  return { aheadMs, leaptMs: before.leaptMs + Math.max(0, leapMs) };
}

const leads = new WeakMap<Clock, Lead>();

/** {@link Clock.mono} of a clock, from its other two. */
function passed(clk: Clock): number {
  const steadyMs = clk.steady();
  const aheadMs = clk.now().getTime() - steadyMs;
  const now = lead(leads.get(clk) ?? { aheadMs, leaptMs: 0 }, aheadMs);
  leads.set(clk, now);
  return steadyMs + now.leaptMs;
}

/** The machine's own clocks. A copy with another of its clocks has the `mono` that follows from it. */
export const system: Clock = {
  now: () => new Date(),
  mono() {
    return passed(this);
  },
  steady: () => performance.now(),
  after: (ms, run) => {
    const t = timers.setTimeout(run, ms);
    return {
      cancel: () => {
        timers.clearTimeout(t);
      },
    };
  },
};

/** Resolves after `ms` milliseconds, or at once when `signal` aborts. */
export function sleep(clock: Clock, ms: number, signal?: AbortSignal): Promise<void> {
  if (signal?.aborted) return Promise.resolve();
  return new Promise((resolve) => {
    const wake = (): void => {
      t.cancel();
      signal?.removeEventListener("abort", wake);
      resolve();
    };
    const t = clock.after(ms, wake);
    signal?.addEventListener("abort", wake, { once: true });
  });
}

/**
 * Calls `run` every `ms` milliseconds, the next turn counted from the end of the one before, until
 * `signal` aborts. Errors go to `failed`, and the turns go on.
 */
export async function every(
  clock: Clock,
  ms: number,
  signal: AbortSignal,
  run: () => Promise<void> | void,
  failed: (err: unknown) => void,
): Promise<void> {
  while (!signal.aborted) {
    try {
      await run();
    } catch (err) {
      failed(err);
    }
    await sleep(clock, ms, signal);
  }
}
