/**
 * Decides how to treat entries that vanish or reappear while the store recovers. Entries may expire in an outage of the store
 * though their workers run. A store that has been restored from a backup lacks what was written since the backup, and holds
 * what was deleted since. Operators and workers write again soon; until then, what the host knew before holds.
 * @module
 */
import type * as clock from "../host/clock.js";
import type * as structuredLog from "../host/structured-log.js";
import type * as catalog from "./catalog.js";
import * as incarnation from "./incarnation.js";

/** Milliseconds within which workers register again after the store has answered again, or has been restored from a backup. */
export const REREGISTER_MS = 2200;
/**
 * Fraction of the endpoints above which entries that are missing at once must have expired: workers that really stop
 * do so a few at a time.
 */
const EXPIRED_FRACTION = 0.5;
/** Number of deleted keys that are remembered. */
const MAX_DELETED_KEYS = 1024;

/** How long missing endpoints are kept at most, in ms, unless most endpoints are missing at once. */
export interface KeepTimes {
  /** After an outage. */
  readonly keepMissingMs: number;
  /** If the entry is deleted after the store has been restored from a backup. The deletion may be one that the store had lost. */
  readonly keepDeletedMs: number;
}

/** What an {@link EntryGrace} needs. */
export interface Deps {
  readonly clock: clock.Clock;
  readonly log: structuredLog.Log;
  readonly times: KeepTimes;
  readonly endpoints: () => catalog.Catalog["endpoints"];
  /** Applies updates that were held back until now. */
  readonly apply: (updates: readonly catalog.Update[]) => void;
}

/** How an entry was found missing: it is not in a snapshot, or its deletion was among the changes. */
type Missing = "absent" | "deleted";

/** An endpoint that is kept though its entry is missing. */
interface KeptEndpoint {
  readonly update: Extract<catalog.Update, { kind: "endpoint_gone" }>;
}

/** Holds updates back while the store recovers. */
export class EntryGrace {
  private unreachable = false;
  /** Monotonic ms at which the last outage of the store ended. */
  private reachableSince = -Infinity;
  /** Monotonic ms at which the store was last found to have been restored from a backup. */
  private restoredAt = -Infinity;
  /** Endpoints whose entries are missing, by worker. */
  private readonly kept = new Map<string, KeptEndpoint>();
  /** Key of each worker's entry that was last in the store, by worker. */
  private readonly entryKeys = new Map<string, string>();
  /** Keys whose documents were last seen to be deleted, the oldest deletion first. */
  private readonly deletedKeys = new Set<string>();
  /** Updates for such documents that are in the store again, by key. */
  private readonly withheld = new Map<string, catalog.Update>();

  constructor(private readonly deps: Deps) {}

  /** Number of endpoints that are kept though their entries are missing. */
  get keptCount(): number {
    return this.kept.size;
  }

  /** Number of documents that are not used although the store holds them. */
  get withheldCount(): number {
    return this.withheld.size;
  }

  /** Records that the store does not answer. */
  storeLost(): void {
    this.unreachable = true;
  }

  /** Records that the store answers. */
  storeAnswers(): void {
    if (!this.unreachable) return;
    this.unreachable = false;
    this.reachableSince = this.deps.clock.mono();
  }

  /** Records that the store has been restored from a backup. */
  storeRestored(): void {
    const restoredAt = this.deps.clock.mono();
    this.restoredAt = restoredAt;
    this.withheld.clear();
    this.deps.clock.after(REREGISTER_MS, () => {
      if (this.restoredAt === restoredAt) this.releaseWithheld();
    });
  }

  /** The updates to apply now for a document in a snapshot: none if its deletion was known before the store was restored. */
  found(key: string, update: catalog.Update): readonly catalog.Update[] {
    this.rememberEntry(key, update);
    if (!this.deletedKeys.has(key)) return [update];
    if (this.isRestoring()) {
      this.withheld.set(key, update);
      this.deps.log.warn(
        "A deleted document is back after the store was restored; it is not used for now.",
        {
          key,
          forMs: Math.round(this.recoveryLeftMs()),
        },
      );
      return [];
    }
    this.deletedKeys.delete(key);
    return [update];
  }

  /** Drops the withheld documents that a snapshot, which holds `keys`, no longer has: they were deleted again. */
  snapshotRead(keys: ReadonlySet<string>): void {
    for (const key of this.withheld.keys()) if (!keys.has(key)) this.withheld.delete(key);
  }

  /** The updates to apply now for a document that was written. */
  written(key: string, update: catalog.Update): readonly catalog.Update[] {
    this.rememberEntry(key, update);
    this.deletedKeys.delete(key);
    this.withheld.delete(key);
    return [update];
  }

  /**
   * The updates to apply now for a document that was deleted. An endpoint that was leaving does not register again, so it
   * is removed at once. It may say so in `previousWrite`, the last entry written before the deletion, which arrived in the
   * same response.
   */
  deleted(
    key: string,
    update: catalog.Update,
    previousWrite?: catalog.Update,
  ): readonly catalog.Update[] {
    this.withheld.delete(key);
    this.rememberDeleted(key);
    return this.removal(update, "deleted", previousWrite);
  }

  /** The updates to apply now for an endpoint whose entry is not in a snapshot. */
  absent(worker: string): readonly catalog.Update[] {
    return this.removal({ kind: "endpoint_gone", worker }, "absent");
  }

  /** Records that a worker has registered. */
  registered(worker: string): void {
    this.kept.delete(worker);
  }

  private rememberEntry(key: string, update: catalog.Update): void {
    if (update.kind === "endpoint")
      this.entryKeys.set(incarnation.workerOf(update.endpoint.id), key);
  }

  /** Remembers that the entry of a worker that is removed counts as deleted. */
  private forgetEntry(worker: string): void {
    const key = this.entryKeys.get(worker);
    if (key === undefined) return;
    this.entryKeys.delete(worker);
    this.rememberDeleted(key);
  }

  private rememberDeleted(key: string): void {
    this.deletedKeys.delete(key);
    this.deletedKeys.add(key);
    if (this.deletedKeys.size <= MAX_DELETED_KEYS) return;
    const [oldest] = this.deletedKeys;
    if (oldest !== undefined) this.deletedKeys.delete(oldest);
  }

  private releaseWithheld(): void {
    const updates = [...this.withheld.values()];
    for (const key of this.withheld.keys()) this.deletedKeys.delete(key);
    this.withheld.clear();
    if (updates.length > 0) this.deps.apply(updates);
  }

  private removal(
    update: catalog.Update,
    how: Missing,
    previousWrite?: catalog.Update,
  ): readonly catalog.Update[] {
    if (update.kind !== "endpoint_gone") return [update];
    const current = this.deps.endpoints().get(update.worker);
    const last = previousWrite?.kind === "endpoint" ? previousWrite.endpoint : current;
    if (last?.leaving || this.recoveryLeftMs() === 0) {
      this.forgetEntry(update.worker);
      return [update];
    }
    if (current && !this.kept.has(update.worker)) this.keep({ update }, how);
    return [];
  }

  private keep(endpoint: KeptEndpoint, how: Missing): void {
    const { worker } = endpoint.update;
    const leftMs = this.recoveryLeftMs();
    const keepMs = Math.min(this.keepMs(how), leftMs);
    this.kept.set(worker, endpoint);
    this.deps.log.warn("An endpoint's entry is missing; the endpoint is kept for now.", {
      endpoint: worker,
      how,
      keepMs: Math.round(keepMs),
    });
    this.deps.clock.after(keepMs, () => {
      const mostExpired = this.kept.size > EXPIRED_FRACTION * this.deps.endpoints().size;
      if (!mostExpired) this.removeKept(endpoint);
      else
        this.deps.clock.after(leftMs - keepMs, () => {
          this.removeKept(endpoint);
        });
    });
  }

  private keepMs(how: Missing): number {
    const { keepMissingMs, keepDeletedMs } = this.deps.times;
    if (!this.isRestoring()) return keepMissingMs;
    return how === "absent" ? REREGISTER_MS : keepDeletedMs;
  }

  /** Removes an endpoint that was kept, unless it has registered again. */
  private removeKept(endpoint: KeptEndpoint): void {
    const { worker } = endpoint.update;
    if (this.kept.get(worker) !== endpoint) return;
    this.kept.delete(worker);
    this.forgetEntry(worker);
    this.deps.apply([endpoint.update]);
  }

  private isRestoring(): boolean {
    return this.deps.clock.mono() - this.restoredAt < REREGISTER_MS;
  }

  /** Milliseconds left for workers to register again; 0 if the store has not been recovering lately. */
  private recoveryLeftMs(): number {
    if (this.unreachable) return REREGISTER_MS;
    const since = Math.max(this.reachableSince, this.restoredAt);
    return Math.max(0, since + REREGISTER_MS - this.deps.clock.mono());
  }
}
