/**
 * Gives orders to an engine, one at a time. Each is bound to the engine's incarnation and to the count of
 * orders that it has taken, so that one that is carried out late changes nothing that was decided since.
 * @module
 */
import type * as clock from "../host/clock.js";
import type * as record from "../host/record.js";
import type * as engine from "./engine.js";

/** What an order changes. */
export type Change = Pick<engine.Order, "kind" | "model" | "adapter" | "version">;

/**
 * Milliseconds that an answer is awaited, at least and at most, and as a multiple of what answers usually
 * take. An engine answers at once from its own host; what takes far longer is lost, and while it is awaited no adapter that callers
 * wait for is ordered. An order that is given again is harmless.
 */
const LEAST_MS = 25;
const MOST_MS = 90;
const USUAL_FACTOR = 8;
/** Weight of the latest answer in what they usually take. */
const LATEST = 0.1;
/**
 * Milliseconds until the next order after the engine refused one though the count was right: it is still
 * busy with another, such as a replacement that waits for the runs of the old version.
 */
const BUSY_MS = 25;

export class Orders {
  /** Orders taken, as the engine last said, and with those that it took since. */
  private said = 0;
  private expected = 0;
  private usualMs = MOST_MS / USUAL_FACTOR;
  private busyUntil = -Infinity;

  constructor(
    private readonly clk: clock.Clock,
    private readonly log: record.Log,
    private readonly engine: engine.Engine,
  ) {}

  /** Another incarnation of the engine is there, or none. */
  reset(): void {
    this.said = 0;
    this.expected = 0;
    this.busyUntil = -Infinity;
  }

  /** The engine says how many orders it took; false when it must have started anew. */
  heard(sequence: number): boolean {
    if (sequence < this.said) return false;
    this.said = sequence;
    this.expected = sequence;
    return true;
  }

  /** Milliseconds from `now` for which the engine takes no order. */
  busyMs(now: number): number {
    return Math.max(0, this.busyUntil - now);
  }

  /** Gives one order to the incarnation `instance`, with the fencing number `epoch`. */
  async give(change: Change, instance: string, epoch: number): Promise<engine.OrderResult> {
    const began = this.clk.mono();
    const sequence = this.expected;
    const waitMs = Math.min(MOST_MS, Math.max(LEAST_MS, USUAL_FACTOR * this.usualMs));
    const result = await this.engine.order({ ...change, instance, sequence, epoch, waitMs });
    const tookMs = this.clk.mono() - began;
    this.log.info("An order was given.", {
      order: change.kind,
      model: change.model,
      adapter: change.adapter,
      version: change.version,
      sequence,
      epoch,
      tookMs,
      result: result.kind,
    });
    if (result.kind !== "unanswered") this.usualMs += (tookMs - this.usualMs) * LATEST;
    return result;
  }

  /** The engine took an order just now; a wrong guess is refused, and the engine read again. */
  taken(): void {
    this.expected++;
  }

  /** The engine refused an order for the count `sequence`, and was read since. */
  refused(sequence: number): void {
    if (this.expected === sequence) this.busyUntil = this.clk.mono() + BUSY_MS;
  }

  /** The count that binds the next order. */
  get count(): number {
    return this.expected;
  }
}
