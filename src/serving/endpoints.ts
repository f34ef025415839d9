/**
 * What an entry daemon knows of each endpoint, from its connections to endpoint daemons and from its
 * own requests.
 * @module
 */
import * as ring from "../contract/ring.js";
import type * as clock from "../host/clock.js";
import * as hash from "../host/hash.js";
import * as catalog from "./catalog.js";
import type * as choice from "./choice.js";
import * as fleet from "./fleet.js";
import type * as hearsay from "./hearsay.js";
import * as holders from "./holders.js";
import * as incarnation from "./incarnation.js";
import * as limiter from "./limiter.js";
import * as link from "./link.js";
import type * as meters from "./meters.js";
import * as peak from "./peak.js";
import type * as search from "./search.js";

/** Weight of the latest request in what is remembered of an endpoint. */
const LATEST = 0.12;
/** Milliseconds after which half of the remembered failures are forgotten, so that it is tried again. */
const FORGET_MS = 3000;

interface Own {
  readonly under: number;
  readonly failing: number;
  readonly failedAt: number;
  readonly tookMs: number;
}

/** Part of the latest requests that failed, as far as it is not forgotten by now. */
function failingNow(own: Own, now: number): number {
  return own.failing * 2 ** (-(now - own.failedAt) / FORGET_MS);
}

const NEW: Own = { under: 0, failing: 0, failedAt: 0, tookMs: 0 };

/**
 * Connections to endpoint daemons that nobody waits for, made at once, and the milliseconds until the next
 * ones. Each takes some 2 ms of processor time in a daemon that has just started, which on a quarter of a
 * core is better spent on the requests that are there; 55 are made within 0.6 s.
 */
const LINKS_AT_ONCE = 2;
const LINKS_PAUSE_MS = 20;
/**
 * Endpoint daemons that are told of a request that ends workers; each tells all entry daemons. With three, all hear of
 * it though one is the daemon of a host that is lost and another has just started.
 */
const RELAYS = 3;
/**
 * Milliseconds for which a count of entry daemons is remembered: longer than hosts are cut off from one another by most
 * failures, and than a window of what they share.
 */
export const HOSTS_MS = 60_000;
/** Rings kept: those of a few services, and of a fleet before and after an engine came or went. */
const RINGS = 8;

interface Keepers {
  readonly of: catalog.Catalog["endpoints"];
  readonly config: catalog.Config | undefined;
  readonly at: fleet.Arrangement;
  /** Addresses of endpoint daemons, the first one first. */
  readonly byKey: Map<string, readonly string[]>;
}

/** When one of several endpoints takes requests again, and what it said. */
export interface Opening {
  readonly inMs: number;
  readonly reason: meters.Reason;
}

const NOWHERE: fleet.Arrangement = { ring: ring.build([]), at: new Map() };

export interface Deps extends Omit<link.Deps, "lost" | "holds" | "came" | "counted"> {
  readonly catalog: () => catalog.Catalog;
  /** `ip:port` of the endpoint daemon beside an endpoint. */
  readonly daemonOf: (e: catalog.Endpoint) => string;
  /** Milliseconds until the limit that an endpoint names lets one more request in. */
  readonly limitedMs: (id: string) => number;
  /** Milliseconds until an endpoint takes a request of this host, its limit apart; Infinity where it leaves. */
  readonly opensInMs: (e: catalog.Endpoint) => number;
  /** From 0 up to 1. */
  readonly random: () => number;
}

export class Endpoints {
  private readonly links = new Map<string, link.Link>();
  private readonly own = new Map<string, Own>();
  private readonly watchers = new Map<string, Set<() => void>>();
  private readonly holders = new holders.Holders();
  private readonly arranged = new WeakMap<readonly catalog.Endpoint[], fleet.Arrangement>();
  private rings: readonly ring.Ring[] = [];
  private readonly waiting = new Set<() => void>();
  /** Which endpoint daemons keep what, for the endpoints and the configuration that it was worked out for. */
  private kept: Keepers = { of: new Map(), config: undefined, at: NOWHERE, byKey: new Map() };
  /** Engines without a connection yet, by the address of their endpoint daemon. */
  private unlinked = new Map<string, catalog.Endpoint>();
  private linking: clock.Timer | undefined;
  /** Entry daemons there are, as endpoint daemons count them. */
  private counts: peak.Peak | undefined;

  constructor(
    private readonly deps: Deps,
    private readonly clk: clock.Clock,
  ) {}

  /** The endpoints of a service, as known now. */
  views(service: catalog.Service): readonly choice.View[] {
    const list = catalog.endpointsOf(this.deps.catalog(), service);
    return list.map((e) => this.view(service, e, 0));
  }

  /** The engines of a service, for a search among them. */
  fleet(service: catalog.Service): search.Fleet {
    const arranged = this.arrange(catalog.endpointsOf(this.deps.catalog(), service));
    const viewOf = (e: catalog.Endpoint, place: number): choice.View =>
      this.view(service, e, place);
    return fleet.of(arranged, this.holders, viewOf, this.deps.random);
  }

  /** When an endpoint of a service takes one more request, by what they say; undefined where one does or nobody knows. */
  opens(service: catalog.Service): Opening | undefined {
    const list = catalog.endpointsOf(this.deps.catalog(), service).map((e): Opening => {
      const [opensInMs, limitedMs] = [this.deps.opensInMs(e), this.deps.limitedMs(e.id)];
      return limitedMs > opensInMs
        ? { inMs: limitedMs, reason: "limit" }
        : { inMs: opensInMs, reason: "pause" };
    });
    const first = list.reduce<Opening | undefined>(
      (least, o) => (least && least.inMs <= o.inMs ? least : o),
      undefined,
    );
    return first && first.inMs > 0 && Number.isFinite(first.inMs) ? first : undefined;
  }

  /** Whether an engine of a service is on its way. */
  coming(service: catalog.Service): boolean {
    if (!service.engine) return false;
    const list = catalog.endpointsOf(this.deps.catalog(), service);
    return list.some(
      (e) =>
        this.deps.opensInMs(e) < Infinity &&
        (this.links.get(this.deps.daemonOf(e))?.coming ?? true),
    );
  }

  /** Calls `tell` once an endpoint may be of use that was not; returns what takes that back. */
  whenSomeCome(tell: () => void): () => void {
    this.waiting.add(tell);
    return () => this.waiting.delete(tell);
  }

  private came(): void {
    for (const tell of this.waiting) tell();
  }

  private arrange(list: readonly catalog.Endpoint[]): fleet.Arrangement {
    const known = this.arranged.get(list);
    if (known) return known;
    const made = fleet.arrange(list, this.deps.daemonOf, this.rings);
    this.arranged.set(list, made);
    const others = this.rings.filter((r) => r !== made.ring);
    this.rings = [made.ring, ...others.slice(0, RINGS - 1)];
    return made;
  }

  private view(service: catalog.Service, endpoint: catalog.Endpoint, place: number): choice.View {
    const at = service.engine && this.link(endpoint);
    const own = this.own.get(endpoint.id) ?? NEW;
    const opensInMs = this.deps.opensInMs(endpoint);
    const isThere = at?.state && incarnation.isSame(at.state.instance, endpoint.id);
    const state = isThere ? at.state : undefined;
    const gone = at?.state !== undefined && state === undefined;
    return {
      endpoint,
      state: gone ? { ...at.state, instance: "" } : state,
      holdings: at?.holdings,
      own: own.under,
      ownTokens: at?.tokensSince ?? 0,
      ownSlots: at?.slotsSince ?? 0,
      failing: failingNow(own, this.clk.mono()),
      tookMs: own.tookMs,
      coming: opensInMs < Infinity && (at?.coming ?? false),
      place,
      ageMs: at?.ageMs ?? 0,
      limitedMs: this.deps.limitedMs(endpoint.id),
      opensInMs,
    };
  }

  /** The connection to the endpoint daemon beside an endpoint. */
  link(e: catalog.Endpoint): link.Link {
    const address = this.deps.daemonOf(e);
    let at = this.links.get(address);
    if (!at) {
      at = new link.Link(address, {
        ...this.deps,
        lost: (instance) => {
          this.deps.log.warn("An engine is gone.", { endpoint: instance });
          for (const tell of this.watchers.get(incarnation.workerOf(instance)) ?? []) tell();
        },
        holds: (before, now) => {
          this.holders.changed(address, before, now);
        },
        came: () => {
          this.came();
        },
        counted: (entries) => {
          this.counts = peak.read(this.counts, entries, this.clk.steady(), HOSTS_MS);
        },
      });
      this.links.set(address, at);
      this.unlinked.delete(address);
    }
    return at;
  }

  /**
   * Connects to the engines there are, a few at a time unless a request needs one, and drops what belongs
   * to none any more.
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
    for (const [address, at] of this.links) {
      if (wanted.has(address)) continue;
      at.close();
      this.holders.changed(address, at.hand, new Set());
      this.links.delete(address);
    }
    this.unlinked = new Map(this.rotated([...wanted].filter(([at]) => !this.links.has(at))));
    this.linkSome();
    const there = new Set([...endpoints.values()].map((e) => e.id));
    for (const id of this.own.keys()) if (!there.has(id)) this.own.delete(id);
    this.came();
  }

  private linkSome(): void {
    if (this.linking || this.unlinked.size === 0) return;
    for (const e of [...this.unlinked.values()].slice(0, LINKS_AT_ONCE)) this.link(e);
    this.linking = this.clk.after(LINKS_PAUSE_MS, () => {
      this.linking = undefined;
      this.linkSome();
    });
  }

  /** A list from a place drawn at random on, so that not all hosts connect to the same engine first. */
  private rotated<T>(list: readonly T[]): readonly T[] {
    const from = Math.floor(this.deps.random() * list.length);
    return [...list.slice(from), ...list.slice(0, from)];
  }

  /**
   * The most entry daemons that an endpoint daemon counted in the last {@link HOSTS_MS}, or before none was reached;
   * undefined until one has told.
   */
  mostHosts(): number | undefined {
    return this.counts && peak.highest(this.counts);
  }

  /**
   * Connections to up to `n` endpoint daemons that keep what belongs to `key`, the first one first: the same on all
   * hosts that know the same engines.
   */
  keepers(key: string, n: number): readonly link.Link[] {
    const { config, endpoints } = this.deps.catalog();
    const engines = [...(config?.services.values() ?? [])].filter((s) => s.engine);
    if (this.kept.of !== endpoints || this.kept.config !== config) {
      const list = engines.flatMap((s) => catalog.endpointsOf(this.deps.catalog(), s));
      this.kept = { of: endpoints, config, at: this.arrange(list), byKey: new Map() };
    }
    const { at, byKey } = this.kept;
    const known = byKey.get(key) ?? ring.successors(at.ring, key, n, n).map((p) => p.name);
    byKey.set(key, known);
    return known.flatMap((address) => {
      const [e] = at.at.get(address) ?? [];
      return e ? [this.link(e)] : [];
    });
  }

  /**
   * Connections to the endpoint daemons that tell all hosts of a worker's limit: those that may keep it, and the one
   * beside the worker, which each host asks before it sends there.
   */
  tellers(id: string): readonly link.Link[] {
    const keepers = this.keepers(limiter.placeKey(limiter.workerKey(id)), limiter.PLACES);
    const e = this.deps.catalog().endpoints.get(incarnation.workerOf(id));
    const beside = e && this.links.get(this.deps.daemonOf(e));
    return [...new Set([...keepers, ...(beside ? [beside] : [])])];
  }

  /** Tells some endpoint daemons that are reached, the same ones for a key. */
  relay(key: string, m: hearsay.Message): void {
    const reached = [...this.links.values()].filter((l) => l.isReached);
    const ranked = reached.map((l) => ({ l, rank: hash.of32(`${key} ${l.address}`) }));
    ranked.sort((a, b) => a.rank - b.rank);
    for (const { l } of ranked.slice(0, RELAYS)) l.send(m);
  }

  /** Calls `tell` if the engine `id` goes while it is watched; returns what ends the watch. */
  watch(id: string, tell: () => void): () => void {
    const worker = incarnation.workerOf(id);
    const at = this.watchers.get(worker) ?? new Set();
    this.watchers.set(worker, at);
    at.add(tell);
    return () => {
      at.delete(tell);
      if (at.size === 0) this.watchers.delete(worker);
    };
  }

  sent(id: string): void {
    const own = this.own.get(id) ?? NEW;
    this.own.set(id, { ...own, under: own.under + 1 });
  }

  /** A request is over; `good` is undefined when it tells nothing about the endpoint. */
  done(id: string, good: boolean | undefined, tookMs: number | undefined): void {
    const own = this.own.get(id) ?? NEW;
    const now = this.clk.mono();
    const faded = failingNow(own, now);
    const failing =
      good === undefined ? own.failing : faded + ((good ? 0 : 1) - faded) * (LATEST * 2);
    const took = tookMs ?? own.tookMs;
    this.own.set(id, {
      under: Math.max(0, own.under - 1),
      failing,
      failedAt: good === undefined ? own.failedAt : now,
      tookMs: own.tookMs === 0 ? took : own.tookMs + (took - own.tookMs) * LATEST,
    });
  }

  close(): void {
    this.linking?.cancel();
    this.unlinked.clear();
    for (const l of this.links.values()) l.close();
  }
}
