/**
 * Measures where a stream loses time: in pauses of the engine, or between the arrival of an event and its passing on.
 * @module
 */
import type * as seatMessages from "../seat-messages.js";

/** Times of one stream, in ms; all readings are of one monotonic clock. */
export class StreamClock {
  private events = 0;
  private firstAt = 0;
  private lastAt = 0;
  private longestPauseMs = 0;
  private longestWriteMs = 0;

  /** Records that `count` events arrived at `now`. */
  recordArrival(count: number, now: number): void {
    if (this.events === 0) this.firstAt = now;
    else this.longestPauseMs = Math.max(this.longestPauseMs, now - this.lastAt);
    this.events += count;
    this.lastAt = now;
  }

  /** Records that the caller's connection took `ms` to accept what had arrived. */
  recordWrite(ms: number): void {
    this.longestWriteMs = Math.max(this.longestWriteMs, ms);
  }

  /** Longest time that passing an event on took. */
  get writeMs(): number {
    return this.longestWriteMs;
  }

  /** Milliseconds since the first event arrived; 0 before it. */
  answeringMs(now: number): number {
    return this.events === 0 ? 0 : now - this.firstAt;
  }

  /** The timing of the events; undefined before the second one. */
  timing(): seatMessages.StreamTiming | undefined {
    if (this.events < 2) return undefined;
    return {
      events: this.events,
      spanMs: Math.round(this.lastAt - this.firstAt),
      pauseMs: Math.round(this.longestPauseMs),
    };
  }
}
