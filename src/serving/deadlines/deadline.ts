/**
 * The deadlines of a request. How long a request waited before it was read is an estimate, and mostly too long. So the estimate
 * counts while an answer can still be refused, but a stream that has begun is not cut short by it.
 * @module
 */
import * as clock from "../../host/clock.js";
import type * as callerRequest from "../caller-request.js";
import type * as progress from "../progress.js";

/** Deadlines in monotonic ms. */
export interface Deadlines {
  /** An answer must have been given by then, or a stream have begun. */
  readonly dueAt: number;
  /** A stream that has begun goes on until then; not before `dueAt`. */
  readonly streamDueAt: number;
}

/** When a request arrived by the estimate, and when it was read; in monotonic ms. */
export interface Arrival {
  readonly arrivedAt: number;
  readonly readAt: number;
}

/** Most milliseconds by which a stream may exceed the timeout of its route, by the estimate. */
const ROUTE_EXCESS_MS = 200;

/** The deadlines of a request whose caller waits `waitMs`, on a route with the timeout `timeoutMs`. */
export function deadlinesOf(
  { arrivedAt, readAt }: Arrival,
  waitMs: number,
  timeoutMs: number,
): Deadlines {
  const timedFrom = Math.min(readAt, arrivedAt + ROUTE_EXCESS_MS);
  return {
    dueAt: arrivedAt + Math.min(waitMs, timeoutMs),
    streamDueAt: Math.min(readAt + waitMs, timedFrom + timeoutMs),
  };
}

/** The deadline that holds for a request now, in monotonic ms. */
export function dueAt(req: Deadlines, p: Pick<progress.Progress, "hasResponseBegun">): number {
  return p.hasResponseBegun ? req.streamDueAt : req.dueAt;
}

/** The deadline until which a worker may be at work on a request, in monotonic ms. */
export function workUntil(req: callerRequest.CallerRequest): number {
  return req.route.kind === "stream" ? req.streamDueAt : req.dueAt;
}

/** Calls `callback` once the deadline that holds for a request then has passed. */
export function onPassed(
  clk: clock.Clock,
  req: Deadlines,
  p: Pick<progress.Progress, "hasResponseBegun">,
  callback: () => void,
): clock.Timer {
  return clock.countdown(clk, () => dueAt(req, p) - clk.mono(), callback);
}
