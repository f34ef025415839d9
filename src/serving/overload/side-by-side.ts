/**
 * The task of one call that may be hedged: runs the first send and the hedge side by side, and answers the caller once.
 *
 * A send that is still open when the other one has won is read to its end, since closing its connection would make its worker
 * abort the work; it ends at the call's deadline at the latest. One that is not written yet then is never written.
 * @module
 */
import type * as clock from "../../host/clock.js";
import type * as structuredLog from "../../host/structured-log.js";
import type * as callerRequest from "../caller-request.js";
import type * as choice from "../choice.js";
import * as ending from "../ending.js";
import type * as headers from "../headers.js";
import type * as metrics from "../metrics.js";
import type * as progress from "../progress.js";
import * as sending from "../sending.js";
import * as sendState from "../send-state.js";
import type * as hedgedCalls from "./hedged-calls.js";

export interface Deps extends Pick<hedgedCalls.Deps, "sender" | "pickOther" | "acquirePermit"> {
  readonly clock: clock.Clock;
  readonly log: structuredLog.Log;
  readonly metrics: Pick<metrics.Metrics, "recordHedge">;
  /** Time in ms in which a hedge is expected to be answered, for the log. */
  readonly responseMs: number | undefined;
  /** Called with the ms from writing a send to its whole answer. */
  readonly recordAnswer: (ms: number) => void;
}

/** One of the two sends of a call. */
interface Lane {
  readonly p: progress.Progress;
  /** Sends and runs of the call when the lane began. */
  readonly base: Pick<progress.Progress, "sends" | "runs">;
  /** Breaks the send off. */
  readonly stop: AbortController;
  /** Monotonic ms at which it was written to its connection; undefined before. */
  writtenAt: number | undefined;
  isOver: boolean;
  ending: progress.Ending | undefined;
  /** Its whole answer, held until it is known which answer is passed on. */
  answer: Answer | undefined;
  /** Refuses the call as its send decided, which counts if there is no other send. */
  refuse: () => void;
  /** Bytes read of its answer. */
  readBytes: number;
  /** Breaks the send off at the call's deadline, once the other one has won. */
  deadline: clock.Timer | undefined;
}

interface Answer {
  readonly status: number;
  readonly headers: headers.Headers;
  readonly body: Buffer;
}

/** Runs the sends of one call. */
export class SideBySide {
  private readonly first: Lane;
  private hedge: Lane | undefined;
  private isDecided = false;
  private timer: clock.Timer | undefined;
  private paused: Promise<void> | undefined;
  private decide: (result: progress.Ending | undefined) => void = () => undefined;

  constructor(
    private readonly req: callerRequest.CallerRequest,
    private readonly res: progress.CallerResponse,
    private readonly p: progress.Progress,
    private readonly stopSignal: AbortSignal,
    private readonly deps: Deps,
  ) {
    this.first = this.createLane({ ...p });
  }

  /**
   * Sends the call to the endpoint of `best`, and to another one if no answer has arrived after `hedgeInMs`; undefined if a
   * further endpoint is to be tried.
   */
  run(
    best: choice.Estimate,
    grants: sendState.SendGrants,
    hedgeInMs: number | undefined,
  ): Promise<progress.Ending | undefined> {
    return new Promise((resolve, reject) => {
      this.decide = resolve;
      const fail = (err: unknown): void => {
        this.endTogether();
        reject(err instanceof Error ? err : new Error(String(err)));
      };
      this.runLane(this.first, best, grants).catch(fail);
      if (hedgeInMs === undefined) return;
      this.timer = this.deps.clock.after(hedgeInMs, () => {
        this.startHedge(best.view.endpoint.id, hedgeInMs).catch(fail);
      });
    });
  }

  private createLane(p: progress.Progress): Lane {
    const stop = new AbortController();
    const abort = (): void => {
      stop.abort();
    };
    if (this.stopSignal.aborted) abort();
    else this.stopSignal.addEventListener("abort", abort, { once: true });
    return {
      p,
      base: { sends: p.sends, runs: p.runs },
      stop,
      writtenAt: undefined,
      isOver: false,
      ending: undefined,
      answer: undefined,
      refuse: () => undefined,
      readBytes: 0,
      deadline: undefined,
    };
  }

  private async runLane(
    lane: Lane,
    best: choice.Estimate,
    grants: sendState.SendGrants,
    onWritten: () => void = () => undefined,
  ): Promise<void> {
    const { clock: clk, sender } = this.deps;
    const own: sendState.SendGrants = {
      ...grants,
      onWritten: () => {
        lane.writtenAt = clk.mono();
        onWritten();
      },
    };
    const res = this.responseOf(lane);
    lane.ending = await sender.send(this.req, res, lane.p, best, own, lane.stop.signal);
    lane.isOver = true;
    lane.deadline?.cancel();
    if (lane.ending === "whole" && lane.writtenAt !== undefined)
      this.deps.recordAnswer(clk.mono() - lane.writtenAt);
    this.conclude();
  }

  /** Sends the hedge, if another endpoint is usable and the host is not behind. */
  private async startHedge(besides: string, delayMs: number): Promise<void> {
    const { first, req, res } = this;
    const canSend =
      !this.stopSignal.aborted &&
      first.p.sends < sending.MAX_SENDS &&
      !res.presence?.hasLeft() &&
      !res.presence?.isBehind();
    // A send beyond the first one is charged to the retry budget, even if the first one is not written yet.
    const sends = Math.max(1, first.p.sends);
    const lane = this.createLane({ ...first.p, sends, isRetryCharged: false, sideRuns: 1 });
    const best = canSend ? this.deps.pickOther(req, lane.p, besides) : undefined;
    if (best) {
      this.hedge = lane;
      lane.p.serviceMs = best.serviceMs;
      const { view } = best;
      const permit = await this.deps.acquirePermit(req, lane.p, view, lane.stop.signal);
      if (permit) {
        await this.runLane(lane, best, { seat: undefined, version: undefined, permit }, () => {
          first.p.sideRuns = 1;
          this.deps.log.info("A hedge is sent.", {
            request: req.meta.id,
            service: req.service.name,
            endpoint: view.endpoint.id,
            first: besides,
            delayMs: Math.round(delayMs),
            responseMs: this.deps.responseMs && Math.round(this.deps.responseMs),
          });
        });
      }
      lane.isOver = true;
    }
    const isStoppedHere = this.isDecided || lane.stop.signal.aborted;
    if (lane.writtenAt === undefined && !isStoppedHere)
      this.deps.metrics.recordHedge(req.service.name, "unsent");
  }

  /** Ends the call if what its sends led to decides it. */
  private conclude(): void {
    if (this.isDecided) return;
    const { first, hedge } = this;
    const lanes = hedge ? [first, hedge] : [first];
    // Only a send that ran, or may have run, keeps the other from being followed by one more.
    for (const lane of lanes) {
      const other = lane === first ? hedge : first;
      if (other && lane.isOver && lane.p.runs === lane.base.runs) other.p.sideRuns = 0;
    }
    const winner = lanes.find((l) => l.isOver && l.ending === "whole");
    if (winner?.answer) {
      this.finish(
        winner,
        hedge?.writtenAt === undefined ? undefined : winner === hedge ? "won" : "lost",
      );
      this.passOn(winner.answer);
      this.decide("whole");
    } else if (!first.isOver) {
      return;
    } else if (hedge?.writtenAt === undefined) {
      this.finish(first, undefined);
      if (first.answer) this.passOn(first.answer);
      else first.refuse();
      this.decide(first.ending);
    } else if (hedge.isOver) {
      this.finish(first, "failed");
      this.decide(this.endUnanswered([first, hedge]));
    }
  }

  /** Ends a hedged call that no worker answered well; undefined if a further endpoint is to be tried. */
  private endUnanswered(lanes: readonly Lane[]): progress.Ending | undefined {
    const { req, res, p } = this;
    if (res.disconnected.aborted || this.first.ending === "left") return "left";
    const isLate = this.stopSignal.aborted;
    const failed = lanes.find((l) => l.answer);
    if (failed?.answer && (isLate || p.runs >= req.route.attempts)) {
      p.why = failed.p.why;
      p.endpoint = failed.p.endpoint;
      p.firstByteAt = this.deps.clock.mono();
      this.passOn(failed.answer);
      return "passed_failure";
    }
    res.dropAnswer?.();
    p.firstByteAt = undefined;
    const isRefused = this.first.ending !== undefined && !this.first.answer;
    return isLate || isRefused ? ending.giveUp(this.deps.clock, req, res, p, isLate) : undefined;
  }

  private passOn({ status, headers: received, body }: Answer): void {
    this.res.sendWhole(status, received, body);
  }

  /** Ends the sends that are not written yet, bounds the others, and takes over the progress of `lane`. */
  private finish(lane: Lane, outcome: metrics.HedgeOutcome | undefined): void {
    this.endTogether();
    const { p, first, hedge } = this;
    const { sends, runs } = first.base;
    Object.assign(p, lane.p);
    p.sends = sends;
    p.runs = runs;
    p.sideRuns = 0;
    for (const each of hedge ? [first, hedge] : [first]) {
      const isOpenRun = !each.isOver && each.writtenAt !== undefined;
      p.sends += each.p.sends - each.base.sends;
      p.runs += each.p.runs - each.base.runs + (isOpenRun ? 1 : 0);
    }
    p.firstSentAt = first.p.firstSentAt ?? lane.p.firstSentAt;
    p.hedge = outcome;
    if (outcome) this.deps.metrics.recordHedge(this.req.service.name, outcome);
  }

  private endTogether(): void {
    this.isDecided = true;
    this.timer?.cancel();
    for (const lane of this.hedge ? [this.first, this.hedge] : [this.first]) {
      if (lane.isOver) continue;
      if (lane.writtenAt === undefined) {
        lane.stop.abort();
        continue;
      }
      // The dispatcher's own deadline no longer counts once the call has ended.
      const leftMs = Math.max(0, this.req.dueAt - this.deps.clock.mono());
      lane.deadline = this.deps.clock.after(leftMs, () => {
        lane.stop.abort(sendState.UNANSWERED);
      });
    }
  }

  /** The response of one lane: holds its answer back, and counts the bytes that both lanes have read. */
  private responseOf(lane: Lane): progress.CallerResponse {
    const { res } = this;
    return {
      ...res,
      isSuperseded: () => this.isDecided,
      readAnswer: (bytes) => {
        lane.readBytes = bytes;
        return this.countBytes();
      },
      dropAnswer: () => {
        lane.readBytes = 0;
        if (this.isDecided) return;
        res.dropAnswer?.();
        void this.countBytes();
      },
      sendWhole: (status, received, body) => {
        lane.answer = { status, headers: received, body };
      },
      refuse: (status, message, retryAfterMs) => {
        lane.refuse = () => {
          res.refuse(status, message, retryAfterMs);
        };
      },
    };
  }

  /** Counts what both lanes hold. The response knows one pause at a time, so both wait for the same one. */
  private countBytes(): Promise<void> | undefined {
    if (this.isDecided) return undefined;
    if (this.paused) return this.paused;
    const bytes = this.first.readBytes + (this.hedge?.readBytes ?? 0);
    const pause = bytes > 0 ? this.res.readAnswer?.(bytes) : undefined;
    this.paused = pause?.then(() => {
      this.paused = undefined;
    });
    return this.paused;
  }
}
