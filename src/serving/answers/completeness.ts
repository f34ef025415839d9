/**
 * Decides whether an answer that has come to its end is complete, and by which evidence. Pure.
 *
 * A length or a last chunk proves that all bytes arrived. The normal end of a connection proves that the worker sent no more,
 * which is also how the end of the worker's process ends it. A stream must in addition end between two events, because a worker may stop
 * within one in any framing.
 * @module
 */
import type * as framings from "./framing.js";

/** An answer that may be passed on as complete, with what marked its end. */
export interface Whole {
  readonly kind: "whole";
  readonly evidence: framings.Framing;
}

/** Whether an answer is complete; one that is `unknown` must not be passed on as complete either. */
export type Completeness = Whole | { readonly kind: "cut" | "unknown"; readonly why: string };

/** What is known of a stream at its end. */
export interface StreamEnd {
  /** Whether the bytes after the last whole event are the beginning of another one. */
  readonly isInsideEvent: boolean;
  /** Whether it had an event. */
  readonly hasEvent: boolean;
  /** Whether it continues after the last event of an earlier run, so that it may have nothing left to send. */
  readonly isResumed: boolean;
}

/** Whether the answer's end is shown by a normal close alone, so that it matters whether the worker still runs. */
export function restsOnClose(found: Completeness): boolean {
  return found.kind === "whole" && found.evidence === "close";
}

/**
 * Judges an answer, other than a stream, whose connection or framing ended it without an error. A worker that stops within the head
 * of its answer may have sent all of it but what marks the end of the body.
 */
export function ofWhole(framing: framings.Framing, hasBody: boolean): Completeness {
  if (framing === "close" && !hasBody)
    return { kind: "unknown", why: "the connection was closed before the body" };
  return { kind: "whole", evidence: framing };
}

/** Judges a stream whose connection or framing ended it without an error. */
export function ofStream(framing: framings.Framing, end: StreamEnd): Completeness {
  if (end.isInsideEvent) return { kind: "cut", why: "the stream ended within an event" };
  if (framing === "close" && !end.hasEvent && !end.isResumed)
    return { kind: "unknown", why: "the connection was closed before the first event" };
  return { kind: "whole", evidence: framing };
}

/** The answer of a worker that has not shown that it ran on after its connection was closed. */
export const UNCONFIRMED: Completeness = {
  kind: "unknown",
  why: "the connection was closed, and the worker did not answer after that",
};

/** Judges an answer whose connection broke, or that was given up. */
export function broken(why: string): Completeness {
  return { kind: "cut", why };
}
