/**
 * The messages about usage caps between entry daemons and the endpoint daemons that keep them. An entry daemon says
 * which caps it takes an endpoint daemon to keep, asks it for requests, and gives back what did not run.
 * @module
 */
import * as zod from "zod";

const team = zod.string().min(1);
const units = zod.number().nonnegative();

/** From now on the caps listed are kept here for this entry daemon, and no others. */
const attach = zod
  .object({
    kind: zod.literal("attach"),
    /** Version of the configuration that the caps are from. */
    version: zod.number(),
    /** Entry daemons there are, as far as this one knows. */
    hosts: zod.number().positive(),
    caps: zod
      .array(zod.object({ team, perS: zod.number().positive(), burst: units }).readonly())
      .readonly(),
  })
  .readonly();
/** The caps that were attached last are kept here still. */
const keep = zod.object({ kind: zod.literal("keep") }).readonly();
const draw = zod
  .object({
    kind: zod.literal("draw"),
    /** Names the question on this connection. */
    draw: zod.int(),
    team,
    /** What each request counts, in the order in which they are to be let in. */
    wants: zod.array(units).min(1).readonly(),
  })
  .readonly();
const refund = zod.object({ kind: zod.literal("refund"), team, units }).readonly();

/** Milliseconds after its last word for which an endpoint daemon counts an entry daemon as one that keeps its caps there. */
export const LEASE_MS = 2000;

export const fromEntry = [attach, keep, draw, refund] as const;
export type Attach = zod.infer<typeof attach>;
export type Keep = zod.infer<typeof keep>;
export type Draw = zod.infer<typeof draw>;
export type Refund = zod.infer<typeof refund>;

/** The answer to a {@link Draw}. */
export const drawn = zod
  .object({
    kind: zod.literal("drawn"),
    draw: zod.int(),
    /** Requests that are let in, from the first on. */
    granted: zod.int().nonnegative(),
    /** Milliseconds until the next of them would be; left out where the place can't tell. */
    waitMs: zod.number().nonnegative().optional(),
  })
  .readonly();
export type Drawn = zod.infer<typeof drawn>;
