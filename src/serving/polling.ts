/**
 * Computes when an endpoint daemon polls its engine next. Pure.
 * @module
 */
import type * as residency from "./residency.js";
import * as loadHistory from "./load-history.js";

/**
 * Milliseconds between polls while the engine changes nothing. Engine and daemon share a host, so a poll costs
 * only processor time, some 2 ms in a daemon's first minute. Entry daemons detect a crash by their
 * connections, so polls need not be frequent for that.
 */
const IDLE_POLL_MS = 400;
/**
 * Milliseconds between polls of an engine without a base model. After a power failure of a site all engines
 * load theirs at once, in 0.5 to 1.3 s, and nothing is served until the daemon has seen it in a report.
 */
const NO_MODEL_POLL_MS = 40;
/** Milliseconds between polls while the load of an adapter is about to finish. */
const LOADING_POLL_MS = 15;
/** Fraction of the usual load time after which a load may be finished. */
const LOADED_FRACTION = 0.8;

/**
 * Monotonic ms of the poll after the one at `polledAt`: when a load may be finished, or after a fixed
 * interval.
 */
export function nextPollAt(
  s: residency.State,
  w: loadHistory.LoadHistory,
  polledAt: number,
): number {
  const warm = new Set(loadHistory.warmAdapters(w));
  let pollAt = polledAt + (s.models.length === 0 ? NO_MODEL_POLL_MS : IDLE_POLL_MS);
  for (const p of s.slots.values()) {
    if (p.phase !== "loading") continue;
    const takesMs = warm.has(p.key) ? w.warmMs : w.coldMs;
    const loadedAt = p.phaseSince + LOADED_FRACTION * takesMs;
    pollAt = Math.min(pollAt, Math.max(loadedAt, polledAt + LOADING_POLL_MS));
  }
  return pollAt;
}
