/**
 * Options for managing an engine's slots, from the configuration and the history of its loads. Pure.
 * @module
 */
import type * as catalog from "./catalog.js";
import type * as residency from "./residency.js";
import * as warmth from "./warmth.js";

/** Loads of adapters in progress at the same time, at most. */
const MAX_LOADS = 4;
/** Milliseconds that a request waits for a slot before an adapter in use is closed for it. */
const CLOSE_AFTER_MS = 120;
/** For how long seats on an outdated version are still granted, as a fraction of `versionMs`. */
const OUTDATED_FRACTION = 0.3;

/**
 * Returns the options for the engine that `spec` describes; `versionMs` after its declaration, a version must
 * be the only one in use.
 */
export function of(
  spec: catalog.EngineSpec | undefined,
  history: warmth.Warmth,
  versionMs: number,
): residency.Options {
  return {
    slots: spec?.slots ?? 1,
    loads: MAX_LOADS,
    coldLoads: warmth.coldAtOnce(history),
    isWarm: (key) => warmth.isWarm(history, key),
    closeAfterMs: CLOSE_AFTER_MS,
    outdatedMs: OUTDATED_FRACTION * versionMs,
  };
}
