/**
 * Plays entry hosts with old states in front of engines during an overload, in virtual time.
 * @module
 */
import * as queues from "tinyqueue";
import * as generators from "pure-rand/generator/xoroshiro128plus";
import * as uniform from "pure-rand/distribution/uniformFloat64";
import * as admission from "../../../src/serving/admission.js";
import * as choice from "../../../src/serving/choice.js";
import * as diversion from "../../../src/serving/diversion.js";
import * as returnSchedule from "../../../src/serving/overload/return-schedule.js";
import * as seatQueue from "../../../src/serving/seat-queue.js";
import * as fixtures from "../fixtures.js";

export interface Options {
  /** Arrivals in the overload, as a multiple of what the engines can serve. */
  readonly load: number;
  readonly overloadMs: number;
  /** Milliseconds from a request's arrival until its deadline. */
  readonly deadlineMs: number;
  /** Whether retries are booked; otherwise refused callers are told their estimated wait. */
  readonly isBooked: boolean;
  /** Whether refusals are graded; otherwise a threshold decides. */
  readonly isGraded: boolean;
  /** Whether all requests are of the middle rank. */
  readonly isOneRank?: boolean;
  readonly seed: number;
}

/** What became of a request, or of a retry. */
export interface Request {
  readonly rank: number;
  readonly targetMs: number;
  readonly arrivedAt: number;
  readonly dueAt: number;
  readonly isRetry: boolean;
  /** Random number by which its admission is graded. */
  readonly draw: number;
  /** The wait in its engine's queue when it joined, as a fraction of the longest admitted one. */
  joinedRatio?: number;
  /** Its wait until its engine began it, likewise; undefined if that was never. */
  servedRatio?: number;
}

/** A fourth of the requests are most urgent, half are of the middle rank; both have shorter targets than the rest. */
const TARGETS_MS = [503, 1003, 1003, 2005] as const;
const RANKS = [0, 1, 1, 2] as const;
const LIMIT_RATIOS = [1.4, 1.3, 1.0];
const [HOSTS, ENGINES, SPEEDS] = [26, 9, [0.7, 0.7, 1.7]] as const;
const [TOKENS, TOKENS_PER_MS, FIRST_MS] = [826, 38.7, 40] as const;
/** Engines announce states at this interval, which arrive at this age. */
const [STATE_MS, STATE_AGE_MS] = [100, 150] as const;
/** Arrivals outside of the overload, and the time before and after it. */
const [CALM_LOAD, BEFORE_MS, AFTER_MS] = [0.5, 4000, 12_000] as const;
const MAX_DIVERSIONS = 2;

interface Known {
  readonly at: number;
  readonly state: choice.View["state"];
  tokens: number;
}
interface Host {
  readonly phaseMs: number;
  readonly known: Map<string, Known>;
  schedule: returnSchedule.Schedule;
}
interface Waiter extends seatQueue.Waiter {
  readonly req: Request;
  readonly host: Host;
}

/** The time of the overload, in ms from the start. */
export function periodOf(o: Pick<Options, "overloadMs">): {
  readonly fromMs: number;
  readonly toMs: number;
} {
  return { fromMs: BEFORE_MS, toMs: BEFORE_MS + o.overloadMs };
}

/** The longest admitted wait of a request. */
function longestMs(r: Request): number {
  return r.targetMs * (LIMIT_RATIOS[r.rank] ?? 1);
}

/** Plays an overload; the same options give the same requests. */
export function play(o: Options): {
  readonly requests: readonly Request[];
  /** Time that the engines were busy in the overload, after its first 1.5 s. */
  readonly busy: number;
} {
  const rng = generators.xoroshiro128plus(o.seed);
  const random = (): number => uniform.uniformFloat64(rng);
  const events = new queues.default<{ at: number; run: () => void }>([], (a, b) => a.at - b.at);
  let now = 0;
  const after = (ms: number, run: () => void): void => {
    events.push({ at: now + ms, run });
  };
  const engines = Array.from({ length: ENGINES }, (_, i) => ({
    id: `e${i}`,
    readMs: TOKENS / TOKENS_PER_MS / (SPEEDS[i % 3] ?? 1),
    freeAt: 0,
    waiting: [] as readonly Waiter[],
    states: [] as choice.View["state"][],
  }));
  type Engine = (typeof engines)[number];
  const hosts = Array.from({ length: HOSTS }, (): Host => {
    return { phaseMs: random() * STATE_MS, known: new Map(), schedule: returnSchedule.EMPTY };
  });
  const requests: Request[] = [];
  const endAt = BEFORE_MS + o.overloadMs;
  const [busyFrom, perMs] = [BEFORE_MS + 1500, engines.reduce((sum, e) => sum + 1 / e.readMs, 0)];
  let busyMs = 0;

  const waitOn = (e: Engine, rank: number): number =>
    Math.max(0, e.freeAt - now) + e.waiting.filter((w) => w.rank <= rank).length * e.readMs;
  const stateOf = (e: Engine): choice.View["state"] => {
    const waitMs = Array.from({ length: 10 }, (_, rank) => waitOn(e, rank));
    const speed = { msPerToken: e.readMs / TOKENS, firstMs: FIRST_MS };
    return { ...fixtures.STATE, instance: e.id, waitMs, ...speed };
  };
  const viewOf = (h: Host, e: Engine): choice.View => {
    const i = Math.max(0, Math.floor((now - STATE_AGE_MS - h.phaseMs) / STATE_MS));
    let known = h.known.get(e.id);
    if (!known || (known.state !== e.states[i] && known.at < now - STATE_AGE_MS))
      known = { at: now - STATE_AGE_MS, state: e.states[i], tokens: 0 };
    h.known.set(e.id, known);
    const { state, tokens: pendingTokens } = known;
    return fixtures.view(e.id, { state, pendingTokens, stateAgeMs: now - known.at });
  };
  const begin = (e: Engine): void => {
    e.waiting = e.waiting.filter((w) => w.expiresAt > now);
    const [next] = seatQueue.servingOrder(e.waiting, now) as readonly Waiter[];
    if (now < e.freeAt || !next) return;
    e.waiting = e.waiting.filter((w) => w !== next);
    next.req.servedRatio = (now - next.req.arrivedAt) / longestMs(next.req);
    next.host.schedule = returnSchedule.recordAdmission(next.host.schedule, now);
    e.freeAt = now + e.readMs;
    if (now >= busyFrom && now < endAt) busyMs += e.readMs;
    after(e.readMs, () => {
      begin(e);
    });
  };
  const refuse = (req: Request, host: Host, waitMs: number): void => {
    const leftMs = req.dueAt - now;
    const estimateMs = admission.retryAfterMs(waitMs, leftMs);
    const latestMs = admission.retryAfterMs(Infinity, leftMs);
    const wanted = { rank: req.rank, waitMs: estimateMs, latestMs };
    const booked = returnSchedule.book(host.schedule, wanted, now);
    host.schedule = booked.schedule;
    if (req.isRetry) return;
    after(o.isBooked ? booked.inMs : estimateMs, () => {
      arrive({ ...req, arrivedAt: now, isRetry: true, draw: random() });
    });
  };
  const dispatch = (req: Request, h: Host, diverted: ReadonlySet<string>): void => {
    const { rank, targetMs } = req;
    const need = { model: "m", key: undefined, promptTokens: TOKENS, rank, domain: "d1", targetMs };
    const views = engines.map((e) => viewOf(h, e));
    const [best] = choice.rankEngines(views, { ...need, tried: new Set() });
    const e = engines.find((x) => x.id === best?.view.endpoint.id);
    if (!best || !e) return;
    const times = { rank, targetMs, gapMs: 300, leftMs: req.dueAt - now };
    const verdict = admission.decide(times, best, false, o.isGraded ? req.draw : undefined);
    if (verdict.kind === "refuse") {
      refuse(req, h, verdict.retryAfterMs);
      return;
    }
    const known = h.known.get(e.id);
    if (known) known.tokens += TOKENS;
    const waitMs = waitOn(e, rank);
    const isFirm = diverted.has(e.id) || diverted.size >= MAX_DIVERSIONS;
    if (!isFirm && diversion.isDiverted({ waitMs, ownMs: best.serviceMs, targetMs })) {
      h.known.set(e.id, { at: now, state: stateOf(e), tokens: 0 });
      dispatch(req, h, new Set([...diverted, e.id]));
      return;
    }
    req.joinedRatio = waitMs / longestMs(req);
    const seat = { seat: "", key: "m", model: "m", rank, askedAt: now, serviceMs: best.serviceMs };
    const until = { targetAt: now + targetMs, expiresAt: now + admission.maxSeatWaitMs(times) };
    e.waiting = [...e.waiting, { ...seat, ...until, req, host: h }];
    begin(e);
  };
  const arrive = (req: Request): void => {
    requests.push(req);
    const host = hosts[Math.floor(random() * HOSTS)];
    if (host) dispatch(req, host, new Set());
  };
  const arriveNew = (): void => {
    const i = o.isOneRank ? 1 : Math.floor(random() * RANKS.length);
    const kind = { rank: RANKS[i] ?? 0, targetMs: TARGETS_MS[i] ?? 0 };
    arrive({ ...kind, arrivedAt: now, dueAt: now + o.deadlineMs, isRetry: false, draw: random() });
    const load = now >= BEFORE_MS && now < endAt ? o.load : CALM_LOAD;
    after(-Math.log(1 - random()) / (perMs * load), arriveNew);
  };
  const announce = (): void => {
    for (const e of engines) e.states.push(stateOf(e));
    after(STATE_MS, announce);
  };
  announce();
  arriveNew();
  for (let e = events.pop(); e && e.at <= endAt + AFTER_MS; e = events.pop()) {
    now = e.at;
    e.run();
  }
  return { requests, busy: busyMs / (endAt - busyFrom) / ENGINES };
}
