/**
 * Questions to an endpoint daemon for requests of totals that wait for its answers.
 * @module
 */
import type * as clock from "../host/clock.js";
import type * as limiterMessages from "./limiter-messages.js";

/** The answer to a question; nothing when the endpoint daemon is away or silent. */
type Answer = limiterMessages.Drawn | undefined;

export class Draws {
  private readonly waiting = new Map<number, (a: Answer) => void>();

  constructor(private readonly clk: clock.Clock) {}

  /** Waits for the answer to question `n`; `silent` is called where none came within `ms`. */
  wait(n: number, ms: number, silent: () => void): Promise<Answer> {
    return new Promise((resolve) => {
      const timer = this.clk.after(ms, () => {
        silent();
        this.settle(n, undefined);
      });
      this.waiting.set(n, (a) => {
        timer.cancel();
        resolve(a);
      });
    });
  }

  settle(n: number, a: Answer): void {
    this.waiting.get(n)?.(a);
    this.waiting.delete(n);
  }

  /** The connection is over. */
  drop(): void {
    for (const n of [...this.waiting.keys()]) this.settle(n, undefined);
  }
}
