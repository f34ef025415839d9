/**
 * Sends orders to an engine, one at a time. Each is bound to the engine's incarnation and to its
 * sequence number, the count of orders that it has accepted, so that an order that arrives late cannot
 * undo a later decision.
 * @module
 */
import type * as clock from "../host/clock.js";
import type * as structuredLog from "../host/structured-log.js";
import type * as engine from "./engine.js";

/** The change of an engine's models or adapters that an order asks for. */
export type Change = Pick<engine.Order, "kind" | "model" | "adapter" | "version">;

/**
 * Minimum and maximum of the timeout for the answer to an order, in ms. An engine on the same host answers at
 * once, so an answer that takes far longer is lost; until the timeout, no other adapter that requests wait for
 * can be ordered. Sending an order again is harmless.
 */
const MIN_TIMEOUT_MS = 25;
const MAX_TIMEOUT_MS = 90;
/** The timeout as a multiple of the usual time of an answer, within these bounds. */
const TIMEOUT_FACTOR = 8;
/** Weight of the latest answer in the usual time of an answer. */
const LATEST_WEIGHT = 0.1;
/**
 * Milliseconds until the next order after the engine refused one with the right sequence number. It is then
 * still busy with another order, such as a replacement that waits for the runs of the old version.
 */
const BUSY_MS = 25;

export class OrderSender {
  /** Sequence number in the engine's last report. */
  private reportedSequence = 0;
  /** That number and the orders that the engine accepted since. */
  private expectedSequence = 0;
  /** Smoothed ms until the engine answers an order. */
  private usualAnswerMs = MAX_TIMEOUT_MS / TIMEOUT_FACTOR;
  /** Monotonic ms until which the engine is taken to be busy with another order. */
  private busyUntil = -Infinity;

  constructor(
    private readonly clk: clock.Clock,
    private readonly log: structuredLog.Log,
    private readonly engine: engine.Engine,
  ) {}

  /** Forgets the sequence number; called when the engine is lost or another incarnation of it is found. */
  reset(): void {
    this.reportedSequence = 0;
    this.expectedSequence = 0;
    this.busyUntil = -Infinity;
  }

  /**
   * Takes over the sequence number of a report; returns false if it fell, as the engine must have
   * restarted.
   */
  syncSequence(sequence: number): boolean {
    if (sequence < this.reportedSequence) return false;
    this.reportedSequence = sequence;
    this.expectedSequence = sequence;
    return true;
  }

  /** Milliseconds from `now` for which no order should be sent, since the engine is busy with another. */
  busyMs(now: number): number {
    return Math.max(0, this.busyUntil - now);
  }

  /** Sends one order to the incarnation `instance`, with the fencing number `epoch`. */
  async send(change: Change, instance: string, epoch: number): Promise<engine.OrderResult> {
    const sentAt = this.clk.mono();
    const sequence = this.expectedSequence;
    const waitMs = Math.min(
      MAX_TIMEOUT_MS,
      Math.max(MIN_TIMEOUT_MS, TIMEOUT_FACTOR * this.usualAnswerMs),
    );
    const result = await this.engine.order({ ...change, instance, sequence, epoch, waitMs });
    const tookMs = this.clk.mono() - sentAt;
    this.log.info("An order was sent.", {
      order: change.kind,
      model: change.model,
      adapter: change.adapter,
      version: change.version,
      sequence,
      epoch,
      tookMs,
      result: result.kind,
    });
    if (result.kind !== "unanswered")
      this.usualAnswerMs += (tookMs - this.usualAnswerMs) * LATEST_WEIGHT;
    return result;
  }

  /**
   * Counts an accepted order. If the count is wrong, the engine refuses the next order, and is polled
   * again.
   */
  recordAccepted(): void {
    this.expectedSequence++;
  }

  /** Records that the engine refused an order with this sequence number, and was polled since. */
  recordConflict(sequence: number): void {
    if (this.expectedSequence === sequence) this.busyUntil = this.clk.mono() + BUSY_MS;
  }

  /** Sequence number of the next order. */
  get sequence(): number {
    return this.expectedSequence;
  }
}
