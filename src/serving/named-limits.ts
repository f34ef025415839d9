/**
 * The limit that a worker names in its answers: how many requests a second it takes from all hosts together, for as long
 * as its answers say so. Answers may overtake one another, so one that lifts a limit or raises it counts only if its
 * request was sent after the limit was last named. Pure.
 * @module
 */
import type * as notices from "./notices.js";

/** What is known of one worker's limit. */
export interface Limit {
  /** Requests a second; undefined once it was withdrawn. */
  readonly perS: number | undefined;
  /** Grows with each change; of two hosts' knowledge the higher one counts. */
  readonly version: number;
  /** Steady ms at which it was last named, or withdrawn. */
  readonly at: number;
}

/** One answer of a worker. */
export interface Answer {
  readonly said: notices.Said<number>;
  /** Steady ms at which its request was sent, and at which it came. */
  readonly sentAt: number;
  readonly at: number;
  /** The worker ran the request: only then does silence mean that there is no limit. */
  readonly ran: boolean;
}

/** What is known once an answer has come; the same value where it tells nothing new. */
export function observe(known: Limit | undefined, a: Answer): Limit | undefined {
  switch (a.said.kind) {
    case "said":
      return named(known, a.said.value, a);
    case "unsaid":
      if (known?.perS === undefined || !a.ran || a.sentAt < known.at) return known;
      return { perS: undefined, version: known.version + 1, at: a.at };
    case "unreadable":
      return known;
  }
}

function named(known: Limit | undefined, perS: number, a: Answer): Limit {
  if (!known) return { perS, version: 1, at: a.at };
  if (known.perS === perS) return { ...known, at: a.at };
  const isRaised = known.perS !== undefined && perS > known.perS;
  if (isRaised && a.sentAt < known.at) return known;
  return { perS, version: known.version + 1, at: a.at };
}

/** What another host knows of a worker's limit. */
export interface News {
  readonly perS?: number | undefined;
  readonly version: number;
}

/** What is known once another host's news has come; the same value where it tells nothing new. */
export function learn(known: Limit | undefined, news: News, now: number): Limit {
  const told: Limit = { perS: news.perS, version: news.version, at: now };
  if (!known || news.version > known.version) return told;
  if (news.version < known.version || news.perS === undefined) return known;
  return known.perS === undefined || news.perS < known.perS ? told : known;
}
