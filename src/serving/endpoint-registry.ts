/**
 * Keeps what an entry daemon knows of each endpoint: what its connections to endpoint daemons report, and the outcomes
 * of its own requests.
 * @module
 */
import * as ring from "../contract/ring.js";
import type * as clock from "../host/clock.js";
import * as hash from "../host/hash.js";
import * as catalog from "./catalog.js";
import type * as choice from "./choice.js";
import * as fleet from "./fleet.js";
import type * as suspicionState from "./suspicion-state.js";
import * as adapterIndex from "./adapter-index.js";
import * as incarnation from "./incarnation.js";
import * as limiter from "./limiter.js";
import * as link from "./link.js";
import type * as metrics from "./metrics.js";
import * as peak from "./peak.js";
import type * as search from "./search.js";
import * as callLatency from "./spread/call-latency.js";

/** Weight of the latest request in an endpoint's failure rate. */
const LATEST_FAILURE_WEIGHT = 0.24;
/** Half-life of an endpoint's failure rate, in milliseconds; it decays so that the endpoint is tried again. */
const FAILURE_HALF_LIFE_MS = 3000;

/** What this daemon's own requests tell of an endpoint. */
interface LocalStats {
  readonly inFlight: number;
  /** Moving average of the failures, 0 to 1, at the time `failedAt`. */
  readonly failureRate: number;
  /** Monotonic ms at which the failure rate was last updated. */
  readonly failedAt: number;
  /** Moving average of the latencies; 0 before the first. */
  readonly latencyMs: number;
  /** Monotonic ms at which it was last updated. */
  readonly measuredAt: number;
}

/** The failure rate, decayed to the time `now`. */
function failureRateNow(stats: LocalStats, now: number): number {
  return stats.failureRate * 2 ** (-(now - stats.failedAt) / FAILURE_HALF_LIFE_MS);
}

const NO_STATS: LocalStats = {
  inFlight: 0,
  failureRate: 0,
  failedAt: 0,
  latencyMs: 0,
  measuredAt: 0,
};

/**
 * Number of connections to endpoint daemons that are opened at a time where no request needs them, and the
 * milliseconds between two such batches. Each connection takes about 2 ms of processor time in a daemon that has just
 * started, which on a quarter of a core is better spent on the requests at hand; 55 connections take 0.6 s.
 */
const LINK_BATCH = 2;
const LINK_BATCH_INTERVAL_MS = 20;
/**
 * Number of endpoint daemons to which a message about a request that crashes workers is sent; each relays it to all
 * entry daemons. With three, it reaches them all even if one of the three is on a lost host and another has just
 * started.
 */
const RELAY_TARGETS = 3;
/**
 * Milliseconds for which a count of entry daemons is remembered. This is longer than most failures cut hosts off from
 * one another, and than the windows of the limits that entry daemons share.
 */
export const HOST_COUNT_WINDOW_MS = 60_000;
/** Maximum number of cached rings: those of a few services, each before and after an engine joined or left. */
const MAX_RINGS = 8;

/** The owner candidates found so far for the endpoints and the configuration of a catalog. */
interface OwnerCache {
  readonly endpointMap: catalog.Catalog["endpoints"];
  readonly config: catalog.Config | undefined;
  readonly layout: fleet.Layout;
  /** Addresses of endpoint daemons by key, the preferred owner first. */
  readonly byKey: Map<string, readonly string[]>;
}

/** When the first of several endpoints accepts requests again, and whether a limit or a pause prevents it before. */
export interface Opening {
  readonly inMs: number;
  readonly reason: metrics.NoticeReason;
}

/** Selects endpoints by the version of their software. */
export type SoftwareFilter = (software: string) => boolean;
const ANY_SOFTWARE: SoftwareFilter = () => true;

const EMPTY_LAYOUT: fleet.Layout = { ring: ring.build([]), byAddress: new Map() };

/** What the registry needs of the entry daemon. */
export interface Deps extends Omit<
  link.Deps,
  "onEngineLost" | "onAdaptersChanged" | "onAvailable" | "onEntryCount"
> {
  readonly catalog: () => catalog.Catalog;
  /** `ip:port` of the endpoint daemon beside an endpoint. */
  readonly daemonOf: (e: catalog.Endpoint) => string;
  /** Milliseconds until the limit that an endpoint announced admits one more request. */
  readonly limitWaitMs: (id: string) => number;
  /**
   * Milliseconds until an endpoint accepts a request of this host, regardless of its limit; Infinity where it is
   * leaving.
   */
  readonly availableInMs: (e: catalog.Endpoint) => number;
  /** Returns a random number, 0 or more and less than 1. */
  readonly random: () => number;
}

/** The endpoints that an entry daemon knows, with its connections to the endpoint daemons beside engines. */
export class EndpointRegistry {
  private readonly links = new Map<string, link.Link>();
  private readonly stats = new Map<string, LocalStats>();
  private readonly lossWatchers = new Map<string, Set<() => void>>();
  private readonly holders = new adapterIndex.AdapterIndex();
  private readonly layouts = new WeakMap<readonly catalog.Endpoint[], fleet.Layout>();
  private rings: readonly ring.Ring[] = [];
  private readonly availabilityWatchers = new Set<() => void>();
  /** Cached owner candidates; replaced when the endpoints or the configuration change. */
  private ownerCache: OwnerCache = {
    endpointMap: new Map(),
    config: undefined,
    layout: EMPTY_LAYOUT,
    byKey: new Map(),
  };
  /** Engines that have no connection yet, by the address of their endpoint daemon. */
  private unlinked = new Map<string, catalog.Endpoint>();
  private linkTimer: clock.Timer | undefined;
  /** Highest numbers of entry daemons that endpoint daemons reported. */
  private entryCounts: peak.Peak | undefined;

  constructor(
    private readonly deps: Deps,
    private readonly clk: clock.Clock,
  ) {}

  /** Views of the endpoints of a service whose software is accepted. */
  views(service: catalog.Service, accepts = ANY_SOFTWARE): readonly choice.View[] {
    return this.endpointsOf(service, accepts).map((e) => this.view(service, e, 0));
  }

  /** Views of the engines of a service whose software is accepted, created as a search needs them. */
  engineViews(service: catalog.Service, accepts = ANY_SOFTWARE): search.EngineViews {
    const layout = this.layoutOf(catalog.endpointsOf(this.deps.catalog(), service));
    const viewOf = (e: catalog.Endpoint, place: number): choice.View =>
      this.view(service, e, place);
    return fleet.viewsFor(layout, this.holders, viewOf, this.deps.random, (e) =>
      accepts(catalog.softwareOf(e)),
    );
  }

  private endpointsOf(
    service: catalog.Service,
    accepts: SoftwareFilter,
  ): readonly catalog.Endpoint[] {
    const list = catalog.endpointsOf(this.deps.catalog(), service);
    return accepts === ANY_SOFTWARE ? list : list.filter((e) => accepts(catalog.softwareOf(e)));
  }

  /** Whether an endpoint of a service other than `besides` has a software version and is not leaving. */
  isServed(service: catalog.Service, software: string, besides?: string): boolean {
    return this.endpointsOf(service, (s) => s === software).some(
      (e) => e.id !== besides && this.deps.availableInMs(e) < Infinity,
    );
  }

  /**
   * When the first endpoint of a service whose software is accepted takes one more request, by what the endpoints announced.
   * Undefined where one takes requests now, or where all are leaving or there is none.
   */
  nextOpening(service: catalog.Service, accepts = ANY_SOFTWARE): Opening | undefined {
    const list = this.endpointsOf(service, accepts).map((e): Opening => {
      const [opensInMs, limitedMs] = [this.deps.availableInMs(e), this.deps.limitWaitMs(e.id)];
      return limitedMs > opensInMs
        ? { inMs: limitedMs, reason: "limit" }
        : { inMs: opensInMs, reason: "pause" };
    });
    const earliest = list.reduce<Opening | undefined>(
      (min, o) => (min && min.inMs <= o.inMs ? min : o),
      undefined,
    );
    return earliest && earliest.inMs > 0 && Number.isFinite(earliest.inMs) ? earliest : undefined;
  }

  /** Whether an engine of a service whose software is accepted is starting and not leaving. */
  hasStartingEngine(service: catalog.Service, accepts = ANY_SOFTWARE): boolean {
    if (!service.engine) return false;
    return this.endpointsOf(service, accepts).some(
      (e) =>
        this.deps.availableInMs(e) < Infinity &&
        (this.links.get(this.deps.daemonOf(e))?.isStarting ?? true),
    );
  }

  /** Calls `callback` whenever an endpoint may have become usable; returns a function that unsubscribes. */
  onAvailable(callback: () => void): () => void {
    this.availabilityWatchers.add(callback);
    return () => this.availabilityWatchers.delete(callback);
  }

  /** Notifies those who wait for an endpoint that one may have become usable. */
  notifyAvailable(): void {
    for (const callback of this.availabilityWatchers) callback();
  }

  private layoutOf(list: readonly catalog.Endpoint[]): fleet.Layout {
    const cached = this.layouts.get(list);
    if (cached) return cached;
    const layout = fleet.buildLayout(list, this.deps.daemonOf, this.rings);
    this.layouts.set(list, layout);
    const others = this.rings.filter((r) => r !== layout.ring);
    this.rings = [layout.ring, ...others.slice(0, MAX_RINGS - 1)];
    return layout;
  }

  private view(
    service: catalog.Service,
    endpoint: catalog.Endpoint,
    orderIndex: number,
  ): choice.View {
    const conn = service.engine && this.link(endpoint);
    const stats = this.stats.get(endpoint.id) ?? NO_STATS;
    const availableInMs = this.deps.availableInMs(endpoint);
    const isThisStart = conn?.state && incarnation.mayBeSame(conn.state.instance, endpoint.id);
    const state = isThisStart ? conn.state : undefined;
    const isOtherStart = conn?.state !== undefined && state === undefined;
    return {
      endpoint,
      state: isOtherStart ? { ...conn.state, instance: "" } : state,
      holdings: conn?.holdings,
      inFlight: stats.inFlight,
      pendingTokens: conn?.pendingTokens ?? 0,
      pendingSlots: conn?.pendingSlots ?? 0,
      failureRate: failureRateNow(stats, this.clk.mono()),
      latencyMs: stats.latencyMs,
      latencyAgeMs: stats.latencyMs > 0 ? this.clk.mono() - stats.measuredAt : undefined,
      isStarting: availableInMs < Infinity && (conn?.isStarting ?? false),
      orderIndex,
      stateAgeMs: conn?.stateAgeMs ?? 0,
      idleMs: conn?.idleMs,
      limitWaitMs: this.deps.limitWaitMs(endpoint.id),
      availableInMs,
    };
  }

  /** The connection to the endpoint daemon beside an endpoint, opened where there is none yet. */
  link(e: catalog.Endpoint): link.Link {
    const address = this.deps.daemonOf(e);
    let conn = this.links.get(address);
    if (!conn) {
      conn = new link.Link(address, {
        ...this.deps,
        onEngineLost: (instance) => {
          this.deps.log.warn("An engine was lost.", { endpoint: instance });
          for (const callback of this.lossWatchers.get(incarnation.workerOf(instance)) ?? [])
            callback();
        },
        onAdaptersChanged: (before, now) => {
          this.holders.update(address, before, now);
        },
        onAvailable: () => {
          this.notifyAvailable();
        },
        onEntryCount: (entries) => {
          this.entryCounts = peak.addReading(
            this.entryCounts,
            entries,
            this.clk.steady(),
            HOST_COUNT_WINDOW_MS,
          );
        },
      });
      this.links.set(address, conn);
      this.unlinked.delete(address);
    }
    return conn;
  }

  /**
   * Connects to the engines of the catalog, a few at a time unless a request needs one, and drops the connections and
   * statistics of endpoints that the catalog no longer has.
   */
  refresh(): void {
    const { config, endpoints } = this.deps.catalog();
    if (!config) return;
    const wanted = new Map<string, catalog.Endpoint>();
    for (const s of config.services.values()) {
      if (!s.engine) continue;
      for (const e of catalog.endpointsOf(this.deps.catalog(), s)) {
        wanted.set(this.deps.daemonOf(e), e);
      }
    }
    for (const [address, conn] of this.links) {
      if (wanted.has(address)) continue;
      conn.close();
      this.holders.update(address, conn.adaptersAtHand, new Set());
      this.links.delete(address);
    }
    this.unlinked = new Map(
      this.rotatedAtRandom([...wanted].filter(([address]) => !this.links.has(address))),
    );
    this.linkNextBatch();
    const present = new Set([...endpoints.values()].map((e) => e.id));
    for (const id of this.stats.keys()) if (!present.has(id)) this.stats.delete(id);
    this.notifyAvailable();
  }

  private linkNextBatch(): void {
    if (this.linkTimer || this.unlinked.size === 0) return;
    for (const e of [...this.unlinked.values()].slice(0, LINK_BATCH)) this.link(e);
    this.linkTimer = this.clk.after(LINK_BATCH_INTERVAL_MS, () => {
      this.linkTimer = undefined;
      this.linkNextBatch();
    });
  }

  /** Rotates a list by a random offset, so that not all hosts connect to the same engine first. */
  private rotatedAtRandom<T>(list: readonly T[]): readonly T[] {
    const offset = Math.floor(this.deps.random() * list.length);
    return [...list.slice(offset), ...list.slice(0, offset)];
  }

  /**
   * The highest number of entry daemons that an endpoint daemon reported in the last {@link HOST_COUNT_WINDOW_MS}.
   * While no endpoint daemon is connected, the last result stays; undefined until one has reported a number.
   */
  mostHosts(): number | undefined {
    return this.entryCounts && peak.highest(this.entryCounts);
  }

  /**
   * Connections to up to `n` endpoint daemons that may own the shared state of `key`, the preferred one first. All hosts
   * that know the same engines get the same list.
   */
  ownerCandidates(key: string, n: number): readonly link.Link[] {
    const { config, endpoints } = this.deps.catalog();
    const services = [...(config?.services.values() ?? [])].filter((s) => s.engine);
    if (this.ownerCache.endpointMap !== endpoints || this.ownerCache.config !== config) {
      const list = services.flatMap((s) => catalog.endpointsOf(this.deps.catalog(), s));
      this.ownerCache = {
        endpointMap: endpoints,
        config,
        layout: this.layoutOf(list),
        byKey: new Map(),
      };
    }
    const { layout, byKey } = this.ownerCache;
    const daemons = byKey.get(key) ?? ring.successors(layout.ring, key, n, n).map((p) => p.name);
    byKey.set(key, daemons);
    return daemons.flatMap((address) => {
      const [e] = layout.byAddress.get(address) ?? [];
      return e ? [this.link(e)] : [];
    });
  }

  /**
   * Connections to the endpoint daemons that announce a worker's limit to all hosts: those that may own it, and the
   * one beside the worker, from which each host requests a seat before it sends there.
   */
  limitAnnouncers(id: string): readonly link.Link[] {
    const owners = this.ownerCandidates(
      limiter.ownerKey(limiter.workerKey(id)),
      limiter.OWNER_CANDIDATES,
    );
    const e = this.deps.catalog().endpoints.get(incarnation.workerOf(id));
    const besideWorker = e && this.links.get(this.deps.daemonOf(e));
    return [...new Set([...owners, ...(besideWorker ? [besideWorker] : [])])];
  }

  /** Whether this host is connected to all endpoint daemons, apart from those that cannot be reached. */
  get isLinked(): boolean {
    const { config } = this.deps.catalog();
    if (!config || this.unlinked.size > 0) return false;
    return [...this.links.values()].every((l) => l.isConnected || !l.isStarting);
  }

  /** Sends a message to a few of the connected endpoint daemons, for the same key to the same ones. */
  relay(key: string, m: suspicionState.Message): void {
    const connected = [...this.links.values()].filter((l) => l.isConnected);
    const ordered = connected.map((l) => ({ l, score: hash.hash32(`${key} ${l.address}`) }));
    ordered.sort((a, b) => a.score - b.score);
    for (const { l } of ordered.slice(0, RELAY_TARGETS)) l.send(m);
  }

  /** Calls `callback` if the engine `id` is lost while it is watched; returns a function that ends the watch. */
  watch(id: string, callback: () => void): () => void {
    const worker = incarnation.workerOf(id);
    const callbacks = this.lossWatchers.get(worker) ?? new Set();
    this.lossWatchers.set(worker, callbacks);
    callbacks.add(callback);
    return () => {
      callbacks.delete(callback);
      if (callbacks.size === 0) this.lossWatchers.delete(worker);
    };
  }

  /** Records that a request was sent to an endpoint. */
  requestStarted(id: string): void {
    const stats = this.stats.get(id) ?? NO_STATS;
    this.stats.set(id, { ...stats, inFlight: stats.inFlight + 1 });
  }

  /** Records that a request has ended; `good` is undefined when it tells nothing about the endpoint. */
  requestEnded(id: string, good: boolean | undefined, tookMs: number | undefined): void {
    const stats = this.stats.get(id) ?? NO_STATS;
    const now = this.clk.mono();
    const decayed = failureRateNow(stats, now);
    const failureRate =
      good === undefined
        ? stats.failureRate
        : decayed + ((good ? 0 : 1) - decayed) * LATEST_FAILURE_WEIGHT;
    this.stats.set(id, {
      inFlight: Math.max(0, stats.inFlight - 1),
      failureRate,
      failedAt: good === undefined ? stats.failedAt : now,
      latencyMs:
        tookMs === undefined
          ? stats.latencyMs
          : callLatency.meanAfter(stats.latencyMs, now - stats.measuredAt, tookMs),
      measuredAt: tookMs === undefined ? stats.measuredAt : now,
    });
  }

  /** Closes all connections. */
  close(): void {
    this.linkTimer?.cancel();
    this.unlinked.clear();
    for (const l of this.links.values()) l.close();
  }
}
