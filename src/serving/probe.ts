/**
 * Asks the engine beside an endpoint daemon which worker it is and what it holds, when that is due.
 * @module
 */
import type * as clock from "../host/clock.js";
import * as errors from "../host/why.js";
import type * as availability from "./availability.js";
import * as engine from "./engine.js";
import * as looks from "./looks.js";
import type * as residency from "./residency.js";
import type * as warmth from "./warmth.js";

/** Milliseconds until the next try after an engine did not answer. */
const RETRY_MS = 100;
/** Questions in a row without an answer after which the engine counts as out. */
const MISSES = 2;
/** Questions in a row without an answer from one word of that to the next. */
const TOLD_EVERY = 100;

/** What came of asking. */
export type Finding =
  | {
      readonly kind: "report";
      /** The name of the worker, where that was asked for. */
      readonly name: string | undefined;
      readonly report: engine.Report;
      /** Monotonic ms at which it was asked. */
      readonly askedAt: number;
      /** What the answer says of the engine besides. */
      readonly answer: availability.Answer;
    }
  /** No answer; `isOut` once it counts as out, and then now and again. */
  | { readonly kind: "missed"; readonly why: string; readonly isOut: boolean }
  /** It asked to be left alone for a while. */
  | { readonly kind: "paused"; readonly forMs: number };

export class Probe {
  private misses = 0;
  private askedAt = -Infinity;
  /** Steady ms until which the engine wants to be asked nothing. */
  private pausedUntil = -Infinity;

  constructor(
    private readonly clk: clock.Clock,
    private readonly engine: engine.Engine,
  ) {}

  /** Milliseconds until the next question about an engine in the state given; at once where it is not known. */
  dueInMs(isKnown: boolean, s: residency.State, w: warmth.Warmth): number {
    const dueInMs = isKnown ? looks.next(s, w, this.askedAt) - this.clk.mono() : 0;
    return Math.max(0, dueInMs, this.pausedMs);
  }

  /** Milliseconds until the next try, where the engine is not known. */
  get retryMs(): number {
    return Math.max(RETRY_MS, this.pausedMs);
  }

  private get pausedMs(): number {
    return this.pausedUntil - this.clk.steady();
  }

  /** Something changed that only the engine knows: the next question is due. */
  hurry(): void {
    this.askedAt = -Infinity;
  }

  /** Asks; which worker is there by `identify`, where that is not known. */
  async ask(identify: (() => Promise<string>) | undefined): Promise<Finding> {
    const askedAt = this.clk.mono();
    const sentAt = this.clk.steady();
    try {
      const name = await identify?.();
      const report = await this.engine.report();
      this.misses = 0;
      const { notice } = report;
      const answer = { notice, sentAt, at: this.clk.steady(), ran: false };
      return { kind: "report", name, report, askedAt, answer };
    } catch (err) {
      return this.failed(err);
    } finally {
      this.askedAt = askedAt;
    }
  }

  private failed(err: unknown): Finding {
    if (err instanceof engine.PauseError) {
      this.pausedUntil = this.clk.steady() + err.forMs;
      return { kind: "paused", forMs: err.forMs };
    }
    this.misses++;
    const isOut = this.misses % TOLD_EVERY === MISSES;
    return { kind: "missed", why: errors.why(err), isOut };
  }
}
