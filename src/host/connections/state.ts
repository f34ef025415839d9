/**
 * The state of one caller's connection, from which follows what is read from it, which requests are taken, which response announces
 * its close, and when it ends. Pure.
 *
 * Responses come in the order of their requests, so only the last one may announce the close (RFC 9112, section 9.6). Once the close is
 * decided, requests that have been read are still taken. Of a client that sends ahead only a little more is read then, so that it
 * cannot keep its connection open; bytes that nobody has read belong to no request that runs.
 * @module
 */

/** Reads, and milliseconds, in which requests still arrive after the close was decided if their client sends ahead. */
export const MAX_READS_CLOSING = 8;
export const READ_CLOSING_MS = 1000;

/** Why the close of a connection was decided. */
export type CloseReason =
  /** The host stops. */
  | "stopping"
  /** The host has more requests than it can serve in time. */
  | "overload"
  /** The connection has brought bytes that are no request. */
  | "unreadable"
  /** A request was refused whose body is not read to its end. */
  | "unread_body"
  /** The client closes it after one response: it has said so, or speaks HTTP/1.0. */
  | "client";

/** A decided close. */
export interface Close {
  readonly reason: CloseReason;
  /** Monotonic ms at which it was decided. */
  readonly at: number;
  /** Reads since then that no body was due in, if the client sends ahead. */
  readonly reads: number;
}

/** State of a connection. Requests are numbered from 1. */
export interface State {
  /** Number of requests taken. */
  readonly taken: number;
  /** Requests whose responses have not ended, in order. */
  readonly open: readonly number[];
  /** Whether the latest request has a body that has not arrived whole. */
  readonly isReceiving: boolean;
  /** Whether a part of a request's head has been parsed. */
  readonly isHeadPartial: boolean;
  /** Whether bytes have been read and not parsed. */
  readonly isUnparsed: boolean;
  /** Whether the client has sent a request before it had the response to the one before. */
  readonly sendsAhead: boolean;
  readonly close: Close | undefined;
  /** Whether no further request can be taken: the close has been announced, or what follows cannot be parsed. */
  readonly isFinal: boolean;
  /** Whether this side has ended. */
  readonly isEnded: boolean;
}

/** State of a new connection. */
export const NEW: State = {
  taken: 0,
  open: [],
  isReceiving: false,
  isHeadPartial: false,
  isUnparsed: false,
  sendsAhead: false,
  close: undefined,
  isFinal: false,
  isEnded: false,
};

/** What happens on a connection. */
export type Step =
  /** Bytes were read. */
  | { readonly kind: "arrived"; readonly isBlank: boolean }
  /** All bytes that were read have been parsed. */
  | { readonly kind: "parsed"; readonly isHeadPartial: boolean; readonly at: number }
  /** A request was taken; `isLast`: its client wants the connection closed after the response. */
  | { readonly kind: "taken"; readonly isLast: boolean; readonly at: number }
  /** The body of the latest request has arrived whole. */
  | { readonly kind: "received" }
  /** The response to a request has ended, or was given up. */
  | { readonly kind: "responded"; readonly request: number }
  /** The close was decided. */
  | { readonly kind: "close"; readonly reason: CloseReason; readonly at: number }
  /** The head of a response that announces the close was written. */
  | { readonly kind: "announced" }
  /** What was read is no request, or the rest of one that is not needed. */
  | { readonly kind: "unneeded" }
  /** The process ends: what has not been taken will not be. */
  | { readonly kind: "take_no_more"; readonly at: number }
  /** This side has ended. */
  | { readonly kind: "ended" };

/** Whether more bytes are to be read, at a monotonic time in ms. */
export function mayRead(s: State, now: number): boolean {
  // What follows cannot hold a request that counts on an answer.
  const isDiscarded = s.isEnded || s.close?.reason === "client" || s.close?.reason === "unreadable";
  if (!s.close || !s.sendsAhead || s.isReceiving || isDiscarded) return true;
  return !s.isFinal && mayReadAhead(s.close, now);
}

/** Whether requests may still arrive though the close is decided. */
function mayReadAhead(close: Close, now: number): boolean {
  return close.reads < MAX_READS_CLOSING && now - close.at < READ_CLOSING_MS;
}

/** Whether what was read is to be parsed. */
export function mayParse(s: State): boolean {
  return !s.isEnded && (!s.isFinal || s.isReceiving);
}

/** Whether a request that arrives is taken. One that is not crosses the close, and must not be served. */
export function mayTake(s: State): boolean {
  return !s.isFinal && !s.isEnded;
}

/** The request whose response is to announce the close; undefined while a later one may be taken from what was read. */
export function announcerOf(s: State): number | undefined {
  return s.close && !s.isUnparsed && !s.isEnded ? s.open.at(-1) : undefined;
}

/** What is due now for a connection. */
export type Due =
  | "nothing"
  /** The end of this side. */
  | "end"
  /** The same after a refusal of a request of which a part has arrived. */
  | "refuse";

/** What is due now. */
export function dueOf(s: State): Due {
  if (!s.close || s.isEnded || s.isUnparsed || s.open.length > 0) return "nothing";
  return s.isHeadPartial && !s.isFinal ? "refuse" : "end";
}

function decide(s: State, reason: CloseReason, at: number): State {
  return s.close ? s : { ...s, close: { reason, at, reads: 0 } };
}

/** The state after a step. */
export function apply(s: State, step: Step): State {
  switch (step.kind) {
    case "arrived": {
      const isAhead = s.open.length > 0 && !s.isReceiving && !step.isBlank;
      const close = s.close && isAhead ? { ...s.close, reads: s.close.reads + 1 } : s.close;
      return { ...s, isUnparsed: mayParse(s), sendsAhead: s.sendsAhead || isAhead, close };
    }
    case "parsed": {
      const after = { ...s, isUnparsed: false, isHeadPartial: step.isHeadPartial };
      // The rest of its body may bring further requests, which would go on without end.
      const isLast = s.close && s.sendsAhead && s.isReceiving && !mayReadAhead(s.close, step.at);
      return isLast ? finish(after) : after;
    }
    case "taken": {
      const taken = s.taken + 1;
      const after: State = {
        ...s,
        taken,
        open: [...s.open, taken],
        isReceiving: true,
        isHeadPartial: false,
        sendsAhead: s.sendsAhead || s.open.length > 0,
      };
      return step.isLast ? finish(decide(after, "client", step.at)) : after;
    }
    case "received":
      return { ...s, isReceiving: false, isUnparsed: s.isUnparsed && !s.isFinal };
    case "responded":
      return { ...s, open: s.open.filter((n) => n !== step.request) };
    case "close":
      return decide(s, step.reason, step.at);
    case "announced":
      return finish(s);
    case "unneeded":
      return finish({ ...s, isReceiving: false });
    case "take_no_more": {
      const after = decide({ ...s, isReceiving: false }, "stopping", step.at);
      if (s.isFinal || s.open.length > 0) return finish(after);
      return {
        ...after,
        isUnparsed: false,
        isHeadPartial: s.isHeadPartial || (s.isUnparsed && !s.isReceiving),
      };
    }
    case "ended":
      return { ...finish({ ...s, isReceiving: false }), isEnded: true };
  }
}

function finish(s: State): State {
  return { ...s, isFinal: true, isUnparsed: s.isUnparsed && s.isReceiving };
}
