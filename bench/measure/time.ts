/**
 * A clock that jumps from event to event.
 * @module
 */
import * as queues from "tinyqueue";
import type * as clock from "../../src/host/clock.js";

interface Event {
  readonly at: number;
  readonly n: number;
  run: (() => void) | undefined;
}

export class Time implements clock.Clock {
  private at = 0;
  private count = 0;
  private readonly queue = new queues.default<Event>([], (a, b) => a.at - b.at || a.n - b.n);

  readonly mono = (): number => this.at;
  readonly steady = (): number => this.at;
  readonly now = (): Date => new Date(this.at);
  readonly after = (ms: number, run: () => void): clock.Timer => {
    this.count++;
    const event: Event = { at: this.at + Math.max(0, ms), n: this.count, run };
    this.queue.push(event);
    return {
      cancel: () => {
        event.run = undefined;
      },
    };
  };

  /** Resolves `ms` milliseconds from now. */
  wait(ms: number): Promise<void> {
    return new Promise((resolve) => {
      this.after(ms, resolve);
    });
  }

  /** Runs events until `ms`, letting what they promise happen in between. */
  async runUntil(ms: number): Promise<void> {
    for (;;) {
      const next = this.queue.peek();
      if (!next || next.at > ms) return;
      this.queue.pop();
      if (!next.run) continue;
      this.at = next.at;
      next.run();
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
    }
  }

  /** Runs events until `ms`; they promise nothing. */
  runNow(ms: number): void {
    for (let next = this.queue.peek(); next && next.at <= ms; next = this.queue.peek()) {
      this.queue.pop();
      this.at = next.at;
      next.run?.();
    }
  }
}
