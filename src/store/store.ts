/**
 * The platform's key-value service, as narrow as the system needs it.
 * @module
 */

/** One key as the store holds it. */
export interface Entry {
  readonly key: string;
  readonly value: string;
  /** Store revision of the last write to this key; 0 stands for "no such key". */
  readonly revision: number;
}

/** A write that happens only if every compared key still has the revision seen. */
export interface Txn {
  readonly compares: readonly Pick<Entry, "key" | "revision">[];
  readonly puts: readonly Put[];
  readonly deletes?: readonly string[];
}

/** A key to write, kept no longer than its lease where one is named. */
export interface Put {
  readonly key: string;
  readonly value: string;
  readonly lease?: string | undefined;
}

/** What a lease was granted for. */
export interface Lease {
  readonly id: string;
  /** Milliseconds until it lapses unless kept alive. */
  readonly ttlMs: number;
}

/** Is told of writes. */
export interface Watcher {
  /** The watch stands; writes from now on are seen. */
  readonly opened: () => void;
  readonly seen: (entry: Entry) => void;
}

/**
 * The store. Every call throws a `StepError` of step `store`; after an `unknown` outcome the write
 * may have taken effect, and the caller must read to find out.
 */
export interface Store {
  readonly read: (key: string) => Promise<Entry | undefined>;
  /** Entries whose keys begin with `prefix`, by key, at most `limit`, those after `after` alone. */
  readonly range: (prefix: string, limit: number, after?: string) => Promise<readonly Entry[]>;
  /** Whether the compares held and the writes took effect; with the store's revision of the write. */
  readonly commit: (txn: Txn) => Promise<{ readonly ok: boolean; readonly revision: number }>;
  /**
   * Creates each key that is not there, all in one call; for each key, in order, the entry that was
   * there before, or undefined where this call created it.
   */
  readonly create: (puts: readonly Put[]) => Promise<readonly (Entry | undefined)[]>;
  readonly grant: (ttlMs: number) => Promise<Lease>;
  /** Milliseconds the lease has left after this call; 0 when it is gone. */
  readonly keepAlive: (id: string) => Promise<number>;
  /** Tells `watcher` of writes under `prefix` from now on; resolves when the watch ends. */
  readonly watch: (prefix: string, signal: AbortSignal, watcher: Watcher) => Promise<void>;
}
