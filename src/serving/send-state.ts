/**
 * State of one send of a request to an endpoint.
 * @module
 */
import type * as clock from "../host/clock.js";
import type * as evidence from "./answers/evidence.js";
import type * as callerRequest from "./caller-request.js";
import type * as catalog from "./catalog.js";
import type * as connections from "./connections/connection.js";
import type * as streamClock from "./pacing/stream-clock.js";
import type * as progress from "./progress.js";
import type * as protocol from "./protocol.js";
import type * as seatFinder from "./seat-finder.js";
import type * as sendChecks from "./send-checks.js";
import type * as sendWatchdog from "./send-watchdog.js";
import type * as workerNotices from "./worker-notices.js";

/** Reason of a stop signal that aborts because the endpoint has not answered by the deadline, while another one has. */
export const UNANSWERED = new Error("the endpoint has not answered by the deadline");

/** The seat and the permit that a request holds for one send. */
export interface SendGrants {
  /** Seat in the engine's batch; undefined for plain services, whose endpoints grant no seats. */
  readonly seat: seatFinder.GrantedSeat | undefined;
  /** Version of its adapter that the worker is told to expect; undefined if it is for none, or no version is known. */
  readonly version: number | undefined;
  readonly permit: workerNotices.Granted;
  /** Called right before the request is written to its connection. */
  readonly onWritten?: () => void;
}

/** State of one send in flight. */
export interface SendState {
  readonly req: callerRequest.CallerRequest;
  readonly res: progress.CallerResponse;
  readonly p: progress.Progress;
  readonly endpoint: catalog.Endpoint;
  readonly grants: SendGrants;
  /** Monotonic ms at which the send was requested; once the request is written, the ms at which that began. */
  sentAt: number;
  /** Steady-clock ms at which writing the request began. */
  startedAt?: number;
  /** Use of the connection that the request was written to; undefined before, and where it is not known. */
  use: connections.Use | undefined;
  /** Whether that connection had carried the same request before. */
  isRepeatedUse: boolean;
  /** What the head of the answer states; undefined before it arrived. */
  statement?: evidence.Statement;
  /** Aborts when the caller goes away or the deadline passes. */
  readonly stopSignal: AbortSignal;
  readonly watchdog: sendWatchdog.Watchdog;
  /** Timing of the answer, if it is a stream. */
  readonly stream: streamClock.StreamClock;
  /** Watch over the beginning of the run; undefined before the request is written, and if it is for no adapter. */
  beginWatch?: clock.Timer;
  /** Whether the request was broken off because it had not begun while its version could be used. */
  isTooLate: boolean;
  /** Whether this host closed the connection because of what came on it, so that its end is none of the worker's. */
  isClosedHere: boolean;
  /** Why the request was withheld, if it was. */
  withholdReason: sendChecks.WithholdReason | undefined;
}

/** The fields that are added to a request that is sent with `leftMs` left until its deadline. */
export function attributesOf(
  { req, p, endpoint, grants }: SendState,
  leftMs: number,
): protocol.SendAttributes {
  return {
    instance: grants.seat?.instance ?? endpoint.id,
    version: grants.version,
    rank: req.route.rank,
    leftMs,
    resumeAfter: p.lastEventId,
    team: req.caller?.team.name,
  };
}
