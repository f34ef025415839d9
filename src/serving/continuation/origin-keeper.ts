/**
 * The endpoint daemon's side of the origins of streams: it keeps those that entry daemons report, so that they are known when
 * the host that began a stream is gone. It outlives the worker beside it.
 * @module
 */
import type * as clock from "../../host/clock.js";
import type * as catalog from "../catalog.js";
import type * as messages from "./messages.js";
import type * as origin from "./origin.js";
import * as originHistory from "./origin-history.js";

/** Most streams whose origins are kept; the oldest are dropped first. */
const MAX_STREAMS = 20_000;

export interface Deps {
  readonly clock: clock.Clock;
  /** Milliseconds for which every change of the catalog has been seen. */
  readonly watchedMs: () => number;
  /** Milliseconds since the catalog was last known to be as new as the store. */
  readonly catalogAgeMs: () => number;
}

interface KeptOrigin {
  readonly origin: origin.Origin;
  /** Monotonic ms. */
  readonly expiresAt: number;
}

/** The origins of streams that one endpoint daemon keeps. */
export class OriginKeeper {
  private readonly kept = new Map<string, KeptOrigin>();
  private readonly history = new originHistory.OriginHistory();

  constructor(private readonly deps: Deps) {}

  /** Number of streams whose origins are kept. */
  get size(): number {
    return this.kept.size;
  }

  /** Takes in a changed catalog. */
  catalogChanged(at: catalog.Catalog): void {
    this.history.record(at, this.deps.clock.mono());
  }

  /** Takes in an endpoint whose entry did not last until it came into the catalog. */
  endpointSuperseded(e: catalog.Endpoint): void {
    this.history.recordSuperseded(e, this.deps.clock.mono());
  }

  /** Keeps the origin of a stream. */
  record({ attempt, origin, ttlMs }: messages.Begun): void {
    const now = this.deps.clock.mono();
    for (const [oldest, { expiresAt }] of this.kept) {
      if (expiresAt > now && this.kept.size < MAX_STREAMS) break;
      this.kept.delete(oldest);
    }
    if (!this.kept.has(attempt)) this.kept.set(attempt, { origin, expiresAt: now + ttlMs });
  }

  /** Answers an entry daemon's question. */
  find({ question, attempt, route, maxAgeMs }: messages.Find): messages.Found {
    const now = this.deps.clock.mono();
    const kept = attempt === undefined ? undefined : this.kept.get(attempt);
    return {
      kind: "origin_found",
      question,
      ...(kept && kept.expiresAt > now && { origin: kept.origin }),
      possible: this.history.possible(route, now, maxAgeMs),
      watchedMs: this.deps.watchedMs(),
      ageMs: this.deps.catalogAgeMs(),
    };
  }
}
