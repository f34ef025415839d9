/**
 * Whether one start of a worker takes requests, as far as it says itself: the limit that it names, whether it leaves, and
 * until when it wants nothing from this host. Answers may overtake one another, so that it leaves is never taken back, and of
 * several pauses that it asks for the one that ends last counts. Pure.
 * @module
 */
import * as limits from "./named-limits.js";
import type * as notices from "./notices.js";

/** What is known of one start of a worker; times are steady ms. */
export interface Availability {
  readonly limit?: limits.Limit | undefined;
  /** When it was first known that it leaves. */
  readonly leavingAt?: number | undefined;
  readonly pause?: Pause | undefined;
}

/** It wants nothing from this host for a while. */
export interface Pause {
  readonly until: number;
}

/** One answer of a worker. */
export interface Answer {
  readonly notice: notices.Notice;
  /** Steady ms at which its request was sent, and at which it came. */
  readonly sentAt: number;
  readonly at: number;
  /** The worker ran the request: only then does silence mean that there is no limit. */
  readonly ran: boolean;
}

/** A worker that has said nothing. */
export const UNKNOWN: Availability = {};

/** Milliseconds by which a pause is kept longer than asked for, as clocks do not run alike. */
const PAUSE_MARGIN_MS = 20;

/** What is known once an answer has come; the same value where it tells nothing new. */
export function observe(known: Availability, a: Answer): Availability {
  const { limit: said, leaving } = a.notice;
  const limit = limits.observe(known.limit, { ...a, said });
  const leavingAt = known.leavingAt ?? (leaving.kind === "said" ? a.at : undefined);
  const pause = pauseAfter(known.pause, a);
  const isSame = limit === known.limit && leavingAt === known.leavingAt && pause === known.pause;
  return isSame ? known : { limit, leavingAt, pause };
}

function pauseAfter(known: Pause | undefined, a: Answer): Pause | undefined {
  const { retryAfterMs: said } = a.notice;
  if (said.kind !== "said" || said.value <= 0) return known;
  const until = a.at + said.value + PAUSE_MARGIN_MS;
  return known && known.until >= until ? known : { until };
}
