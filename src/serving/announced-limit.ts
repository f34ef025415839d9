/**
 * The rate limit that a worker announces in its answers: how many requests per second it accepts
 * from all hosts together. It is in force for as long as the answers announce it. Answers may
 * overtake one another, so an answer that withdraws or raises the limit counts only if its request
 * was sent after the limit was last announced. Pure.
 * @module
 */
import type * as notices from "./notices.js";

/** The known state of one worker's limit. */
export interface Limit {
  /** Requests per second; undefined once the limit is withdrawn. */
  readonly perS: number | undefined;
  /** Increases with each change; when two hosts differ, the higher version wins. */
  readonly version: number;
  /** Steady ms at which the limit was last announced or withdrawn. */
  readonly at: number;
}

/** What one answer of a worker says about its limit. */
export interface Answer {
  readonly said: notices.Announced<number>;
  /** Steady ms at which the request was sent and, in `at`, its answer arrived. */
  readonly sentAt: number;
  readonly at: number;
  /**
   * Whether the worker ran the request: only then does an answer without a limit mean that there is
   * none.
   */
  readonly ran: boolean;
}

/** The state after an answer; the same object if the answer changes nothing. */
export function observe(known: Limit | undefined, a: Answer): Limit | undefined {
  switch (a.said.kind) {
    case "said":
      return announced(known, a.said.value, a);
    case "unsaid":
      if (known?.perS === undefined || !a.ran || a.sentAt < known.at) return known;
      return { perS: undefined, version: known.version + 1, at: a.at };
    case "unreadable":
      return known;
  }
}

function announced(known: Limit | undefined, perS: number, a: Answer): Limit {
  if (!known) return { perS, version: 1, at: a.at };
  if (known.perS === perS) return { ...known, at: a.at };
  const isRaised = known.perS !== undefined && perS > known.perS;
  if (isRaised && a.sentAt < known.at) return known;
  return { perS, version: known.version + 1, at: a.at };
}

/** The state of a worker's limit as another host reports it. */
export interface Update {
  readonly perS?: number | undefined;
  readonly version: number;
}

/** The state after another host's report; the same object if the report changes nothing. */
export function merge(known: Limit | undefined, update: Update, now: number): Limit {
  const reported: Limit = { perS: update.perS, version: update.version, at: now };
  if (!known || update.version > known.version) return reported;
  if (update.version < known.version || update.perS === undefined) return known;
  return known.perS === undefined || update.perS < known.perS ? reported : known;
}
