/**
 * Whether a request may be sent to the endpoint that was chosen for it. It may have waited for its turn, a seat or a
 * connection since it was chosen, and much may have been learnt meanwhile, so this is asked right before it is written.
 * @module
 */
import type * as record from "../host/record.js";
import type * as ask from "./ask.js";
import type * as authentication from "./authentication.js";
import * as catalog from "./catalog.js";
import type * as endpoints from "./endpoints.js";
import * as identity from "./identity.js";
import type * as meters from "./meters.js";
import type * as progress from "./progress.js";
import type * as retries from "./retries.js";
import type * as suspects from "./suspects.js";
import type * as workerNotices from "./worker-notices.js";

export interface Deps {
  readonly log: record.Log;
  readonly catalog: () => catalog.Catalog;
  readonly meters: meters.Meters;
  readonly endpoints: Pick<endpoints.Endpoints, "mostHosts">;
  readonly suspects: suspects.Suspects;
  readonly notices: Pick<workerNotices.WorkerNotices, "of" | "opensInMs" | "reason">;
  /** Whether a request that was let in may still be sent, by its key. */
  readonly authenticate: (a: ask.Ask) => authentication.Verdict;
}

const UNAUTHORIZED = 401;

/** Why a request is not sent: another endpoint may serve it, or none may. */
export type Held = "elsewhere" | "refused";

export class SendChecks {
  constructor(
    private readonly budget: retries.Budget,
    private readonly deps: Deps,
  ) {}

  /** Why a request is not to be sent to an endpoint now; a further send counts against the retry budget. */
  held(
    a: ask.Ask,
    p: progress.Progress,
    e: catalog.Endpoint,
    permit: Pick<workerNotices.Granted, "isGood">,
  ): Held | undefined {
    if (!catalog.isInUse(this.deps.catalog(), e)) {
      p.tried.add(e.id);
      p.withheld++;
      return "elsewhere";
    }
    if (!permit.isGood()) {
      this.turned(a, p, e);
      return "elsewhere";
    }
    if (!this.isStillLetIn(a, p) || this.isQuarantined(a, p)) return "refused";
    return p.sends === 0 || this.mayBeRetried(a, p) ? undefined : "refused";
  }

  /** Whether an endpoint takes requests of this host now, by what it says of itself. */
  takes(e: catalog.Endpoint): boolean {
    return this.deps.notices.opensInMs(e) === 0;
  }

  /** A request that an endpoint was chosen for does not go there, by what the endpoint says of itself. */
  turned(a: ask.Ask, p: progress.Progress, e: catalog.Endpoint, limitedMs = 0): void {
    const { notices, log, meters } = this.deps;
    const reason = notices.reason(e) ?? "limit";
    const waitMs = Math.round(Math.max(limitedMs, notices.opensInMs(e)));
    p.withheld++;
    p.why = `${e.id} takes no request now: ${reason}`;
    meters.noticed(a.service.name, reason, "elsewhere");
    log.info("A worker takes no request now.", {
      request: a.meta.id,
      endpoint: e.id,
      reason,
      perS: notices.of(e.id),
      waitMs,
    });
  }

  /** Whether the retry budget allows one more send, which is charged once. */
  mayBeRetried(a: ask.Ask, p: progress.Progress): boolean {
    if (p.retryIsCharged) return true;
    const service = a.service.name;
    const verdict = this.budget.take(service, this.deps.endpoints.mostHosts());
    this.deps.meters.retry(service, verdict.from);
    const sentence = verdict.from ? "A request may be retried." : "A retry is over the budget.";
    this.deps.log.info(sentence, {
      request: a.meta.id,
      service,
      send: p.sends + 1,
      ...verdict,
      tokens: Number(verdict.tokens.toFixed(1)),
    });
    p.retryIsCharged = verdict.from !== undefined;
    if (!p.retryIsCharged) p.why = "the retry budget is used up";
    return p.retryIsCharged;
  }

  /** Whether a request ends the workers that run it, as all hosts know together. */
  isQuarantined(a: ask.Ask, p: progress.Progress): boolean {
    const verdict = this.deps.suspects.judge(a);
    if (verdict.kind !== "quarantined") return false;
    p.why = `workers end under the request ${identity.of(a)}`;
    p.releaseMs = verdict.releaseMs;
    return true;
  }

  /** Whether its key still lets it in: it may have been taken away during a wait. */
  private isStillLetIn(a: ask.Ask, p: progress.Progress): boolean {
    const verdict = this.deps.authenticate(a);
    switch (verdict.kind) {
      case "open":
      case "team":
        return true;
      case "unknown":
        p.why = verdict.why;
        p.refusal = UNAUTHORIZED;
        return false;
      case "unsure":
        p.why = verdict.why;
        return false;
    }
  }
}
