/**
 * The interface to a store of documents whose changes are followed by position.
 * @module
 */

import type * as eras from "./era.js";
import type * as position from "./position.js";

/** One document in the store. */
export interface Document {
  readonly key: string;
  readonly text: string;
}

/** A write or deletion of one document. */
export type Change =
  | { readonly kind: "written"; readonly document: Document }
  | { readonly kind: "deleted"; readonly key: string };

/** The result of waiting for changes. */
export type ChangesResult =
  | {
      readonly kind: "changes";
      readonly changes: readonly Change[];
      /** If it is in another era than the position asked for, the changes say nothing about what was missed. */
      readonly position: position.Position;
    }
  /** The store does not have the requested changes, or no longer; all documents must be read again. */
  | { readonly kind: "compacted" };

/**
 * A store of documents. Every call throws a `StepError` of step `store` when the store does not answer as
 * expected, or when its `signal` is aborted.
 */
export interface Source {
  /** The newest era that an answer of the store has stated. */
  readonly era: eras.Era;
  /** Reads all documents whose keys begin with `prefix`, at a position that is not later than any of them. */
  readonly list: (
    prefix: string,
    signal?: AbortSignal,
  ) => Promise<{
    readonly documents: readonly Document[];
    readonly position: position.Position;
  }>;
  /** Waits up to `waitMs` for changes after the position `after` to keys that begin with `prefix`. */
  readonly waitForChanges: (
    prefix: string,
    after: position.Position,
    waitMs: number,
    signal?: AbortSignal,
  ) => Promise<ChangesResult>;
  /** Makes further calls on new connections, since the existing ones may have gone silent. */
  readonly replaceConnections: () => void;
  /**
   * Creates a key with value `text` that expires after `ttlMs`. Returns false if the key already exists. Throws
   * when the result is uncertain; the key may then exist.
   */
  readonly claim: (key: string, ttlMs: number, text?: string) => Promise<boolean>;
}

/** What a store holds under one key. */
export interface Reading {
  /** Undefined if the key does not exist. */
  readonly text: string | undefined;
  /** The position of the last write to the key; if it does not exist, the start of the era in which it did not. */
  readonly position: position.Position;
}

/** A time span that the store granted; documents written under it are deleted when it ends. */
export interface Lease {
  readonly id: number;
  /** The era in which it was granted, and in which alone it means anything. */
  readonly era: eras.Era;
}

/** A store that can be written to as well. All calls throw like those of {@link Source}. */
export interface WritableSource extends Source {
  /** Deletes a key; does nothing if it does not exist. */
  readonly remove: (key: string) => Promise<void>;
  /** Reads one key, as new as the store when the call arrives there. */
  readonly read: (key: string) => Promise<Reading>;
  /**
   * Writes a key if it is still as it was read. Returns the position of the write, or undefined if the key has changed. Throws
   * when the result is uncertain; the key may then be written.
   */
  readonly replace: (
    key: string,
    text: string,
    was: Reading,
  ) => Promise<position.Position | undefined>;
  /** Takes out a lease that ends after `ttlMs`. */
  readonly lease: (ttlMs: number) => Promise<Lease>;
  /**
   * Writes up to {@link MAX_WRITES} documents at once, which are deleted when the lease ends. Returns false if it has ended
   * already; they may then not be written, or be deleted at any time.
   */
  readonly writeLeased: (documents: readonly Document[], lease: Lease) => Promise<boolean>;
}

/** Most documents that one call writes. */
export const MAX_WRITES = 32;
