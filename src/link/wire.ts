/**
 * The headers of an attempt on its way from an entry daemon to an endpoint daemon and back. The
 * request's own bytes follow as the HTTP body.
 * @module
 */
import * as zod from "zod";

/** Path under which an endpoint daemon takes attempts. */
export const RUN_PATH = "/run";
/** Path under which a daemon takes control calls. */
export const CONTROL_PATH = "/control";

export const HEADER = {
  attempt: "sumacfield-attempt",
  outcome: "sumacfield-outcome",
  news: "sumacfield-news",
  model: "sumacfield-model",
  bodyHash: "sumacfield-body-sha256",
} as const;

/** What an entry daemon asks of an endpoint daemon. */
export const attempt = zod
  .strictObject({
    /** Unlike any other attempt's, also of the same request. */
    id: zod.string().min(1).max(64),
    /** The life of the endpoint daemon that the entry daemon means. */
    epoch: zod.string(),
    caller: zod.string(),
    class: zod.string(),
    /** Larger goes first; from the caller's grant and the request. */
    worth: zod.number().positive(),
    /** Requests of this caller that may wait here at once. */
    queue: zod.int().positive(),
    /** Milliseconds left until the answer's first byte must be out. */
    budgetMs: zod.number(),
    /** Intent revision that the entry daemon decided by. */
    revision: zod.int(),
    /** Whether the work may be run again after a broken link. */
    repeatable: zod.boolean(),
    work: zod.discriminatedUnion("kind", [
      zod
        .strictObject({
          kind: zod.literal("model"),
          adapter: zod.string(),
          version: zod.string(),
          /** The engine's own path, e.g. `/v1/completions`. */
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

/** How one endpoint is, as its daemon last said; rides on every answer and on reports. */
export const news = zod
  .object({
    endpoint: zod.string(),
    /** Changes with every start of the daemon. */
    epoch: zod.string(),
    /** Grows with every report of one epoch, so that late news is known as such. */
    seq: zod.int(),
    state: zod.enum(["learning", "serving", "draining"]),
    running: zod.int(),
    waiting: zod.int(),
    seats: zod.int(),
    /** Adapters loaded, as `adapter@version`. */
    loaded: zod.array(zod.string()).readonly(),
    /** Adapters being loaded or wanted. */
    coming: zod.array(zod.string()).readonly(),
    /** Smoothed milliseconds from dispatch to the answer's end. */
    serviceMs: zod.number(),
    /** Smoothed milliseconds of one load, with its wait for a turn. */
    loadMs: zod.number(),
    revision: zod.int(),
  })
  .readonly();
export type News = zod.infer<typeof news>;

/** Encodes a value for a header. */
export function encode(value: unknown): string {
  return Buffer.from(JSON.stringify(value)).toString("base64url");
}

/** Decodes a header made by {@link encode}; throws when it is not one. */
export function decode<T>(schema: zod.ZodType<T>, text: string | readonly string[] | undefined): T {
  if (typeof text !== "string") throw new TypeError("the header is missing or stands twice");
  return schema.parse(JSON.parse(Buffer.from(text, "base64url").toString()));
}
