/**
 * Which services each route has led to, and which software versions have served in each, as far back as a stream may go on.
 * @module
 */
import type * as clock from "../../host/clock.js";
import * as selector from "../../contract/selector.js";
import * as catalog from "../catalog.js";
import type * as origin from "./origin.js";

/** A stream may go on for so many times the timeout of its route where nothing else is known of its caller. */
const TIMEOUTS_PER_STREAM = 2;
/** Least milliseconds for which a stream counts as able to go on. */
const MIN_MEMORY_MS = 10_000;
/** Milliseconds added to the age of a stream for the way from its first worker to the host that resumes it. */
const AGE_MARGIN_MS = 1000;
/** Milliseconds after which what was last seen is dropped; above the longest time for which a stream may go on. */
const KEEP_MS = 600_000;

/** Milliseconds for which a stream of a route may go on after it began. */
export function memoryMs(route: Pick<catalog.Route, "timeoutMs">): number {
  return Math.min(KEEP_MS, Math.max(MIN_MEMORY_MS, TIMEOUTS_PER_STREAM * route.timeoutMs));
}

/**
 * Most milliseconds since a stream of a route began, by how long its caller still waits. `longestWaitMs` is the longest that
 * callers of the route have been found to wait in all.
 */
export function maxAgeMs(
  route: Pick<catalog.Route, "timeoutMs">,
  waitMs: number,
  longestWaitMs: number,
): number {
  const inAllMs = Math.max(route.timeoutMs, longestWaitMs);
  return waitMs > inAllMs ? memoryMs(route) : inAllMs - waitMs + AGE_MARGIN_MS;
}

/** Names that were seen under a key, with the monotonic ms at which each was last there. */
class SeenNames {
  private readonly byKey = new Map<string, Map<string, number>>();
  private present: ReadonlyMap<string, ReadonlySet<string>> = new Map();

  /** Replaces the names that are there now; those before were there until `now`. */
  update(present: ReadonlyMap<string, ReadonlySet<string>>, now: number): void {
    this.touch(now);
    this.present = present;
    this.touch(now);
    for (const [key, names] of this.byKey) {
      for (const [name, at] of names) if (now - at > KEEP_MS) names.delete(name);
      if (names.size === 0) this.byKey.delete(key);
    }
  }

  /** Adds a name that was there for a moment. */
  add(key: string, name: string, now: number): void {
    const seen = this.byKey.get(key) ?? new Map<string, number>();
    this.byKey.set(key, seen.set(name, now));
  }

  /** The names there now, and those that were there at `since` or later. */
  namesSince(key: string, since: number): readonly string[] {
    const last = [...(this.byKey.get(key) ?? [])].filter(([, at]) => at >= since);
    return [...new Set([...(this.present.get(key) ?? []), ...last.map(([name]) => name)])];
  }

  private touch(now: number): void {
    for (const [key, names] of this.present) for (const name of names) this.add(key, name, now);
  }
}

/** How far a daemon's catalog can be relied on. */
export interface Deps {
  readonly clock: clock.Clock;
  /** Milliseconds for which every change of the catalog has been seen. */
  readonly watchedMs: () => number;
  /** Milliseconds since the catalog was last known to be as new as the store. */
  readonly catalogAgeMs: () => number;
}

/** What one daemon has seen of routes and software versions. */
export class OriginHistory {
  private readonly services = new SeenNames();
  private readonly versions = new SeenNames();
  private config: catalog.Config | undefined;
  private endpoints: catalog.Catalog["endpoints"] | undefined;

  constructor(private readonly deps: Deps) {}

  /** Takes in a changed catalog. */
  catalogChanged(at: catalog.Catalog): void {
    const { config, endpoints } = at;
    const now = this.deps.clock.mono();
    if (!config || (config === this.config && endpoints === this.endpoints)) return;
    if (config !== this.config) {
      const streams = config.routes.filter((r) => r.kind === "stream");
      const served = streams.map((r) => [r.name, new Set(r.shares.map((s) => s.service))] as const);
      this.services.update(new Map(served), now);
    }
    this.config = config;
    this.endpoints = endpoints;
    const versions = [...config.services.values()].map(
      (s) =>
        [s.name, new Set(catalog.endpointsOf(at, s).map((e) => catalog.softwareOf(e)))] as const,
    );
    this.versions.update(new Map(versions), now);
  }

  /** Takes in an endpoint whose entry has been replaced or deleted before it came into the catalog. */
  endpointSuperseded(e: catalog.Endpoint): void {
    const now = this.deps.clock.mono();
    for (const s of this.config?.services.values() ?? []) {
      if (selector.matches(s.endpoints, e.labels))
        this.versions.add(s.name, catalog.softwareOf(e), now);
    }
  }

  /** What this daemon can tell of streams of a route that began at most `maxAgeMs` ago. */
  witness(route: string, maxAgeMs: number): origin.Witness {
    const since = this.deps.clock.mono() - maxAgeMs;
    const possible = this.services
      .namesSince(route, since)
      .flatMap((service) =>
        this.versions.namesSince(service, since).map((software) => ({ service, software })),
      );
    return { possible, watchedMs: this.deps.watchedMs(), ageMs: this.deps.catalogAgeMs() };
  }
}
