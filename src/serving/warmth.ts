/**
 * Which adapters an engine still has in its host's memory, so that they load fast. Engines do not
 * list them, so the order in which adapters were held is remembered here, and how many of the latest
 * load fast is learnt from the loads. Pure.
 * @module
 */

export interface Warmth {
  /** Adapters held before, the latest first. */
  readonly recent: readonly string[];
  /** How many of these are taken to load fast. */
  readonly reach: number;
}

/** Reach until loads tell: a few times the slots of an engine. */
const FIRST_REACH = 24;
/** Adapters remembered. */
const REMEMBERED = 400;
/** A load that takes less is one from memory: one from the weight store takes 250 ms or more. */
const FAST_MS = 110;

export const UNKNOWN: Warmth = { recent: [], reach: FIRST_REACH };

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
  if (depth < 0) return held(w, key);
  const fast = tookMs < FAST_MS;
  const reach = fast ? Math.max(w.reach, depth + 1) : Math.min(w.reach, Math.max(1, depth));
  return held({ ...w, reach }, key);
}
