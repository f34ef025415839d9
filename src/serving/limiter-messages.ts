/**
 * The messages about totals (rate limits shared by all hosts) between entry daemons and the
 * endpoint daemons that own them. An entry daemon attaches totals to their owner, draws units for
 * requests, and refunds the units of requests that did not run.
 * @module
 */
import * as zod from "zod";

/** Identifies a total: a team's usage cap or a worker's rate limit. */
const key = zod.string().min(1);
const units = zod.number().nonnegative();

/** Replaces the set of totals that the receiver owns for this entry daemon. */
const attach = zod
  .object({
    kind: zod.literal("attach"),
    /** Number of entry daemons that the sender knows of. */
    hosts: zod.number().positive(),
    totals: zod
      .array(
        zod
          .object({
            key,
            perS: zod.number().positive(),
            burst: units,
            /** Units by which the total may be exceeded at once. */
            overdraft: units,
            /** Milliseconds of future refill that may be promised to waiting requests. */
            aheadMs: zod.number().nonnegative(),
            /** Increases with each change of the total. */
            version: zod.number(),
          })
          .readonly(),
      )
      .readonly(),
  })
  .readonly();
/** Renews the lease on the totals attached last. */
const keep = zod.object({ kind: zod.literal("keep") }).readonly();
const draw = zod
  .object({
    kind: zod.literal("draw"),
    /** Id of the draw, unique on its connection. */
    draw: zod.int(),
    key,
    /** Units of each request, in the order in which they are to be admitted. */
    wants: zod.array(units).min(1).readonly(),
    /** Milliseconds that each request may wait. */
    patienceMs: zod.number().nonnegative(),
  })
  .readonly();
const refund = zod.object({ kind: zod.literal("refund"), key, units }).readonly();

/**
 * Milliseconds after an entry daemon's last message for which the owner counts it among the hosts
 * that have its totals attached.
 */
export const LEASE_MS = 2000;

/** The messages from entry daemons to owners. */
export const fromEntry = [attach, keep, draw, refund] as const;
export type Attach = zod.infer<typeof attach>;
/** A total as an entry daemon attaches it. */
export type Total = Attach["totals"][number];
export type Keep = zod.infer<typeof keep>;
export type Draw = zod.infer<typeof draw>;
export type Refund = zod.infer<typeof refund>;

/** The reply to a {@link Draw}. */
export const drawn = zod
  .object({
    kind: zod.literal("drawn"),
    draw: zod.int(),
    /**
     * Milliseconds that each admitted request waits before it is sent; the admitted requests are
     * the first ones of the draw.
     */
    delaysMs: zod.array(zod.number().nonnegative()).readonly(),
    /**
     * Milliseconds until the first request that was not admitted could be; left out if the owner
     * can't tell.
     */
    waitMs: zod.number().nonnegative().optional(),
  })
  .readonly();
export type Drawn = zod.infer<typeof drawn>;
