/**
 * What a worker announces about itself in an answer, next to the answer's content. A protocol
 * parses it from the answer's headers; the state accumulated from all of a worker's answers is its
 * {@link availability}.
 * @module
 */

/** One announcement of an answer: parsed, absent, or not parsable. */
export type Announced<T> =
  | { readonly kind: "said"; readonly value: T }
  | { readonly kind: "unsaid" }
  | { readonly kind: "unreadable"; readonly text: string };

/** What one answer announces about its worker. */
export interface Notice {
  /** Requests per second that it accepts from all hosts together. */
  readonly limit: Announced<number>;
  /** Whether it is leaving. */
  readonly leaving: Announced<true>;
  /**
   * Length of the requested pause: milliseconds for which it accepts no request from the host that
   * it answers.
   */
  readonly retryAfterMs: Announced<number>;
}

/** No announcement. */
export const ABSENT = { kind: "unsaid" } as const;

/** The notice of an answer without announcements. */
export const EMPTY: Notice = { limit: ABSENT, leaving: ABSENT, retryAfterMs: ABSENT };
