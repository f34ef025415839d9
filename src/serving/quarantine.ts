/**
 * Quarantines as stored: one key per request, or per set of prompt parts, which expires together with the evidence. So
 * quarantines that all hosts agreed on survive a restart of all of them, and operators can list,
 * set and release them by their keys.
 * @module
 */
import * as zod from "zod";
import * as decoding from "../host/decoding.js";
import type * as feed from "./feed.js";

/** Prefix of the keys; the rest is the request's identity. */
export const PREFIX = "sumacfield/quarantine/";

/**
 * The value of a key, for operators only: a request is in quarantine if its key exists, whatever
 * the value.
 */
export interface Evidence {
  /** Workers that crashed while running the request; empty if an operator set the key. */
  readonly workers: readonly string[];
  /** The prompt parts that all requests in quarantine hold; undefined if a single request is in quarantine. */
  readonly parts?: readonly string[] | undefined;
  readonly at: Date;
}

const evidence = zod.object({
  workers: decoding.list(zod.string()),
  parts: decoding.list(zod.string()).optional(),
  at: zod.coerce.date(),
});

/** Formats the value of a key. */
export function encode({ workers, parts, at }: Evidence): string {
  return JSON.stringify({ workers, parts, at });
}

/** Parses the value of a key; undefined if another program wrote it. */
export function decode(text: string): Evidence | undefined {
  try {
    return evidence.parse(JSON.parse(text));
  } catch {
    // The existence of the key decides, whatever its value; there is no evidence to show.
    return undefined;
  }
}

/** The key for a request's identity. */
export function keyOf(identity: string): string {
  return PREFIX + identity;
}

/** The identity in a key; undefined if the key belongs to something else. */
export function identityOf(key: string): string | undefined {
  return key.startsWith(PREFIX) ? key.slice(PREFIX.length) : undefined;
}

/** Extends a decoder to these keys. Their values are kept as they are. */
export function wrapDecoder(inner: feed.Decoder): feed.Decoder {
  return {
    prefixes: [...inner.prefixes, PREFIX],
    common: inner.common === "" || PREFIX.startsWith(inner.common) ? inner.common : "",
    written: (key, text) => {
      const identity = identityOf(key);
      if (identity === undefined) return inner.written(key, text);
      return { kind: "quarantine", identity, evidence: text };
    },
    deleted: (key) => {
      const identity = identityOf(key);
      if (identity === undefined) return inner.deleted(key);
      return { kind: "release", identity };
    },
  };
}
