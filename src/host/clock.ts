/**
 * Time, passed in so that decisions and daemons can run under a test's hand.
 * @module
 */
import * as timers from "node:timers";

/** A pending call; cancelling one that ran or was cancelled does nothing. */
export interface Timer {
  readonly cancel: () => void;
}

/** The two clocks every part is given. */
export interface Clock {
  /** The wall clock; it may jump, so use it for records and never for timeouts. */
  readonly now: () => Date;
  /** Milliseconds on a clock that never goes back; only differences have meaning. */
  readonly mono: () => number;
  /** Calls `run` once, `ms` milliseconds from now. */
  readonly after: (ms: number, run: () => void) => Timer;
}

/** The machine's own clocks. */
export const system: Clock = {
  now: () => new Date(),
  mono: () => performance.now(),
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
