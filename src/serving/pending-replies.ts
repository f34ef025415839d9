/**
 * The questions of one kind on one connection to an endpoint daemon that wait for their replies.
 * @module
 */
import type * as clock from "../host/clock.js";

/** The pending questions of one connection, by their ids. A reply is undefined if the endpoint daemon disconnected or was late. */
export class PendingReplies<T> {
  private readonly pending = new Map<number, (reply: T | undefined) => void>();

  constructor(private readonly clk: clock.Clock) {}

  /** Waits for the reply to question `n`; calls `onTimeout` if none arrived within `ms`. */
  wait(n: number, ms: number, onTimeout: () => void): Promise<T | undefined> {
    return new Promise((resolve) => {
      const timer = this.clk.after(ms, () => {
        onTimeout();
        this.settle(n, undefined);
      });
      this.pending.set(n, (reply) => {
        timer.cancel();
        resolve(reply);
      });
    });
  }

  /** Resolves question `n` with its reply; ignores questions that are not pending. */
  settle(n: number, reply: T | undefined): void {
    this.pending.get(n)?.(reply);
    this.pending.delete(n);
  }

  /** Resolves all pending questions without a reply, because the connection is closed. */
  failAll(): void {
    for (const n of [...this.pending.keys()]) this.settle(n, undefined);
  }
}
