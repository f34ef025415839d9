/**
 * Estimates the latency of a plain service's endpoints from this host's calls. A mean changes only with a call, so an
 * endpoint whose calls were slow for a while, as when it announced a limit, would otherwise get none that could correct
 * it, or show that its limit is withdrawn. Pure functions.
 * @module
 */
import type * as choice from "../choice.js";

/** Weight of the latest call in an endpoint's mean latency, where the call before ended just now. */
const LATEST_WEIGHT = 0.12;
/**
 * Half-life, in milliseconds without a call, of what a mean latency says. Endpoints differ by chance by a few
 * milliseconds; after three half-lives, one that was three times as slow as its peers differs from them by as much, and
 * is called again.
 */
const HALF_LIFE_MS = 1000;
/** Latency assumed where no endpoint of the service was called, in milliseconds. */
const DEFAULT_CALL_MS = 50;

/** The latencies of this host's calls to an endpoint. */
type Measured = Pick<choice.View, "latencyMs" | "latencyAgeMs">;

/** Part of a mean latency that still holds `ageMs` after the last call. */
function weightAt(ageMs: number): number {
  return 2 ** (-ageMs / HALF_LIFE_MS);
}

/** The mean latency after a call that took `tookMs`, `ageMs` after the call before it. */
export function meanAfter(meanMs: number, ageMs: number, tookMs: number): number {
  if (meanMs === 0) return tookMs;
  return tookMs + (meanMs - tookMs) * (1 - LATEST_WEIGHT) * weightAt(ageMs);
}

/**
 * Returns the latency expected now of one of the endpoints compared: its mean, which decays towards that of its peers
 * while they are called and it is not.
 */
export function expectation(views: readonly Measured[]): (v: Measured) => number {
  const measured = views.filter((v) => v.latencyMs > 0);
  const ageMsOf = (v: Measured): number => v.latencyAgeMs ?? 0;
  // Only the age beyond the youngest counts, so that a service without calls for some time keeps its means.
  const youngestMs = Math.min(...measured.map(ageMsOf));
  const weightOf = (v: Measured): number => weightAt(ageMsOf(v) - youngestMs);
  let weights = 0;
  let weightedMs = 0;
  for (const v of measured) {
    weights += weightOf(v);
    weightedMs += weightOf(v) * v.latencyMs;
  }
  return (v) => {
    if (measured.length === 0) return DEFAULT_CALL_MS;
    if (v.latencyMs === 0) return weightedMs / weights;
    const weight = weightOf(v);
    if (weight === 1) return v.latencyMs;
    const peersMs = (weightedMs - weight * v.latencyMs) / (weights - weight);
    return peersMs + (v.latencyMs - peersMs) * weight;
  };
}
