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

/** It wanted nothing from this host for a while, and has not been seen to take requests again. */
export interface Pause {
  readonly until: number;
  /** When a request was last sent to it since. */
  readonly triedAt?: number | undefined;
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
/**
 * Milliseconds from one request to the next once a pause is over, until one is answered without asking for another: what was
 * kept away meanwhile does not come back at once, only to be turned away again.
 */
const TRY_MS = 250;

/** What is known once an answer has come; the same value where it tells nothing new. */
export function observe(known: Availability, a: Answer): Availability {
  const { limit: said, leaving } = a.notice;
  const limit = limits.observe(known.limit, { ...a, said });
  const leavingAt = known.leavingAt ?? (leaving.kind === "said" ? a.at : undefined);
  const pause = pauseAfter(known.pause, a);
  const isSame = limit === known.limit && leavingAt === known.leavingAt && pause === known.pause;
  return isSame ? known : { limit, leavingAt, pause };
}

/** What another host knows of a worker. */
export interface News {
  readonly limit?: limits.News | undefined;
  readonly leaving: boolean;
}

/** What is known once another host's news has come; the same value where it tells nothing new. */
export function learn(known: Availability, news: News, now: number): Availability {
  const limit = news.limit ? limits.learn(known.limit, news.limit, now) : known.limit;
  const leavingAt = known.leavingAt ?? (news.leaving ? now : undefined);
  if (limit === known.limit && leavingAt === known.leavingAt) return known;
  return { ...known, limit, leavingAt };
}

/** Whether what is known says more than a host's news. */
export function isAhead(known: Availability, news: News): boolean {
  const isNewer = (known.limit?.version ?? 0) > (news.limit?.version ?? 0);
  return isNewer || (known.leavingAt !== undefined && !news.leaving);
}

/** Whether other hosts are to be told of a change. */
export function isNews(before: Availability, after: Availability): boolean {
  return isAhead(after, { limit: before.limit, leaving: before.leavingAt !== undefined });
}

/** Milliseconds until it takes a request of this host; Infinity where it leaves. A limit is kept apart from that. */
export function opensInMs({ leavingAt, pause }: Availability, now: number): number {
  if (leavingAt !== undefined) return Infinity;
  if (!pause) return 0;
  const openAt = Math.max(pause.until, (pause.triedAt ?? -Infinity) + TRY_MS);
  return Math.max(0, openAt - now);
}

/** What is known once a request is sent to it. */
export function sent(known: Availability, now: number): Availability {
  const { pause } = known;
  return pause ? { ...known, pause: { ...pause, triedAt: now } } : known;
}

function pauseAfter(known: Pause | undefined, a: Answer): Pause | undefined {
  const { retryAfterMs: said } = a.notice;
  if (said.kind !== "said" || said.value <= 0) {
    return known && a.sentAt >= known.until ? undefined : known;
  }
  const until = a.at + said.value + PAUSE_MARGIN_MS;
  return known && known.until >= until ? known : { until };
}
