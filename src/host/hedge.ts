/**
 * Hedged calls: one that is not answered in time gets another beside it, and the first answer counts.
 *
 * It answers calls that hang: on a connection that has gone silent, or at a peer that took the call while it
 * was in trouble. Ending the overdue call instead would never end for an answer that is slow because it is
 * large, as after an outage; beside it, whichever comes first is taken.
 * @module
 */
import type * as clock from "./clock.js";

export interface Options {
  /** Milliseconds after which a call is overdue and another is made. */
  readonly overdueMs: number;
  /** Calls under way at most. */
  readonly most: number;
}

export interface Deps {
  readonly clock: clock.Clock;
  /** A call is overdue; another will be made beside it. */
  readonly overdue: () => void;
}

/**
 * The first answer of the calls that `call` makes. Its signal aborts a call once another has answered. Rejects
 * with the error of the last call when all that were made have failed.
 */
export function first<T>(
  call: (signal: AbortSignal) => Promise<T>,
  opts: Options,
  deps: Deps,
): Promise<T> {
  return new Promise((resolve, reject) => {
    const over = new AbortController();
    let made = 0;
    let failed = 0;
    let timer: clock.Timer | undefined;
    const end = (): void => {
      timer?.cancel();
      over.abort();
    };
    const make = (): void => {
      made++;
      call(over.signal).then(
        (answer) => {
          end();
          resolve(answer);
        },
        (err: unknown) => {
          failed++;
          if (failed < made || over.signal.aborted) return;
          end();
          reject(err instanceof Error ? err : new Error(String(err)));
        },
      );
      if (made < opts.most) timer = deps.clock.after(opts.overdueMs, another);
    };
    const another = (): void => {
      deps.overdue();
      make();
    };
    make();
  });
}
