/**
 * Checks whether workers that announced a rate limit got more requests than the platform's rule allows.
 * @module
 */
import type * as journals from "./journal.js";

/** Length in ms of the window over which the rule counts requests. */
const WINDOW_MS = 4000;
/** A window may hold the limit's requests times this factor. */
const LIMIT_FACTOR = 1.5;
/** Requests that a window may hold on top of that. */
const SLACK = 5;
/** Milliseconds from the first announcement of a limit until windows are checked against it. */
export const LIMIT_GRACE_MS = 3000;
/** Milliseconds from the announcement until a host's requests count in a window. */
export const PROPAGATION_MS = 500;
const MS_PER_S = 1000;

/** Requests that the rule allows in any window under a limit of `perS` requests a second. */
export function allowedInWindow(perS: number): number {
  return LIMIT_FACTOR * perS * (WINDOW_MS / MS_PER_S) + SLACK;
}

/** The largest number of `times` (ascending) in a window that ends at `from` or later, and the end of that window. */
export function maxInWindow(
  times: readonly number[],
  from: number,
): { readonly count: number; readonly at: number } {
  let first = 0;
  let worst = { count: 0, at: from };
  for (const [last, at] of times.entries()) {
    while ((times[first] ?? Infinity) <= at - WINDOW_MS) first++;
    if (at >= from && last - first + 1 > worst.count) worst = { count: last - first + 1, at };
  }
  return worst;
}

/**
 * One line for each worker that got too many requests in a window during which its announced limit did not change.
 * Arrivals for which `counts` is false are left out.
 */
export function limitViolations(
  arrivals: readonly journals.Arrival[],
  counts: (a: journals.Arrival) => boolean = () => true,
): readonly string[] {
  const workers = [...new Set(arrivals.map((a) => a.instance))];
  return workers.flatMap((instance) => {
    const all = arrivals.filter((a) => a.instance === instance);
    return splitByLimit(all).flatMap((span) => violationsIn(instance, span, counts));
  });
}

/** Splits the arrivals at one worker into the spans in which its announced limit did not change. */
function splitByLimit(all: readonly journals.Arrival[]): readonly (readonly journals.Arrival[])[] {
  const out: journals.Arrival[][] = [];
  let limit: number | undefined;
  for (const a of all) {
    if (a.limitPerS !== undefined) {
      if (a.limitPerS !== limit) out.push([]);
      out.at(-1)?.push(a);
    }
    limit = a.limitPerS;
  }
  return out;
}

function violationsIn(
  instance: string,
  span: readonly journals.Arrival[],
  counts: (a: journals.Arrival) => boolean,
): readonly string[] {
  const namedAt = span[0]?.at ?? 0;
  const perS = span[0]?.limitPerS ?? Infinity;
  const counted = span.filter((a) => a.at > namedAt + PROPAGATION_MS && counts(a));
  const { count } = maxInWindow(
    counted.map((a) => a.at),
    namedAt + LIMIT_GRACE_MS,
  );
  if (count <= allowedInWindow(perS)) return [];
  const rule = `${allowedInWindow(perS)} allowed at ${perS} a second`;
  return [`limit: ${instance} got ${count} requests in a window, ${rule}`];
}
