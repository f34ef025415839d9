/**
 * The messages about the origins of streams between entry daemons and the endpoint daemons that keep them.
 * @module
 */
import * as zod from "zod";

const origin = zod.object({ service: zod.string(), software: zod.string() }).readonly();

/** The caller's attempt `attempt` brought the first event of a stream; kept for `ttlMs`. */
const begun = zod
  .object({
    kind: zod.literal("stream_begun"),
    attempt: zod.string().min(1),
    origin,
    ttlMs: zod.number().positive(),
  })
  .readonly();
/** Asks for the origin of the stream that an attempt began. */
const find = zod
  .object({
    kind: zod.literal("find_origin"),
    /** Id of the question, unique on its connection. */
    question: zod.int(),
    attempt: zod.string().min(1),
  })
  .readonly();

/** The messages from entry daemons to keepers. */
export const fromEntry = [begun, find] as const;
export type Begun = zod.infer<typeof begun>;
export type Find = zod.infer<typeof find>;

/** The reply to a {@link Find}. */
export const found = zod
  .object({
    kind: zod.literal("origin_found"),
    question: zod.int(),
    /** The origin of the attempt's stream; left out if it is not kept here. */
    origin: origin.optional(),
    /** Milliseconds since this daemon started, before which it can keep no origin. */
    upMs: zod.number().nonnegative(),
  })
  .readonly();
export type Found = zod.infer<typeof found>;
