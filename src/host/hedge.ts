/**
 * Hedged calls: a call that is not answered in time is sent again in parallel, and the first answer wins.
 *
 * This covers calls that hang, on a dead connection or at a peer that accepted the call while it was failing.
 * The overdue call is not aborted: an answer that is slow because it is large, as after an outage, would then
 * be aborted on every attempt and never arrive.
 * @module
 */
import type * as clock from "./clock.js";

/** When and how often a call is hedged. */
export interface Options {
  /** Milliseconds without an answer after which another call is started. */
  readonly overdueMs: number;
  /** Most calls started, the first one included. */
  readonly maxCalls: number;
}

/** What a hedged call depends on. */
export interface Deps {
  readonly clock: clock.Clock;
  /** Called when a call is overdue, just before another one is started. */
  readonly onOverdue: () => void;
}

/**
 * Resolves with the first answer of the calls that `call` starts, and aborts the signal given to the others.
 * Rejects, with the error of the last one to fail, when all calls started so far have failed.
 */
export function firstAnswer<T>(
  call: (signal: AbortSignal) => Promise<T>,
  opts: Options,
  deps: Deps,
): Promise<T> {
  return new Promise((resolve, reject) => {
    // One for each call: with a signal in common, the listeners of all steps of all calls would be on it.
    const started: AbortController[] = [];
    let isSettled = false;
    let failedCalls = 0;
    let timer: clock.Timer | undefined;
    const settle = (): void => {
      timer?.cancel();
      isSettled = true;
      for (const controller of started) controller.abort();
    };
    const startCall = (): void => {
      const controller = new AbortController();
      started.push(controller);
      call(controller.signal).then(
        (answer) => {
          settle();
          resolve(answer);
        },
        (err: unknown) => {
          failedCalls++;
          if (failedCalls < started.length || isSettled) return;
          settle();
          reject(err instanceof Error ? err : new Error(String(err)));
        },
      );
      if (started.length < opts.maxCalls) timer = deps.clock.after(opts.overdueMs, startHedge);
    };
    const startHedge = (): void => {
      deps.onOverdue();
      startCall();
    };
    startCall();
  });
}
