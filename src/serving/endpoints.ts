/**
 * What an entry daemon knows of each endpoint, from its connections to endpoint daemons and from its
 * own requests.
 * @module
 */
import type * as clock from "../host/clock.js";
import * as catalog from "./catalog.js";
import type * as choice from "./choice.js";
import * as link from "./link.js";

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

export interface Deps extends Omit<link.Deps, "lost"> {
  readonly catalog: () => catalog.Catalog;
  /** `ip:port` of the endpoint daemon beside an endpoint. */
  readonly daemonOf: (e: catalog.Endpoint) => string;
}

export class Endpoints {
  private readonly links = new Map<string, link.Link>();
  private readonly own = new Map<string, Own>();
  private readonly watchers = new Map<string, Set<() => void>>();

  constructor(
    private readonly deps: Deps,
    private readonly clk: clock.Clock,
  ) {}

  /** The endpoints of a service, as known now. */
  views(service: catalog.Service): readonly choice.View[] {
    return catalog.endpointsOf(this.deps.catalog(), service).map((endpoint) => {
      const at = service.engine && this.link(endpoint);
      const own = this.own.get(endpoint.id) ?? NEW;
      const state = at?.state?.instance === endpoint.id ? at.state : undefined;
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
        coming: !endpoint.leaving && (at?.coming ?? false),
      };
    });
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
          for (const tell of this.watchers.get(instance) ?? []) tell();
        },
      });
      this.links.set(address, at);
    }
    return at;
  }

  /** Connects to the engines there are, and drops what belongs to none any more. */
  refresh(): void {
    const { config, endpoints } = this.deps.catalog();
    if (!config) return;
    const wanted = new Set<string>();
    for (const s of config.services.values()) {
      if (!s.engine) continue;
      for (const e of catalog.endpointsOf(this.deps.catalog(), s)) {
        this.link(e);
        wanted.add(this.deps.daemonOf(e));
      }
    }
    for (const [address, at] of this.links) {
      if (wanted.has(address)) continue;
      at.close();
      this.links.delete(address);
    }
    for (const id of this.own.keys()) if (!endpoints.has(id)) this.own.delete(id);
  }

  /** Entry daemons there are, as endpoint daemons count them. */
  hosts(): number | undefined {
    const counts = [...this.links.values()].flatMap((l) => (l.state ? [l.state.entries] : []));
    return counts.length === 0 ? undefined : Math.max(...counts);
  }

  /** Calls `tell` if the engine `id` goes while it is watched; returns what ends the watch. */
  watch(id: string, tell: () => void): () => void {
    const at = this.watchers.get(id) ?? new Set();
    this.watchers.set(id, at);
    at.add(tell);
    return () => {
      at.delete(tell);
      if (at.size === 0) this.watchers.delete(id);
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
    for (const l of this.links.values()) l.close();
  }
}
