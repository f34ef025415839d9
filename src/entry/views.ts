/**
 * The endpoints an entry daemon knows, kept up to date by the list of hosts, by news that rides on
 * answers, and by asking a few of them in turn.
 * @module
 */
import * as lru from "lru-cache";
import * as intents from "../contract/intent.js";
import type * as objects from "../contract/objects.js";
import * as ring from "../contract/ring.js";
import type * as clock from "../host/clock.js";
import * as errors from "../host/why.js";
import * as log from "../host/log.js";
import type * as members from "../host/members.js";
import * as circuit from "../link/circuit.js";
import type * as control from "../link/control.js";
import type * as wire from "../link/wire.js";
import type * as hosts from "../store/hosts.js";
import type * as route from "./route.js";
import * as view from "./view.js";

export interface Options {
  /** Endpoints asked for news in one turn; bounds what control costs, however many there are. */
  readonly asked: number;
  /** Milliseconds without a byte after which an endpoint with attempts under way is asked. */
  readonly quietMs: number;
  /** Questions without an answer, in a row, after which an endpoint counts as silent. */
  readonly misses: number;
  /** Endpoints of the ring weighed for one request. */
  readonly candidates: number;
  /** Endpoints beyond the ring's that hold the adapter and are weighed too. */
  readonly holders: number;
  readonly circuit: circuit.Options;
}

export interface Deps {
  readonly clock: clock.Clock;
  readonly log: log.Log;
  readonly members: members.Members;
  readonly peer: (m: hosts.Member) => control.Peer;
}

/** Rings kept; a placement's ring outlives changes that leave its endpoints alone. */
const RINGS = 256;

export class Views {
  private readonly views = new Map<string, view.View>();
  /** Endpoints that hold a target, by news. */
  private readonly holders = new Map<string, Set<string>>();
  private readonly underWay = new Map<string, Set<AbortController>>();
  private readonly missed = new Map<string, number>();
  /** Monotonic ms at which bytes of an answer last came from an endpoint. */
  private readonly lastBytes = new Map<string, number>();
  private readonly rings = new lru.LRUCache<string, ring.Ring>({ max: RINGS });
  private readonly ringOf = new WeakMap<readonly objects.Endpoint[], ring.Ring>();
  private turn = 0;

  constructor(
    private readonly opts: Options,
    private readonly deps: Deps,
  ) {
    deps.members.onChange(() => {
      this.relist();
    });
  }

  private relist(): void {
    const listed = new Set<string>();
    for (const m of this.deps.members.all()) {
      if (m.role !== "endpoint") continue;
      listed.add(m.name);
      const { name, failureDomain, address, leaving } = m;
      const known = this.views.get(name);
      const at = { name, failureDomain, address, leaving };
      const moved = known?.address !== address;
      this.set(known && !moved ? { ...known, ...at } : view.unheard(at));
    }
    for (const name of [...this.views.keys()]) {
      if (!listed.has(name)) this.drop(name);
    }
  }

  private set(v: view.View): void {
    const before = this.views.get(v.name)?.news;
    this.views.set(v.name, v);
    if (before === v.news) return;
    for (const target of before?.loaded ?? []) this.holders.get(target)?.delete(v.name);
    for (const target of v.news?.loaded ?? []) {
      const set = this.holders.get(target);
      if (set) set.add(v.name);
      else this.holders.set(target, new Set([v.name]));
    }
    for (const target of before?.loaded ?? []) {
      if (this.holders.get(target)?.size === 0) this.holders.delete(target);
    }
  }

  private drop(name: string): void {
    const v = this.views.get(name);
    if (!v) return;
    this.set({ ...v, news: undefined });
    this.views.delete(name);
    this.missed.delete(name);
    this.lastBytes.delete(name);
  }

  get(name: string): view.View | undefined {
    return this.views.get(name);
  }

  /** News from an endpoint, by whatever way. */
  hear(news: wire.News): void {
    const v = this.views.get(news.endpoint);
    if (v) this.set(view.hear(v, news, this.deps.clock.mono()));
  }

  /** An attempt goes to `name`; `abort` is called when the endpoint falls silent. */
  sent(name: string, abort: AbortController): void {
    const v = this.views.get(name);
    if (!v) return;
    const set = this.underWay.get(name);
    if (set) set.add(abort);
    else this.underWay.set(name, new Set([abort]));
    const now = this.deps.clock.mono();
    this.set({ ...v, own: v.own + 1, circuit: circuit.sent(v.circuit, now) });
  }

  /** The attempt is over; `good` tells whether the endpoint did as it should. */
  done(name: string, abort: AbortController, good: boolean): void {
    this.underWay.get(name)?.delete(abort);
    const v = this.views.get(name);
    if (!v) return;
    const now = this.deps.clock.mono();
    const next = good ? circuit.succeeded() : circuit.failed(v.circuit, this.opts.circuit, now);
    if (next.kind === "open" && v.circuit.kind !== "open") {
      this.deps.log.warn(`${name} is left out for ${next.openMs} ms after failures.`);
    }
    this.set({ ...v, own: Math.max(0, v.own - 1), circuit: next });
  }

  /**
   * The endpoints that may serve `target` under the placements, best by the ring first, without those
   * in `tried` and those unusable now.
   */
  candidates(
    now: intents.Intent,
    target: objects.Adapter | objects.Of<"Service">,
    key: string,
    tried: ReadonlySet<string>,
  ): readonly route.Candidate[] {
    const at = this.deps.clock.mono();
    const out = new Map<string, route.Candidate>();
    for (const p of intents.placementsOf(now, target)) {
      const allowed = intents.endpointsOf(now, p, target);
      const domains = p.spec.spread?.failureDomains ?? 1;
      const on = this.ring(now, allowed);
      const { candidates } = this.opts;
      for (const [rank, place] of ring.successors(on, key, candidates, domains).entries()) {
        this.consider(out, place.name, rank, at, tried);
      }
      let extra = 0;
      for (const name of this.holders.get(key) ?? []) {
        if (out.has(name) || extra >= this.opts.holders) continue;
        const e = intents.find(now, "Endpoint", name);
        if (!e || !allowed.includes(e)) continue;
        extra++;
        this.consider(out, name, candidates, at, tried);
      }
    }
    return [...out.values()].filter(({ view: v }) => {
      const e = intents.find(now, "Endpoint", v.name);
      return e && !intents.drained(now, e);
    });
  }

  private consider(
    out: Map<string, route.Candidate>,
    name: string,
    rank: number,
    at: number,
    tried: ReadonlySet<string>,
  ): void {
    const v = this.views.get(name);
    if (!v || out.has(name) || tried.has(name) || view.unusable(v, at) !== undefined) return;
    out.set(name, { view: v, rank });
  }

  private ring(now: intents.Intent, allowed: readonly objects.Endpoint[]): ring.Ring {
    const known = this.ringOf.get(allowed);
    if (known) return known;
    const places = allowed.map((e) => ({
      name: e.metadata.name,
      failureDomain: intents.find(now, "Host", e.spec.host)?.spec.failureDomain ?? "",
    }));
    const key = places.map((p) => `${p.name}/${p.failureDomain}`).join();
    const made = this.rings.get(key) ?? ring.build(places);
    this.rings.set(key, made);
    this.ringOf.set(allowed, made);
    return made;
  }

  /** Bytes of an answer came from `name`: it lives, and need not be asked. */
  alive(name: string): void {
    this.lastBytes.set(name, this.deps.clock.mono());
    this.missed.delete(name);
  }

  /** Milliseconds since anything came from `name`. */
  private quietMs(name: string): number {
    const heard = Math.max(this.lastBytes.get(name) ?? 0, this.views.get(name)?.heardAt ?? 0);
    return this.deps.clock.mono() - heard;
  }

  /**
   * Asks a bounded number of endpoints how they are: first those that missed a question, then those
   * with attempts under way that have been quiet longest, then the next few in turn.
   */
  async ask(): Promise<void> {
    const all = this.deps.members.all().filter((m) => m.role === "endpoint");
    const doubted = all.filter((m) => {
      const misses = this.missed.get(m.name) ?? 0;
      return misses > 0 && misses < this.opts.misses;
    });
    const quiet = all
      .filter((m) => this.busy(m.name) && this.quietMs(m.name) >= this.opts.quietMs)
      .sort((a, b) => this.quietMs(b.name) - this.quietMs(a.name));
    const next = all
      .map((_, i) => all[(this.turn + i) % all.length])
      .filter((m) => m !== undefined);
    const chosen = [...new Set([...doubted, ...quiet, ...next])].slice(0, this.opts.asked);
    this.turn += Math.max(1, chosen.length - doubted.length - quiet.length);
    await Promise.all(chosen.map((m) => this.askOne(m)));
  }

  private busy(name: string): boolean {
    return (this.underWay.get(name)?.size ?? 0) > 0;
  }

  private async askOne(m: hosts.Member): Promise<void> {
    try {
      const news = await this.deps.peer(m).news.query();
      this.missed.delete(m.name);
      if (news) this.hear(news);
    } catch (err) {
      const misses = (this.missed.get(m.name) ?? 0) + 1;
      this.missed.set(m.name, misses);
      if (misses >= this.opts.misses) this.silent(m.name, err);
    }
  }

  /** An endpoint does not answer: its attempts are ended here, and no more are sent. */
  private silent(name: string, err: unknown): void {
    const v = this.views.get(name);
    if (!v?.news) return;
    this.deps.log.warn(`${name} is silent: ${errors.why(err)}`);
    this.set({ ...v, news: undefined });
    for (const abort of [...(this.underWay.get(name) ?? [])]) abort.abort();
  }
}
