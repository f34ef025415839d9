/**
 * How daemons know each other: every request between them is signed with the cluster's key. Two
 * keys are in force while one is rotated; the first signs.
 * @module
 */
import * as crypto from "node:crypto";
import * as lru from "lru-cache";
import type * as clock from "../host/clock.js";
import * as outcome from "../request/outcome.js";

const SCHEME = "Sumacfield";
const ID_LENGTH = 8;
const NONCE_BYTES = 12;
/** Signatures older or newer than this are refused, in ms; wide enough for hosts' clocks to differ. */
export const WINDOW_MS = 120_000;
/** Signatures remembered so that none is taken twice; older ones fall out of the window first. */
const MAX_REMEMBERED_NONCES = 200_000;
/** Shortest cluster key taken, in bytes. */
export const KEY_LENGTH = 16;

/** The keys in force, newest first. */
export type Keys = readonly [string, ...string[]];

/** What a signature covers. */
export interface Signed {
  readonly method: string;
  readonly path: string;
  /** Name of the daemon that is meant to take it. */
  readonly audience: string;
  /** Header values or a body's hash that must arrive unchanged. */
  readonly covers: readonly string[];
}

/** SHA-256 in hex; callers' keys are known by it alone. */
export function sha256(text: string | Buffer): string {
  return crypto.createHash("sha256").update(text).digest("hex");
}

function mac(key: string, s: Signed, signedAt: string, nonce: string): string {
  const parts = [s.method, s.path, s.audience, signedAt, nonce, ...s.covers];
  return crypto.createHmac("sha256", key).update(JSON.stringify(parts)).digest("base64url");
}

const idCache = new Map<string, string>();

/** A short name of a key, which tells nothing about it. */
function keyId(key: string): string {
  const cached = idCache.get(key);
  if (cached !== undefined) return cached;
  const id = sha256(key).slice(0, ID_LENGTH);
  idCache.set(key, id);
  return id;
}

/** The value of the `Authorization` header for one request. */
export function sign(keys: Keys, s: Signed, clk: clock.Clock): string {
  const nonce = crypto.randomBytes(NONCE_BYTES).toString("base64url");
  const signedAt = String(clk.now().getTime());
  return `${SCHEME} ${keyId(keys[0])}.${signedAt}.${nonce}.${mac(keys[0], s, signedAt, nonce)}`;
}

/** Checks signatures; one per daemon, since it remembers those it took. */
export function verifier(keys: Keys, clk: clock.Clock) {
  const byId = new Map(keys.map((k) => [keyId(k), k]));
  const seen = new lru.LRUCache<string, true>({ max: MAX_REMEMBERED_NONCES });

  /** Throws a `StepError` of step `authenticate` unless the signature is good, fresh and new. */
  return (header: string | undefined, s: Signed, peer: string): void => {
    const refuse = (why: string): never => {
      throw outcome.notRun("unauthorized", "authenticate", peer, `Not from this cluster: ${why}.`);
    };
    const [id, signedAt, nonce, signature] = header?.startsWith(`${SCHEME} `)
      ? header.slice(SCHEME.length + 1).split(".")
      : [];
    if (!id || !signedAt || !nonce || !signature) return refuse("no signature");
    const key = byId.get(id);
    if (!key) return refuse("signed with another key");
    const expected = Buffer.from(mac(key, s, signedAt, nonce));
    const received = Buffer.from(signature);
    if (expected.length !== received.length || !crypto.timingSafeEqual(expected, received)) {
      return refuse("the signature does not match");
    }
    if (Math.abs(clk.now().getTime() - Number(signedAt)) > WINDOW_MS)
      return refuse("signed too long ago");
    if (seen.has(nonce)) return refuse("a signature used before");
    seen.set(nonce, true);
  };
}
