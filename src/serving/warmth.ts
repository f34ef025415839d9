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
  /** Milliseconds of the fastest load from the weight store lately; undefined until one was seen. */
  readonly fastestMs: number | undefined;
  /** Loads from the weight store that may be on their way at once, whole ones counting. */
  readonly limit: number;
  /** Smoothed milliseconds of loads from the weight store, and of loads from memory. */
  readonly coldMs: number;
  readonly warmMs: number;
}

/**
 * Reach until loads tell. It is guessed high: an adapter that is sent to the engine that held it last
 * and is not in its memory any more costs one load from the weight store, as it would elsewhere.
 */
const FIRST_REACH = 100;
/** Part of the reach that is left, at least, when an adapter within it did not load fast. */
const SLOW_PART = 0.8;
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

/** Loads from the weight store that an engine has on their way at most. */
const MOST_COLD = 4;
/**
 * A load that takes so many times what the fastest one took is held up by others: more than looks at the
 * engine are apart, and less than what two loads in place of one make of it.
 */
const SLOW_FACTOR = 1.4;
/** By how much the fastest load is forgotten at each further one, for stores that have turned slow. */
const FORGET = 1.01;

export const UNKNOWN: Warmth = {
  recent: [],
  reach: FIRST_REACH,
  fastestMs: undefined,
  limit: 1,
  coldMs: FIRST_COLD_MS,
  warmMs: FIRST_WARM_MS,
};

/** The adapters that should load fast, the latest first. */
export function warm(w: Warmth): readonly string[] {
  return w.recent.slice(0, w.reach);
}

/** Whether an adapter should load fast. */
export function isWarm(w: Warmth, key: string): boolean {
  const depth = w.recent.indexOf(key);
  return depth >= 0 && depth < w.reach;
}

/** The engine started anew: nothing is in its host's memory, and loads take as long as they did. */
export function emptied(w: Warmth): Warmth {
  return { ...w, recent: [] };
}

/** An adapter was held just now. */
export function held(w: Warmth, key: string): Warmth {
  return { ...w, recent: remember(w.recent, key) };
}

/** A list of adapters, the latest first, with `key` as the latest. */
export function remember(recent: readonly string[], key: string): readonly string[] {
  return [key, ...recent.filter((k) => k !== key).slice(0, REMEMBERED - 1)];
}

/** An adapter was loaded in `tookMs`. */
export function loaded(w: Warmth, key: string, tookMs: number): Warmth {
  const depth = w.recent.indexOf(key);
  if (depth < 0) return held(cold(w, tookMs), key);
  if (tookMs < FAST_PART * w.coldMs) {
    const reach = Math.max(w.reach, depth + 1);
    return held({ ...w, reach, warmMs: smoothed(w.warmMs, tookMs) }, key);
  }
  const less = Math.max(1, depth, Math.floor(w.reach * SLOW_PART));
  const reach = Math.min(w.reach, less);
  return held({ ...cold(w, tookMs), reach }, key);
}

/** A load from the weight store took `tookMs`. */
function cold(w: Warmth, tookMs: number): Warmth {
  const fastestMs = Math.min(tookMs, FORGET * (w.fastestMs ?? Infinity));
  const isSlow = tookMs > SLOW_FACTOR * fastestMs;
  const limit = isSlow ? Math.max(1, w.limit / 2) : Math.min(MOST_COLD, w.limit + 1 / w.limit);
  return { ...w, fastestMs, limit, coldMs: smoothed(w.coldMs, tookMs) };
}

/**
 * Loads from the weight store that an engine should have on their way. The load that this answers is all
 * engines loading at once, after a power cut or when traffic starts: beyond what the store serves at full
 * speed all loads take longer in proportion, so that those who wait get their adapters all late together
 * in place of one after the other. Nobody counts the loads of all engines, so each slows down by what its
 * own loads take, as congestion control by delay does it: one more for each round of loads that were fast,
 * half as many after one that was slow.
 */
export function coldAtOnce(w: Warmth): number {
  return Math.floor(w.limit);
}

function smoothed(usual: number, latest: number): number {
  return usual + (Math.min(latest, ODD * usual) - usual) * LATEST;
}
