/**
 * Records what becomes of sends, in the progress of their requests, the log, the metrics, and what is known of the workers.
 * @module
 */
import type * as clock from "../../host/clock.js";
import type * as structuredLog from "../../host/structured-log.js";
import type * as evidence from "../answers/evidence.js";
import type * as connections from "../connections/connection.js";
import * as origin from "../continuation/origin.js";
import type * as metrics from "../metrics.js";
import type * as notices from "../notices.js";
import type * as sendState from "../send-state.js";
import * as adapterVersions from "../versions/adapter-versions.js";
import * as declared from "../versions/declared.js";
import type * as workerNotices from "../worker-notices.js";

export interface Deps {
  readonly clock: clock.Clock;
  readonly log: structuredLog.Log;
  readonly metrics: metrics.Metrics;
  readonly notices: workerNotices.WorkerNotices;
  readonly versions: adapterVersions.AdapterVersions;
  /** Milliseconds since the catalog was last known to be up to date with the store. */
  readonly catalogAgeMs: () => number;
}

type SendState = sendState.SendState;

/** Records sends. */
export class SendRecorder {
  constructor(private readonly deps: Deps) {}

  /** Records that a request is being written to its connection. */
  recordStart(send: SendState, use: connections.Use | undefined): void {
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
    if (adapterVersions.isForAdapter(req)) this.recordVersion(send);
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

  /** Counts what a send's answer, or the lack of one, proves. */
  recordEvidence(
    { req, statement, isRepeatedUse }: SendState,
    proof: evidence.Proof["kind"],
  ): void {
    const connection = isRepeatedUse ? "repeated" : "new";
    this.deps.metrics.recordEvidence(req.service.name, { proof, statement, connection });
  }

  /** Records what an answer says about its worker. */
  recordNotice(
    { req, endpoint, startedAt }: SendState,
    notice: notices.Notice,
    ran: boolean,
  ): void {
    const sentAt = startedAt ?? this.deps.clock.steady();
    this.deps.notices.observe(endpoint, { request: req.meta.id, notice, sentAt, ran });
  }

  /** Logs a send that did not lead to an answer. */
  logFailure(send: SendState, message: string, more: structuredLog.Fields = {}): void {
    this.deps.log.warn(message, {
      request: send.req.meta.id,
      endpoint: send.endpoint.id,
      send: send.p.sends,
      ...more,
      ...evidenceFields(send),
      why: send.p.why,
    });
  }

  /** Keeps the longest pause and write of a request's streams, for its log line. */
  recordTiming({ p, stream }: SendState): void {
    p.pauseMs = Math.max(p.pauseMs, stream.timing()?.pauseMs ?? 0);
    p.writeMs = Math.max(p.writeMs, Math.round(stream.writeMs));
  }
}

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
