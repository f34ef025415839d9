/**
 * The draws on one connection to an endpoint daemon that wait for their replies.
 * @module
 */
import type * as clock from "../host/clock.js";
import type * as limiterMessages from "./limiter-messages.js";

/** The reply to a draw; undefined if the endpoint daemon disconnected or did not reply in time. */
type Reply = limiterMessages.Drawn | undefined;

/** The pending draws of one connection, by their ids. */
export class PendingDraws {
  private readonly pending = new Map<number, (a: Reply) => void>();

  constructor(private readonly clk: clock.Clock) {}

  /** Waits for the reply to draw `n`; calls `onTimeout` if none arrived within `ms`. */
  wait(n: number, ms: number, onTimeout: () => void): Promise<Reply> {
    return new Promise((resolve) => {
      const timer = this.clk.after(ms, () => {
        onTimeout();
        this.settle(n, undefined);
      });
      this.pending.set(n, (a) => {
        timer.cancel();
        resolve(a);
      });
    });
  }

  /** Resolves draw `n` with its reply; ignores draws that are not pending. */
  settle(n: number, a: Reply): void {
    this.pending.get(n)?.(a);
    this.pending.delete(n);
  }

  /** Resolves all pending draws without a reply, because the connection is closed. */
  failAll(): void {
    for (const n of [...this.pending.keys()]) this.settle(n, undefined);
  }
}
