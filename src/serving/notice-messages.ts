/**
 * The message by which entry and endpoint daemons tell each other those announcements of workers
 * that concern all hosts: their limits, and that they are leaving.
 * @module
 */
import * as zod from "zod";
import type * as availability from "./availability.js";

/** The known state of one worker incarnation; sent in both directions. */
export const notice = zod
  .object({
    kind: zod.literal("notice"),
    worker: zod.string().min(1),
    /** Left out if the worker never announced a limit. */
    limit: zod
      .object({
        /** Requests per second; left out once the limit is withdrawn. */
        perS: zod.number().nonnegative().optional(),
        /** Increases with each change. */
        version: zod.int().positive(),
      })
      .readonly()
      .optional(),
    leaving: zod.boolean().default(false),
  })
  .readonly();
export type Notice = zod.infer<typeof notice>;

/** Makes the message for a worker's known state. */
export function toMessage(worker: string, { limit, leavingAt }: availability.Availability): Notice {
  return {
    kind: "notice",
    worker,
    ...(limit && {
      limit: { version: limit.version, ...(limit.perS !== undefined && { perS: limit.perS }) },
    }),
    leaving: leavingAt !== undefined,
  };
}

/** The update that a message carries. */
export function toUpdate({ limit, leaving }: Notice): availability.Update {
  return { limit, leaving };
}
