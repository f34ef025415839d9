/**
 * Whether all entry daemons together kept to the retry budget, from what callers sent and what reached workers.
 * @module
 */
import type * as journals from "../platform/journal.js";
import * as daemons from "./daemon.js";

const MS_PER_S = 1000;
const WINDOW_MS = daemons.RETRIES.windowS * MS_PER_S;

/** A request for a service, and the monotonic ms at which its caller sent it. */
export interface Sent {
  readonly service: string;
  readonly at: number;
}

/** Every service that got more arrivals beyond the first of each request than allowed in some window, a line each. */
export function beyondBudget(
  sent: readonly Sent[],
  arrivals: readonly journals.Arrival[],
): readonly string[] {
  const services = [...new Set(arrivals.map((a) => a.service))];
  return services.flatMap((service) => {
    const times = sent.filter((s) => s.service === service).map((s) => s.at);
    const further = beyondFirst(arrivals.filter((a) => a.service === service));
    const over = further.find((t) => within(further, t) > allowed(times, t));
    if (over === undefined) return [];
    const counts = `${within(further, over)} retries in ${WINDOW_MS} ms, allowed ${allowed(times, over)}`;
    return [`retries: ${service} got ${counts}`];
  });
}

/** When requests reached a worker again that had reached one before. */
function beyondFirst(arrivals: readonly journals.Arrival[]): readonly number[] {
  const known = new Set<string>();
  return arrivals.flatMap((a) => {
    const isFirst = !known.has(a.id);
    known.add(a.id);
    return isFirst ? [] : [a.at];
  });
}

function within(times: readonly number[], from: number): number {
  return times.filter((t) => t >= from && t <= from + WINDOW_MS).length;
}

/** Retries allowed in the window from `from`: by the requests in it, before it or half before it, whichever are most. */
function allowed(times: readonly number[], from: number): number {
  const starts = [from, from - WINDOW_MS / 2, from - WINDOW_MS];
  const requests = Math.max(...starts.map((t) => within(times, t)));
  return daemons.RETRIES.ratio * requests + daemons.RETRIES.slack;
}
