/**
 * Sends calls to plain services, and hedges those whose answers would be late: the same call is sent once more, to another
 * worker, and the first complete answer is passed on. Each of the two sends has a progress and a response of its own, so that
 * nothing reaches the caller before one of them has won.
 * @module
 */
import type * as clock from "../../host/clock.js";
import type * as structuredLog from "../../host/structured-log.js";
import type * as callerRequest from "../caller-request.js";
import type * as catalog from "../catalog.js";
import type * as choice from "../choice.js";
import type * as metrics from "../metrics.js";
import * as steady from "../pacing/steady.js";
import type * as progress from "../progress.js";
import type * as sendState from "../send-state.js";
import type * as sending from "../sending.js";
import type * as workerNotices from "../worker-notices.js";
import * as hedging from "./hedging.js";
import * as sideBySide from "./side-by-side.js";

export interface Deps {
  readonly clock: clock.Clock;
  readonly log: structuredLog.Log;
  readonly metrics: Pick<metrics.Metrics, "recordHedge">;
  readonly catalog: () => catalog.Catalog;
  readonly sender: Pick<sending.Sender, "send">;
  /** The best endpoint other than `besides` that is usable now. */
  readonly pickOther: (
    req: callerRequest.CallerRequest,
    p: progress.Progress,
    besides: string,
  ) => choice.Estimate | undefined;
  /** Acquires a permit to send to an endpoint; undefined if it accepts no requests, or `signal` aborts. */
  readonly acquirePermit: (
    req: callerRequest.CallerRequest,
    p: progress.Progress,
    view: choice.View,
    signal: AbortSignal,
  ) => Promise<workerNotices.Granted | undefined>;
}

/** Sends the calls of one entry daemon, and keeps the response times of each plain service. */
export class HedgedCalls {
  private readonly times = new Map<string, hedging.ResponseTimes>();

  constructor(private readonly deps: Deps) {}

  /** Sends a request to the endpoint of `best`, like {@link sending.Sender.send}, with a hedge where it is due. */
  send(
    req: callerRequest.CallerRequest,
    res: progress.CallerResponse,
    p: progress.Progress,
    best: choice.Estimate,
    grants: sendState.SendGrants,
    stopSignal: AbortSignal,
  ): Promise<progress.Ending | undefined> {
    const { config } = this.deps.catalog();
    const isCall = !req.service.engine && req.route.kind !== "stream";
    if (!isCall || !config || !steady.hasSteadyStreams(config))
      return this.deps.sender.send(req, res, p, best, grants, stopSignal);
    const service = req.service.name;
    const responseMs = hedging.quantileMs(this.times.get(service) ?? []);
    const now = this.deps.clock.mono();
    const call: hedging.Call = {
      route: req.route,
      runs: p.runs,
      isHedged: p.hedge !== undefined,
      waitedMs: now - req.arrivedAt,
      leftMs: req.dueAt - now,
    };
    const pair = new sideBySide.SideBySide(req, res, p, stopSignal, {
      ...this.deps,
      responseMs,
      recordAnswer: (ms) => {
        this.times.set(service, hedging.record(this.times.get(service) ?? [], ms));
      },
    });
    return pair.run(best, grants, hedging.hedgeInMs(call, responseMs));
  }
}
