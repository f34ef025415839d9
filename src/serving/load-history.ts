/**
 * History of an engine's adapter loads: which adapters are probably still in its host's memory and load
 * fast (warm), how long warm and cold loads take, and how many cold loads should run at the same time.
 * Engines do not list the adapters in their host's memory, so this module keeps the order in which
 * adapters were last held, and estimates from the load times how many of the latest are warm. Pure.
 * @module
 */

export interface LoadHistory {
  /** Adapters that the engine holds or held, the latest first. */
  readonly recent: readonly string[];
  /** How many of these, from the start of the list, are expected to load fast. */
  readonly reach: number;
  /** Milliseconds of the fastest recent load from the weight store; undefined before the first. */
  readonly fastestMs: number | undefined;
  /** Limit on concurrent loads from the weight store; rounded down where it is applied. */
  readonly limit: number;
  /** Smoothed milliseconds of loads from the weight store, and of loads from memory. */
  readonly coldMs: number;
  readonly warmMs: number;
}

/**
 * Initial reach. The guess is high because a wrong one is cheap: a request that is sent to the engine that held
 * its adapter last costs one load from the weight store if the adapter is not in memory any more, as it
 * would on any other engine.
 */
const INITIAL_REACH = 100;
/** When an adapter within the reach loads slowly, the reach shrinks at most to this fraction. */
const MIN_REACH_FRACTION = 0.8;
/** Number of adapters whose order is kept. */
const MAX_RECENT = 400;
/**
 * A load counts as one from memory if it takes less than this fraction of a usual load from the weight
 * store.
 */
const WARM_FRACTION = 0.4;
/** Initial estimates in ms of loads from the weight store and from memory; a few loads outweigh them. */
const INITIAL_COLD_MS = 300;
const INITIAL_WARM_MS = 40;
/** Weight of the latest load in the smoothed load times. */
const LATEST_WEIGHT = 0.2;
/** A load time is capped at this multiple of the usual one, so that a single outlier changes little. */
const OUTLIER_FACTOR = 4;

/** Upper bound of the limit on concurrent loads from the weight store. */
const MAX_COLD_LOADS = 4;
/**
 * A load that takes longer than this multiple of the fastest one counts as slowed down by other loads. The
 * difference is more than the interval between polls of the engine, and less than the slowdown by a second
 * concurrent load.
 */
const SLOW_FACTOR = 1.4;
/** Factor by which the fastest load time grows at each further load, to adapt to a store that became slower. */
const FASTEST_GROWTH = 1.01;

/** The history of an engine without loads yet: initial estimates only. */
export const INITIAL: LoadHistory = {
  recent: [],
  reach: INITIAL_REACH,
  fastestMs: undefined,
  limit: 1,
  coldMs: INITIAL_COLD_MS,
  warmMs: INITIAL_WARM_MS,
};

/** Returns the adapters that are expected to load fast, the latest first. */
export function warmAdapters(w: LoadHistory): readonly string[] {
  return w.recent.slice(0, w.reach);
}

/** Whether an adapter is expected to load fast. */
export function isWarm(w: LoadHistory, key: string): boolean {
  const pos = w.recent.indexOf(key);
  return pos >= 0 && pos < w.reach;
}

/** The history after the engine restarted: its host's memory holds no adapters, and the load times stay. */
export function afterRestart(w: LoadHistory): LoadHistory {
  return { ...w, recent: [] };
}

/** Records that the engine holds, or until now held, an adapter. */
export function recordHeld(w: LoadHistory, key: string): LoadHistory {
  return { ...w, recent: moveToFront(w.recent, key) };
}

/** Moves `key` to the front of a list of adapters, or adds it there. */
export function moveToFront(recent: readonly string[], key: string): readonly string[] {
  return [key, ...recent.filter((k) => k !== key).slice(0, MAX_RECENT - 1)];
}

/** Records that an adapter was loaded in `tookMs`. */
export function recordLoad(w: LoadHistory, key: string, tookMs: number): LoadHistory {
  const pos = w.recent.indexOf(key);
  if (pos < 0) return recordHeld(recordCold(w, tookMs), key);
  if (isAsFromMemory(w, tookMs)) {
    const reach = Math.max(w.reach, pos + 1);
    return recordHeld({ ...w, reach, warmMs: smoothed(w.warmMs, tookMs) }, key);
  }
  const shrunk = Math.max(1, pos, Math.floor(w.reach * MIN_REACH_FRACTION));
  const reach = Math.min(w.reach, shrunk);
  return recordHeld({ ...recordCold(w, tookMs), reach }, key);
}

/**
 * Records a load from the weight store that took `tookMs`, and adjusts the limit on concurrent ones. One that was as fast
 * as a load from memory probably was one, of an adapter that the engine held before the daemon started. It says nothing
 * about the speed of the store, unless many are so fast: it lowers the usual time alone, which the next ones are compared with.
 */
function recordCold(w: LoadHistory, tookMs: number): LoadHistory {
  if (isAsFromMemory(w, tookMs)) return { ...w, coldMs: smoothed(w.coldMs, tookMs) };
  const fastestMs = Math.min(tookMs, FASTEST_GROWTH * (w.fastestMs ?? Infinity));
  const isSlow = tookMs > SLOW_FACTOR * fastestMs;
  const limit = isSlow ? Math.max(1, w.limit / 2) : Math.min(MAX_COLD_LOADS, w.limit + 1 / w.limit);
  return { ...w, fastestMs, limit, coldMs: smoothed(w.coldMs, tookMs) };
}

/**
 * Returns how many loads from the weight store an engine should have in progress at the same time.
 *
 * This is for the case that all engines load at once, after a power failure or when traffic starts. Beyond the
 * number of loads that the store serves at full speed, all loads take longer in proportion, and all requests
 * get their adapters late together instead of one after the other. The total over all engines is not known
 * anywhere, so each engine adapts to its own load times, as in delay-based congestion control: the limit
 * grows by one for each round of fast loads, and is halved after a slow one.
 */
export function coldLoadLimit(w: LoadHistory): number {
  return Math.floor(w.limit);
}

/** Whether a load was as fast as one from memory. */
function isAsFromMemory(w: LoadHistory, tookMs: number): boolean {
  return tookMs < WARM_FRACTION * w.coldMs;
}

function smoothed(usual: number, latest: number): number {
  return usual + (Math.min(latest, OUTLIER_FACTOR * usual) - usual) * LATEST_WEIGHT;
}
