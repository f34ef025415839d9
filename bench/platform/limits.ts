/**
 * Whether workers that name a limit got more requests than the platform's rule allows.
 * @module
 */
import type * as journals from "./journal.js";

/** The rule: in any window, so many times what a limit allows, and so many requests besides. */
const WINDOW_MS = 4000;
const TIMES = 1.5;
const BESIDES = 5;
/** Milliseconds from when a limit is first named until it binds, and until what arrives counts. */
const BINDS_MS = 3000;
const TOLD_MS = 500;
const MS_PER_S = 1000;

/** Every worker that got more in some window in which it named a limit throughout, a line each. */
export function beyond(arrivals: readonly journals.Arrival[]): readonly string[] {
  const workers = [...new Set(arrivals.map((a) => a.instance))];
  return workers.flatMap((instance) =>
    beyondAt(
      instance,
      arrivals.filter((a) => a.instance === instance),
    ),
  );
}

function beyondAt(instance: string, all: readonly journals.Arrival[]): readonly string[] {
  let namedAt: number | undefined;
  for (const [last, a] of all.entries()) {
    // What came while no limit was named says nothing of a limit that is named anew.
    namedAt = a.limitPerS === undefined ? undefined : (namedAt ?? a.at);
    if (namedAt === undefined || a.at < namedAt + BINDS_MS) continue;
    const from = Math.max(a.at - WINDOW_MS, namedAt + TOLD_MS);
    const window = all.slice(0, last + 1).filter((b) => b.at > from);
    const perS = Math.max(...window.map((b) => b.limitPerS ?? Infinity));
    const allowed = TIMES * perS * (WINDOW_MS / MS_PER_S) + BESIDES;
    if (window.length <= allowed) continue;
    return [
      `limit: ${instance} got ${window.length} in a window of ${allowed} at ${perS} a second`,
    ];
  }
  return [];
}
