/**
 * Checks whether workers that announced that they leave, or that asked for a pause, got requests against the
 * platform's rules.
 * @module
 */
import type * as journals from "./journal.js";

/** Milliseconds from a worker's 503 that asks for a pause until requests from the entry host count as too many. */
const PROPAGATION_MS = 500;
/** Requests that may reach the worker from that entry host in the rest of the pause. */
const MAX_REQUESTS_IN_PAUSE = 2;

/** The entry host that a request was sent to, and when. */
export interface SentRequest {
  readonly entry: string;
  readonly at: number;
}

/** An entry host passed on a worker's answer that announced that the worker leaves. */
export interface PassedOnNotice {
  readonly entry: string;
  readonly instance: string;
  readonly at: number;
}

/** Whether a rule applies to an entry host's requests to a worker between two times. */
export type AppliesTo = (entry: string, instance: string, from: number, to: number) => boolean;

const ALWAYS: AppliesTo = () => true;

/**
 * One line for each request that an entry host sent to a leaving worker, though the request came in more than `drainMs`
 * after the host had passed on the worker's announcement.
 */
export function leavingViolations(
  arrivals: readonly journals.Arrival[],
  sent: ReadonlyMap<string, SentRequest>,
  told: readonly PassedOnNotice[],
  drainMs: number,
  binds: AppliesTo = ALWAYS,
): readonly string[] {
  return arrivals.flatMap((a) => {
    const s = sent.get(a.id);
    if (!s || a.isMisdirected) return [];
    const times = told
      .filter((t) => t.instance === a.instance && t.entry === s.entry && t.at + drainMs < s.at)
      .filter((t) => binds(s.entry, a.instance, t.at, a.at))
      .map((t) => t.at);
    if (times.length === 0) return [];
    const lateMs = Math.round(s.at - Math.min(...times));
    return [
      `leaving: ${a.id} reached ${a.instance} from ${s.entry}, ${lateMs} ms after that host had passed on that it leaves`,
    ];
  });
}

/** One line for each pause during which an entry host sent the worker more requests than allowed. */
export function pauseViolations(
  arrivals: readonly journals.Arrival[],
  sent: ReadonlyMap<string, SentRequest>,
  binds: AppliesTo = ALWAYS,
): readonly string[] {
  return arrivals.flatMap((asked) => {
    const entry = sent.get(asked.id)?.entry;
    if (asked.pauseMs === undefined || entry === undefined) return [];
    const [from, to] = [asked.at + PROPAGATION_MS, asked.at + asked.pauseMs];
    if (!binds(entry, asked.instance, asked.at, to)) return [];
    const late = arrivals.filter(
      (a) =>
        a.instance === asked.instance &&
        sent.get(a.id)?.entry === entry &&
        a.at > from &&
        a.at < to,
    );
    if (late.length <= MAX_REQUESTS_IN_PAUSE) return [];
    return [
      `pause: ${asked.instance} had asked ${entry} for ${asked.pauseMs} ms and got ${late.length} requests`,
    ];
  });
}
