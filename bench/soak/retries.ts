/**
 * Checks whether all entry daemons together kept to the retry budget, by comparing the requests that callers sent with
 * those that reached workers.
 * @module
 */
import type * as journals from "../platform/journal.js";
import * as rule from "../platform/retry-rule.js";
import * as daemons from "./daemon.js";

const MS_PER_S = 1000;
const BUDGET: rule.RetryBudget = {
  windowMs: daemons.RETRY_BUDGET.windowS * MS_PER_S,
  ratio: daemons.RETRY_BUDGET.ratio,
  slack: daemons.RETRY_BUDGET.slack,
};

/** A request to a service, and the monotonic time in ms at which its caller sent it. */
export interface Sent {
  readonly service: string;
  readonly at: number;
}

/**
 * One line for each service that got too many retries in some window. Every arrival of a request after its first counts as a
 * retry.
 */
export function budgetViolations(
  sent: readonly Sent[],
  arrivals: readonly journals.Arrival[],
): readonly string[] {
  const services = [...new Set(arrivals.map((a) => a.service))];
  return services.flatMap((service) => {
    const own = sent.filter((s) => s.service === service);
    const times = own.map((s) => s.at).sort((a, b) => a - b);
    const further = retryTimes(arrivals.filter((a) => a.service === service));
    const worst = rule.worstWindow(times, further, BUDGET);
    if (!worst || worst.retries <= worst.allowed) return [];
    const counts = `${worst.retries} retries in ${BUDGET.windowMs} ms, allowed ${worst.allowed}`;
    return [`retries: ${service} got ${counts}`];
  });
}

/** Times at which a request reached a worker after it had reached one before. */
function retryTimes(arrivals: readonly journals.Arrival[]): readonly number[] {
  const seenIds = new Set<string>();
  return arrivals.flatMap((a) => {
    const isFirst = !seenIds.has(a.id);
    seenIds.add(a.id);
    return isFirst ? [] : [a.at];
  });
}
