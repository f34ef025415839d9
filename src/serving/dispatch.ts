/**
 * Dispatches one request: chooses an endpoint, acquires the permit and the seat that a send to it needs, and tries another
 * endpoint only when a retry is allowed and safe.
 * @module
 */
import type * as structuredLog from "../host/structured-log.js";
import * as clock from "../host/clock.js";
import * as admission from "./admission.js";
import type * as callerRequest from "./caller-request.js";
import type * as catalog from "./catalog.js";
import type * as choice from "./choice.js";
import type * as origins from "./continuation/origins.js";
import * as deadline from "./deadlines/deadline.js";
import * as ending from "./ending.js";
import * as hedgedCalls from "./overload/hedged-calls.js";
import type * as metrics from "./metrics.js";
import * as overloadReturns from "./overload/returns.js";
import * as sendChecks from "./send-checks.js";
import * as progress from "./progress.js";
import * as retryBudget from "./retry-budget.js";
import * as seatFinder from "./seat-finder.js";
import * as sending from "./sending.js";
import type * as suspects from "./suspects.js";
import type * as upstream from "./upstream.js";
import * as adapterVersions from "./versions/adapter-versions.js";
import * as softwareVersions from "./versions/software-versions.js";
import type * as usage from "./versions/usage.js";
import type * as workerNotices from "./worker-notices.js";

/** Settings of a dispatcher. */
export interface Options {
  /** Failure domain of this host. */
  readonly domain: string;
  /** Retry budget of each service. */
  readonly retries: retryBudget.Options;
}

export interface Deps extends Omit<seatFinder.Deps, "versions" | "software"> {
  readonly log: structuredLog.Log;
  readonly metrics: metrics.Metrics;
  readonly upstream: upstream.Upstream;
  readonly origins: Pick<origins.Origins, "isOnlyOne" | "mayBegin" | "begun" | "ended" | "find">;
  /** Milliseconds since the catalog was last known to be up to date with the store. */
  readonly catalogAgeMs: () => number;
  readonly suspects: suspects.Suspects;
  readonly notices: workerNotices.WorkerNotices;
  /** Checks again whether the key of an admitted request still authorizes it. */
  readonly authenticate: sendChecks.Deps["authenticate"];
  /** For how long a version of an adapter may be used once a newer one is declared. */
  readonly versionLimits: usage.Limits;
}

/** Least milliseconds that must remain for another send to be tried, and for a seat to be waited for. */
const MIN_REMAINING_MS = 20;
/** Times that one request may be withheld from a worker chosen for it; beyond that it is given up. */
const MAX_WITHHELD = 6;
/** Result of the search for a seat where the service has no engines and so needs none. */
const SEATLESS: seatFinder.SeatResult = { kind: "seatless", version: undefined };

/** Dispatches the requests of one entry daemon. */
export class Dispatcher {
  private readonly budget: retryBudget.Budget;
  private readonly checks: sendChecks.SendChecks;
  private readonly seatFinder: seatFinder.SeatFinder;
  private readonly returns: overloadReturns.Returns;
  private readonly calls: hedgedCalls.HedgedCalls;

  constructor(
    opts: Options,
    private readonly deps: Deps,
  ) {
    this.budget = new retryBudget.Budget(opts.retries, deps.clock);
    const limits = deps.versionLimits;
    const versions = new adapterVersions.AdapterVersions({ ...deps, limits });
    const software = new softwareVersions.SoftwareVersions(deps.origins);
    this.checks = new sendChecks.SendChecks(this.budget, { ...deps, versions, software });
    this.seatFinder = new seatFinder.SeatFinder(opts.domain, { ...deps, versions, software });
    this.returns = new overloadReturns.Returns(deps);
    this.calls = new hedgedCalls.HedgedCalls({
      ...deps,
      sender: new sending.Sender({ ...deps, versions, checks: this.checks }),
      pickOther: (req, p, besides) => this.seatFinder.pickOther(req, p, besides),
      acquirePermit: (req, p, view, signal) => this.acquirePermit(req, p, view, signal),
    });
  }

  /** Prepares for a graceful shutdown: requests in flight are still served to their end. */
  startDraining(): void {
    this.budget.startDraining();
  }

  close(): void {
    this.budget.close();
  }

  /** Serves one request to its end. Resolves to whether it ran, or may have run, at any endpoint. */
  async serve(
    received: callerRequest.CallerRequest,
    res: progress.CallerResponse,
  ): Promise<boolean> {
    const p = progress.start(received);
    const req = await this.bindToOrigin(received, p);
    this.budget.recordRequest(req.service.name);
    const stopping = new AbortController();
    const stop = (): void => {
      stopping.abort();
    };
    res.disconnected.addEventListener("abort", stop, { once: true });
    const timer = deadline.onPassed(this.deps.clock, req, p, stop);
    let outcome: progress.Ending = "failed";
    try {
      outcome = await this.tryEndpoints(req, res, p, stopping.signal);
      if (outcome === "left" && res.wasReset?.()) {
        outcome = "broken";
        p.why = "the connection was reset to free memory";
      }
    } finally {
      timer.cancel();
      res.disconnected.removeEventListener("abort", stop);
      this.reportEnd(req, p, outcome);
    }
    return p.runs > 0;
  }

  /**
   * Binds a stream that its caller resumes to what it began on. Returns the request for the service that began it; where that
   * is not known or not allowed any more, the request as it was, which is then refused.
   */
  private async bindToOrigin(
    req: callerRequest.CallerRequest,
    p: progress.Progress,
  ): Promise<callerRequest.CallerRequest> {
    if (req.route.kind !== "stream" || req.meta.resumeAfter === undefined) return req;
    const lookup = await this.deps.origins.find(req);
    const known = lookup.kind === "known" ? lookup : undefined;
    const service = known && serviceOf(this.deps.catalog(), req, known.origin.service);
    const isBound = service !== undefined;
    const outcome = lookup.kind === "unknown" ? lookup.reason : isBound ? lookup.from : "moved";
    this.deps.metrics.recordResumption(req.service.name, outcome);
    this.deps.log.info(isBound ? "A stream is resumed." : "A stream cannot be resumed.", {
      request: req.meta.id,
      resumes: req.meta.resumes,
      after: req.meta.resumeAfter,
      begunBy: known?.origin.software,
      service: known?.origin.service,
      from: known?.from,
      peer: known?.peer,
      ...(lookup.kind === "unknown" && unknownFields(lookup)),
      tookMs: Math.round(this.deps.clock.mono() - req.arrivedAt),
    });
    if (!known || !service) {
      p.cannotResume = known
        ? `the route no longer leads to the service ${known.origin.service}, which began the stream`
        : "it is not known which software version began the stream; send it again from its beginning";
      return req;
    }
    p.origin = known.origin;
    return service === req.service ? req : { ...req, service };
  }

  /** Records the end of a request in the metrics and the log. */
  private reportEnd(
    req: callerRequest.CallerRequest,
    p: progress.Progress,
    outcome: progress.Ending,
  ): void {
    const now = this.deps.clock.mono();
    const firstMs =
      p.firstByteAt === undefined ? undefined : Math.round(p.firstByteAt - req.arrivedAt);
    const tookMs = Math.round(now - req.arrivedAt);
    this.deps.metrics.recordRequest(req.route.name, outcome, firstMs, tookMs);
    this.deps.origins.ended(req, outcome === "whole");
    if (p.closedBy && outcome === "refused") {
      this.deps.metrics.recordNotice(req.service.name, p.closedBy, "refused");
    }
    this.deps.log.info("A request has ended.", {
      request: req.meta.id,
      route: req.route.name,
      team: req.caller?.team.name,
      units: req.caller?.units,
      ending: outcome,
      endpoint: p.endpoint,
      software: p.origin?.software,
      resumes: req.meta.resumes,
      resumeAfter: req.meta.resumeAfter,
      ...versionFields(p.adapterVersion),
      sends: p.sends,
      runs: p.runs,
      hedge: p.hedge,
      targetMs: req.route.targetMs,
      expectedMs: p.expectedMs,
      waitRatio: p.waitRatio && Math.round(p.waitRatio * 100) / 100,
      crowding: p.crowding?.chosen,
      firstCrowding: p.crowding?.first,
      newsMs: p.catalogAgeMs,
      sentMs: p.firstSentAt === undefined ? undefined : Math.round(p.firstSentAt - req.arrivedAt),
      firstMs,
      framing: p.framing,
      restBytes: p.restBytes,
      pauseMs: p.pauseMs,
      writeMs: p.writeMs,
      tookMs,
      returnMs: p.booked && Math.round(p.booked.inMs),
      returnsBefore: p.booked?.before,
      why: outcome === "whole" ? undefined : p.why,
    });
  }

  /** Tries one endpoint after the other until the request has ended. */
  private async tryEndpoints(
    req: callerRequest.CallerRequest,
    res: progress.CallerResponse,
    p: progress.Progress,
    stopSignal: AbortSignal,
  ): Promise<progress.Ending> {
    if (p.cannotResume !== undefined) {
      p.why = p.cannotResume;
      return this.giveUp(req, res, p, false);
    }
    for (;;) {
      if (res.disconnected.aborted) return "left";
      const remainingMs = deadline.dueAt(req, p) - this.deps.clock.mono();
      if (remainingMs < MIN_REMAINING_MS) return this.giveUp(req, res, p, true);
      if (p.runs > 0 && p.runs >= req.route.attempts) return this.giveUp(req, res, p, false);
      if (p.withheld > MAX_WITHHELD) return this.giveUp(req, res, p, false);
      if (p.sends >= sending.MAX_SENDS) return this.giveUp(req, res, p, false);
      if (this.checks.isQuarantined(req, p)) {
        await this.deps.suspects.pendingProbe(req);
        if (this.checks.isQuarantined(req, p)) return this.giveUp(req, res, p, false);
        p.releaseMs = undefined;
      }
      const best = await this.seatFinder.pick(req, p, stopSignal);
      if (!best) return this.giveUp(req, res, p, false);
      // With so little time left to wait for a seat, each engine would deny it at once.
      if (req.service.engine && this.seatFinder.seatWaitLeftMs(req, p) < MIN_REMAINING_MS) {
        p.retryAfterMs = best.firstMs - best.serviceMs;
        p.isRefusedForWait = true;
        return this.giveUp(req, res, p, false);
      }
      p.expectedMs ??= Math.round(best.firstMs);
      p.serviceMs = best.serviceMs;
      // Admission is decided once: a request that was admitted and has waited is not refused because of later arrivals.
      const verdict = p.isAdmissionDecided ? admission.SERVE : this.seatFinder.admit(req, p, best);
      p.waitRatio = verdict.waitRatio ?? p.waitRatio;
      if (verdict.kind === "refuse") {
        if (verdict.waitRatio !== undefined)
          this.deps.metrics.recordWaitRefusal(req.route.rank, verdict.waitRatio);
        p.retryAfterMs = verdict.retryAfterMs;
        p.isRefusedForWait = verdict.isForWait;
        p.why = verdict.why;
        return this.giveUp(req, res, p, false);
      }
      const permit = await this.acquirePermit(req, p, best.view, stopSignal);
      if (!permit) continue;
      const found = req.service.engine
        ? await this.seatFinder.acquireSeat(req, best, p, stopSignal)
        : SEATLESS;
      p.isAdmissionDecided ||= found.kind !== "diverted";
      if (found.kind === "diverted" || found.kind === "elsewhere") {
        permit.release();
        if (!this.checks.acceptsRequests(best.view.endpoint))
          this.checks.recordDeclined(req, p, best.view.endpoint);
        continue;
      }
      if (req.service.engine && p.sends === 0) this.returns.recordAdmission(req);
      const seat = found.kind === "seat" ? found.seat : undefined;
      const version = found.kind === "seat" ? found.seat.version : found.version;
      const grants = { seat, version, permit };
      const outcome = await this.calls.send(req, res, p, best, grants, stopSignal);
      if (outcome) return outcome;
    }
  }

  /**
   * Acquires a permit under the request limit that the endpoint has announced, waiting for it if needed; undefined if the
   * endpoint accepts no more requests for now.
   */
  private async acquirePermit(
    req: callerRequest.CallerRequest,
    p: progress.Progress,
    { endpoint }: choice.View,
    stopSignal: AbortSignal,
  ): Promise<workerNotices.Granted | undefined> {
    const permit = await this.deps.notices.admit(endpoint);
    if (permit.kind === "out") {
      p.retryAfterMs = permit.waitMs;
      this.checks.recordDeclined(req, p, endpoint, permit.waitMs);
      return undefined;
    }
    if (permit.delayMs > 0) await clock.sleep(this.deps.clock, permit.delayMs, stopSignal);
    if (!stopSignal.aborted && permit.isGood()) return permit;
    this.checks.recordDeclined(req, p, endpoint);
    permit.release();
    return undefined;
  }

  /** Sends the caller the final answer to a request that is given up. */
  private giveUp(
    req: callerRequest.CallerRequest,
    res: progress.CallerResponse,
    p: progress.Progress,
    deadlinePassed: boolean,
  ): progress.Ending {
    return ending.giveUp(this.deps.clock, req, res, p, deadlinePassed, this.returns);
  }
}

/** Log fields that tell whether a request was sent on an outdated version of its adapter, and on what grounds. */
function versionFields(v: progress.AdapterVersion | undefined): structuredLog.Fields {
  if (!v) return {};
  const { named, newest, maxAgeMs, hasSeat } = v;
  return { version: named, newest, newestMs: maxAgeMs && Math.round(maxAgeMs), hasSeat };
}

/** Log fields that say why the origin of a stream is not known. */
function unknownFields({
  reason,
  asked,
  replies,
  isStoreRead,
}: Extract<origins.Lookup, { kind: "unknown" }>): structuredLog.Fields {
  return {
    reason,
    asked,
    isStoreRead,
    replies: replies.map(({ peer, found }) => `${peer}, up ${Math.round(found.upMs)} ms`),
  };
}

/** The service of this name, if the request's route leads there. */
function serviceOf(
  { config }: catalog.Catalog,
  { route, service }: callerRequest.CallerRequest,
  name: string,
): catalog.Service | undefined {
  if (service.name === name) return service;
  return route.shares.some((s) => s.service === name) ? config?.services.get(name) : undefined;
}
