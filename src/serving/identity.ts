/**
 * Which requests are the same one, sent again: by another attempt of its caller, or to another entry host.
 * An attempt's id is new each time, so it is what was asked for that counts. Pure.
 * @module
 */
import * as crypto from "node:crypto";
import type * as ask from "./ask.js";

/** What an identity looks like: {@link BYTES} bytes as base64url. */
export const PATTERN = /^[\w-]{22}$/;
/** Bytes kept of the digest: among 2^64 requests two would share one by chance. */
const BYTES = 16;

const known = new WeakMap<ask.Ask, string>();

/**
 * The identity of a request, as 22 letters of base64url: what tells it from others is its route's host, method,
 * path, model and adapter, and body. Left out are the attempt's id, the time that is left, and the event
 * after which a stream goes on, since they differ from one attempt to the next; and the connection, since callers
 * come from several addresses, and the same body ends a worker whoever sends it.
 *
 * It can't be read back to a prompt. It is computed only for sends that broke off and while some request is under
 * suspicion, and once for each.
 */
export function of(a: ask.Ask): string {
  const before = known.get(a);
  if (before !== undefined) return before;
  const hash = crypto.createHash("sha256");
  const { target } = a.meta;
  const named = [a.route.host, a.method, a.path, target?.model ?? null, target?.adapter ?? null];
  hash.update(JSON.stringify(named)).update(a.body);
  const digest = hash.digest().subarray(0, BYTES).toString("base64url");
  known.set(a, digest);
  return digest;
}
