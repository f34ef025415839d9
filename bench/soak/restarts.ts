/**
 * Restarts of all daemons of the soak's site: at once, or one after the other.
 * @module
 */
import * as timers from "node:timers/promises";
import * as caller from "./caller.js";
import type * as daemons from "./daemon.js";
import * as faults from "./faults.js";

/** Streams that are open at a restart, their deadline, and the milliseconds that they have run by then. */
const STREAMS = 16;
const STREAM_WAIT_MS = 6000;
const RUN_MS = 800;
/** Range of the milliseconds that daemons are down, and from one restart to the next. */
const DOWN_MS: readonly [number, number] = [100, 900];
const INTERVAL_MS: readonly [number, number] = [100, 500];

const KINDS = ["all at once", "endpoint daemons at once", "in turn", "in turn by SIGTERM"] as const;

/** Restarts all daemons while streams are open, whose callers resume them; resolves once these have ended. */
export async function restartUnderStreams(d: faults.Deps): Promise<void> {
  const open = Array.from({ length: STREAMS }, () => sendStream(d));
  await timers.setTimeout(RUN_MS);
  await restartAll(d);
  await Promise.all(open);
}

function sendStream(d: faults.Deps): Promise<void> {
  const valid = d.history.teams.keys.filter((k) => k.until === Infinity);
  const plan: caller.RequestPlan = {
    kind: "stream",
    path: "/s/",
    adapter: d.draw.one(faults.ADAPTERS),
    waitMs: STREAM_WAIT_MS,
    leaveMs: undefined,
    parts: faults.drawParts(d.draw),
    key: d.draw.one(valid).key,
  };
  return caller.sendOne({ ...d.world, nextRequest: () => plan });
}

/** Restarts all daemons in a way that is drawn; resolves once all have been started again. */
async function restartAll(d: faults.Deps): Promise<void> {
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
