/**
 * The endpoint daemon's side of the origins of streams: it keeps those that entry daemons report, so that they are known when
 * the host that began a stream is gone. It outlives the worker beside it.
 * @module
 */
import * as expiringMap from "./expiring-map.js";
import type * as messages from "./messages.js";
import type * as origin from "./origin.js";
import * as originHistory from "./origin-history.js";

/** Most streams whose origins are kept; the oldest are dropped first. */
const MAX_STREAMS = 20_000;

interface KeptOrigin extends expiringMap.Expiring {
  readonly origin: origin.Origin;
}

/** The origins of streams that one endpoint daemon keeps. */
export class OriginKeeper {
  private readonly kept = new expiringMap.ExpiringMap<KeptOrigin>(MAX_STREAMS);
  private readonly startedAt: number;
  /** What this daemon has seen, which takes in the changes of the catalog. */
  readonly history: originHistory.OriginHistory;

  constructor(private readonly deps: originHistory.Deps) {
    this.history = new originHistory.OriginHistory(deps);
    this.startedAt = deps.clock.mono();
  }

  /** Number of streams whose origins are kept. */
  get size(): number {
    return this.kept.size;
  }

  /** Keeps the origin of a stream; that which was kept first stays. */
  record({ attempt, origin, ttlMs }: messages.Begun): void {
    const now = this.deps.clock.mono();
    if (this.kept.get(attempt, now)) return;
    this.kept.set(attempt, { origin, expiresAt: now + ttlMs }, now);
  }

  /** Answers an entry daemon's question. */
  find({ question, attempt, route, maxAgeMs }: messages.Find): messages.Found {
    const now = this.deps.clock.mono();
    const kept = attempt === undefined ? undefined : this.kept.get(attempt, now);
    return {
      kind: "origin_found",
      question,
      ...(kept && { origin: kept.origin }),
      ...this.history.witness(route, maxAgeMs),
      upMs: now - this.startedAt,
    };
  }
}
