/**
 * Lets the stand-in store come back from a copy, as after a drill, while callers go on.
 * @module
 */
import * as timers from "node:timers/promises";
import type * as faults from "./faults.js";

/** Range of the milliseconds from the store's copy to its return, and for which it is away before the return. */
const COPY_AGE_MS: readonly [number, number] = [300, 3000];
const AWAY_MS: readonly [number, number] = [0, 400];
/** Range of the milliseconds from the return until what the store lost is written again. */
const WRITTEN_AGAIN_MS: readonly [number, number] = [0, 900];
/** Share of the returns after which the store comes back once more. */
const TWICE_SHARE = 0.25;

/**
 * Lets the store come back from a copy, and what it lost be written again. It is not recorded as a disturbance, so it
 * excuses nothing.
 */
export async function returnFromCopy(d: faults.Deps): Promise<void> {
  const { store } = d.site;
  const copy = store.copy();
  await timers.setTimeout(d.draw.between(...COPY_AGE_MS));
  const away = store.faults.mode === "well";
  if (away) store.faults.mode = "busy";
  await timers.setTimeout(d.draw.between(...AWAY_MS));
  if (away) store.faults.mode = "well";
  store.comeBackFrom(copy);
  if (d.draw.part() < TWICE_SHARE) {
    await timers.setTimeout(d.draw.between(...WRITTEN_AGAIN_MS) / 2);
    store.comeBackFrom(copy);
  }
  await timers.setTimeout(d.draw.between(...WRITTEN_AGAIN_MS) / 2);
  d.site.writeAgain();
}
