/**
 * Whether a worker incarnation accepts requests, according to its own announcements: its rate
 * limit, whether it is leaving, and until when it is paused for this host. Answers may overtake one
 * another; therefore leaving is never taken back, and of several pauses the one that ends last is
 * in force. Pure.
 * @module
 */
import * as limits from "./announced-limit.js";
import type * as notices from "./notices.js";

/** The known state of one worker incarnation; times are steady ms. */
export interface Availability {
  readonly limit?: limits.Limit | undefined;
  /** When it was first known to be leaving. */
  readonly leavingAt?: number | undefined;
  readonly pause?: Pause | undefined;
}

/**
 * A pause that the worker requested from this host, kept until it is seen to accept requests again.
 */
export interface Pause {
  readonly until: number;
  /** When a request was last sent to it since the pause began. */
  readonly triedAt?: number | undefined;
}

/** What one answer of a worker announces. */
export interface Answer {
  readonly notice: notices.Notice;
  /** Steady ms at which the request was sent and, in `at`, its answer arrived. */
  readonly sentAt: number;
  readonly at: number;
  /**
   * Whether the worker ran the request: only then does an answer without a limit mean that there is
   * none.
   */
  readonly ran: boolean;
}

/** The state of a worker that has announced nothing. */
export const UNKNOWN: Availability = {};

/** Milliseconds by which a pause is extended, since clocks don't run at exactly the same rate. */
const PAUSE_MARGIN_MS = 20;
/**
 * Milliseconds between requests once a pause is over, until one is answered without asking for
 * another pause. Otherwise all requests held back in the meantime would be sent at once, only to be
 * refused again.
 */
const TRIAL_INTERVAL_MS = 250;

/** The state after an answer; the same object if the answer changes nothing. */
export function observe(known: Availability, a: Answer): Availability {
  const { limit: said, leaving } = a.notice;
  const limit = limits.observe(known.limit, { ...a, said });
  const leavingAt = known.leavingAt ?? (leaving.kind === "said" ? a.at : undefined);
  const pause = pauseAfter(known.pause, a);
  const isSame = limit === known.limit && leavingAt === known.leavingAt && pause === known.pause;
  return isSame ? known : { limit, leavingAt, pause };
}

/** The state of a worker as another host reports it. */
export interface Update {
  readonly limit?: limits.Update | undefined;
  readonly leaving: boolean;
}

/** The state after another host's report; the same object if the report changes nothing. */
export function merge(known: Availability, news: Update, now: number): Availability {
  const limit = news.limit ? limits.merge(known.limit, news.limit, now) : known.limit;
  const leavingAt = known.leavingAt ?? (news.leaving ? now : undefined);
  if (limit === known.limit && leavingAt === known.leavingAt) return known;
  return { ...known, limit, leavingAt };
}

/** Whether the known state holds something that another host's report lacks. */
export function hasMoreThan(known: Availability, news: Update): boolean {
  const isNewer = (known.limit?.version ?? 0) > (news.limit?.version ?? 0);
  return isNewer || (known.leavingAt !== undefined && !news.leaving);
}

/** Whether a change must be sent to other hosts. */
export function shouldPropagate(before: Availability, after: Availability): boolean {
  return hasMoreThan(after, { limit: before.limit, leaving: before.leavingAt !== undefined });
}

/**
 * Milliseconds until the worker accepts a request of this host, leaving its limit aside; Infinity
 * if it is leaving.
 */
export function opensInMs({ leavingAt, pause }: Availability, now: number): number {
  if (leavingAt !== undefined) return Infinity;
  if (!pause) return 0;
  const opensAt = Math.max(pause.until, (pause.triedAt ?? -Infinity) + TRIAL_INTERVAL_MS);
  return Math.max(0, opensAt - now);
}

/** The state after a request is sent to the worker. */
export function recordSend(known: Availability, now: number): Availability {
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
