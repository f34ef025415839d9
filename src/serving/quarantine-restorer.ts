/**
 * Writes requests in quarantine to the store again that the store has lost by being restored from a backup. Each host holds
 * them until then, but a host that starts anew knows only what the store holds.
 * @module
 */
import * as clock from "../host/clock.js";
import * as errors from "../host/errors.js";
import type * as structuredLog from "../host/structured-log.js";
import * as quarantine from "./quarantine.js";
import * as crashRecords from "./crashes/records.js";

/**
 * Milliseconds over which the hosts spread their writes: at least, and per host. Most then find that another host has
 * written the key already, so the store gets few calls however many hosts there are.
 */
const MIN_SPREAD_MS = 1000;
const SPREAD_MS_PER_HOST = 10;
/** Milliseconds until a write that failed is retried. */
const RETRY_MS = 1000;
/** Shortest time in ms for which a key is written. */
const MIN_TTL_MS = 1000;

/** What a {@link QuarantineRestorer} needs. */
export interface Deps {
  readonly clock: clock.Clock;
  readonly log: structuredLog.Log;
  /** The evidence of the quarantines that the store has lost and that are not written again yet, by identity. */
  readonly lost: () => ReadonlyMap<string, string>;
  /** Number of entry hosts; undefined if it is not known. */
  readonly hostCount: () => number | undefined;
  /** Creates a key that expires after `ttlMs`; returns false if it exists. Throws if the outcome is unknown. */
  readonly claim: (key: string, ttlMs: number, text: string) => Promise<boolean>;
  readonly random: () => number;
}

/** Writes lost quarantines again; one per entry daemon. */
export class QuarantineRestorer {
  /** Identities that are being written. */
  private readonly writing = new Set<string>();

  constructor(private readonly deps: Deps) {}

  /** Writes the quarantines that the store has lost. */
  restore(): void {
    for (const identity of this.deps.lost().keys()) {
      if (!this.writing.has(identity)) void this.write(identity);
    }
  }

  private async write(identity: string): Promise<void> {
    this.writing.add(identity);
    const spreadMs = Math.max(MIN_SPREAD_MS, SPREAD_MS_PER_HOST * (this.deps.hostCount() ?? 1));
    await clock.sleep(this.deps.clock, spreadMs * this.deps.random());
    for (;;) {
      const evidence = this.deps.lost().get(identity);
      if (evidence === undefined || (await this.tryWrite(identity, evidence))) break;
      await clock.sleep(this.deps.clock, RETRY_MS);
    }
    this.writing.delete(identity);
  }

  private async tryWrite(identity: string, evidence: string): Promise<boolean> {
    try {
      const key = quarantine.keyOf(identity);
      const isNew = await this.deps.claim(key, this.ttlMs(evidence), evidence);
      if (isNew) this.deps.log.info("A lost quarantine was written again.", { identity });
      return true;
    } catch (err) {
      this.deps.log.warn("Could not write a lost quarantine again.", {
        identity,
        why: errors.messageOf(err),
      });
      return false;
    }
  }

  /** Milliseconds for which the evidence still counts. */
  private ttlMs(evidence: string): number {
    const at = quarantine.decode(evidence)?.at ?? this.deps.clock.now();
    const leftMs = at.getTime() + crashRecords.EXPIRY_MS - this.deps.clock.now().getTime();
    return Math.round(Math.min(crashRecords.EXPIRY_MS, Math.max(MIN_TTL_MS, leftMs)));
  }
}
