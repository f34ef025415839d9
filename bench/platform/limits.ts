/**
 * Whether workers that name a limit got more requests than the platform's rule allows.
 * @module
 */
import type * as journals from "./journal.js";

/** The rule: in any window, so many times what a limit allows, and so many requests besides. */
const WINDOW_MS = 4000;
const TIMES = 1.5;
const BESIDES = 5;
/** Milliseconds from when a limit is first named until it binds, and until what a host sends counts. */
export const BINDS_MS = 3000;
export const TOLD_MS = 500;
const MS_PER_S = 1000;

/** Requests that the rule allows in any window under a limit. */
export function allowed(perS: number): number {
  return TIMES * perS * (WINDOW_MS / MS_PER_S) + BESIDES;
}

/** The most of `times`, which are in order, within one window that ends at `from` or later, and the end of that window. */
export function most(
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
 * Every worker that got more in some window in which it named one limit throughout, a line each. Arrivals for which `counts`
 * is false count for nothing.
 */
export function beyond(
  arrivals: readonly journals.Arrival[],
  counts: (a: journals.Arrival) => boolean = () => true,
): readonly string[] {
  const workers = [...new Set(arrivals.map((a) => a.instance))];
  return workers.flatMap((instance) => {
    const all = arrivals.filter((a) => a.instance === instance);
    return spans(all).flatMap((span) => beyondIn(instance, span, counts));
  });
}

/** Arrivals at one worker, by the spans in which it named one limit throughout. */
function spans(all: readonly journals.Arrival[]): readonly (readonly journals.Arrival[])[] {
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

function beyondIn(
  instance: string,
  span: readonly journals.Arrival[],
  counts: (a: journals.Arrival) => boolean,
): readonly string[] {
  const namedAt = span[0]?.at ?? 0;
  const perS = span[0]?.limitPerS ?? Infinity;
  const counted = span.filter((a) => a.at > namedAt + TOLD_MS && counts(a));
  const { count } = most(
    counted.map((a) => a.at),
    namedAt + BINDS_MS,
  );
  if (count <= allowed(perS)) return [];
  const rule = `${allowed(perS)} allowed at ${perS} a second`;
  return [`limit: ${instance} got ${count} requests in a window, ${rule}`];
}
