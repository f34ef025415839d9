/**
 * Reads a caller's request body, within a limit, the memory budget and the request's deadline.
 * @module
 */
import type * as http from "node:http";
import type * as clock from "../../host/clock.js";
import * as byteQueue from "./byte-queue.js";
import type * as hold from "./hold.js";

/** A body, or why it was not read to its end; the caller is still connected unless it `broke`. */
export type Result =
  | { readonly kind: "read"; readonly body: Buffer }
  | { readonly kind: "too_large" }
  /** The memory budget has no room for it. */
  | { readonly kind: "no_room" }
  /** It had not arrived by the deadline. */
  | { readonly kind: "late" }
  /** The caller closed the connection. */
  | { readonly kind: "broke" };

/** Limits of a body. */
export interface Bounds {
  readonly limitBytes: number;
  /** Milliseconds within which the body must arrive. */
  readonly withinMs: number;
}

/** Reads a body. If there is no room for it or it is late, the request is paused, and its rest must not be read. */
export function read(
  req: http.IncomingMessage,
  held: hold.Hold,
  bounds: Bounds,
  clk: clock.Clock,
): Promise<Result> {
  const announced = Number(req.headers["content-length"] ?? 0);
  if (announced > bounds.limitBytes) return Promise.resolve({ kind: "too_large" });
  if (!held.reserveBody(announced)) {
    req.pause();
    return Promise.resolve({ kind: "no_room" });
  }
  const received = new byteQueue.ByteQueue();
  return new Promise((resolve) => {
    const finish = (result: Result): void => {
      timer.cancel();
      req.off("data", onData).off("end", onEnd).off("close", onClose).off("error", onClose);
      held.bodyEnded();
      if (result.kind !== "read") req.pause();
      resolve(result);
    };
    const onData = (chunk: Buffer): void => {
      held.receivedBody(chunk.length);
      const size = received.length + chunk.length;
      if (size > bounds.limitBytes) finish({ kind: "too_large" });
      else if (size > announced && !held.reserveBody(size)) finish({ kind: "no_room" });
      else received.push(chunk);
    };
    const onEnd = (): void => {
      finish({ kind: "read", body: received.takeAll() });
    };
    const onClose = (): void => {
      finish({ kind: "broke" });
    };
    const timer = clk.after(Math.max(0, bounds.withinMs), () => {
      finish({ kind: "late" });
    });
    held.bodyBegins(() => {
      finish({ kind: "no_room" });
    });
    req.on("data", onData).on("end", onEnd).on("close", onClose).on("error", onClose);
  });
}
