/**
 * Clocks and timers, passed in as a dependency so that tests can control time.
 * @module
 */
import * as timers from "node:timers";

/** A scheduled call. Cancelling it after it ran or was cancelled does nothing. */
export interface Timer {
  readonly cancel: () => void;
}

/** The clocks and the timer that are passed to every component. */
export interface Clock {
  /** The wall-clock time. It may jump, so use it for records and never for timeouts. */
  readonly now: () => Date;
  /**
   * An upper bound on the milliseconds that have passed: the steady clock plus all forward jumps of the
   * wall clock. It never goes back; only differences have meaning.
   *
   * Use it wherever an age must not be underestimated: the age of received data, leases, deadlines, waits.
   * A host that was suspended, or whose wall clock stepped forward, finds them expired and asks again. A
   * backward step of the wall clock changes nothing.
   */
  readonly mono: () => number;
  /**
   * A lower bound on the milliseconds that have passed: the monotonic clock, which stands still while the
   * host is suspended. It never goes back; only differences have meaning.
   *
   * Use it for allowances that grow with time, such as retry budget windows and rate limits of calls and
   * callers, so that a jump of the wall clock doesn't add to them.
   */
  readonly steady: () => number;
  /** Calls `run` once, `ms` milliseconds from now, or after some 24 days if `ms` is more. */
  readonly after: (ms: number, run: () => void) => Timer;
}

/** Largest change of the offset between the two clocks, in ms, taken for drift and not for a suspension or a step. */
const MAX_DRIFT_MS = 100;

/** How far the wall clock is ahead of the steady clock, and the sum of its forward jumps; both in ms. */
interface ClockOffset {
  readonly aheadMs: number;
  readonly totalLeapMs: number;
}

/** The offset after a new reading, in which the wall clock is `aheadMs` ahead of the steady clock. */
function updateOffset(previous: ClockOffset, aheadMs: number): ClockOffset {
  const leapMs = aheadMs - previous.aheadMs;
  if (Math.abs(leapMs) <= MAX_DRIFT_MS) return previous;
  return { aheadMs, totalLeapMs: previous.totalLeapMs + Math.max(0, leapMs) };
}

const offsets = new WeakMap<Clock, ClockOffset>();

/** {@link Clock.mono} of a clock, derived from its wall clock and its steady clock. */
function elapsedMs(clk: Clock): number {
  const steadyMs = clk.steady();
  const aheadMs = clk.now().getTime() - steadyMs;
  const offset = updateOffset(offsets.get(clk) ?? { aheadMs, totalLeapMs: 0 }, aheadMs);
  offsets.set(clk, offset);
  return steadyMs + offset.totalLeapMs;
}

/** Longest time, in ms, that a timer of Node takes. */
const MAX_TIMER_MS = 2 ** 31 - 1;

/** The machine's clocks. In a copy that replaces `now` or `steady`, `mono` is derived from the replacement. */
export const system: Clock = {
  now: () => new Date(),
  mono() {
    return elapsedMs(this);
  },
  steady: () => performance.now(),
  after: (ms, run) => {
    // Node runs what is set to a longer time at once.
    const t = timers.setTimeout(run, Math.min(ms, MAX_TIMER_MS));
    return {
      cancel: () => {
        timers.clearTimeout(t);
      },
    };
  },
};

/** Resolves after `ms` milliseconds, or as soon as `signal` aborts. */
export function sleep(clock: Clock, ms: number, signal?: AbortSignal): Promise<void> {
  if (signal?.aborted) return Promise.resolve();
  return new Promise((resolve) => {
    const finish = (): void => {
      timer.cancel();
      signal?.removeEventListener("abort", finish);
      resolve();
    };
    const timer = clock.after(ms, finish);
    signal?.addEventListener("abort", finish, { once: true });
  });
}

/**
 * Calls `callback` once `leftMs` returns 0 or less. It is asked again when the time that it returned has passed, and at least
 * every `checkMs` milliseconds, as that time may change meanwhile.
 */
export function countdown(
  clock: Clock,
  leftMs: () => number,
  callback: () => void,
  checkMs = Infinity,
): Timer {
  const schedule = (ms: number): Timer => clock.after(Math.min(Math.max(0, ms), checkMs), check);
  const check = (): void => {
    const ms = leftMs();
    if (ms <= 0) callback();
    else timer = schedule(ms);
  };
  let timer = schedule(leftMs());
  return {
    cancel: () => {
      timer.cancel();
    },
  };
}

/**
 * Calls `run` repeatedly until `signal` aborts, pausing `ms` milliseconds between the end of one call and
 * the start of the next. An error is passed to `onError` and doesn't stop the repetition.
 */
export async function every(
  clock: Clock,
  ms: number,
  signal: AbortSignal,
  run: () => Promise<void> | void,
  onError: (err: unknown) => void,
): Promise<void> {
  while (!signal.aborted) {
    try {
      await run();
    } catch (err) {
      onError(err);
    }
    await sleep(clock, ms, signal);
  }
}
