/**
 * A pause that can be cut short.
 * @module
 */
import type * as clock from "./clock.js";

export class Waker {
  private cut: (() => void) | undefined;

  constructor(private readonly clk: clock.Clock) {}

  /** Resolves after `ms` milliseconds, or at the next {@link wake}. */
  pause(ms: number): Promise<void> {
    return new Promise((resolve) => {
      const done = (): void => {
        timer.cancel();
        this.cut = undefined;
        resolve();
      };
      const timer = this.clk.after(ms, done);
      this.cut = done;
    });
  }

  /** Ends the pause at hand; does nothing when there is none. */
  wake(): void {
    this.cut?.();
  }
}
