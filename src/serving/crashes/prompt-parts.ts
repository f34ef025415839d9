/**
 * The ids of prompt parts by which crashes are recorded. Pure.
 * @module
 */
import * as crypto from "node:crypto";
import * as callerRequest from "../caller-request.js";

/** Maximum number of parts of one request that are recorded, the first ones, and maximum length of a recorded id. */
export const MAX_PARTS = 64;
export const MAX_ID_LENGTH = 64;

/**
 * Ids of the parts of a prompt that other requests may share, each once. An id that is longer than {@link MAX_ID_LENGTH}
 * is replaced by its SHA-256, in hex.
 */
export function idsOf(meta: callerRequest.Meta): readonly string[] {
  const ids = new Set<string>();
  for (const { id } of callerRequest.sharedParts(meta).slice(0, MAX_PARTS))
    if (id !== "") ids.add(id.length <= MAX_ID_LENGTH ? id : sha256(id));
  return [...ids];
}

function sha256(text: string): string {
  return crypto.createHash("sha256").update(text).digest("hex");
}
