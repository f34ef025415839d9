/**
 * Simulates engines and teams of different size in virtual time, with the daemons' own decisions: choice and admission
 * by announced states on an entry daemon, and diversions, order of seats and shares on the endpoint daemons.
 * @module
 */
import * as generators from "pure-rand/generator/xoroshiro128plus";
import * as uniform from "pure-rand/distribution/uniformFloat64";
import * as admission from "../../../src/serving/admission.js";
import * as choice from "../../../src/serving/choice.js";
import * as diversion from "../../../src/serving/diversion.js";
import * as engineView from "../../../src/serving/engine-view.js";
import * as loadHistory from "../../../src/serving/load-history.js";
import * as prefillSpeed from "../../../src/serving/prefill-speed.js";
import * as residency from "../../../src/serving/residency.js";
import * as seatTable from "../../../src/serving/seat-table.js";
import * as announcedShares from "../../../src/serving/sharing/announced-shares.js";
import * as fairShares from "../../../src/serving/sharing/fair-shares.js";
import * as fixtures from "../fixtures.js";

const ENGINES = 4;
const TEAMS = 16;
const TOKENS_PER_MS = 38.7;
const MEAN_TOKENS = 2500;
const FIRST_MS = 60;
const SEAT_WAIT_MS = 1200;
/** Milliseconds between two announcements of an engine. */
const PACE_MS = 40;
const UNTIL_MS = 12_000;
const LOAD = 0.9;
export const TARGET_MS = 800;
export const SURGE = { from: 3000, until: 9500 } as const;

export interface Setup {
  readonly shared: boolean;
  /** Load of the largest team, number 0, during the surge, as a multiple of its usual load. */
  readonly surge: number;
  readonly isSilent?: (team: string) => boolean;
  /** Time at which the daemon of engine 0 forgets what it granted. */
  readonly restartAt?: number;
}

export interface Request {
  readonly id: string;
  readonly team: string;
  readonly rank: number;
  readonly at: number;
  readonly tokens: number;
  /** Time of the first event, and the engine; undefined if there was none. */
  run?: { readonly first: number; readonly engine: number };
}

function arrivals(s: Setup, seed: number): readonly Request[] {
  const sizes = Array.from({ length: TEAMS }, (_, i) => 1 / (i + 1));
  const total = sizes.reduce((a, b) => a + b);
  const list = sizes.flatMap((size, n) => {
    const [team, made]: [string, Request[]] = [String(n), []];
    const rng = generators.xoroshiro128plus(seed * TEAMS + n);
    const random = (): number => 1 - uniform.uniformFloat64(rng);
    // The first numbers after small seeds are alike.
    for (let i = 0; i < 20; i++) random();
    const perMs = (ENGINES * TOKENS_PER_MS * LOAD * size) / (MEAN_TOKENS * total);
    for (let at = 0; at < UNTIL_MS && !s.isSilent?.(team);) {
      const factor = n === 0 && at >= SURGE.from && at < SURGE.until ? s.surge : 1;
      at -= Math.log(random()) / (perMs * factor);
      const tokens = MEAN_TOKENS * (0.4 - 0.6 * Math.log(random()));
      made.push({ id: `${n}/${at}`, team, rank: Math.floor(random() * 2.99), at, tokens });
    }
    return made;
  });
  return list.sort((a, b) => a.at - b.at);
}

class Engine {
  private state: residency.State = { ...residency.empty(), models: ["m"] };
  private grants = fairShares.NO_GRANTS;
  private readonly seats = new seatTable.SeatTable();
  private readonly asked = new Map<string, Request>();
  private runs: readonly { readonly r: Request; readonly sentAt: number }[] = [];
  private freeAt = 0;
  announced: choice.View;

  constructor(
    private readonly n: number,
    private readonly shared: boolean,
  ) {
    this.announced = fixtures.view(String(n));
  }

  forget(): void {
    this.grants = fairShares.NO_GRANTS;
  }

  private view(now: number): engineView.EngineView {
    const { seats, state: held, grants, shared } = this;
    const standing = shared ? fairShares.standing(grants, held.waiting, new Map(), now) : undefined;
    const rest = { loadHistory: loadHistory.INITIAL, slots: 4, standing, now };
    return { instance: String(this.n), seats, held, ...rest };
  }

  /** Asks for a seat; returns whether the request was not diverted. */
  ask(r: Request, firm: boolean, now: number): boolean {
    const { id: seat, team, rank, tokens } = r;
    const serviceMs = prefillSpeed.firstEventMs(this.seats.speed, tokens);
    const waitMs = engineView.waitMs(this.view(now), rank, true, team);
    if (!firm && diversion.isDiverted({ waitMs, ownMs: serviceMs, targetMs: TARGET_MS }))
      return false;
    const times = { askedAt: now, targetAt: now + TARGET_MS, expiresAt: now + SEAT_WAIT_MS };
    const waiter = { seat, key: "m", model: "m", rank, serviceMs, ...times, team, tokens };
    this.state = residency.addWaiter(this.state, waiter, now);
    const client = { host: "h", send: () => undefined, sendLine: () => undefined };
    const common = { client, seatNumber: 0, request: seat, key: "m", askedAt: now, team };
    this.seats.add(seat, { ...common, grantedAt: undefined }, tokens, rank);
    this.asked.set(seat, r);
    return true;
  }

  step(now: number): void {
    for (const { r, sentAt } of this.runs.filter((x) => (x.r.run?.first ?? 0) <= now)) {
      this.seats.recordFirstEvent(r.id, now - sentAt, now);
      this.seats.remove(r.id);
    }
    this.runs = this.runs.filter((x) => (x.r.run?.first ?? 0) > now);
    const prefill = { ms: this.seats.prefillMs(now), unstarted: this.seats.unstarted(now) };
    const opts = { ...fixtures.residencyOf(4), overTeams: this.view(now).standing?.over };
    for (const a of residency.seatActions(this.state, now, opts, prefill)) {
      if (a.kind !== "grant" && a.kind !== "expire") continue;
      this.state = residency.removeWaiter(this.state, a.waiter.seat);
      const r = this.asked.get(a.waiter.seat);
      if (a.kind === "expire" || !r) this.seats.remove(a.waiter.seat);
      else this.grant(r, now);
    }
    if (now % PACE_MS > 1) return;
    const state = engineView.stateMessage(this.view(now), 1, 1000);
    this.announced = fixtures.view(String(this.n), { state });
  }

  private grant(r: Request, now: number): void {
    this.seats.grant(r.id, now);
    this.grants = fairShares.recordGrant(this.grants, r.team, r.tokens, now);
    this.freeAt = Math.max(now, this.freeAt) + r.tokens / TOKENS_PER_MS;
    r.run = { first: this.freeAt + FIRST_MS, engine: this.n };
    this.runs = [...this.runs, { r, sentAt: now }];
  }
}

/** Picks engines for a request by their announced states until one does not divert it, or it is refused. */
function dispatch(r: Request, engines: readonly Engine[], now: number): void {
  const { rank, team, tokens: promptTokens } = r;
  const tried = new Set<string>();
  const need = { model: "m", key: undefined, promptTokens, rank, team, domain: "d1", tried };
  for (;;) {
    const views = engines.map((e) => ({ ...e.announced, stateAgeMs: now % PACE_MS }));
    const [best] = choice.rankEngines(views, { ...need, targetMs: TARGET_MS });
    const times = { rank, targetMs: TARGET_MS, gapMs: 250, leftMs: 5000 };
    const givesWay = announcedShares.givesWay(best?.view.state, team);
    if (!best || admission.decide(times, best, givesWay).kind === "refuse") return;
    if (engines[Number(best.view.endpoint.id)]?.ask(r, tried.size > 1, now)) return;
    tried.add(best.view.endpoint.id);
  }
}

/** Runs a simulation and returns all requests; the same seed gives the same arrivals of each team. */
export function simulate(s: Setup, seed: number): readonly Request[] {
  const requests = arrivals(s, seed);
  const engines = Array.from({ length: ENGINES }, (_, n) => new Engine(n, s.shared));
  let next = 0;
  for (let now = 0; now < UNTIL_MS + 2000; now += 2) {
    if (now === s.restartAt) engines[0]?.forget();
    for (const e of engines) e.step(now);
    for (let r = requests[next]; r && r.at <= now; r = requests[++next]) dispatch(r, engines, now);
  }
  return requests;
}

/** Part of the engines' time during the surge that the prompts read then took. */
export function utilisation(list: readonly Request[]): number {
  const { from, until } = SURGE;
  const read = list.filter(({ run }) => run && run.first >= from && run.first < until);
  const tokens = read.reduce((sum, r) => sum + r.tokens, 0);
  return tokens / (ENGINES * TOKENS_PER_MS * (until - from));
}
