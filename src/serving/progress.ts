/**
 * State of one request in flight: the response to its caller, and the progress of its sends.
 * @module
 */
import * as admission from "./admission.js";
import type * as completeness from "./answers/completeness.js";
import type * as framings from "./answers/framing.js";
import type * as callerRequest from "./caller-request.js";
import type * as origin from "./continuation/origin.js";
import type * as headers from "./headers.js";
import type * as metrics from "./metrics.js";
import type * as presence from "./overload/presence.js";
import type * as returnSchedule from "./overload/return-schedule.js";
import type * as crowding from "./spread/crowding.js";

/** The response to the caller of a request. Nothing is passed on before {@link CallerResponse.writeHead}. */
export interface CallerResponse {
  /** Aborts when the caller disconnects. */
  readonly disconnected: AbortSignal;
  /** Presence of the caller right before a send; undefined where no connection is known. */
  readonly presence?: presence.Presence | undefined;
  /** Sends the status and the headers of an answer that is passed on in parts. */
  readonly writeHead: (status: number, headers: headers.Headers) => void;
  /** Passes bytes on; a returned promise resolves when more may be read from the worker. */
  readonly write: (bytes: Buffer) => Promise<void> | undefined;
  /**
   * Counts the bytes read so far of an answer that is passed on whole; a returned promise resolves when more may be read.
   * Like the next two, undefined where nothing is counted.
   */
  readonly readAnswer?: (bytes: number) => Promise<void> | undefined;
  /** The answer read so far is given up. */
  readonly dropAnswer?: () => void;
  /** Whether another send has been answered, so that nothing of this send's answer is kept. */
  readonly isSuperseded?: () => boolean;
  /** Whether the daemon reset the caller's connection to free memory. */
  readonly wasReset?: () => boolean;
  /** Ends the answer as complete, which `proof` shows it to be. */
  readonly end: (proof: completeness.Whole) => void;
  /** Breaks off an answer that has begun, so that the caller does not take it for complete. */
  readonly abort: () => void;
  /** Sends a whole answer. */
  readonly sendWhole: (status: number, headers: headers.Headers, body: Buffer) => void;
  /** Sends a refusal; `retryAfterMs` is given only if the request was not run. */
  readonly refuse: (status: number, message: string, retryAfterMs?: number) => void;
}

/** How a request ended, for the log and the metrics. */
export type Ending =
  "whole" | "late" | "refused" | "failed" | "unknown" | "broken" | "left" | "passed_failure";

/** The adapter version that a send named, and what its host knew of newer ones then. */
export interface AdapterVersion {
  /** Version that the worker was told to expect; undefined if none. */
  readonly named: number | undefined;
  /** Newest declared version; undefined if none is known. */
  readonly newest: number | undefined;
  /** Milliseconds for which the newest one may have been declared at most; Infinity if that is not known. */
  readonly maxAgeMs: number | undefined;
  /** Whether the endpoint daemon granted a seat. */
  readonly hasSeat: boolean;
}

/** Progress of a request. */
export interface Progress {
  /** Sends, including those that did not run. */
  sends: number;
  /** Sends that ran or may have run. */
  runs: number;
  /** Ids of the endpoints already tried; cleared when none is left to try. */
  readonly triedEndpoints: Set<string>;
  /** Numbers of the connections that the request was written to. */
  readonly connections: Set<number>;
  /** Ids of the engines that sent the request back at once because of their queue. */
  readonly divertedBy: Set<string>;
  /** Runs, or possible runs, of the other send of a hedged call; they count towards the route's attempts. */
  sideRuns: number;
  /** What became of the request's hedge, if one was sent. */
  hedge: metrics.HedgeOutcome | undefined;
  /** Times that the request got no permit for a worker, or was withheld despite one. */
  withheld: number;
  /** Why no worker that could run the request accepts it now, according to the workers' notices. */
  closedBy: metrics.NoticeReason | undefined;
  /** Milliseconds until one of them does. */
  opensInMs: number | undefined;
  /** Times that the request left an engine's queue for a shorter one. */
  queueMoves: number;
  /** Monotonic ms since which the request waits for an endpoint: its arrival, or the end of its last send. */
  queuedAt: number;
  /** Whether a retry has been charged to the budget but not yet sent. */
  isRetryCharged: boolean;
  /** Whether the head of a streamed answer was passed on to the caller. */
  hasResponseBegun: boolean;
  /** Whether admission has been decided. */
  isAdmissionDecided: boolean;
  /** Random number by which admission is graded; undefined where it is not. */
  admissionDraw: number | undefined;
  /** The estimated wait at the last decision on admission, as a fraction of the longest admitted one. */
  waitRatio: number | undefined;
  /** Why a stream that its caller resumes cannot go on anywhere; undefined if it can. */
  cannotResume: string | undefined;
  /** What the first event came from, here or in an earlier attempt; undefined before. */
  origin: origin.Origin | undefined;
  /** Id of the last event that was passed on, or that the caller has from an earlier attempt. */
  lastEventId: string | undefined;
  /** Whether only a part of the last event was passed on, so that no other run can continue the stream. */
  isEventOpen: boolean;
  /** Reason of the last failure, for the caller and the log. */
  why: string;
  /** Status of a refusal if the request did not run. */
  refusalStatus: 401 | 503;
  /** Milliseconds after which a refused caller should retry, as far as known. */
  retryAfterMs: number;
  /** Whether it is refused because of the time that it would wait on engines, which is then `retryAfterMs`. */
  isRefusedForWait: boolean;
  /** The retry that was booked for its refused caller. */
  booked: returnSchedule.Booked | undefined;
  /** Milliseconds until a quarantined request may be sent again; undefined for all others. */
  releaseMs: number | undefined;
  /** Monotonic ms at which the first event or the whole answer was passed on. */
  firstByteAt: number | undefined;
  /** How the end of the latest answer is marked; undefined before the first answer. */
  framing: framings.Framing | undefined;
  /** Bytes that the latest stream has after its last whole event, once it has ended. */
  restBytes: number | undefined;
  /** Longest pause in ms between two events as they arrived; 0 before the second one. */
  pauseMs: number;
  /** Longest time in ms that the caller's connection took to accept what had arrived. */
  writeMs: number;
  /** Monotonic ms at which the request was first written to a worker. */
  firstSentAt: number | undefined;
  /** Expected ms to the first event from the endpoint chosen first. */
  expectedMs: number | undefined;
  /** Expected ms from a send to the first event, at the endpoint chosen last; 0 before the first choice. */
  serviceMs: number;
  /** Crowding by which the engine of the last choice was chosen; undefined where none is announced. */
  crowding: crowding.Comparison | undefined;
  /** Milliseconds, at the last send, since the host's catalog was last known to be up to date with the store. */
  catalogAgeMs: number | undefined;
  /** The adapter version of the last send; undefined for a request without an adapter. */
  adapterVersion: AdapterVersion | undefined;
  /** Id of the endpoint of the last send; empty before the first. */
  endpoint: string;
}

/**
 * Whether another run can continue the response so far: nothing was passed on, or whole events, the last of which the run can
 * be told to continue after.
 */
export function canContinue(p: Progress): boolean {
  return !p.hasResponseBegun || (!p.isEventOpen && p.lastEventId !== undefined);
}

/** Progress of a request that has just arrived. */
export function start(a: callerRequest.CallerRequest): Progress {
  return {
    sends: 0,
    runs: 0,
    sideRuns: 0,
    hedge: undefined,
    triedEndpoints: new Set(),
    connections: new Set(),
    divertedBy: new Set(),
    withheld: 0,
    closedBy: undefined,
    opensInMs: undefined,
    queueMoves: 0,
    queuedAt: a.arrivedAt,
    isRetryCharged: false,
    hasResponseBegun: false,
    isAdmissionDecided: false,
    admissionDraw: undefined,
    waitRatio: undefined,
    cannotResume: undefined,
    origin: undefined,
    lastEventId: a.meta.resumeAfter,
    isEventOpen: false,
    why: "no endpoint is available",
    refusalStatus: 503,
    retryAfterMs: admission.DEFAULT_RETRY_AFTER_MS,
    isRefusedForWait: false,
    booked: undefined,
    releaseMs: undefined,
    firstByteAt: undefined,
    framing: undefined,
    restBytes: undefined,
    pauseMs: 0,
    writeMs: 0,
    firstSentAt: undefined,
    expectedMs: undefined,
    serviceMs: 0,
    crowding: undefined,
    catalogAgeMs: undefined,
    adapterVersion: undefined,
    endpoint: "",
  };
}
