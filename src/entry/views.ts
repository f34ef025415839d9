/**
 * The views of all endpoints that an entry daemon knows. They are updated from the list of hosts,
 * from reports in the headers of answers, and by polling a few endpoints at a time.
 * @module
 */
import * as lru from "lru-cache";
import * as intents from "../contract/intent.js";
import type * as objects from "../contract/objects.js";
import * as ring from "../contract/ring.js";
import type * as clock from "../host/clock.js";
import * as errors from "../host/errors.js";
import * as log from "../host/log.js";
import type * as members from "../host/members.js";
import * as circuitBreaker from "../link/circuit-breaker.js";
import type * as control from "../link/control.js";
import type * as wire from "../link/wire.js";
import type * as hosts from "../store/hosts.js";
import type * as route from "./route.js";
import * as view from "./view.js";

/** Settings of polling, of the choice of candidates, and of circuit breakers. */
export interface Options {
  /** Endpoints polled at a time; bounds the cost of polling however many endpoints there are. */
  readonly maxPolled: number;
  /**
   * Milliseconds without a byte from an endpoint with attempts in flight after which it is polled.
   */
  readonly pollAfterMs: number;
  /** Failed polls in a row after which an endpoint counts as not responding. */
  readonly maxMisses: number;
  /** Endpoints taken from the ring as candidates for one request. */
  readonly candidates: number;
  /**
   * Largest number of further candidates that hold the adapter but were not taken from the ring.
   */
  readonly maxHolders: number;
  readonly circuit: circuitBreaker.Options;
}

export interface Deps {
  readonly clock: clock.Clock;
  readonly log: log.Log;
  readonly members: members.Members;
  readonly peer: (m: hosts.Member) => control.Peer;
}

/**
 * Largest number of cached rings; a change of the intent that keeps a placement's endpoints reuses
 * its ring.
 */
const MAX_CACHED_RINGS = 256;

/** Holds the view of each listed endpoint and the attempts in flight there. */
export class EndpointViews {
  private readonly views = new Map<string, view.View>();
  /** Names of the endpoints that hold each target, by their last reports. */
  private readonly holders = new Map<string, Set<string>>();
  /** Attempts in flight, by endpoint. */
  private readonly inFlight = new Map<string, Set<AbortController>>();
  /** Failed polls in a row, by endpoint. */
  private readonly missedPolls = new Map<string, number>();
  /** When bytes of an answer last arrived from each endpoint, in monotonic ms. */
  private readonly lastBytesAt = new Map<string, number>();
  /** Rings by the names and failure domains of their endpoints. */
  private readonly ringCache = new lru.LRUCache<string, ring.Ring>({ max: MAX_CACHED_RINGS });
  /** Rings by list of endpoints, which is the same object until the intent changes. */
  private readonly ringByEndpoints = new WeakMap<readonly objects.Endpoint[], ring.Ring>();
  /** Index of the member from which the rotation of polls goes on. */
  private nextIndex = 0;

  constructor(
    private readonly opts: Options,
    private readonly deps: Deps,
  ) {
    deps.members.onChange(() => {
      this.syncMembers();
    });
  }

  /** Applies the list of hosts; an endpoint with a new address starts with an empty view. */
  private syncMembers(): void {
    const listed = new Set<string>();
    for (const m of this.deps.members.all()) {
      if (m.role !== "endpoint") continue;
      listed.add(m.name);
      const { name, failureDomain, address, leaving } = m;
      const existing = this.views.get(name);
      const member = { name, failureDomain, address, leaving };
      const addressChanged = existing?.address !== address;
      this.set(existing && !addressChanged ? { ...existing, ...member } : view.unheard(member));
    }
    for (const name of [...this.views.keys()]) {
      if (!listed.has(name)) this.remove(name);
    }
  }

  /** Stores a view and updates the index of holders. */
  private set(v: view.View): void {
    const oldReport = this.views.get(v.name)?.news;
    this.views.set(v.name, v);
    if (oldReport === v.news) return;
    for (const target of oldReport?.loaded ?? []) this.holders.get(target)?.delete(v.name);
    for (const target of v.news?.loaded ?? []) {
      const set = this.holders.get(target);
      if (set) set.add(v.name);
      else this.holders.set(target, new Set([v.name]));
    }
    for (const target of oldReport?.loaded ?? []) {
      if (this.holders.get(target)?.size === 0) this.holders.delete(target);
    }
  }

  private remove(name: string): void {
    const v = this.views.get(name);
    if (!v) return;
    this.set({ ...v, news: undefined });
    this.views.delete(name);
    this.missedPolls.delete(name);
    this.lastBytesAt.delete(name);
  }

  /** The view of an endpoint; undefined when it is not listed. */
  get(name: string): view.View | undefined {
    return this.views.get(name);
  }

  /** Applies a report from an endpoint, whichever way it arrived. */
  receive(news: wire.EndpointReport): void {
    const v = this.views.get(news.endpoint);
    if (v) this.set(view.hear(v, news, this.deps.clock.mono()));
  }

  /**
   * Records an attempt that is sent to `name`; `abort` is aborted when the endpoint stops
   * responding.
   */
  attemptStarted(name: string, abort: AbortController): void {
    const v = this.views.get(name);
    if (!v) return;
    const set = this.inFlight.get(name);
    if (set) set.add(abort);
    else this.inFlight.set(name, new Set([abort]));
    const now = this.deps.clock.mono();
    this.set({ ...v, own: v.own + 1, circuit: circuitBreaker.recordSend(v.circuit, now) });
  }

  /** Records the end of an attempt; `good` tells whether the endpoint behaved correctly. */
  attemptEnded(name: string, abort: AbortController, good: boolean): void {
    this.inFlight.get(name)?.delete(abort);
    const v = this.views.get(name);
    if (!v) return;
    const now = this.deps.clock.mono();
    const next = good
      ? circuitBreaker.recordSuccess()
      : circuitBreaker.recordFailure(v.circuit, this.opts.circuit, now);
    if (next.kind === "open" && v.circuit.kind !== "open") {
      this.deps.log.warn(`${name} is left out for ${next.openMs} ms after failures.`);
    }
    this.set({ ...v, own: Math.max(0, v.own - 1), circuit: next });
  }

  /**
   * The endpoints that may serve `target` under its placements, in the order of the ring, without
   * those in `tried` and those that are unusable now.
   */
  candidates(
    intent: intents.Intent,
    target: objects.Adapter | objects.Of<"Service">,
    key: string,
    tried: ReadonlySet<string>,
  ): readonly route.Candidate[] {
    const now = this.deps.clock.mono();
    const found = new Map<string, route.Candidate>();
    for (const p of intents.placementsOf(intent, target)) {
      const allowed = intents.endpointsOf(intent, p, target);
      const domains = p.spec.spread?.failureDomains ?? 1;
      const endpointRing = this.ringFor(intent, allowed);
      const { candidates } = this.opts;
      for (const [rank, place] of ring
        .successors(endpointRing, key, candidates, domains)
        .entries()) {
        this.addIfUsable(found, place.name, rank, now, tried);
      }
      let extra = 0;
      for (const name of this.holders.get(key) ?? []) {
        if (found.has(name) || extra >= this.opts.maxHolders) continue;
        const e = intents.find(intent, "Endpoint", name);
        if (!e || !allowed.includes(e)) continue;
        extra++;
        this.addIfUsable(found, name, candidates, now, tried);
      }
    }
    return [...found.values()].filter(({ view: v }) => {
      const e = intents.find(intent, "Endpoint", v.name);
      return e && !intents.drained(intent, e);
    });
  }

  /**
   * Adds an endpoint to `found` unless it is unknown, there already, tried, or unusable at `now`.
   */
  private addIfUsable(
    found: Map<string, route.Candidate>,
    name: string,
    rank: number,
    now: number,
    tried: ReadonlySet<string>,
  ): void {
    const v = this.views.get(name);
    if (!v || found.has(name) || tried.has(name) || view.unusable(v, now) !== undefined) return;
    found.set(name, { view: v, rank });
  }

  /** The hash ring of these endpoints, cached. */
  private ringFor(intent: intents.Intent, allowed: readonly objects.Endpoint[]): ring.Ring {
    const cached = this.ringByEndpoints.get(allowed);
    if (cached) return cached;
    const places = allowed.map((e) => ({
      name: e.metadata.name,
      failureDomain: intents.find(intent, "Host", e.spec.host)?.spec.failureDomain ?? "",
    }));
    const key = places.map((p) => `${p.name}/${p.failureDomain}`).join();
    const built = this.ringCache.get(key) ?? ring.build(places);
    this.ringCache.set(key, built);
    this.ringByEndpoints.set(allowed, built);
    return built;
  }

  /** Records that bytes of an answer arrived from `name`, so it is alive and need not be polled. */
  recordBytes(name: string): void {
    this.lastBytesAt.set(name, this.deps.clock.mono());
    this.missedPolls.delete(name);
  }

  /** Milliseconds since a report or bytes of an answer last arrived from `name`. */
  private quietMs(name: string): number {
    const lastHeardAt = Math.max(
      this.lastBytesAt.get(name) ?? 0,
      this.views.get(name)?.heardAt ?? 0,
    );
    return this.deps.clock.mono() - lastHeardAt;
  }

  /**
   * Polls a bounded number of endpoints for their state: first those that failed to answer a poll,
   * then those with attempts in flight that have sent nothing for the longest time, then the next
   * in rotation.
   */
  async poll(): Promise<void> {
    const all = this.deps.members.all().filter((m) => m.role === "endpoint");
    const unanswered = all.filter((m) => {
      const misses = this.missedPolls.get(m.name) ?? 0;
      return misses > 0 && misses < this.opts.maxMisses;
    });
    const quiet = all
      .filter((m) => this.hasInFlight(m.name) && this.quietMs(m.name) >= this.opts.pollAfterMs)
      .sort((a, b) => this.quietMs(b.name) - this.quietMs(a.name));
    const rotation = all
      .map((_, i) => all[(this.nextIndex + i) % all.length])
      .filter((m) => m !== undefined);
    const chosen = [...new Set([...unanswered, ...quiet, ...rotation])].slice(
      0,
      this.opts.maxPolled,
    );
    this.nextIndex += Math.max(1, chosen.length - unanswered.length - quiet.length);
    await Promise.all(chosen.map((m) => this.pollOne(m)));
  }

  private hasInFlight(name: string): boolean {
    return (this.inFlight.get(name)?.size ?? 0) > 0;
  }

  private async pollOne(m: hosts.Member): Promise<void> {
    try {
      const news = await this.deps.peer(m).news.query();
      this.missedPolls.delete(m.name);
      if (news) this.receive(news);
    } catch (err) {
      const misses = (this.missedPolls.get(m.name) ?? 0) + 1;
      this.missedPolls.set(m.name, misses);
      if (misses >= this.opts.maxMisses) this.markSilent(m.name, err);
    }
  }

  /** Marks an endpoint as not responding: aborts its attempts in flight; no more are sent there. */
  private markSilent(name: string, err: unknown): void {
    const v = this.views.get(name);
    if (!v?.news) return;
    this.deps.log.warn(`${name} is silent: ${errors.messageOf(err)}`);
    this.set({ ...v, news: undefined });
    for (const abort of [...(this.inFlight.get(name) ?? [])]) abort.abort();
  }
}
