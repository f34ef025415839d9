/**
 * The task of one request: finds an endpoint for it, asks for all that a send there needs, and goes to a
 * further endpoint only where that is allowed and safe.
 * @module
 */
import type * as record from "../host/record.js";
import * as clock from "../host/clock.js";
import type * as admission from "./admission.js";
import type * as ask from "./ask.js";
import type * as choice from "./choice.js";
import * as ending from "./ending.js";
import type * as meters from "./meters.js";
import * as sendChecks from "./send-checks.js";
import * as progress from "./progress.js";
import * as retries from "./retries.js";
import * as seeker from "./seeker.js";
import * as sending from "./sending.js";
import type * as suspects from "./suspects.js";
import type * as upstream from "./upstream.js";
import type * as workerNotices from "./worker-notices.js";

export interface Options {
  readonly domain: string;
  readonly retries: retries.Options;
}

export interface Deps extends seeker.Deps {
  readonly log: record.Log;
  readonly meters: meters.Meters;
  readonly upstream: upstream.Upstream;
  /** Milliseconds since the catalog was as new as the store. */
  readonly newsAgeMs: () => number;
  readonly suspects: suspects.Suspects;
  readonly notices: workerNotices.WorkerNotices;
  /** Whether a request that was let in may still be sent, by its key. */
  readonly authenticate: sendChecks.Deps["authenticate"];
}

/** Milliseconds left below which a further send makes no sense. */
const LEAST_MS = 20;
/** Times that a request is withheld from a worker that was chosen for it. */
const WITHHELD = 6;
const SERVE: admission.Verdict = { kind: "serve" };
const SEATLESS: seeker.Found = { kind: "seatless" };

export class Dispatch {
  private readonly budget: retries.Budget;
  private readonly checks: sendChecks.SendChecks;
  private readonly seeker: seeker.Seeker;
  private readonly sender: sending.Sender;

  constructor(
    opts: Options,
    private readonly deps: Deps,
  ) {
    this.budget = new retries.Budget(opts.retries, deps.clock);
    this.checks = new sendChecks.SendChecks(this.budget, deps);
    this.seeker = new seeker.Seeker(opts.domain, deps);
    this.sender = new sending.Sender({ ...deps, checks: this.checks });
  }

  /** The process is to stop, and serves what it has to the end. */
  leave(): void {
    this.budget.leave();
  }

  close(): void {
    this.budget.close();
  }

  /** Serves one request to its end; whether it ran, or may have run, anywhere. */
  async serve(a: ask.Ask, out: progress.Outlet): Promise<boolean> {
    const now = this.deps.clock.mono();
    this.budget.request(a.service.name);
    const p = progress.start(a);
    const cut = new AbortController();
    const stop = (): void => {
      cut.abort();
    };
    out.gone.addEventListener("abort", stop, { once: true });
    const timer = this.deps.clock.after(Math.max(0, a.dueAt - now), stop);
    let end: progress.Ending = "failed";
    try {
      end = await this.attempts(a, out, p, cut.signal);
    } finally {
      timer.cancel();
      out.gone.removeEventListener("abort", stop);
      this.tell(a, p, end);
    }
    return p.runs > 0;
  }

  private tell(a: ask.Ask, p: progress.Progress, end: progress.Ending): void {
    const now = this.deps.clock.mono();
    const firstMs = p.firstAt === undefined ? undefined : Math.round(p.firstAt - a.arrivedAt);
    const tookMs = Math.round(now - a.arrivedAt);
    this.deps.meters.request(a.route.name, end, firstMs, tookMs);
    if (p.closedBy && end === "refused") {
      this.deps.meters.noticed(a.service.name, p.closedBy, "refused");
    }
    this.deps.log.info("A request is over.", {
      request: a.meta.id,
      route: a.route.name,
      team: a.caller?.team.name,
      units: a.caller?.units,
      ending: end,
      endpoint: p.endpoint,
      sends: p.sends,
      runs: p.runs,
      targetMs: a.route.targetMs,
      expectedMs: p.expectedMs,
      newsMs: p.newsMs,
      firstMs,
      tookMs,
      why: end === "whole" ? undefined : p.why,
    });
  }

  private async attempts(
    a: ask.Ask,
    out: progress.Outlet,
    p: progress.Progress,
    cut: AbortSignal,
  ): Promise<progress.Ending> {
    for (;;) {
      if (out.gone.aborted) return "left";
      const left = a.dueAt - this.deps.clock.mono();
      if (left < LEAST_MS) return this.giveUp(a, out, p, true);
      if (p.runs > 0 && p.runs >= a.route.attempts) return this.giveUp(a, out, p, false);
      if (p.withheld > WITHHELD) return this.giveUp(a, out, p, false);
      if (p.sends >= sending.SENDS) return this.giveUp(a, out, p, false);
      if (this.checks.isQuarantined(a, p)) return this.giveUp(a, out, p, false);
      const best = await this.seeker.pick(a, p, cut);
      if (!best) return this.giveUp(a, out, p, false);
      // Asked for a seat now, it would be denied at once by each engine in turn.
      if (a.service.engine && this.seeker.heldMs(a, p) < LEAST_MS) {
        p.comeBackMs = best.firstMs - best.ownMs;
        return this.giveUp(a, out, p, false);
      }
      p.expectedMs ??= Math.round(best.firstMs);
      // Judged once: what was let in and waited is not turned away for what came after it.
      const verdict = p.judged ? SERVE : this.seeker.judge(a, best);
      if (verdict.kind === "refuse") {
        p.comeBackMs = verdict.comeBackMs;
        p.why = verdict.why;
        return this.giveUp(a, out, p, false);
      }
      const permit = await this.permitFor(a, p, best.view, cut);
      if (!permit) continue;
      const found = a.service.engine ? await this.seeker.seat(a, best, p, cut) : SEATLESS;
      p.judged ||= found.kind !== "diverted";
      if (found.kind === "diverted" || found.kind === "elsewhere") {
        permit.giveBack();
        if (!this.checks.takes(best.view.endpoint)) this.checks.turned(a, p, best.view.endpoint);
        continue;
      }
      const seat = found.kind === "seat" ? found.seat : undefined;
      const end = await this.sender.send(a, out, p, best, { seat, permit }, cut);
      if (end) return end;
    }
  }

  /**
   * A permit to send to an endpoint under the limit that it names, once its turn has come; undefined where it lets nothing
   * more in for now.
   */
  private async permitFor(
    a: ask.Ask,
    p: progress.Progress,
    { endpoint }: choice.View,
    cut: AbortSignal,
  ): Promise<workerNotices.Granted | undefined> {
    const permit = await this.deps.notices.admit(endpoint);
    if (permit.kind === "out") {
      p.comeBackMs = permit.waitMs;
      this.checks.turned(a, p, endpoint, permit.waitMs);
      return undefined;
    }
    if (permit.delayMs > 0) await clock.sleep(this.deps.clock, permit.delayMs, cut);
    if (!cut.aborted && permit.isGood()) return permit;
    this.checks.turned(a, p, endpoint);
    permit.giveBack();
    return undefined;
  }

  private giveUp(
    a: ask.Ask,
    out: progress.Outlet,
    p: progress.Progress,
    late: boolean,
  ): progress.Ending {
    return ending.giveUp(this.deps.clock, a, out, p, late);
  }
}
