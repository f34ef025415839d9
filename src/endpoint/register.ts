/**
 * The attempts an endpoint daemon has met, so that each is dispatched at most once, and never after
 * it was given up.
 * @module
 */
import * as lru from "lru-cache";
import type * as clock from "../host/clock.js";
import * as keys from "../link/keys.js";

type Stage = "open" | "dispatched" | "given_up";

/** Attempts remembered at most; at 100 new ones a second this outlasts the signatures' window. */
const LIMIT = 100_000;
/** A signed attempt is refused as too old before it is forgotten here. */
const KEEP_MS = 4 * keys.WINDOW_MS;

/** One register for each life of a daemon. */
export class Register {
  private readonly stages: lru.LRUCache<string, Stage>;

  constructor(clk: clock.Clock, limit = LIMIT) {
    this.stages = new lru.LRUCache({
      max: limit,
      ttl: KEEP_MS,
      ttlResolution: 0,
      perf: { now: () => clk.mono() },
    });
  }

  /** Whether the attempt is new here; from now on it is not. */
  open(id: string): boolean {
    if (this.stages.has(id)) return false;
    this.stages.set(id, "open");
    return true;
  }

  /** Marks the attempt as given to the engine. Throws RangeError unless it was open. */
  dispatched(id: string): void {
    if (this.stages.get(id) !== "open") throw new RangeError(`attempt ${id} is not open`);
    this.stages.set(id, "dispatched");
  }

  /** Opens a dispatched attempt again, when the engine said that it ran nothing. */
  undispatched(id: string): void {
    this.stages.set(id, "open");
  }

  /** Gives up an attempt, also one that has not arrived; tells when it is too late for that. */
  giveUp(id: string): "given_up" | "dispatched" {
    if (this.stages.get(id) === "dispatched") return "dispatched";
    this.stages.set(id, "given_up");
    return "given_up";
  }
}
