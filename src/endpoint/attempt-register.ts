/**
 * Remembers the attempts that an endpoint daemon has seen, so that each is dispatched at most once,
 * and never after it was given up.
 * @module
 */
import * as lru from "lru-cache";
import type * as clock from "../host/clock.js";
import * as keys from "../link/keys.js";

type Stage = "open" | "dispatched" | "given_up";

/**
 * Largest number of attempts to remember; at 100 new attempts a second this covers more than the time
 * for which signatures are valid.
 */
const MAX_ATTEMPTS = 100_000;
/**
 * Milliseconds for which an attempt is remembered; the signature of a repeated attempt expires
 * earlier, so a forgotten attempt cannot be accepted again.
 */
const TTL_MS = 4 * keys.SIGNATURE_WINDOW_MS;

/** The attempts that one daemon process has received. */
export class AttemptRegister {
  private readonly stages: lru.LRUCache<string, Stage>;

  constructor(clk: clock.Clock, limit = MAX_ATTEMPTS) {
    this.stages = new lru.LRUCache({
      max: limit,
      ttl: TTL_MS,
      ttlResolution: 0,
      perf: { now: () => clk.mono() },
    });
  }

  /** Adds an attempt; returns false if it was already known. */
  add(id: string): boolean {
    if (this.stages.has(id)) return false;
    this.stages.set(id, "open");
    return true;
  }

  /** Marks an attempt as sent to the engine. Throws RangeError unless it is open. */
  markDispatched(id: string): void {
    if (this.stages.get(id) !== "open") throw new RangeError(`attempt ${id} is not open`);
    this.stages.set(id, "dispatched");
  }

  /** Reopens a dispatched attempt that the engine reported as not run. */
  reopen(id: string): void {
    this.stages.set(id, "open");
  }

  /**
   * Gives up an attempt, even if it has not arrived yet. Returns "dispatched" if the attempt was
   * already sent to the engine.
   */
  giveUp(id: string): "given_up" | "dispatched" {
    if (this.stages.get(id) === "dispatched") return "dispatched";
    this.stages.set(id, "given_up");
    return "given_up";
  }
}
