/**
 * Decides when one request with quarantined prompt parts may be sent to a worker, to find out whether they still crash it. Pure.
 * @module
 */
import type * as partSets from "./part-sets.js";

/**
 * Milliseconds from the last crash under a set to its first probe. If the crashes may have another
 * explanation, sound requests may be waiting; if not, only a change of the workers makes a probe succeed.
 */
const UNCERTAIN_MS = 2000;
const CERTAIN_MS = 60_000;
/**
 * Factor by which the pause grows with each crash after the set was proved, so that a part that keeps crashing workers costs
 * few of them.
 */
const GROWTH = 4;
const MAX_MS = 600_000;

/** Milliseconds from the last crash under a set to its next probe. */
export function pauseMs(set: Pick<partSets.PartSet, "furtherCrashes" | "isCertain">): number {
  return Math.min(
    MAX_MS,
    (set.isCertain ? CERTAIN_MS : UNCERTAIN_MS) * GROWTH ** set.furtherCrashes,
  );
}
