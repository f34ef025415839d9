/**
 * When an endpoint daemon looks at its engine next. Pure.
 * @module
 */
import type * as residency from "./residency.js";
import * as warmth from "./warmth.js";

/**
 * Milliseconds between looks at an engine that changes nothing. A look is free on its own host but for the
 * processor time, some 2 ms in a daemon's first minute; entry daemons notice a crash by their connections.
 */
const LOOK_MS = 400;
/**
 * Milliseconds between looks at an engine without a base model. After a site's power was lost all engines
 * load theirs at once, in 0.5 to 1.3 s, and nothing is served until it is known to be there.
 */
const MODEL_LOOK_MS = 40;
/** Milliseconds between looks while an adapter is about to be in its place. */
const LOADING_LOOK_MS = 15;
/** Part of the time that loads take after which an adapter may be in its place. */
const LOADED_PART = 0.8;

/** Monotonic ms of the look after the one at `lookedAt`: when a load may be done, or after a while. */
export function next(s: residency.State, w: warmth.Warmth, lookedAt: number): number {
  const warm = new Set(warmth.warm(w));
  let at = lookedAt + (s.models.length === 0 ? MODEL_LOOK_MS : LOOK_MS);
  for (const p of s.slots.values()) {
    if (p.phase !== "loading") continue;
    const takesMs = warm.has(p.key) ? w.warmMs : w.coldMs;
    const loadedAt = p.since + LOADED_PART * takesMs;
    at = Math.min(at, Math.max(loadedAt, lookedAt + LOADING_LOOK_MS));
  }
  return at;
}
