/**
 * Signatures by which daemons authenticate each other: every request between them is signed with the
 * cluster's key. Two keys are valid while the key is being rotated; the first one signs.
 * @module
 */
import * as crypto from "node:crypto";
import * as lru from "lru-cache";
import type * as clock from "../host/clock.js";
import * as outcome from "../request/outcome.js";

/** Scheme of the `Authorization` header. */
const SCHEME = "Sumacfield";
/** Length of a key's id, in hex digits. */
const ID_LENGTH = 8;
const NONCE_BYTES = 12;
/**
 * Maximum difference between a signature's time and the verifier's clock, in ms. It is wide enough to
 * allow for differences between the hosts' clocks.
 */
export const SIGNATURE_WINDOW_MS = 120_000;
/**
 * Number of nonces remembered to detect replayed signatures. By the time one is evicted, its signature is
 * too old to be accepted.
 */
const MAX_REMEMBERED_NONCES = 200_000;
/** Minimum length of a cluster key, in bytes. */
export const MIN_KEY_BYTES = 16;

/** The valid cluster keys, newest first. */
export type ClusterKeys = readonly [string, ...string[]];

/** The parts of a request that a signature covers. */
export interface SignedParts {
  readonly method: string;
  readonly path: string;
  /** Name of the daemon that the request is addressed to. */
  readonly audience: string;
  /** Header values, or the hash of a body, that must arrive unchanged. */
  readonly covers: readonly string[];
}

/** Returns the SHA-256 hash in hex. Callers' keys are stored only in this form. */
export function sha256(text: string | Buffer): string {
  return crypto.createHash("sha256").update(text).digest("hex");
}

function mac(key: string, s: SignedParts, signedAt: string, nonce: string): string {
  const parts = [s.method, s.path, s.audience, signedAt, nonce, ...s.covers];
  return crypto.createHmac("sha256", key).update(JSON.stringify(parts)).digest("base64url");
}

const idCache = new Map<string, string>();

/** Returns a short identifier of a key that does not reveal the key. */
function keyId(key: string): string {
  const cached = idCache.get(key);
  if (cached !== undefined) return cached;
  const id = sha256(key).slice(0, ID_LENGTH);
  idCache.set(key, id);
  return id;
}

/** Returns the value of the `Authorization` header for one request. */
export function sign(keys: ClusterKeys, s: SignedParts, clk: clock.Clock): string {
  const nonce = crypto.randomBytes(NONCE_BYTES).toString("base64url");
  const signedAt = String(clk.now().getTime());
  return `${SCHEME} ${keyId(keys[0])}.${signedAt}.${nonce}.${mac(keys[0], s, signedAt, nonce)}`;
}

/** Creates a function that verifies signatures; one per daemon, since it remembers the nonces it accepted. */
export function createVerifier(keys: ClusterKeys, clk: clock.Clock) {
  const byId = new Map(keys.map((k) => [keyId(k), k]));
  const seen = new lru.LRUCache<string, true>({ max: MAX_REMEMBERED_NONCES });

  /** Throws a `StepError` of step `authenticate` unless the signature is valid, recent and not a replay. */
  return (header: string | undefined, s: SignedParts, peer: string): void => {
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
    if (Math.abs(clk.now().getTime() - Number(signedAt)) > SIGNATURE_WINDOW_MS)
      return refuse("the signature is too old or in the future");
    if (seen.has(nonce)) return refuse("the signature was used before");
    seen.set(nonce, true);
  };
}
