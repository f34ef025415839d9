/**
 * Sends a request to one endpoint, relays the answer to the caller, and records what the send shows about the endpoint.
 * @module
 */
import type * as clock from "../host/clock.js";
import type * as structuredLog from "../host/structured-log.js";
import type * as callerRequest from "./caller-request.js";
import * as catalog from "./catalog.js";
import type * as choice from "./choice.js";
import type * as endpointRegistry from "./endpoint-registry.js";
import type * as origins from "./continuation/origins.js";
import * as ending from "./ending.js";
import * as deadline from "./deadlines/deadline.js";
import * as told from "./deadlines/told-time.js";
import * as answerReader from "./answers/answer-reader.js";
import * as eventSplitter from "./answers/event-splitter.js";
import * as streamClock from "./pacing/stream-clock.js";
import * as exchange from "./exchange.js";
import type * as headers from "./headers.js";
import * as identity from "./identity.js";
import type * as link from "./link.js";
import type * as metrics from "./metrics.js";
import type * as sendChecks from "./send-checks.js";
import * as sendRecorder from "./sends/send-recorder.js";
import * as sendState from "./send-state.js";
import * as progress from "./progress.js";
import type * as suspects from "./suspects.js";
import * as upstream from "./upstream.js";
import * as sendWatchdog from "./send-watchdog.js";
import * as adapterVersions from "./versions/adapter-versions.js";
import * as beginWatch from "./versions/begin-watch.js";
import type * as workerNotices from "./worker-notices.js";

export interface Deps {
  readonly clock: clock.Clock;
  readonly log: structuredLog.Log;
  readonly metrics: metrics.Metrics;
  readonly endpoints: endpointRegistry.EndpointRegistry;
  readonly origins: Pick<origins.Origins, "begun">;
  readonly upstream: upstream.Upstream;
  readonly suspects: suspects.Suspects;
  readonly notices: workerNotices.WorkerNotices;
  readonly checks: sendChecks.SendChecks;
  readonly versions: adapterVersions.AdapterVersions;
  /** Milliseconds since the catalog was last known to be up to date with the store. */
  readonly catalogAgeMs: () => number;
}

/** Most sends of one request, including sends to endpoints that did not run it. */
export const MAX_SENDS = 4;
const OK_STATUS = 200;
/** Lowest HTTP status above those that mean success. */
const FIRST_OTHER_STATUS = 300;
/** Lowest HTTP status that means that a request failed at its worker. */
const FIRST_FAILURE_STATUS = 500;

/** Sends requests to endpoints and relays their answers. */
export class Sender {
  private readonly reader: answerReader.AnswerReader;
  private readonly recorder: sendRecorder.SendRecorder;

  constructor(private readonly deps: Deps) {
    this.reader = new answerReader.AnswerReader(deps);
    this.recorder = new sendRecorder.SendRecorder(deps);
  }

  /**
   * Sends a request to one endpoint, once it is known that its caller is still there; undefined if another endpoint is to be
   * tried.
   */
  async send(
    req: callerRequest.CallerRequest,
    res: progress.CallerResponse,
    p: progress.Progress,
    best: choice.Estimate,
    grants: sendState.SendGrants,
    stopSignal: AbortSignal,
  ): Promise<progress.Ending | undefined> {
    for (;;) {
      while (!stopSignal.aborted && res.presence?.isStale()) await res.presence.confirm();
      const outcome = await this.trySend(req, res, p, best, grants, stopSignal);
      if (outcome !== "stale") return outcome;
    }
  }

  /** Sends a request; `stale` if it was withheld and is to be sent again there, with the seat and the permit kept. */
  private async trySend(
    req: callerRequest.CallerRequest,
    res: progress.CallerResponse,
    p: progress.Progress,
    best: choice.Estimate,
    grants: sendState.SendGrants,
    stopSignal: AbortSignal,
  ): Promise<progress.Ending | "stale" | undefined> {
    const { endpoint } = best.view;
    const sentAt = this.deps.clock.mono();
    const toldTime = new told.ToldTime(this.deps.clock, deadline.workUntil(req));
    p.endpoint = endpoint.id;
    this.deps.endpoints.requestStarted(endpoint.id);
    const mayGoOn = (): boolean =>
      !p.sideRuns &&
      this.mayResend(req, p) &&
      this.mayContinueElsewhere(req, p, endpoint) &&
      this.deps.checks.chargeRetry(req, p);
    const watchdog = sendWatchdog.start(req, p, best, stopSignal, { ...this.deps, mayGoOn });
    const send: SendState = {
      req,
      res,
      p,
      endpoint,
      grants,
      sentAt,
      stopSignal,
      watchdog,
      stream: new streamClock.StreamClock(),
      use: undefined,
      isRepeatedUse: false,
      isTooLate: false,
      isClosedHere: false,
      withholdReason: undefined,
    };
    const gate: exchange.Gate = {
      mayStart: (use) => {
        send.withholdReason =
          this.deps.checks.withholdReason(req, res, p, endpoint, grants) ??
          (toldTime.isOutdated() ? "stale" : undefined);
        if (send.withholdReason === undefined) {
          this.recorder.recordStart(send, use);
          if (adapterVersions.isForAdapter(req)) this.watchBegin(send);
        }
        return send.withholdReason === undefined;
      },
      carried: p.connections,
      onClosed: (callback) => this.deps.notices.whenClosed(endpoint.id, callback),
    };
    try {
      const result = await this.deps.upstream.send(
        req,
        endpoint,
        () => sendState.attributesOf(send, toldTime.tell()),
        watchdog.signal,
        gate,
      );
      if (result.kind === "withheld" && send.withholdReason === "stale") {
        this.deps.endpoints.requestEnded(endpoint.id, undefined, undefined);
        return "stale";
      }
      return await this.handleResult(send, result);
    } finally {
      send.beginWatch?.cancel();
      watchdog.close();
    }
  }

  /** Breaks a request off that does not begin while its version of the adapter may be used. */
  private watchBegin(send: SendState): void {
    const { req, endpoint, grants } = send;
    const leftMs = (): number => this.deps.versions.beginsWithinMs(req, grants.version);
    send.beginWatch = beginWatch.start(this.deps.clock, leftMs, () => {
      send.isTooLate = true;
      this.deps.log.warn("A request has not begun while its version of the adapter may be used.", {
        request: req.meta.id,
        endpoint: endpoint.id,
        version: grants.version,
        newest: this.deps.versions.declaredFor(req)?.version,
        underWayMs: Math.round(this.deps.clock.mono() - send.sentAt),
      });
      send.watchdog.breakOff();
    });
  }

  /** Settles a send by its result; undefined if another endpoint is to be tried. */
  private handleResult(
    send: SendState,
    result: upstream.SendResult,
  ): Promise<progress.Ending | undefined> | progress.Ending | undefined {
    const { p, req } = send;
    if ("statement" in result) send.statement = result.statement;
    if (result.kind !== "withheld" && result.kind !== "unsent")
      this.recorder.recordEvidence(send, result.kind);
    switch (result.kind) {
      case "withheld":
        return this.handleWithheld(send);
      case "unsent":
        this.handleUnsent(send, result.why);
        return undefined;
      case "not_run":
        this.recorder.recordNotice(send, result.notice, false);
        this.recordNotRun(send, result.why);
        this.settle(
          send,
          result.isAbsent ? "absent" : "not_run",
          // An engine may lack the adapter alone; a plain worker's address belongs to another instance.
          result.isAbsent && req.service.engine ? undefined : false,
        );
        return undefined;
      case "unproved":
        this.recorder.recordNotice(send, result.notice, false);
        p.runs++;
        return this.handleBroken(send, result.why);
      case "unknown":
        p.runs++;
        send.isClosedHere = result.statement !== undefined;
        return this.handleLostConnection(send, result.why);
      case "answer":
        this.recorder.recordNotice(send, result.notice, result.status < FIRST_FAILURE_STATUS);
        p.runs++;
        p.framing = result.framing;
        p.restBytes = undefined;
        return this.relay(send, result);
    }
  }

  /** Handles a request that was withheld before its first byte was written. */
  private handleWithheld(send: SendState): progress.Ending | undefined {
    const { req, res, p } = send;
    send.grants.permit.release();
    this.settle(send, "left", undefined);
    if (send.withholdReason === "left") return "left";
    if (send.withholdReason === undefined) this.deps.checks.recordDeclined(req, p, send.endpoint);
    return send.withholdReason === "refused"
      ? ending.giveUp(this.deps.clock, req, res, p, false)
      : undefined;
  }

  /** Handles a request of which nothing was sent: no connection was made, or it was given up before. */
  private handleUnsent(send: SendState, why: string): void {
    const isStoppedHere = send.res.disconnected.aborted || send.stopSignal.aborted;
    send.grants.permit.release();
    send.p.sends++;
    this.recordNotRun(send, why);
    this.settle(send, isStoppedHere ? "left" : "not_run", isStoppedHere ? undefined : false);
  }

  /** Records that an endpoint did not run the request, so that another one is tried. */
  private recordNotRun(send: SendState, why: string): void {
    const { p, endpoint } = send;
    p.why = `${endpoint.id} did not run the request: ${why}`;
    p.triedEndpoints.add(endpoint.id);
    p.queuedAt = this.deps.clock.mono();
    this.recorder.logFailure(send, "An endpoint did not run a request.");
  }

  /** Returns the seat and records the end of a send; `succeeded` is undefined if it tells nothing about the endpoint. */
  private settle(
    send: SendState,
    outcome: Parameters<link.PendingSeat["release"]>[0],
    succeeded: boolean | undefined,
  ): void {
    send.grants.seat?.release(outcome, send.stream.timing());
    const tookMs = outcome === "whole" ? this.deps.clock.mono() - send.sentAt : undefined;
    this.deps.endpoints.requestEnded(send.endpoint.id, succeeded, tookMs);
  }

  /** Handles a lost connection, which may mean that the worker has ended. */
  private async handleLostConnection(
    send: SendState,
    why: string,
  ): Promise<progress.Ending | undefined> {
    const isStoppedHere =
      send.res.disconnected.aborted ||
      send.stopSignal.aborted ||
      send.isTooLate ||
      send.isClosedHere;
    if (!isStoppedHere) {
      const now = this.deps.clock.mono();
      const examination = this.deps.suspects.recordBrokenSend(send.req, send.endpoint, {
        underWayMs: now - send.sentAt,
        answeringMs: send.stream.answeringMs(now),
      });
      // Before the request is sent to another worker, it must be known whether it ended this one.
      if (catalog.isRepeatable(send.req.route)) await examination;
    }
    return this.handleBroken(send, why);
  }

  /** Handles a send that failed although the request may have run; undefined if it may be repeated elsewhere. */
  private handleBroken(send: SendState, why: string): progress.Ending | undefined {
    const { req, res, p } = send;
    p.why = `${send.endpoint.id} broke off: ${why}`;
    if (res.disconnected.aborted || send.stopSignal.aborted) {
      const succeeded = send.stopSignal.reason === sendState.UNANSWERED ? false : undefined;
      this.settle(send, "left", succeeded);
      return res.disconnected.aborted ? "left" : ending.giveUp(this.deps.clock, req, res, p, true);
    }
    p.triedEndpoints.add(send.endpoint.id);
    p.queuedAt = this.deps.clock.mono();
    // How long an engine takes to begin says nothing about failures.
    if (send.isTooLate) this.settle(send, "left", undefined);
    else this.settle(send, "failed", false);
    this.recorder.logFailure(send, "A send failed.", {
      // Each attempt has a new request id; only the identity shows that the same request came again.
      identity: identity.of(req),
      underWayMs: Math.round(p.queuedAt - send.sentAt),
      framing: p.framing,
      restBytes: p.restBytes,
    });
    if (catalog.isRepeatable(req.route) && progress.canContinue(p)) return undefined;
    return ending.giveUp(this.deps.clock, req, res, p, false);
  }

  /** Relays an answer to the caller, or discards a failure that may be retried. */
  private async relay(send: SendState, result: Answer): Promise<progress.Ending | undefined> {
    const { req, p } = send;
    if (
      result.status >= FIRST_FAILURE_STATUS &&
      catalog.isRepeatable(req.route) &&
      this.mayResend(req, p)
    ) {
      await upstream.discard(result.body);
      return this.handleBroken(send, `status ${result.status}`);
    }
    if (req.route.kind === "stream" && result.status === OK_STATUS && !isJson(result.headers))
      return this.relayStream(send, result);
    return this.relayWhole(send, result);
  }

  /** Whether the response so far, the route's attempts and the limit on sends allow another send after one that ran. */
  private mayResend(req: callerRequest.CallerRequest, p: progress.Progress): boolean {
    const isWithinLimits = p.runs + p.sideRuns < req.route.attempts && p.sends < MAX_SENDS;
    return isWithinLimits && progress.canContinue(p);
  }

  /** Whether a worker other than `e` could continue the stream that has begun, or none has begun. */
  private mayContinueElsewhere(
    req: callerRequest.CallerRequest,
    p: progress.Progress,
    e: catalog.Endpoint,
  ): boolean {
    return !p.origin || this.deps.endpoints.isServed(req.service, p.origin.software, e.id);
  }

  /** Reads an answer whole before any of it is passed on. */
  private async relayWhole(send: SendState, result: Answer): Promise<progress.Ending | undefined> {
    const { req, res, p } = send;
    const { body, verdict } = await this.reader.readWhole(send, result);
    this.deps.metrics.recordAnswerEnd(result.framing, verdict.kind);
    if (verdict.kind !== "whole") {
      res.dropAnswer?.();
      return this.handleLostConnection(send, verdict.why);
    }
    if (p.hasResponseBegun) {
      res.dropAnswer?.();
      return this.handleBroken(send, `status ${result.status} instead of the rest of a stream`);
    }
    p.firstByteAt = this.deps.clock.mono();
    const isFailure = result.status >= FIRST_FAILURE_STATUS;
    this.settle(send, isFailure ? "failed" : "whole", !isFailure);
    // A worker may fail or reject a request before it begins to run it.
    if (isSuccess(result.status)) this.deps.suspects.recordCompletion(req);
    res.sendWhole(result.status, result.headers, body);
    if (!isFailure) return "whole";
    p.why = `${send.endpoint.id} answered with status ${result.status}`;
    return "passed_failure";
  }

  /** Passes a stream on, and ends the caller's response if the stream is complete. */
  private async relayStream(send: SendState, result: Answer): Promise<progress.Ending | undefined> {
    const { res, p } = send;
    const splitter = new eventSplitter.EventSplitter();
    const verdict = await this.reader.passOnEvents(send, result, splitter);
    p.restBytes = splitter.remainder().length;
    this.recorder.recordTiming(send);
    this.deps.metrics.recordAnswerEnd(result.framing, verdict.kind);
    if (verdict.kind !== "whole") return this.handleLostConnection(send, verdict.why);
    if (!p.hasResponseBegun) res.writeHead(result.status, result.headers);
    if (p.restBytes > 0) void res.write(splitter.remainder());
    this.settle(send, "whole", true);
    this.deps.suspects.recordCompletion(send.req);
    res.end(verdict);
    return "whole";
  }
}

type SendState = sendState.SendState;
type Answer = answerReader.Answer;

function isSuccess(status: number): boolean {
  return status >= OK_STATUS && status < FIRST_OTHER_STATUS;
}

/** Whether an answer is a JSON document, which is no stream of events. */
function isJson(received: headers.Headers): boolean {
  return String(received["content-type"] ?? "").startsWith("application/json");
}
