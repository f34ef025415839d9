/**
 * One request under way: the caller's side of it, and how far it has come.
 * @module
 */
import * as admission from "./admission.js";
import type * as ask from "./ask.js";
import type * as headers from "./headers.js";
import type * as meters from "./meters.js";

/** The caller's side of a request. Nothing is passed on before {@link Outlet.begin}. */
export interface Outlet {
  /** Aborts when the caller goes away. */
  readonly gone: AbortSignal;
  readonly begin: (status: number, headers: headers.Headers) => void;
  /** Passes bytes on; resolves when the caller takes more. */
  readonly write: (bytes: Buffer) => Promise<void> | undefined;
  readonly end: () => void;
  /** Breaks an answer off that has begun, so that it does not look whole. */
  readonly breakOff: () => void;
  readonly answer: (status: number, headers: headers.Headers, body: Buffer) => void;
  /** Refuses; `comeBackMs` is told where the request was not run. */
  readonly refuse: (status: number, message: string, comeBackMs?: number) => void;
}

/** How a request ended, for the log and the meters. */
export type Ending =
  "whole" | "late" | "refused" | "failed" | "unknown" | "broken" | "left" | "passed_failure";

/** How far a request has come. */
export interface Progress {
  sends: number;
  /** Sends that ran or may have run. */
  runs: number;
  readonly tried: Set<string>;
  /** Engines that sent it back at once for their queue. */
  readonly diverted: Set<string>;
  /** Times that it got no permit to be sent to a worker, or was withheld though it had one. */
  withheld: number;
  /** Why no worker that could run it takes it now, by what they say; and milliseconds until one does. */
  closedBy: meters.Reason | undefined;
  opensInMs: number | undefined;
  /** Times that it left an engine's queue for a shorter one. */
  moves: number;
  /** Monotonic ms from which it waits for an endpoint: its arrival, or the end of its last send. */
  waitsFrom: number;
  /** A retry was charged to the budget that is not made yet. */
  retryIsCharged: boolean;
  begun: boolean;
  /** It was decided whether it is let in. */
  judged: boolean;
  lastId: string | undefined;
  why: string;
  /** Status of its refusal, where it did not run. */
  refusal: 401 | 503;
  /** When a refused caller should come back, as far as known. */
  comeBackMs: number;
  /** Milliseconds until a request that ends its workers may be sent again; undefined for all others. */
  releaseMs: number | undefined;
  firstAt: number | undefined;
  /** What the first choice's first event was expected to take, in ms. */
  expectedMs: number | undefined;
  /** Milliseconds since what the host knew at the last send was as new as the store. */
  newsMs: number | undefined;
  endpoint: string;
}

/** A request that has just arrived. */
export function start(a: ask.Ask): Progress {
  return {
    sends: 0,
    runs: 0,
    tried: new Set(),
    diverted: new Set(),
    withheld: 0,
    closedBy: undefined,
    opensInMs: undefined,
    moves: 0,
    waitsFrom: a.arrivedAt,
    retryIsCharged: false,
    begun: false,
    judged: false,
    lastId: a.meta.resumeAfter,
    why: "no endpoint is there",
    refusal: 503,
    comeBackMs: admission.UNKNOWN_MS,
    releaseMs: undefined,
    firstAt: undefined,
    expectedMs: undefined,
    newsMs: undefined,
    endpoint: "",
  };
}
