/**
 * Restarts of all daemons of the soak's site: at once, or one after the other.
 * @module
 */
import * as timers from "node:timers/promises";
import type * as daemons from "./daemon.js";
import type * as faults from "./faults.js";

/** Range of the milliseconds that daemons are down, and from one restart to the next. */
const DOWN_MS: readonly [number, number] = [100, 900];
const INTERVAL_MS: readonly [number, number] = [100, 500];

const KINDS = ["all at once", "endpoint daemons at once", "in turn", "in turn by SIGTERM"] as const;

/** Restarts all daemons in a way that is drawn; resolves once all have been started again. */
export async function restartAll(d: faults.Deps): Promise<void> {
  const { entries, endpoints } = d.site;
  const kind = d.draw.one(KINDS);
  switch (kind) {
    case "all at once":
      await Promise.all([...entries, ...endpoints].map((x) => restart(d, x, kind)));
      break;
    case "endpoint daemons at once": {
      const entry = d.draw.one(entries);
      await Promise.all(endpoints.map((x) => restart(d, x, kind)));
      await restart(d, entry, kind);
      break;
    }
    case "in turn":
    case "in turn by SIGTERM": {
      const going: Promise<void>[] = [];
      for (const x of [...entries, ...endpoints]) {
        going.push(restart(d, x, kind));
        await timers.setTimeout(d.draw.between(...INTERVAL_MS));
      }
      await Promise.all(going);
      break;
    }
  }
}

/** Ends a daemon and starts it again. */
async function restart(
  d: faults.Deps,
  x: daemons.Daemon,
  kind: (typeof KINDS)[number],
): Promise<void> {
  const isPlanned = kind === "in turn by SIGTERM";
  const record = {
    kind: `${x.plan.role} daemon ${isPlanned ? "asked to stop" : "killed"} (${kind})`,
    on: x.plan.name,
    from: performance.now(),
    to: Infinity,
  };
  d.history.disturbances.push(record);
  await (isPlanned ? x.stop() : x.kill());
  await timers.setTimeout(d.draw.between(...DOWN_MS));
  x.start();
  record.to = performance.now();
}
