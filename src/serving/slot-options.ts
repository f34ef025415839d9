/**
 * Options for managing an engine's slots, from the configuration and the history of its loads. Pure.
 * @module
 */
import type * as catalog from "./catalog.js";
import type * as residency from "./residency.js";
import * as loadHistory from "./load-history.js";

/** Loads of adapters in progress at the same time, at most. */
const MAX_LOADS = 4;
/** Milliseconds that a request waits for a slot before an adapter in use is closed for it. */
const CLOSE_AFTER_MS = 120;
/** For how long hosts that do not know a newer version get seats on an outdated one, as a fraction of `versionMs`. */
const OUTDATED_FRACTION = 0.3;

/**
 * Returns the options for the engine that `spec` describes; `versionMs` after its declaration, a version must
 * be the only one in use.
 */
export function optionsFor(
  spec: catalog.EngineSpec | undefined,
  history: loadHistory.LoadHistory,
  versionMs: number,
): residency.Options {
  return {
    slots: spec?.slots ?? 1,
    maxLoads: MAX_LOADS,
    maxColdLoads: loadHistory.coldLoadLimit(history),
    isWarm: (key) => loadHistory.isWarm(history, key),
    closeAfterMs: CLOSE_AFTER_MS,
    outdatedUseMs: OUTDATED_FRACTION * versionMs,
  };
}
