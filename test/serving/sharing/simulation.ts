/**
 * Simulates a few engines and teams of different size in virtual time, with the decisions of the daemons: the entry
 * daemon's choice and admission by announced states, the endpoint daemon's diversions, order of seats and shares.
 * @module
 */
import * as generators from "pure-rand/generator/xoroshiro128plus";
import * as uniform from "pure-rand/distribution/uniformFloat64";
import * as admission from "../../../src/serving/admission.js";
import * as backlog from "../../../src/serving/backlog.js";
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

export const ENGINES = 4;
export const TEAMS = 16;
const TOKENS_PER_MS = 38.7;
const MEAN_TOKENS = 2500;
const FIRST_MS = 60;
export const TARGET_MS = 800;
const PATIENCE_MS = 2000;
/** Milliseconds between two announcements of an engine. */
const PACE_MS = 40;
export const SURGE = { from: 3000, until: 9500 } as const;
const UNTIL_MS = 12_000;

export interface Setup {
  readonly shared: boolean;
  readonly load: number;
  /** Load of the hot team during the surge, as a multiple of its usual load; the hot team is number 0. */
  readonly surge: number;
  /** Teams that send no requests. */
  readonly silent: (team: number) => boolean;
  /** Time at which the daemon of engine 0 forgets what it granted. */
  readonly restartAt?: number;
}

export interface Request {
  readonly id: string;
  readonly team: number;
  readonly rank: number;
  readonly at: number;
  readonly tokens: number;
  engine: number;
  /** Time of the first event; Infinity if there was none. */
  first: number;
}

function arrivals(s: Setup, seed: number): Request[] {
  const sizes = Array.from({ length: TEAMS }, (_, i) => 1 / (i + 1));
  const total = sizes.reduce((a, b) => a + b, 0);
  const perMs = (ENGINES * TOKENS_PER_MS * s.load) / MEAN_TOKENS / total;
  return sizes
    .flatMap((size, team) => {
      const rng = generators.xoroshiro128plus(seed * TEAMS + team);
      // The first numbers after a small seed are alike for all seeds.
      for (let i = 0; i < 20; i++) uniform.uniformFloat64(rng);
      const random = (): number => 1 - uniform.uniformFloat64(rng);
      const list: Request[] = [];
      for (let at = 0, n = 0; at < UNTIL_MS && !s.silent(team); n++) {
        const hot = team === 0 && at >= SURGE.from && at < SURGE.until ? s.surge : 1;
        at += -Math.log(random()) / (perMs * size * hot);
        const tokens = MEAN_TOKENS * (0.4 - 0.6 * Math.log(random()));
        const rank = Math.floor(random() * 2.999);
        list.push({ id: `${team}/${n}`, team, rank, at, tokens, engine: -1, first: Infinity });
      }
      return list;
    })
    .sort((a, b) => a.at - b.at);
}

/** One engine with its daemon. */
class Engine {
  state: residency.State = { ...residency.empty(), models: ["m"] };
  grants = fairShares.NO_GRANTS;
  readonly seats = new seatTable.SeatTable();
  announced: choice.View;
  freeAt = 0;
  busyMs = 0;
  runs: { readonly r: Request; readonly at: number; readonly sentAt: number }[] = [];

  constructor(
    private readonly n: number,
    private readonly shared: boolean,
  ) {
    this.announced = fixtures.view(String(n));
  }

  view(now: number): engineView.EngineView {
    const waiting = this.state.waiting;
    const standing = fairShares.standing(this.grants, waiting, new Map(), now);
    const { seats, state: held } = this;
    return {
      instance: String(this.n),
      seats,
      held,
      loadHistory: loadHistory.INITIAL,
      slots: 4,
      standing: this.shared ? standing : undefined,
      now,
    };
  }

  ask(r: Request, firm: boolean, now: number): boolean {
    const ownMs = prefillSpeed.firstEventMs(this.seats.speed, r.tokens);
    const targetMs = r.at + TARGET_MS - now;
    const waitMs = engineView.waitMs(this.view(now), r.rank, true, String(r.team));
    if (!firm && diversion.isDiverted({ waitMs, ownMs, targetMs })) return false;
    const { id: seat, tokens, rank } = r;
    const late = ownMs > targetMs ? backlog.RANK_COUNT : rank;
    const team = String(r.team);
    const client = { host: "h", send: () => undefined, sendLine: () => undefined };
    const base = { client, seatNumber: 0, request: seat, key: "m", askedAt: now, team };
    this.seats.add(seat, { ...base, grantedAt: undefined }, tokens, late);
    const times = { askedAt: now, targetAt: now + targetMs, expiresAt: now + 0.6 * PATIENCE_MS };
    const w = { seat, key: "m", model: "m", rank, serviceMs: ownMs, ...times, team, tokens };
    this.state = residency.addWaiter(this.state, w, now);
    r.engine = this.n;
    return true;
  }

  step(now: number, byId: ReadonlyMap<string, Request>): void {
    for (const run of this.runs.filter((x) => x.at <= now)) {
      run.r.first = run.at;
      this.seats.recordFirstEvent(run.r.id, run.at - run.sentAt, now);
      this.seats.remove(run.r.id);
    }
    this.runs = this.runs.filter((x) => x.at > now);
    const prefill = { ms: this.seats.prefillMs(now), unstarted: this.seats.unstarted(now) };
    const opts = { ...fixtures.residencyOf(4), overTeams: this.view(now).standing?.over };
    for (const a of residency.seatActions(this.state, now, opts, prefill)) {
      if (a.kind !== "grant" && a.kind !== "expire") continue;
      this.state = residency.removeWaiter(this.state, a.waiter.seat);
      const r = byId.get(a.waiter.seat);
      if (a.kind === "expire" || !r) {
        this.seats.remove(a.waiter.seat);
        continue;
      }
      this.seats.grant(r.id, now);
      this.grants = fairShares.recordGrant(this.grants, String(r.team), r.tokens, now);
      this.freeAt = Math.max(now, this.freeAt) + r.tokens / TOKENS_PER_MS;
      if (now >= SURGE.from && now < SURGE.until) this.busyMs += r.tokens / TOKENS_PER_MS;
      this.runs.push({ r, at: this.freeAt + FIRST_MS, sentAt: now });
    }
    if (now % PACE_MS === 0) {
      const state = engineView.stateMessage(this.view(now), 4, 1000);
      this.announced = fixtures.view(String(this.n), { state });
    }
  }
}

/** Runs a simulation; the same seed gives the same arrivals of each team. Returns the requests and the utilisation. */
export function simulate(
  s: Setup,
  seed: number,
): { readonly requests: readonly Request[]; readonly busy: number } {
  const requests = arrivals(s, seed);
  const byId = new Map(requests.map((r) => [r.id, r]));
  const engines = Array.from({ length: ENGINES }, (_, n) => new Engine(n, s.shared));
  let next = 0;
  for (let now = 0; now < UNTIL_MS + 2000; now += 2) {
    if (now === s.restartAt && engines[0]) engines[0].grants = fairShares.NO_GRANTS;
    for (const e of engines) e.step(now, byId);
    for (let r = requests[next]; r && r.at <= now; r = requests[++next]) {
      const tried = new Set<string>();
      for (;;) {
        const { rank, team: n } = r;
        const team = String(n);
        const need = {
          model: "m",
          key: undefined,
          promptTokens: r.tokens,
          rank,
          team,
          domain: "d1",
          tried,
          targetMs: TARGET_MS,
        };
        const best = choice.rankEngines(
          engines.map((e) => ({ ...e.announced, stateAgeMs: now % PACE_MS })),
          need,
        )[0];
        if (!best) break;
        const times = { rank, targetMs: TARGET_MS, gapMs: 250, leftMs: 5000 };
        const verdict = admission.decide(
          times,
          best,
          announcedShares.givesWay(best.view.state, team),
        );
        if (verdict.kind === "refuse") break;
        if (engines[Number(best.view.endpoint.id)]?.ask(r, tried.size > 1, now)) break;
        tried.add(best.view.endpoint.id);
      }
    }
  }
  const busy =
    engines.reduce((sum, e) => sum + e.busyMs, 0) / (ENGINES * (SURGE.until - SURGE.from));
  return { requests, busy };
}
