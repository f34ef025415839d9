/**
 * The endpoint daemon's side of the origins of streams: it keeps those that entry daemons report, so that they are known when
 * the host that began a stream is gone. It outlives the worker beside it.
 * @module
 */
import type * as clock from "../../host/clock.js";
import * as expiringMap from "./expiring-map.js";
import type * as messages from "./messages.js";
import type * as origin from "./origin.js";

/** Most streams whose origins are kept; the oldest are dropped first. */
const MAX_STREAMS = 20_000;

interface KeptOrigin extends expiringMap.Expiring {
  readonly origin: origin.Origin;
}

/** The origins of streams that one endpoint daemon keeps. */
export class OriginKeeper {
  private readonly kept = new expiringMap.ExpiringMap<KeptOrigin>(MAX_STREAMS);
  private readonly startedAt: number;

  constructor(private readonly clk: clock.Clock) {
    this.startedAt = clk.mono();
  }

  /** Number of streams whose origins are kept. */
  get size(): number {
    return this.kept.size;
  }

  /** Keeps the origin of a stream; that which was kept first stays. */
  record({ attempt, origin, ttlMs }: messages.Begun): void {
    const now = this.clk.mono();
    if (this.kept.get(attempt, now)) return;
    this.kept.set(attempt, { origin, expiresAt: now + ttlMs }, now);
  }

  /** Answers an entry daemon's question. */
  find({ question, attempt }: messages.Find): messages.Found {
    const now = this.clk.mono();
    const kept = this.kept.get(attempt, now);
    const upMs = now - this.startedAt;
    return { kind: "origin_found", question, ...(kept && { origin: kept.origin }), upMs };
  }
}
