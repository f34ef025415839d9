/**
 * Lets the stand-in store be restored from a backup, as after a drill, while callers go on.
 * @module
 */
import * as timers from "node:timers/promises";
import type * as faults from "./faults.js";

/** Range of the milliseconds from the backup to the restore, and for which the store is unavailable before it. */
const BACKUP_AGE_MS: readonly [number, number] = [300, 3000];
const DOWN_MS: readonly [number, number] = [0, 400];
/** Range of the milliseconds from the restore until what the store lost is written again. */
const WRITTEN_AGAIN_MS: readonly [number, number] = [0, 900];
/** Share of the restores after which the store is restored once more. */
const TWICE_SHARE = 0.25;

/**
 * Lets the store be restored from a backup, and what it lost be written again. It is not recorded as a disturbance, so it
 * excuses nothing.
 */
export async function restoreFromBackup(d: faults.Deps): Promise<void> {
  const { store } = d.site;
  const backup = store.backup();
  await timers.setTimeout(d.draw.between(...BACKUP_AGE_MS));
  const wasWell = store.faults.mode === "well";
  if (wasWell) store.faults.mode = "busy";
  await timers.setTimeout(d.draw.between(...DOWN_MS));
  if (wasWell) store.faults.mode = "well";
  store.restore(backup);
  if (d.draw.part() < TWICE_SHARE) {
    await timers.setTimeout(d.draw.between(...WRITTEN_AGAIN_MS) / 2);
    store.restore(backup);
  }
  await timers.setTimeout(d.draw.between(...WRITTEN_AGAIN_MS) / 2);
  d.site.writeAgain();
}
