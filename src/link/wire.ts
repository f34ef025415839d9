/**
 * The headers of an attempt that an entry daemon sends to an endpoint daemon, and of the response. The
 * bytes of the caller's request follow as the HTTP body.
 * @module
 */
import * as zod from "zod";

/** Path on which an endpoint daemon accepts attempts. */
export const RUN_PATH = "/run";
/** Path prefix of a daemon's control calls. */
export const CONTROL_PATH = "/control";

/** Names of the headers. */
export const HEADER = {
  attempt: "sumacfield-attempt",
  outcome: "sumacfield-outcome",
  news: "sumacfield-news",
  model: "sumacfield-model",
  bodyHash: "sumacfield-body-sha256",
} as const;

/** Schema of an attempt: one try at running a request, sent by an entry daemon to an endpoint daemon. */
export const attempt = zod
  .strictObject({
    /** Unique among all attempts, including those of the same request. */
    id: zod.string().min(1).max(64),
    /** Epoch of the endpoint daemon that the attempt is addressed to; it changes with every start. */
    epoch: zod.string(),
    caller: zod.string(),
    class: zod.string(),
    /** Weight in the queue: larger goes first. Derived from the caller's grant and the request. */
    worth: zod.number().positive(),
    /** Maximum number of this caller's requests that may wait at the endpoint. */
    queue: zod.int().positive(),
    /** Milliseconds left until the first byte of the answer must have been sent. */
    budgetMs: zod.number(),
    /** Intent revision on which the entry daemon based its decision. */
    revision: zod.int(),
    /** Whether the work may be repeated after the connection broke. */
    repeatable: zod.boolean(),
    work: zod.discriminatedUnion("kind", [
      zod
        .strictObject({
          kind: zod.literal("model"),
          adapter: zod.string(),
          version: zod.string(),
          /** Path on the engine, e.g. `/v1/completions`. */
          path: zod.string(),
          stream: zod.boolean(),
        })
        .readonly(),
      zod
        .strictObject({
          kind: zod.literal("service"),
          service: zod.string(),
          method: zod.string(),
          path: zod.string(),
        })
        .readonly(),
    ]),
  })
  .readonly();
export type Attempt = zod.infer<typeof attempt>;

/** Schema of an endpoint's report of its state, sent with every answer and on request. */
export const endpointReport = zod
  .object({
    endpoint: zod.string(),
    /** Identifies the daemon process; changes with every start. */
    epoch: zod.string(),
    /** Increases with every report of one epoch, so that a report that arrives late can be recognized. */
    seq: zod.int(),
    state: zod.enum(["learning", "serving", "draining"]),
    running: zod.int(),
    waiting: zod.int(),
    seats: zod.int(),
    /** Adapters loaded, as `adapter@version`. */
    loaded: zod.array(zod.string()).readonly(),
    /** Adapters that are being loaded or waited for. */
    coming: zod.array(zod.string()).readonly(),
    /** Smoothed time from dispatch to the end of the answer, in ms. */
    serviceMs: zod.number(),
    /** Smoothed time of one load, in ms, including the wait for a turn. */
    loadMs: zod.number(),
    revision: zod.int(),
  })
  .readonly();
export type EndpointReport = zod.infer<typeof endpointReport>;

/** Encodes a value as the text of a header. */
export function encode(value: unknown): string {
  return Buffer.from(JSON.stringify(value)).toString("base64url");
}

/** Decodes a header written by {@link encode}; throws when it is missing, repeated or malformed. */
export function decode<T>(schema: zod.ZodType<T>, text: string | readonly string[] | undefined): T {
  if (typeof text !== "string") throw new TypeError("the header is missing or is repeated");
  return schema.parse(JSON.parse(Buffer.from(text, "base64url").toString()));
}
