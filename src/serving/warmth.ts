/**
 * Which adapters an engine still has in its host's memory, so that they load fast, and how long loads
 * take. Engines do not list these adapters, so the order in which adapters were held is remembered
 * here, and how many of the latest load fast is learnt from the loads. Pure.
 * @module
 */

export interface Warmth {
  /** Adapters held before, the latest first. */
  readonly recent: readonly string[];
  /** How many of these are taken to load fast. */
  readonly reach: number;
  /** Smoothed milliseconds of loads from the weight store, and of loads from memory. */
  readonly coldMs: number;
  readonly warmMs: number;
}

/** Reach until loads tell: a few times the slots of an engine. */
const FIRST_REACH = 24;
/** Adapters remembered. */
const REMEMBERED = 400;
/** Part of a load from the weight store below which one counts as from memory: some times as fast. */
const FAST_PART = 0.4;
/** Milliseconds of both kinds of load until some were seen; the first few outweigh them. */
const FIRST_COLD_MS = 300;
const FIRST_WARM_MS = 40;
/** Weight of the latest load in the times that loads take. */
const LATEST = 0.2;
/** A load counts as this many times the usual at most, so that one odd load changes little. */
const ODD = 4;

export const UNKNOWN: Warmth = {
  recent: [],
  reach: FIRST_REACH,
  coldMs: FIRST_COLD_MS,
  warmMs: FIRST_WARM_MS,
};

/** The adapters that should load fast, the latest first. */
export function warm(w: Warmth): readonly string[] {
  return w.recent.slice(0, w.reach);
}

/** An adapter was held just now. */
export function held(w: Warmth, key: string): Warmth {
  const others = w.recent.filter((k) => k !== key).slice(0, REMEMBERED - 1);
  return { ...w, recent: [key, ...others] };
}

/** An adapter was loaded in `tookMs`. */
export function loaded(w: Warmth, key: string, tookMs: number): Warmth {
  const depth = w.recent.indexOf(key);
  if (depth < 0) return held({ ...w, coldMs: smoothed(w.coldMs, tookMs) }, key);
  if (tookMs < FAST_PART * w.coldMs) {
    const reach = Math.max(w.reach, depth + 1);
    return held({ ...w, reach, warmMs: smoothed(w.warmMs, tookMs) }, key);
  }
  const reach = Math.min(w.reach, Math.max(1, depth));
  return held({ ...w, reach, coldMs: smoothed(w.coldMs, tookMs) }, key);
}

function smoothed(usual: number, latest: number): number {
  return usual + (Math.min(latest, ODD * usual) - usual) * LATEST;
}
