/**
 * Decides what the head of an answer proves about the request that was sent. Pure.
 * @module
 */
import type * as exchange from "../exchange.js";
import type * as protocol from "../protocol.js";

/** The request that an answer names: the one that was sent, another one, or none. */
export type Subject = "request" | "other" | "none";

/** What the head of an answer states. */
export interface Statement {
  readonly status: number;
  readonly subject: Subject;
  /** Whether it states that the request was not run and never will be. */
  readonly claimsNotRun: boolean;
  readonly isSigned: boolean;
  /** Whether the beginning of another response precedes it, so that its status is that response's. */
  readonly isJoined: boolean;
}

/** What an answer proves about a send. */
export type Proof =
  /** It is the answer to the request. */
  | { readonly kind: "answer" }
  /** The request was not run and will not be. `isAbsent`: another instance runs at the address, or it lacks the adapter. */
  | { readonly kind: "not_run"; readonly isAbsent: boolean }
  /** It answers the request, but with a status that would promise the caller what the worker does not state. */
  | { readonly kind: "unproved"; readonly why: string }
  /** Nothing: the request may have run. */
  | { readonly kind: "unknown"; readonly why: string };

const MISDIRECTED = 421;
/** Statuses that promise a caller that its request was not run and never will be. */
const PROMISES: ReadonlySet<number> = new Set([408, MISDIRECTED, 429, 503]);
/** The status line of a response within the reason phrase or a header's value of another one that was cut there. */
const STATUS_LINE = /HTTP\/\d\.\d \d{3}/;
const FIRST_SUCCESS_STATUS = 200;
const FIRST_OTHER_STATUS = 300;

/** Reads the statement of an answer to the request `id`. */
export function read(
  wire: Pick<protocol.Protocol, "answeredRequestId" | "saysNotRun" | "isSigned">,
  id: string,
  { status, reason, headers: received }: exchange.Head,
): Statement {
  const named = wire.answeredRequestId(received);
  return {
    status,
    subject: named === id ? "request" : named === undefined ? "none" : "other",
    claimsNotRun: wire.saysNotRun(status, received),
    isSigned: wire.isSigned(received),
    isJoined: [reason, ...Object.values(received).flat()].some(holdsStatusLine),
  };
}

function holdsStatusLine(text: string | undefined): boolean {
  return text !== undefined && STATUS_LINE.test(text);
}

/** What a statement proves about the request that was sent. */
export function prove({ status, subject, claimsNotRun, isSigned, isJoined }: Statement): Proof {
  if (isJoined) return unknown("the beginning of another response precedes the answer");
  if (subject === "other") return unknown("the answer names another request");
  if (subject === "none") return unknown("the answer names no request");
  const isSuccess = status >= FIRST_SUCCESS_STATUS && status < FIRST_OTHER_STATUS;
  if (claimsNotRun && isSuccess) return unknown("the answer claims both a success and no run");
  if (claimsNotRun) return { kind: "not_run", isAbsent: status === MISDIRECTED };
  if (isSuccess && !isSigned) return unknown("the answer carries no signature");
  if (PROMISES.has(status))
    return { kind: "unproved", why: `status ${status} without stating that it was not run` };
  return { kind: "answer" };
}

function unknown(why: string): Proof {
  return { kind: "unknown", why };
}
