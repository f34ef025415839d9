/**
 * Turns to load a base model from the weight store, over all engines of a service; the configuration allows a number of
 * them per second. A turn is a key in the store with a lease.
 * @module
 */
import * as clock from "../host/clock.js";
import * as errors from "../host/errors.js";
import type * as structuredLog from "../host/structured-log.js";

/** Prefix of the keys. */
const PREFIX = "sumacfield/turns/";
/** Milliseconds for which a turn is claimed: the store's shortest lease. */
export const TURN_LEASE_MS = 1000;
/** Minimum ms until the next attempt to claim a turn; a random part of up to as much is added. */
const RETRY_MS = 150;

/** What {@link ModelTurns} needs. */
export interface Deps {
  readonly clock: clock.Clock;
  readonly log: structuredLog.Log;
  /** Creates a key that expires after `ttlMs`; returns false if it exists. Throws if the outcome is unknown. */
  readonly claim: (key: string, ttlMs: number) => Promise<boolean>;
  readonly random: () => number;
}

/** Claims turns for one endpoint daemon. */
export class ModelTurns {
  /** Steady ms until which turns of before the store was restored may still be held. */
  private heldUntil = -Infinity;

  constructor(private readonly deps: Deps) {}

  /** Records that the store has been restored from a backup: it may have lost turns that other daemons hold. */
  storeRestored(): void {
    this.heldUntil = this.deps.clock.steady() + TURN_LEASE_MS;
  }

  /** Claims a turn of `service`, which allows `perS` loads per second. Returns false, after a delay, if none is free. */
  async take(service: string, perS = 1): Promise<boolean> {
    const heldForMs = this.heldUntil - this.deps.clock.steady();
    if (heldForMs <= 0 && (await this.claimAny(service, Math.max(1, Math.floor(perS)))))
      return true;
    const retryMs = RETRY_MS * (1 + this.deps.random());
    await clock.sleep(this.deps.clock, Math.max(retryMs, heldForMs));
    return false;
  }

  private async claimAny(service: string, turnsPerS: number): Promise<boolean> {
    const first = Math.floor(this.deps.random() * turnsPerS);
    try {
      for (let i = 0; i < turnsPerS; i++) {
        const key = `${PREFIX}${service}/${(first + i) % turnsPerS}`;
        if (await this.deps.claim(key, TURN_LEASE_MS)) return true;
      }
    } catch (err) {
      this.deps.log.warn("Could not claim a turn to load a base model.", {
        why: errors.messageOf(err),
      });
    }
    return false;
  }
}
