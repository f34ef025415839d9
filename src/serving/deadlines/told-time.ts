/**
 * The time that a worker is told is left for a request. A request may wait for its connection, so the time is computed when a
 * connection takes the request, and computed again if that connection is set up so slowly that it is no longer true.
 * @module
 */
import type * as clock from "../../host/clock.js";

/** Milliseconds by which a worker may be told more than is left when the request is written to its connection. */
const MAX_EXCESS_MS = 100;

/** What the worker of one send is told of the time left. */
export class ToldTime {
  private toldAt: number | undefined;

  /** `dueAt` is the deadline in monotonic ms. */
  constructor(
    private readonly clk: clock.Clock,
    private readonly dueAt: number,
  ) {}

  /** Milliseconds left now, at least 1, as the worker is told. */
  tell(): number {
    this.toldAt = this.clk.mono();
    return Math.max(1, Math.floor(this.dueAt - this.toldAt));
  }

  /** Whether so much time has passed since {@link tell} that the request must not be written with what it returned. */
  isOutdated(): boolean {
    return this.toldAt !== undefined && this.clk.mono() - this.toldAt > MAX_EXCESS_MS;
  }
}
