/**
 * Whether a request that was let in may be sent to an endpoint now: much may have been learnt of it while it waited.
 * @module
 */
import type * as record from "../host/record.js";
import type * as ask from "./ask.js";
import type * as authentication from "./authentication.js";
import type * as endpoints from "./endpoints.js";
import * as identity from "./identity.js";
import type * as meters from "./meters.js";
import type * as progress from "./progress.js";
import type * as retries from "./retries.js";
import type * as suspects from "./suspects.js";

export interface Deps {
  readonly log: record.Log;
  readonly meters: meters.Meters;
  readonly endpoints: Pick<endpoints.Endpoints, "mostHosts">;
  readonly suspects: suspects.Suspects;
  /** Whether a request that was let in may still be sent, by its key. */
  readonly authenticate: (a: ask.Ask) => authentication.Verdict;
}

const UNAUTHORIZED = 401;

export class SendChecks {
  constructor(
    private readonly budget: retries.Budget,
    private readonly deps: Deps,
  ) {}

  /** Whether a request may be sent now; a further send counts against the retry budget. */
  mayBeSent(a: ask.Ask, p: progress.Progress): boolean {
    if (!this.isStillLetIn(a, p) || this.isQuarantined(a, p)) return false;
    return p.sends === 0 || this.mayBeRetried(a, p);
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
