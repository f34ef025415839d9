/**
 * Whether workers that leave, or that asked for a pause, got requests against the platform's rules.
 * @module
 */
import type * as journals from "./journal.js";

/** Milliseconds from a worker's 503 with a pause until what its host sends there counts. */
const TOLD_MS = 500;
/** Requests that may reach it from that host in the rest of the pause. */
const BORNE = 2;

/** How a request came to its entry host. */
export interface Sent {
  readonly entry: string;
  readonly at: number;
}

/** An entry host passed on an answer of a worker. */
export interface Told {
  readonly entry: string;
  readonly instance: string;
  readonly at: number;
}

/** Whether a rule binds an entry host before a worker from one moment to another. */
export type Binds = (entry: string, instance: string, from: number, to: number) => boolean;

const ALWAYS: Binds = () => true;

/**
 * Requests that were sent to an entry host more than `drainMs` after it had passed on that a worker leaves, and reached that
 * worker from it; a line each.
 */
export function reachedLeaving(
  arrivals: readonly journals.Arrival[],
  sent: ReadonlyMap<string, Sent>,
  told: readonly Told[],
  drainMs: number,
  binds: Binds = ALWAYS,
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
      `leaving: ${a.id} reached ${a.instance} from ${s.entry}, which it had told ${lateMs} ms before`,
    ];
  });
}

/** Entry hosts that sent more requests than may reach a worker within a pause that it had asked them for; a line each. */
export function reachedPaused(
  arrivals: readonly journals.Arrival[],
  sent: ReadonlyMap<string, Sent>,
  binds: Binds = ALWAYS,
): readonly string[] {
  return arrivals.flatMap((asked) => {
    const entry = sent.get(asked.id)?.entry;
    if (asked.pauseMs === undefined || entry === undefined) return [];
    const [from, to] = [asked.at + TOLD_MS, asked.at + asked.pauseMs];
    if (!binds(entry, asked.instance, asked.at, to)) return [];
    const late = arrivals.filter(
      (a) =>
        a.instance === asked.instance &&
        sent.get(a.id)?.entry === entry &&
        a.at > from &&
        a.at < to,
    );
    if (late.length <= BORNE) return [];
    return [
      `pause: ${asked.instance} had asked ${entry} for ${asked.pauseMs} ms and got ${late.length} requests`,
    ];
  });
}
