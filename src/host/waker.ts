/**
 * A pause that another part of the code can end early.
 * @module
 */
import type * as clock from "./clock.js";

/** Pauses one loop at a time. */
export class Waker {
  private endPause: (() => void) | undefined;

  constructor(private readonly clk: clock.Clock) {}

  /** Resolves after `ms` milliseconds, or at the next {@link wake}. */
  pause(ms: number): Promise<void> {
    return new Promise((resolve) => {
      const finish = (): void => {
        timer.cancel();
        this.endPause = undefined;
        resolve();
      };
      const timer = this.clk.after(ms, finish);
      this.endPause = finish;
    });
  }

  /** Ends the current pause; does nothing when there is none. */
  wake(): void {
    this.endPause?.();
  }
}
