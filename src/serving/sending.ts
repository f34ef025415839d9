/**
 * Sends a request to one endpoint, relays the answer to the caller, and records what the send shows about the endpoint.
 * @module
 */
import type * as clock from "../host/clock.js";
import type * as structuredLog from "../host/structured-log.js";
import * as errors from "../host/errors.js";
import type * as callerRequest from "./caller-request.js";
import * as catalog from "./catalog.js";
import type * as choice from "./choice.js";
import type * as endpointRegistry from "./endpoint-registry.js";
import * as origin from "./continuation/origin.js";
import type * as origins from "./continuation/origins.js";
import * as ending from "./ending.js";
import * as deadline from "./deadlines/deadline.js";
import * as told from "./deadlines/told-time.js";
import * as completeness from "./answers/completeness.js";
import * as eventSplitter from "./answers/event-splitter.js";
import * as streamBounds from "./answers/stream-bounds.js";
import * as streamClock from "./pacing/stream-clock.js";
import * as exchange from "./exchange.js";
import type * as headers from "./headers.js";
import * as identity from "./identity.js";
import type * as link from "./link.js";
import type * as metrics from "./metrics.js";
import type * as notices from "./notices.js";
import type * as sendChecks from "./send-checks.js";
import * as sendState from "./send-state.js";
import type * as evidence from "./answers/evidence.js";
import type * as connections from "./connections/connection.js";
import * as progress from "./progress.js";
import type * as suspects from "./suspects.js";
import * as upstream from "./upstream.js";
import * as sendWatchdog from "./send-watchdog.js";
import * as adapterVersions from "./versions/adapter-versions.js";
import * as beginWatch from "./versions/begin-watch.js";
import * as declared from "./versions/declared.js";
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

/** Largest answer in bytes, other than a stream, that is held in memory; a larger one counts as broken off. */
const MAX_ANSWER_BYTES = 8_388_608;
/** Most sends of one request, including sends to endpoints that did not run it. */
export const MAX_SENDS = 4;
const OK_STATUS = 200;
/** Lowest HTTP status above those that mean success. */
const FIRST_OTHER_STATUS = 300;
/** Lowest HTTP status that means that a request failed at its worker. */
const FIRST_FAILURE_STATUS = 500;

/** Sends requests to endpoints and relays their answers. */
export class Sender {
  constructor(private readonly deps: Deps) {}

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
        if (send.withholdReason === undefined) this.recordStart(send, use);
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

  /** Records that a request is being written to its connection. */
  private recordStart(send: SendState, use: connections.Use | undefined): void {
    const { req, p, endpoint } = send;
    send.use = use;
    send.isRepeatedUse = use !== undefined && p.connections.has(use.connection);
    if (use) p.connections.add(use.connection);
    send.sentAt = this.deps.clock.mono();
    send.startedAt = this.deps.clock.steady();
    p.sends++;
    p.firstSentAt ??= send.sentAt;
    p.catalogAgeMs = Math.round(this.deps.catalogAgeMs());
    p.isRetryCharged = false;
    send.grants.onWritten?.();
    if (adapterVersions.isForAdapter(req)) {
      this.recordVersion(send);
      this.watchBegin(send);
    }
    if (p.lastEventId !== undefined) this.recordContinuation(send, p.lastEventId);
    const { notices } = this.deps;
    notices.recordSend(endpoint);
    if (notices.of(endpoint.id) !== undefined) {
      this.deps.metrics.recordNotice(req.service.name, "limit", "sent");
    }
  }

  /** Records which version of its adapter a request is sent on, and what is known of newer ones. */
  private recordVersion({ req, p, grants, sentAt }: SendState): void {
    const newest = this.deps.versions.declaredFor(req);
    const named = grants.version;
    const hasSeat = grants.seat !== undefined;
    const maxAgeMs = newest && sentAt - newest.notBefore;
    p.adapterVersion = { named, newest: newest?.version, maxAgeMs, hasSeat };
    const match = declared.matchOf(newest, named);
    this.deps.metrics.recordAdapterSend(req.service.name, hasSeat ? "granted" : "none", match);
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

  /** Records what a stream that begins, or goes on here, is bound to, before its first event is passed on. */
  private recordOrigin({ req, p, endpoint }: SendState): void {
    p.origin ??= origin.of(req.service, endpoint);
    this.deps.origins.begun(req, p.origin);
  }

  /** Records that a stream is sent to a worker to go on after an event. */
  private recordContinuation({ req, p, endpoint }: SendState, after: string): void {
    const here = origin.of(req.service, endpoint);
    const match =
      p.origin === undefined ? "unknown" : origin.isSame(p.origin, here) ? "same" : "other";
    const how = p.hasResponseBegun ? "in_answer" : "new_attempt";
    this.deps.metrics.recordContinuation(req.service.name, how, match);
    this.deps.log.info("A stream goes on.", {
      request: req.meta.id,
      how,
      after,
      resumes: req.meta.resumes,
      endpoint: endpoint.id,
      software: here.software,
      begunBy: p.origin?.software,
    });
  }

  /** Settles a send by its result; undefined if another endpoint is to be tried. */
  private handleResult(
    send: SendState,
    result: upstream.SendResult,
  ): Promise<progress.Ending | undefined> | progress.Ending | undefined {
    const { p } = send;
    if ("statement" in result) send.statement = result.statement;
    if (result.kind !== "withheld" && result.kind !== "unsent")
      this.recordEvidence(send, result.kind);
    switch (result.kind) {
      case "withheld":
        return this.handleWithheld(send);
      case "unsent":
        this.handleUnsent(send, result.why);
        return undefined;
      case "not_run":
        this.recordNotice(send, result.notice, false);
        this.recordNotRun(send, result.why);
        this.settle(
          send,
          result.isAbsent ? "absent" : "not_run",
          result.isAbsent ? undefined : false,
        );
        return undefined;
      case "unproved":
        this.recordNotice(send, result.notice, false);
        p.runs++;
        return this.handleBroken(send, result.why);
      case "unknown":
        p.runs++;
        send.isClosedHere = result.statement !== undefined;
        return this.handleLostConnection(send, result.why);
      case "answer":
        this.recordNotice(send, result.notice, result.status < FIRST_FAILURE_STATUS);
        p.runs++;
        p.framing = result.framing;
        p.restBytes = undefined;
        return this.relay(send, result);
    }
  }

  /** Counts what a send's answer, or the lack of one, proves. */
  private recordEvidence(
    { req, statement, isRepeatedUse }: SendState,
    proof: evidence.Proof["kind"],
  ): void {
    const connection = isRepeatedUse ? "repeated" : "new";
    this.deps.metrics.recordEvidence(req.service.name, { proof, statement, connection });
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
    this.logFailedSend(send, "An endpoint did not run a request.");
  }

  /** Records what an answer says about its worker. */
  private recordNotice(
    { req, endpoint, startedAt }: SendState,
    notice: notices.Notice,
    ran: boolean,
  ): void {
    const sentAt = startedAt ?? this.deps.clock.steady();
    this.deps.notices.observe(endpoint, { request: req.meta.id, notice, sentAt, ran });
  }

  /** Logs a send that did not lead to an answer. */
  private logFailedSend(send: SendState, message: string): void {
    this.deps.log.warn(message, {
      request: send.req.meta.id,
      endpoint: send.endpoint.id,
      send: send.p.sends,
      ...evidenceFields(send),
      why: send.p.why,
    });
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
    this.deps.log.warn("A send failed.", {
      request: req.meta.id,
      // Each attempt has a new request id; only the identity shows that the same request came again.
      identity: identity.of(req),
      endpoint: send.endpoint.id,
      send: p.sends,
      underWayMs: Math.round(p.queuedAt - send.sentAt),
      framing: p.framing,
      restBytes: p.restBytes,
      ...evidenceFields(send),
      why: p.why,
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

  /** Keeps the longest pause and write of a request's streams, for its log line. */
  private recordTiming({ p, stream }: SendState): void {
    p.pauseMs = Math.max(p.pauseMs, stream.timing()?.pauseMs ?? 0);
    p.writeMs = Math.max(p.writeMs, Math.round(stream.writeMs));
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
    const { body, verdict } = await this.readWhole(send, result);
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

  /** Reads an answer to its end; the body is empty if it broke off. */
  private async readWhole(
    send: SendState,
    { framing, body }: Answer,
  ): Promise<{ readonly body: Buffer; readonly verdict: completeness.Completeness }> {
    const { readAnswer, isSuperseded } = send.res;
    const onSize = (bytes: number): Promise<void> | undefined => {
      send.beginWatch?.cancel();
      return readAnswer?.(bytes);
    };
    try {
      const bytes = await exchange.readAll(body, MAX_ANSWER_BYTES, onSize, isSuperseded);
      const found = completeness.ofWhole(framing, bytes.length);
      return { body: bytes, verdict: await this.confirm(send, found) };
    } catch (err) {
      return { body: Buffer.alloc(0), verdict: this.brokenBy(send, err) };
    }
  }

  /** Judges an answer that broke off with an error. */
  private brokenBy(send: SendState, err: unknown): completeness.Completeness {
    send.isClosedHere = err instanceof exchange.GivenUpError;
    return completeness.broken(errors.messageOf(err));
  }

  /** Passes a stream on, and ends the caller's response if the stream is complete. */
  private async relayStream(send: SendState, result: Answer): Promise<progress.Ending | undefined> {
    const { res, p } = send;
    const splitter = new eventSplitter.EventSplitter();
    const verdict = await this.confirm(send, await this.passOnEvents(send, result, splitter));
    p.restBytes = splitter.remainder().length;
    this.recordTiming(send);
    this.deps.metrics.recordAnswerEnd(result.framing, verdict.kind);
    if (verdict.kind !== "whole") return this.handleLostConnection(send, verdict.why);
    if (!p.hasResponseBegun) res.writeHead(result.status, result.headers);
    if (p.restBytes > 0) void res.write(splitter.remainder());
    this.settle(send, "whole", true);
    this.deps.suspects.recordCompletion(send.req);
    res.end(verdict);
    return "whole";
  }

  /** Checks that the worker still runs, if only that tells the end of its answer from that of its process. */
  private async confirm(
    send: SendState,
    found: completeness.Completeness,
  ): Promise<completeness.Completeness> {
    if (!completeness.restsOnClose(found)) return found;
    const { endpoint, req, watchdog } = send;
    // A worker that asked for a pause is asked nothing.
    const mayAsk = this.deps.notices.reason(endpoint) !== "pause";
    const runs =
      mayAsk && (await this.deps.upstream.isRunning(endpoint, req.service, watchdog.signal));
    return runs ? found : completeness.UNCONFIRMED;
  }

  /** Passes on the whole events of a stream, without those that the caller has already. */
  private async passOnEvents(
    send: SendState,
    result: Answer,
    splitter: eventSplitter.EventSplitter,
  ): Promise<completeness.Completeness> {
    const { res, p } = send;
    const resumedAfter = p.lastEventId;
    const bounds = new streamBounds.StreamBounds(send.req.meta.answerTokens, send.sentAt);
    let isFirst = true;
    try {
      await result.body.pump((chunk) => {
        const ready: Buffer[] = [];
        const arrivedAt = this.deps.clock.mono();
        const events = splitter.push(chunk, bounds.maxEvents(arrivedAt));
        const excess = bounds.receive(chunk.length, events, arrivedAt);
        if (excess !== undefined) {
          result.body.abort(excess);
          return undefined;
        }
        for (const e of events) {
          if (p.hasResponseBegun && resumedAfter !== undefined && wasPassedOn(e.id, resumedAfter))
            continue;
          // After an event without an id, no other run can be told where to go on.
          if (!e.isPartial && !e.isComment) p.lastEventId = e.id;
          if (!e.isComment) send.beginWatch?.cancel();
          p.isEventOpen = e.isPartial;
          ready.push(e.bytes);
        }
        if (ready.length === 0) return undefined;
        send.stream.recordArrival(ready.length, arrivedAt);
        if (isFirst) {
          isFirst = false;
          send.watchdog.answerBegan();
          send.grants.seat?.began(this.deps.clock.mono() - send.sentAt);
        }
        if (!p.hasResponseBegun) {
          p.hasResponseBegun = true;
          this.recordOrigin(send);
          p.firstByteAt = this.deps.clock.mono();
          res.writeHead(result.status, result.headers);
        }
        const drained = res.write(ready.length === 1 && ready[0] ? ready[0] : Buffer.concat(ready));
        return drained?.then(() => {
          send.stream.recordWrite(this.deps.clock.mono() - arrivedAt);
        });
      });
    } catch (err) {
      return this.brokenBy(send, err);
    }
    return completeness.ofStream(result.framing, {
      isInsideEvent: splitter.isInsideEvent(),
      hasEvent: splitter.hasEvent,
      isResumed: resumedAfter !== undefined,
    });
  }
}

type SendState = sendState.SendState;
/** A send's result that carries an answer. */
type Answer = Extract<upstream.SendResult, { kind: "answer" }>;

/** Log fields that say on which connection a request was sent, and what its answer states. */
function evidenceFields({ use, isRepeatedUse, statement }: SendState): structuredLog.Fields {
  return {
    connection: use?.connection,
    position: use?.position,
    ...(isRepeatedUse && { isRepeatedUse }),
    status: statement?.status,
    names: statement?.subject,
    claimsNotRun: statement?.claimsNotRun,
    isSigned: statement?.isSigned,
  };
}

function isSuccess(status: number): boolean {
  return status >= OK_STATUS && status < FIRST_OTHER_STATUS;
}

/** Whether an answer is a JSON document, which is no stream of events. */
function isJson(received: headers.Headers): boolean {
  return String(received["content-type"] ?? "").startsWith("application/json");
}

/** Whether an event of a resumed stream was already passed on, by comparing its id with the last one passed on. */
function wasPassedOn(id: string | undefined, resumedAfter: string): boolean {
  return id !== undefined && Number(id) <= Number(resumedAfter);
}
