/**
 * Writes quarantines to the store, where they survive a restart of all hosts.
 * @module
 */
import * as clock from "../../host/clock.js";
import * as errors from "../../host/errors.js";
import type * as structuredLog from "../../host/structured-log.js";
import type * as catalog from "../catalog.js";
import * as quarantine from "../quarantine.js";
import * as records from "./records.js";

export interface Deps {
  readonly clock: clock.Clock;
  readonly log: structuredLog.Log;
  readonly catalog: () => catalog.Catalog;
  /** Creates a key in the store that expires after `ttlMs`; throws if the outcome is unknown. */
  readonly claim: (key: string, ttlMs: number, text: string) => Promise<boolean>;
}

/** Milliseconds before a failed write is retried. */
const RETRY_MS = 1000;
/**
 * Milliseconds for which a proof must hold before it is written to the store, from which it is not withdrawn. News of other
 * crashes and of runs that arrives in the meantime may refute it. Until it is written, a quarantine holds only while it is
 * proved.
 */
const CONFIRM_MS = 2500;

/** Writes the quarantines that one host has proved. */
export class QuarantineWriter {
  /** Identities whose key is being written. */
  private readonly writing = new Set<string>();

  constructor(private readonly deps: Deps) {}

  /** Writes a quarantine once it has held for {@link CONFIRM_MS}; `prove` returns undefined when it no longer holds. */
  async write(id: string, prove: () => Omit<quarantine.Evidence, "at"> | undefined): Promise<void> {
    if (this.writing.has(id)) return;
    this.writing.add(id);
    const { clock: clk, log, catalog } = this.deps;
    await clock.sleep(clk, CONFIRM_MS);
    for (;;) {
      const proof = prove();
      if (!proof || catalog().quarantined.has(id)) break;
      try {
        const text = quarantine.encode({ ...proof, at: clk.now() });
        await this.deps.claim(quarantine.keyOf(id), records.EXPIRY_MS, text);
        break;
      } catch (err) {
        const why = errors.messageOf(err);
        log.warn("Could not write a quarantined request to the store.", { identity: id, why });
        await clock.sleep(clk, RETRY_MS);
      }
    }
    this.writing.delete(id);
  }
}
