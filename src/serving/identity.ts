/**
 * Identifies requests that are repetitions of one another: another attempt of the same caller, or
 * the same request sent to another entry host. Each attempt has a new id, so the identity is a hash
 * of what is asked for. Pure.
 * @module
 */
import * as crypto from "node:crypto";
import type * as callerRequest from "./caller-request.js";

/** The format of an identity: {@link BYTES} bytes as base64url. */
export const PATTERN = /^[\w-]{22}$/;
/** Bytes kept of the digest: a collision is to be expected only among about 2^64 requests. */
const BYTES = 16;

const computed = new WeakMap<callerRequest.CallerRequest, string>();

/**
 * The identity of a request, as 22 characters of base64url: a hash of its route's host, method,
 * path, model, adapter and body. The attempt's id, the remaining time and the event after which a
 * stream resumes are left out, since they differ between attempts. The connection is left out,
 * since callers come from several addresses, and the same body crashes a worker whoever sends it.
 *
 * The prompt can't be recovered from it. It is computed only for sends that broke off and while
 * some request is suspected, and once per request.
 */
export function of(a: callerRequest.CallerRequest): string {
  const cached = computed.get(a);
  if (cached !== undefined) return cached;
  const hash = crypto.createHash("sha256");
  const { target } = a.meta;
  const parts = [a.route.host, a.method, a.path, target?.model ?? null, target?.adapter ?? null];
  hash.update(JSON.stringify(parts)).update(a.body);
  const digest = hash.digest().subarray(0, BYTES).toString("base64url");
  computed.set(a, digest);
  return digest;
}

/** The identity of a set of prompt parts, in the same format as that of a request. */
export function ofParts(parts: readonly string[]): string {
  const hash = crypto.createHash("sha256").update(JSON.stringify([...parts].sort()));
  return hash.digest().subarray(0, BYTES).toString("base64url");
}
