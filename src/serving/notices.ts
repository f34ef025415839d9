/**
 * What a worker announces about itself in an answer, next to the answer's content. A protocol
 * parses it from the answer's headers; the state accumulated from all of a worker's answers is its
 * {@link availability}.
 * @module
 */

/** One announcement of an answer: parsed, absent, or not parsable. */
export type Said<T> =
  | { readonly kind: "said"; readonly value: T }
  | { readonly kind: "unsaid" }
  | { readonly kind: "unreadable"; readonly text: string };

/** What one answer announces about its worker. */
export interface Notice {
  /** Requests per second that it accepts from all hosts together. */
  readonly limit: Said<number>;
  /** Whether it is leaving. */
  readonly leaving: Said<true>;
  /**
   * Length of the requested pause: milliseconds for which it accepts no request from the host that
   * it answers.
   */
  readonly retryAfterMs: Said<number>;
}

/** No announcement. */
export const UNSAID = { kind: "unsaid" } as const;

/** The notice of an answer without announcements. */
export const NOTHING: Notice = { limit: UNSAID, leaving: UNSAID, retryAfterMs: UNSAID };
