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
/** Asks for the origin of the stream that an attempt began on a route. */
const find = zod
  .object({
    kind: zod.literal("find_origin"),
    /** Id of the question, unique on its connection. */
    question: zod.int(),
    /** Left out if the caller named no attempt. */
    attempt: zod.string().min(1).optional(),
    route: zod.string(),
    /** Most milliseconds since the stream began. */
    maxAgeMs: zod.number().positive(),
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
    /** What streams of the route may have begun on in the last `maxAgeMs`, as far as this daemon has seen. */
    possible: zod.array(origin).readonly(),
    /** Milliseconds for which this daemon has seen every change of workers and routes. */
    watchedMs: zod.number().nonnegative(),
    /** Milliseconds since it last knew itself to be as new as the store. */
    ageMs: zod.number().nonnegative(),
    /** Milliseconds since this daemon started, before which it can keep no origin. */
    upMs: zod.number().nonnegative(),
  })
  .readonly();
export type Found = zod.infer<typeof found>;
