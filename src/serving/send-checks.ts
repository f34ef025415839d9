/**
 * Checks made right before a request is written to the endpoint chosen for it. The request may have waited for a permit, a
 * seat or a connection since the choice, and the endpoint, the key or the quarantine may have changed in the meantime.
 * @module
 */
import type * as clock from "../host/clock.js";
import type * as structuredLog from "../host/structured-log.js";
import type * as callerRequest from "./caller-request.js";
import type * as authentication from "./authentication.js";
import * as catalog from "./catalog.js";
import * as deadline from "./deadlines/deadline.js";
import type * as endpointRegistry from "./endpoint-registry.js";
import * as identity from "./identity.js";
import type * as metrics from "./metrics.js";
import * as retryPriority from "./overload/retry-priority.js";
import * as steady from "./pacing/steady.js";
import type * as progress from "./progress.js";
import type * as retryBudget from "./retry-budget.js";
import type * as suspects from "./suspects.js";
import type * as sendState from "./send-state.js";
import type * as adapterVersions from "./versions/adapter-versions.js";
import type * as softwareVersions from "./versions/software-versions.js";
import type * as workerNotices from "./worker-notices.js";

export interface Deps {
  readonly clock: clock.Clock;
  readonly log: structuredLog.Log;
  readonly catalog: () => catalog.Catalog;
  readonly metrics: metrics.Metrics;
  readonly endpoints: Pick<endpointRegistry.EndpointRegistry, "mostHosts">;
  readonly suspects: suspects.Suspects;
  readonly notices: Pick<workerNotices.WorkerNotices, "of" | "opensInMs" | "reason">;
  /** Checks again whether the key of an admitted request still authorizes it. */
  readonly authenticate: (req: callerRequest.CallerRequest) => authentication.Verdict;
  readonly versions: Pick<adapterVersions.AdapterVersions, "oldestUsable">;
  readonly software: Pick<softwareVersions.SoftwareVersions, "refusalReason">;
}

const UNAUTHORIZED = 401;

/**
 * Why a request is withheld: this endpoint cannot serve it but another may (`elsewhere`), none may (`refused`), its caller
 * has left (`left`), or what is known of the caller or was told of the time left is outdated, so that it is to be sent again
 * (`stale`).
 */
export type WithholdReason = "elsewhere" | "refused" | "left" | "stale";

/** Decides whether a request may be sent, and records why not. */
export class SendChecks {
  /** Retries requested lately, by service. */
  private readonly requestedRetries = new Map<string, retryPriority.Requested>();
  /** Whether scarce retries go by priority under a configuration. */
  private prioritized: { readonly cfg: catalog.Config; readonly holds: boolean } | undefined;

  constructor(
    private readonly budget: retryBudget.Budget,
    private readonly deps: Deps,
  ) {}

  /** Returns why a request must not be sent to an endpoint now, if so. Any send but the first is charged to the retry budget. */
  withholdReason(
    req: callerRequest.CallerRequest,
    res: progress.CallerResponse,
    p: progress.Progress,
    e: catalog.Endpoint,
    { permit, seat, version }: sendState.SendGrants,
  ): WithholdReason | undefined {
    if (res.presence?.hasLeft()) return "left";
    if (res.presence?.isStale()) return "stale";
    if (deadline.dueAt(req, p) <= this.deps.clock.mono()) {
      p.why = "the deadline passed before it could be sent";
      return "refused";
    }
    if (!catalog.isUsable(this.deps.catalog(), e)) {
      p.triedEndpoints.add(e.id);
      p.withheld++;
      return "elsewhere";
    }
    if (!permit.isGood()) {
      this.recordDeclined(req, p, e);
      return "elsewhere";
    }
    if ((version ?? 0) < this.deps.versions.oldestUsable(req, p.serviceMs)) {
      // With its daemon, an engine has the newest version soon.
      if (!seat) p.triedEndpoints.add(e.id);
      p.withheld++;
      p.why = `${e.id} has an outdated version of the adapter`;
      return "elsewhere";
    }
    const unfit = this.deps.software.refusalReason(req, p, e, seat !== undefined);
    if (unfit !== undefined) {
      p.withheld++;
      p.why = unfit;
      return "elsewhere";
    }
    if (!this.isStillAuthorized(req, p) || this.isQuarantined(req, p)) return "refused";
    return p.sends === 0 || this.chargeRetry(req, p) ? undefined : "refused";
  }

  /** Whether an endpoint accepts requests from this host now, according to its notices. */
  acceptsRequests(e: catalog.Endpoint): boolean {
    return this.deps.notices.opensInMs(e) === 0;
  }

  /** Records that a request is not sent to the endpoint chosen for it, because of the endpoint's notices or its limit. */
  recordDeclined(
    req: callerRequest.CallerRequest,
    p: progress.Progress,
    e: catalog.Endpoint,
    limitWaitMs = 0,
  ): void {
    const { notices, log, metrics } = this.deps;
    const reason = notices.reason(e) ?? "limit";
    const waitMs = Math.round(Math.max(limitWaitMs, notices.opensInMs(e)));
    p.withheld++;
    p.why = `${e.id} accepts no requests now: ${reason}`;
    metrics.recordNotice(req.service.name, reason, "elsewhere");
    log.info("A worker accepts no requests now.", {
      request: req.meta.id,
      endpoint: e.id,
      reason,
      perS: notices.of(e.id),
      waitMs,
    });
  }

  /** Charges one more send to the retry budget, unless that was done already; whether the budget allows it. */
  chargeRetry(req: callerRequest.CallerRequest, p: progress.Progress): boolean {
    if (p.isRetryCharged) return true;
    const service = req.service.name;
    const hosts = this.deps.endpoints.mostHosts();
    const decision = this.usesPriority() ? this.prioritize(req, p, hosts) : undefined;
    const isReserved = decision?.kind === "reserved";
    const verdict = isReserved
      ? this.budget.deny(service, hosts)
      : this.budget.takeRetry(service, hosts);
    const { metrics, log } = this.deps;
    metrics.recordRetry(service, verdict.from);
    metrics.recordRetryByRank(req.route.rank, retryOutcome(verdict, isReserved));
    log.info(verdict.from ? "A retry is allowed." : "A retry exceeds the budget.", {
      request: req.meta.id,
      service,
      send: p.sends + 1,
      ...verdict,
      tokens: Number(verdict.tokens.toFixed(1)),
      rank: req.route.rank,
      priority: decision?.priority,
      reserve: decision && Number(decision.reserve.toFixed(1)),
    });
    p.isRetryCharged = verdict.from !== undefined;
    if (isReserved) p.why = "the rest of the retry budget is reserved for more urgent requests";
    else if (!p.isRetryCharged) p.why = "the retry budget is used up";
    return p.isRetryCharged;
  }

  /** Whether scarce retries go by priority under the configuration in force, evaluated once for each configuration. */
  private usesPriority(): boolean {
    const cfg = this.deps.catalog().config;
    if (!cfg) return false;
    if (this.prioritized?.cfg !== cfg)
      this.prioritized = { cfg, holds: steady.hasSteadyStreams(cfg) };
    return this.prioritized.holds;
  }

  /** Records that a retry is requested, and decides whether it may use the budget. */
  private prioritize(
    req: callerRequest.CallerRequest,
    p: progress.Progress,
    hosts: number | undefined,
  ): retryPriority.Decision {
    const now = this.deps.clock.mono();
    const service = req.service.name;
    const firstAt = p.firstByteAt ?? now + p.serviceMs;
    const isLate = firstAt - req.arrivedAt > req.route.targetMs;
    const retry = { rank: req.route.rank, isLate };
    const before = this.requestedRetries.get(service) ?? retryPriority.NONE;
    const requested = retryPriority.record(before, retry, now);
    this.requestedRetries.set(service, requested);
    const { tokens, slack, earnedPerS } = this.budget.balance(service, hosts);
    return retryPriority.decide(requested, retry, { retries: tokens + slack, earnedPerS }, now);
  }

  /** Whether a request is quarantined because workers crash while running it, as found by all hosts together. */
  isQuarantined(req: callerRequest.CallerRequest, p: progress.Progress): boolean {
    const verdict = this.deps.suspects.evaluate(req);
    if (verdict.kind !== "quarantined") return false;
    p.why = verdict.parts
      ? `workers crash while running requests with the prompt parts ${verdict.parts.join(" ")}`
      : `workers crash while running the request ${identity.of(req)}`;
    p.releaseMs = verdict.releaseMs;
    return true;
  }

  /** Whether the key of a request still authorizes it; the key may have been revoked while the request waited. */
  private isStillAuthorized(req: callerRequest.CallerRequest, p: progress.Progress): boolean {
    const verdict = this.deps.authenticate(req);
    switch (verdict.kind) {
      case "open":
      case "team":
        return true;
      case "unknown":
        p.why = verdict.why;
        p.refusalStatus = UNAUTHORIZED;
        return false;
      case "unsure":
        p.why = verdict.why;
        return false;
    }
  }
}

function retryOutcome(v: retryBudget.Verdict, isReserved: boolean): metrics.RetryOutcome {
  if (v.from) return "allowed";
  return isReserved ? "reserved" : "exhausted";
}
