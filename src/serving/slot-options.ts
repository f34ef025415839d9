/**
 * The figures by which an endpoint daemon keeps its engine's slots, from what the configuration says and what
 * loads have shown. Pure.
 * @module
 */
import type * as catalog from "./catalog.js";
import type * as residency from "./residency.js";
import * as warmth from "./warmth.js";

/** Figures for adapters: see {@link residency.Options}. */
const LOADS_AT_ONCE = 4;
const CLOSE_AFTER_MS = 120;
/** Part of the time in which a version must be in force for which an outdated one is given out. */
const OUTDATED_PART = 0.3;

/** For an engine as `spec` describes it, with `versionMs` until a declared version must be the only one used. */
export function of(
  spec: catalog.EngineSpec | undefined,
  learnt: warmth.Warmth,
  versionMs: number,
): residency.Options {
  return {
    slots: spec?.slots ?? 1,
    loads: LOADS_AT_ONCE,
    coldLoads: warmth.coldAtOnce(learnt),
    isWarm: (key) => warmth.isWarm(learnt, key),
    closeAfterMs: CLOSE_AFTER_MS,
    outdatedMs: OUTDATED_PART * versionMs,
  };
}
