/**
 * The interface to the platform's key-value store, limited to what the system uses.
 * @module
 */

/** One key and its value in the store. */
export interface Entry {
  readonly key: string;
  readonly value: string;
  /** Store revision of the last write to this key; 0 means that the key does not exist. */
  readonly revision: number;
}

/** A transaction that takes effect only if every compared key still has the given revision. */
export interface Txn {
  readonly compares: readonly Pick<Entry, "key" | "revision">[];
  readonly puts: readonly Put[];
  readonly deletes?: readonly string[];
}

/** A key to write; if a lease is given, the key is deleted when the lease ends. */
export interface Put {
  readonly key: string;
  readonly value: string;
  readonly lease?: string | undefined;
}

/** A lease that the store granted. */
export interface Lease {
  readonly id: string;
  /** Milliseconds until the lease lapses unless it is kept alive. */
  readonly ttlMs: number;
}

/** Receives the events of a watch. */
export interface Watcher {
  /** Called when the watch is established; all writes from now on are reported. */
  readonly opened: () => void;
  /** Called for each write. */
  readonly seen: (entry: Entry) => void;
}

/**
 * A key-value store. Every call throws a `StepError` of step `store` when it fails. After an `unknown`
 * outcome the write may have taken effect, and the caller must read to find out.
 */
export interface Store {
  readonly read: (key: string) => Promise<Entry | undefined>;
  /** Returns up to `limit` entries whose keys begin with `prefix`, ordered by key; only keys after `after` if given. */
  readonly range: (prefix: string, limit: number, after?: string) => Promise<readonly Entry[]>;
  /** Runs a transaction; returns whether it took effect, and the store's revision after it. */
  readonly commit: (txn: Txn) => Promise<{ readonly ok: boolean; readonly revision: number }>;
  /**
   * Creates, in one call, each key that does not exist yet. Returns for each key, in order, the entry
   * that existed before, or undefined where this call created it.
   */
  readonly create: (puts: readonly Put[]) => Promise<readonly (Entry | undefined)[]>;
  /** Requests a lease of `ttlMs`; the result says for how long it was granted. */
  readonly grant: (ttlMs: number) => Promise<Lease>;
  /** Renews a lease and returns the milliseconds it has left; 0 when it no longer exists. */
  readonly keepAlive: (id: string) => Promise<number>;
  /** Reports writes to keys under `prefix` to `watcher`; resolves when the watch ends. */
  readonly watch: (prefix: string, signal: AbortSignal, watcher: Watcher) => Promise<void>;
}
