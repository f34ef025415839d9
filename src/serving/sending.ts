/**
 * One send of a request: to the endpoint that was found for it, and its answer back to the caller, with what is learnt of
 * the endpoint on the way.
 * @module
 */
import type * as clock from "../host/clock.js";
import type * as record from "../host/record.js";
import * as errors from "../host/why.js";
import type * as ask from "./ask.js";
import * as catalog from "./catalog.js";
import type * as choice from "./choice.js";
import type * as endpoints from "./endpoints.js";
import * as ending from "./ending.js";
import * as events from "./events.js";
import * as exchange from "./exchange.js";
import * as identity from "./identity.js";
import type * as link from "./link.js";
import type * as meters from "./meters.js";
import type * as notices from "./notices.js";
import type * as sendChecks from "./send-checks.js";
import type * as progress from "./progress.js";
import type * as seeker from "./seeker.js";
import type * as suspects from "./suspects.js";
import * as upstream from "./upstream.js";
import * as watches from "./watch.js";
import type * as workerNotices from "./worker-notices.js";

export interface Deps {
  readonly clock: clock.Clock;
  readonly log: record.Log;
  readonly meters: meters.Meters;
  readonly endpoints: endpoints.Endpoints;
  readonly upstream: upstream.Upstream;
  readonly suspects: suspects.Suspects;
  readonly notices: workerNotices.WorkerNotices;
  readonly checks: sendChecks.SendChecks;
  /** Milliseconds since the catalog was as new as the store. */
  readonly newsAgeMs: () => number;
}

/** Bytes of an answer that is no stream, above which it is not held in memory. */
const ANSWER_LIMIT = 8_388_608;
/** Endpoints that one request is sent to at most, counting those that did not run it. */
export const SENDS = 4;
const SERVED = 200;
/** The first status that says that a request failed at its worker. */
const FAILED = 500;

export class Sender {
  constructor(private readonly deps: Deps) {}

  /** Sends to one endpoint; undefined when a further one is to be tried. */
  async send(
    a: ask.Ask,
    out: progress.Outlet,
    p: progress.Progress,
    best: choice.Estimate,
    leave: Leave,
    cut: AbortSignal,
  ): Promise<progress.Ending | undefined> {
    const { endpoint } = best.view;
    const { seat, permit } = leave;
    const sentAt = this.deps.clock.mono();
    const leftMs = Math.max(1, Math.floor(a.dueAt - sentAt));
    p.endpoint = endpoint.id;
    this.deps.endpoints.sent(endpoint.id);
    const marks = {
      instance: seat?.instance ?? endpoint.id,
      version: seat?.version,
      rank: a.route.rank,
      leftMs,
      resumeAfter: p.lastId,
      team: a.caller?.team.name,
    };
    const mayGoOn = (): boolean => this.another(a, p) && this.deps.checks.mayBeRetried(a, p);
    const watch = watches.open(a, p, best, cut, { ...this.deps, mayGoOn });
    const run: Run = { a, out, p, endpoint, leave, sentAt, cut, watch, held: undefined };
    const gate: exchange.Gate = {
      mayStart: () => {
        run.held = this.deps.checks.held(a, p, endpoint, permit);
        if (run.held === undefined) this.started(run);
        return run.held === undefined;
      },
      whenClosed: (tell) => this.deps.notices.whenClosed(endpoint.id, tell),
    };
    try {
      const sent = await this.deps.upstream.send(a, endpoint, marks, watch.signal, gate);
      return await this.sort(run, sent);
    } finally {
      watch.end();
    }
  }

  /** A request is written now. */
  private started(r: Run): void {
    const { a, p, endpoint } = r;
    r.sentAt = this.deps.clock.mono();
    r.startedAt = this.deps.clock.steady();
    p.sends++;
    p.newsMs = Math.round(this.deps.newsAgeMs());
    p.retryIsCharged = false;
    const { notices } = this.deps;
    notices.sent(endpoint);
    if (notices.of(endpoint.id) !== undefined) {
      this.deps.meters.noticed(a.service.name, "limit", "sent");
    }
  }

  private sort(
    run: Run,
    sent: upstream.Sent,
  ): Promise<progress.Ending | undefined> | progress.Ending | undefined {
    const { p } = run;
    switch (sent.kind) {
      case "withheld":
        return this.withheld(run);
      case "unsent":
        this.unsent(run, sent.why);
        return undefined;
      case "not_run":
        this.heard(run, sent.notice, false);
        this.notRun(run, sent.why);
        this.over(run, sent.absent ? "absent" : "not_run", sent.absent ? undefined : false);
        return undefined;
      case "unknown":
        p.runs++;
        return this.brokeOff(run, sent.why);
      case "answer":
        this.heard(run, sent.notice, sent.status < FAILED);
        p.runs++;
        return this.pass(run, sent);
    }
  }

  /** It was not to be sent any more, once it could have been. */
  private withheld(r: Run): progress.Ending | undefined {
    const { a, out, p } = r;
    r.leave.permit.giveBack();
    this.over(r, "left", undefined);
    if (r.held === undefined) this.deps.checks.turned(a, p, r.endpoint);
    return r.held === "refused" ? ending.giveUp(this.deps.clock, a, out, p, false) : undefined;
  }

  /** Nothing of it was sent, since no connection came about or it was given up before. */
  private unsent(r: Run, why: string): void {
    const isOurs = r.out.gone.aborted || r.cut.aborted;
    r.leave.permit.giveBack();
    r.p.sends++;
    this.notRun(r, why);
    this.over(r, isOurs ? "left" : "not_run", isOurs ? undefined : false);
  }

  private notRun(r: Run, why: string): void {
    const { p, endpoint } = r;
    p.why = `${endpoint.id} did not run it: ${why}`;
    p.tried.add(endpoint.id);
    p.waitsFrom = this.deps.clock.mono();
    this.note(r, "It was not run there.");
  }

  /** Takes note of what an answer says of its worker. */
  private heard({ a, endpoint, startedAt }: Run, notice: notices.Notice, ran: boolean): void {
    const sentAt = startedAt ?? this.deps.clock.steady();
    this.deps.notices.heard(endpoint, { request: a.meta.id, notice, sentAt, ran });
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
    r.leave.seat?.over(how);
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
      return out.gone.aborted ? "left" : ending.giveUp(this.deps.clock, a, out, p, true);
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
    return ending.giveUp(this.deps.clock, a, out, p, false);
  }

  private async pass(r: Run, sent: Answer): Promise<progress.Ending | undefined> {
    const { a, p } = r;
    if (sent.status >= FAILED && catalog.repeatable(a.route) && this.another(a, p)) {
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
    const failed = sent.status >= FAILED;
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
          r.leave.seat?.began(this.deps.clock.mono() - r.sentAt);
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
}

type Answer = Extract<upstream.Sent, { kind: "answer" }>;

/** What a request was given for one send. */
export interface Leave {
  /** Undefined for endpoints that give none. */
  readonly seat: seeker.Granted | undefined;
  readonly permit: workerNotices.Granted;
}

/** One send under way. */
interface Run {
  readonly a: ask.Ask;
  readonly out: progress.Outlet;
  readonly p: progress.Progress;
  readonly endpoint: catalog.Endpoint;
  readonly leave: Leave;
  /** Monotonic ms at which it was given to be sent, and then at which it was written. */
  sentAt: number;
  /** Steady ms at which it was written. */
  startedAt?: number;
  readonly cut: AbortSignal;
  readonly watch: watches.Watch;
  /** Why it was withheld. */
  held: sendChecks.Held | undefined;
}

/** Whether an event of a resumed stream was passed on before. */
function isPassed(id: string | undefined, last: string): boolean {
  return id !== undefined && Number(id) <= Number(last);
}
