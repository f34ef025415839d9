/**
 * Polls the engine on the endpoint daemon's host: which worker it is, and what it holds.
 * @module
 */
import type * as clock from "../host/clock.js";
import * as errors from "../host/errors.js";
import type * as availability from "./availability.js";
import * as engine from "./engine.js";
import * as polling from "./polling.js";
import type * as residency from "./residency.js";
import type * as loadHistory from "./load-history.js";

/** Milliseconds until the next poll after the engine did not answer. */
const RETRY_MS = 100;
/** Number of consecutive polls without an answer after which the engine counts as out. */
const MISSES_UNTIL_OUT = 2;
/** While the engine stays out, it is reported as out again once in this many polls. */
const REPORT_OUT_EVERY = 100;

/** The result of one poll. */
export type ProbeResult =
  | {
      readonly kind: "report";
      /** The worker's name; undefined if it was not asked for. */
      readonly name: string | undefined;
      readonly report: engine.Report;
      /** Monotonic ms at which the report was requested. */
      readonly askedAt: number;
      /** The notices in the answer's headers, with the times of the request and the answer. */
      readonly answer: availability.Answer;
    }
  /** No answer. `isOut` is true when the engine begins to count as out, and now and again while it stays so. */
  | { readonly kind: "missed"; readonly why: string; readonly isOut: boolean }
  /** The engine asked for a pause of `forMs`. */
  | { readonly kind: "paused"; readonly forMs: number };

export class Probe {
  /** Consecutive polls without an answer. */
  private misses = 0;
  /** Monotonic ms of the last poll; -Infinity makes the next one due at once. */
  private askedAt = -Infinity;
  /** Steady ms until which the engine must not be polled, as it asked for a pause. */
  private pausedUntil = -Infinity;

  constructor(
    private readonly clk: clock.Clock,
    private readonly engine: engine.Engine,
  ) {}

  /**
   * Milliseconds until the next poll; 0 if the engine is not known (`isKnown`), unless it asked for a
   * pause.
   */
  dueInMs(isKnown: boolean, s: residency.State, w: loadHistory.LoadHistory): number {
    const dueInMs = isKnown ? polling.nextPollAt(s, w, this.askedAt) - this.clk.mono() : 0;
    return Math.max(0, dueInMs, this.pausedMs);
  }

  /** Milliseconds until the next poll while the engine is not known. */
  get retryMs(): number {
    return Math.max(RETRY_MS, this.pausedMs);
  }

  private get pausedMs(): number {
    return this.pausedUntil - this.clk.steady();
  }

  /** Makes the next poll due at once; called when the engine may have changed by itself. */
  makeDue(): void {
    this.askedAt = -Infinity;
  }

  /** Polls the engine; `identify` asks for the worker's name, and is undefined while that is known. */
  async run(identify: (() => Promise<string>) | undefined): Promise<ProbeResult> {
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

  private failed(err: unknown): ProbeResult {
    if (err instanceof engine.PauseError) {
      this.pausedUntil = this.clk.steady() + err.forMs;
      return { kind: "paused", forMs: err.forMs };
    }
    this.misses++;
    const isOut = this.misses % REPORT_OUT_EVERY === MISSES_UNTIL_OUT;
    return { kind: "missed", why: errors.messageOf(err), isOut };
  }
}
