/**
 * What a worker says of itself in an answer, next to the answer itself. A protocol reads it from an answer's headers; what
 * is known of a worker from all its answers is its {@link availability}.
 * @module
 */

/** One thing that an answer says, or does not. */
export type Said<T> =
  | { readonly kind: "said"; readonly value: T }
  | { readonly kind: "unsaid" }
  | { readonly kind: "unreadable"; readonly text: string };

/** What one answer says of its worker. */
export interface Notice {
  /** Requests a second that it takes from all hosts together. */
  readonly limit: Said<number>;
  /** It leaves. */
  readonly leaving: Said<true>;
  /** Milliseconds for which it wants no request from the host that it answers. */
  readonly retryAfterMs: Said<number>;
}

export const UNSAID = { kind: "unsaid" } as const;

/** The notice of an answer that says nothing. */
export const NOTHING: Notice = { limit: UNSAID, leaving: UNSAID, retryAfterMs: UNSAID };
