/**
 * The task of one request: sends it to the endpoint that was found for it, passes the answer on, and
 * goes to a further endpoint only where that is allowed and safe.
 * @module
 */
import type * as record from "../host/record.js";
import * as clock from "../host/clock.js";
import * as errors from "../host/why.js";
import * as admission from "./admission.js";
import type * as ask from "./ask.js";
import * as catalog from "./catalog.js";
import type * as choice from "./choice.js";
import * as identity from "./identity.js";
import * as events from "./events.js";
import * as exchange from "./exchange.js";
import type * as link from "./link.js";
import type * as meters from "./meters.js";
import * as permits from "./permits.js";
import * as progress from "./progress.js";
import * as retries from "./retries.js";
import * as seeker from "./seeker.js";
import type * as suspects from "./suspects.js";
import * as upstream from "./upstream.js";
import * as watches from "./watch.js";
import type * as workerLimits from "./worker-limits.js";

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
  readonly limits: workerLimits.WorkerLimits;
  /** Whether a request that was let in may still be sent, by its key. */
  readonly authenticate: permits.Deps["authenticate"];
}

/** Milliseconds left below which a further send makes no sense. */
const LEAST_MS = 20;
/** Bytes of an answer that is no stream, above which it is not held in memory. */
const ANSWER_LIMIT = 8_388_608;
/** Endpoints that one request is sent to at most, counting those that did not run it. */
const SENDS = 4;
/** Times that a request asks for leave under workers' limits in vain. */
const LIMITED = 6;
const SERVED = 200;
const UNAVAILABLE = 503;
const SERVE: admission.Verdict = { kind: "serve" };
const SEATLESS: seeker.Found = { kind: "seatless" };

export class Dispatch {
  private readonly budget: retries.Budget;
  private readonly permits: permits.Permits;
  private readonly seeker: seeker.Seeker;

  constructor(
    opts: Options,
    private readonly deps: Deps,
  ) {
    this.budget = new retries.Budget(opts.retries, deps.clock);
    this.permits = new permits.Permits(this.budget, deps);
    this.seeker = new seeker.Seeker(opts.domain, deps);
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
    let ending: progress.Ending = "failed";
    try {
      ending = await this.attempts(a, out, p, cut.signal);
    } finally {
      timer.cancel();
      out.gone.removeEventListener("abort", stop);
      this.tell(a, p, ending);
    }
    return p.runs > 0;
  }

  private tell(a: ask.Ask, p: progress.Progress, ending: progress.Ending): void {
    const now = this.deps.clock.mono();
    const firstMs = p.firstAt === undefined ? undefined : Math.round(p.firstAt - a.arrivedAt);
    const tookMs = Math.round(now - a.arrivedAt);
    this.deps.meters.request(a.route.name, ending, firstMs, tookMs);
    this.deps.log.info("A request is over.", {
      request: a.meta.id,
      route: a.route.name,
      team: a.caller?.team.name,
      units: a.caller?.units,
      ending,
      endpoint: p.endpoint,
      sends: p.sends,
      runs: p.runs,
      targetMs: a.route.targetMs,
      expectedMs: p.expectedMs,
      newsMs: p.newsMs,
      firstMs,
      tookMs,
      why: ending === "whole" ? undefined : p.why,
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
      if (p.limited > LIMITED) return this.giveUp(a, out, p, false);
      if (p.sends >= SENDS) return this.giveUp(a, out, p, false);
      if (this.permits.isQuarantined(a, p)) return this.giveUp(a, out, p, false);
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
      const leave = await this.leaveFor(a, p, best.view, cut);
      if (!leave) continue;
      const found = a.service.engine ? await this.seeker.seat(a, best, p, cut) : SEATLESS;
      p.judged ||= found.kind !== "diverted";
      if (found.kind === "diverted" || found.kind === "elsewhere") {
        leave.giveBack();
        continue;
      }
      const seat = found.kind === "seat" ? found.seat : undefined;
      // Asked last, for requests with and without a seat: a wait for one lasts as long as the request may, and
      // an endpoint may begin to leave, or start anew, meanwhile; its daemon goes when its host does.
      if (!catalog.isInUse(this.deps.catalog(), best.view.endpoint)) {
        seat?.over("left");
        leave.giveBack();
        p.tried.add(best.view.endpoint.id);
        continue;
      }
      if (!leave.isGood()) {
        seat?.over("left");
        leave.giveBack();
        p.limited++;
        continue;
      }
      if (!this.permits.mayBeSent(a, p)) {
        seat?.over("left");
        leave.giveBack();
        return this.giveUp(a, out, p, false);
      }
      const ending = await this.send(a, out, p, best, seat, cut);
      if (ending) return ending;
    }
  }

  /**
   * Leave to send to an endpoint under the limit that it names, once its turn has come; undefined where it lets nothing
   * more in for now.
   */
  private async leaveFor(
    a: ask.Ask,
    p: progress.Progress,
    { endpoint }: choice.View,
    cut: AbortSignal,
  ): Promise<Granted | undefined> {
    const leave = await this.deps.limits.admit(endpoint);
    if (leave.kind === "out") {
      p.limited++;
      p.comeBackMs = leave.waitMs;
      p.why = `${endpoint.id} is at the limit that it names`;
      this.deps.meters.limited(a.service.name, "elsewhere");
      this.deps.log.info("A worker's limit lets a request in no more.", {
        request: a.meta.id,
        endpoint: endpoint.id,
        perS: this.deps.limits.of(endpoint.id),
        waitMs: Math.round(leave.waitMs),
      });
      return undefined;
    }
    if (leave.delayMs > 0) await clock.sleep(this.deps.clock, leave.delayMs, cut);
    if (!cut.aborted) return leave;
    leave.giveBack();
    return undefined;
  }

  /** Sends to one endpoint; undefined when a further one is to be tried. */
  private async send(
    a: ask.Ask,
    out: progress.Outlet,
    p: progress.Progress,
    best: choice.Estimate,
    seat: seeker.Granted | undefined,
    cut: AbortSignal,
  ): Promise<progress.Ending | undefined> {
    const { endpoint } = best.view;
    const sentAt = this.deps.clock.mono();
    const leftMs = Math.max(1, Math.floor(a.dueAt - sentAt));
    p.sends++;
    p.endpoint = endpoint.id;
    p.newsMs = Math.round(this.deps.newsAgeMs());
    this.deps.endpoints.sent(endpoint.id);
    if (this.deps.limits.of(endpoint.id) !== undefined)
      this.deps.meters.limited(a.service.name, "sent");
    const marks = {
      instance: seat?.instance ?? endpoint.id,
      version: seat?.version,
      rank: a.route.rank,
      leftMs,
      resumeAfter: p.lastId,
      team: a.caller?.team.name,
    };
    p.retryIsCharged = false;
    const mayGoOn = (): boolean => this.another(a, p) && this.permits.mayBeRetried(a, p);
    const watch = watches.open(a, p, best, cut, { ...this.deps, mayGoOn });
    const run: Run = { a, out, p, endpoint, seat, sentAt, cut, watch };
    try {
      const sent = await this.deps.upstream.send(a, endpoint, marks, watch.signal);
      return await this.sort(run, sent);
    } finally {
      watch.end();
    }
  }

  private sort(
    run: Run,
    sent: upstream.Sent,
  ): Promise<progress.Ending | undefined> | progress.Ending | undefined {
    const { p, endpoint } = run;
    if (sent.kind !== "unknown") this.heard(run, sent);
    switch (sent.kind) {
      case "not_run":
        p.why = `${endpoint.id} did not run it: ${sent.why}`;
        p.tried.add(endpoint.id);
        p.waitsFrom = this.deps.clock.mono();
        this.over(run, sent.absent ? "absent" : "not_run", sent.absent ? undefined : false);
        this.note(run, "It was not run there.");
        return undefined;
      case "unknown":
        p.runs++;
        return this.brokeOff(run, sent.why);
      case "answer":
        p.runs++;
        return this.pass(run, sent);
    }
  }

  /** Takes note of what an answer says of its worker's limit. */
  private heard({ a, endpoint, sentAt }: Run, sent: Exclude<upstream.Sent, Unknown>): void {
    const ran = sent.kind === "answer" && sent.status < 500;
    this.deps.limits.heard(endpoint, { request: a.meta.id, said: sent.limit, sentAt, ran });
  }

  private note(r: Run, sentence: string): void {
    this.deps.log.warn(sentence, {
      request: r.a.meta.id,
      endpoint: r.endpoint.id,
      send: r.p.sends,
      why: r.p.why,
    });
  }

  private over(r: Run, how: Parameters<link.Seat["over"]>[0], good: boolean | undefined): void {
    r.seat?.over(how);
    const tookMs = how === "whole" ? this.deps.clock.mono() - r.sentAt : undefined;
    this.deps.endpoints.done(r.endpoint.id, good, tookMs);
  }

  /** The connection of a send broke off: the worker may have ended. */
  private async brokeOff(r: Run, why: string): Promise<progress.Ending | undefined> {
    const isOurs = r.out.gone.aborted || r.cut.aborted;
    if (!isOurs) {
      const underWayMs = this.deps.clock.mono() - r.sentAt;
      const examined = this.deps.suspects.broke(r.a, r.endpoint, underWayMs);
      // Before it is sent on it must be known whether it has ended its worker.
      if (catalog.repeatable(r.a.route)) await examined;
    }
    return this.broke(r, why);
  }

  /** A send that may have run came to nothing. */
  private broke(r: Run, why: string): progress.Ending | undefined {
    const { a, out, p } = r;
    p.why = `${r.endpoint.id} broke off: ${why}`;
    if (out.gone.aborted || r.cut.aborted) {
      this.over(r, "left", undefined);
      return out.gone.aborted ? "left" : this.giveUp(a, out, p, true);
    }
    p.tried.add(r.endpoint.id);
    p.waitsFrom = this.deps.clock.mono();
    this.over(r, "failed", false);
    this.deps.log.warn("A send broke off.", {
      request: a.meta.id,
      // An attempt's id is new each time; only this tells that the same request came again.
      identity: identity.of(a),
      endpoint: r.endpoint.id,
      send: p.sends,
      underWayMs: Math.round(p.waitsFrom - r.sentAt),
      why: p.why,
    });
    if (catalog.repeatable(a.route)) return undefined;
    return this.giveUp(a, out, p, false);
  }

  private async pass(r: Run, sent: Answer): Promise<progress.Ending | undefined> {
    const { a, p } = r;
    if (sent.status >= 500 && catalog.repeatable(a.route) && this.another(a, p)) {
      await upstream.dump(sent.body);
      return this.broke(r, `status ${sent.status}`);
    }
    if (a.route.kind === "stream" && sent.status === SERVED) return this.passStream(r, sent);
    return this.passWhole(r, sent);
  }

  /** Whether a further send is allowed after one that ran. */
  private another(a: ask.Ask, p: progress.Progress): boolean {
    return p.runs < a.route.attempts && p.sends < SENDS;
  }

  private async passWhole(r: Run, sent: Answer): Promise<progress.Ending | undefined> {
    const { a, out, p } = r;
    let body: Buffer;
    try {
      body = await exchange.whole(sent.body, ANSWER_LIMIT);
    } catch (err) {
      return this.brokeOff(r, errors.why(err));
    }
    if (p.begun) return this.broke(r, `status ${sent.status} instead of the rest of a stream`);
    p.firstAt = this.deps.clock.mono();
    const failed = sent.status >= 500;
    this.over(r, failed ? "failed" : "whole", !failed);
    this.deps.suspects.ran(a);
    out.answer(sent.status, sent.headers, body);
    if (!failed) return "whole";
    p.why = `${r.endpoint.id} answered with status ${sent.status}`;
    return "passed_failure";
  }

  private async passStream(r: Run, sent: Answer): Promise<progress.Ending | undefined> {
    const { out, p } = r;
    const cutter = new events.Cutter();
    const resumed = p.lastId;
    let first = true;
    try {
      await sent.body.pump((chunk) => {
        const ready: Buffer[] = [];
        for (const e of cutter.take(chunk)) {
          if (p.begun && resumed !== undefined && isPassed(e.id, resumed)) continue;
          if (e.id !== undefined) p.lastId = e.id;
          ready.push(e.bytes);
        }
        if (ready.length === 0) return undefined;
        if (first) {
          first = false;
          r.watch.answered();
          r.seat?.began(this.deps.clock.mono() - r.sentAt);
        }
        if (!p.begun) {
          p.begun = true;
          p.firstAt = this.deps.clock.mono();
          out.begin(sent.status, sent.headers);
        }
        return out.write(ready.length === 1 && ready[0] ? ready[0] : Buffer.concat(ready));
      });
    } catch (err) {
      return this.brokeOff(r, errors.why(err));
    }
    if (!p.begun) out.begin(sent.status, sent.headers);
    if (cutter.tail().length > 0) void out.write(cutter.tail());
    this.over(r, "whole", true);
    this.deps.suspects.ran(r.a);
    out.end();
    return "whole";
  }

  /** The final answer to a request that is given up. */
  private giveUp(
    a: ask.Ask,
    out: progress.Outlet,
    p: progress.Progress,
    late: boolean,
  ): progress.Ending {
    if (out.gone.aborted) return "left";
    if (p.begun) {
      out.breakOff();
      return "broken";
    }
    if (p.runs > 0) {
      out.refuse(late ? 504 : 502, p.why);
      return late ? "late" : "unknown";
    }
    if (p.refusal !== UNAVAILABLE) {
      out.refuse(p.refusal, p.why);
      return "refused";
    }
    const leftMs = a.dueAt - this.deps.clock.mono();
    out.refuse(UNAVAILABLE, p.why, p.releaseMs ?? admission.comeBack(p.comeBackMs, leftMs));
    return "refused";
  }
}

type Granted = Extract<workerLimits.Leave, { kind: "in" }>;
type Unknown = Extract<upstream.Sent, { kind: "unknown" }>;
type Answer = Extract<upstream.Sent, { kind: "answer" }>;

/** One send under way. */
interface Run {
  readonly a: ask.Ask;
  readonly out: progress.Outlet;
  readonly p: progress.Progress;
  readonly endpoint: catalog.Endpoint;
  readonly seat: seeker.Granted | undefined;
  readonly sentAt: number;
  readonly cut: AbortSignal;
  readonly watch: watches.Watch;
}

/** Whether an event of a resumed stream was passed on before. */
function isPassed(id: string | undefined, last: string): boolean {
  return id !== undefined && Number(id) <= Number(last);
}
