/**
 * The cost of sending a request to an engine whose streams pause, or whose streams the request's own prompt may make
 * pause. Pure.
 * @module
 */

/**
 * Cost of an engine where every stream is late by a pause, in cold loads. It is more than a further copy of the adapter
 * costs (its load, and the penalty for delaying others), so that another engine gets the adapter.
 */
const LOADS_IF_ALL_LATE = 4;
/**
 * Share of late streams from which they cost anything. Below it, engines differ mostly by chance, and a cost would move
 * requests away from the engines that have their adapters.
 */
const COSTS_FROM = 0.3;

/** Cost in ms at a share of late streams, 0 to 1; `coldMs` is the time of a load from the weight store. */
export function costMs(lateShare: number, coldMs: number): number {
  const excess = Math.max(0, lateShare - COSTS_FROM) / (1 - COSTS_FROM);
  return LOADS_IF_ALL_LATE * excess * coldMs;
}

/**
 * Cost in cold loads of a prompt that is twice as long as, or longer than, what an engine can read without making its
 * running streams late in a slow spell: the prompt goes to a faster engine rather than to the one that has its adapter.
 */
const LOADS_IF_TWICE = 4;

/**
 * Cost in ms of a prompt of `promptTokens` on an engine that reads `steadyTokens` at most without making running streams
 * late; none where no stream runs (undefined). `coldMs` is the time of a load from the weight store.
 */
export function longPromptMs(
  promptTokens: number,
  steadyTokens: number | undefined,
  coldMs: number,
): number {
  if (steadyTokens === undefined || promptTokens <= steadyTokens) return 0;
  const excess = Math.min(1, promptTokens / Math.max(1, steadyTokens) - 1);
  return LOADS_IF_TWICE * excess * coldMs;
}
