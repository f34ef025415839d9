/**
 * Declarations of new versions of several adapters while endpoint daemons are disturbed and engines begin late.
 * @module
 */
import * as timers from "node:timers/promises";
import * as workers from "../platform/worker.js";
import type * as daemons from "./daemon.js";
import * as faults from "./faults.js";

const KINDS = [
  "some paused",
  "all paused",
  "some killed",
  "all killed",
  "killed in series",
  "restarted in overlap",
] as const;
/** Share of the endpoint daemons that an occasion affects, unless it affects all. */
const SOME_SHARE = 0.5;
/** Ranges of the milliseconds for which daemons are away, and of those that they are down while all are restarted. */
const AWAY_MS: readonly [number, number] = [500, 9000];
const DOWN_MS: readonly [number, number] = [100, 900];
const OVERLAP_MS: readonly [number, number] = [50, 400];
/** Ranges of the number of adapters with a new version, and of the milliseconds before each declaration. */
const ADAPTER_COUNT: readonly [number, number] = [2, 7];
const DECLARE_MS: readonly [number, number] = [0, 500];
/** Share of the adapters that get a third version soon after the second, and range of the milliseconds before it. */
const THIRD_SHARE = 0.4;
const THIRD_MS: readonly [number, number] = [100, 3000];
/** Share of the occasions on which engines begin late, share of the engines that do, and by how many milliseconds. */
const LATE_SHARE = 0.4;
const LATE_ENGINE_SHARE = 0.5;
const BEGIN_MS: readonly [number, number] = [100, 3500];
const LATE_FOR_MS: readonly [number, number] = [2000, 9000];

/** Starts and records a fault; resolves once it has ended. */
export type Strike = (f: faults.Fault) => Promise<void> | undefined;

/** Declares versions while endpoint daemons are disturbed in a way that is drawn, at most until `until`. */
export async function declareUnderDisturbance(
  d: faults.Deps,
  strike: Strike,
  until: number,
): Promise<void> {
  await Promise.all([disturbEndpoints(d, strike, until), declareSeveral(d), beginLate(d, until)]);
}

async function disturbEndpoints(d: faults.Deps, strike: Strike, until: number): Promise<void> {
  const { endpoints } = d.site;
  const some = endpoints.filter(() => d.draw.part() < SOME_SHARE);
  const [least, most] = AWAY_MS;
  const away: readonly [number, number] = [
    least,
    Math.max(least, Math.min(most, until - performance.now())),
  ];
  const kind = d.draw.one(KINDS);
  const one = (
    x: daemons.Daemon,
    of: typeof faults.killFault,
    ms: readonly [number, number],
  ): Promise<void> =>
    strike({ ...of("endpoint daemon", () => [x]), durationMs: ms }) ?? Promise.resolve();
  switch (kind) {
    case "some paused":
    case "all paused": {
      const struck = kind === "some paused" ? some : endpoints;
      await Promise.all(struck.map((x) => one(x, faults.freezeFault, away)));
      break;
    }
    case "some killed":
    case "all killed": {
      const struck = kind === "some killed" ? some : endpoints;
      await Promise.all(struck.map((x) => one(x, faults.killFault, away)));
      break;
    }
    case "killed in series":
      for (const x of endpoints) await one(x, faults.killFault, DOWN_MS);
      break;
    case "restarted in overlap": {
      const going: Promise<void>[] = [];
      for (const x of endpoints) {
        going.push(one(x, d.draw.one([faults.killFault, faults.stopFault]), DOWN_MS));
        await timers.setTimeout(d.draw.between(...OVERLAP_MS));
      }
      await Promise.all(going);
    }
  }
}

/** Declares a version of several adapters, and for some of them another one soon after. */
async function declareSeveral(d: faults.Deps): Promise<void> {
  const again: Promise<void>[] = [];
  const count = Math.floor(d.draw.between(...ADAPTER_COUNT));
  for (let n = 0; n < count; n++) {
    await timers.setTimeout(d.draw.between(...DECLARE_MS));
    const adapter = faults.drawAdapter(d.draw);
    faults.declare(d, adapter);
    if (d.draw.part() < THIRD_SHARE) again.push(declareLater(d, adapter));
  }
  await Promise.all(again);
}

async function declareLater(d: faults.Deps, adapter: string): Promise<void> {
  await timers.setTimeout(d.draw.between(...THIRD_MS));
  faults.declare(d, adapter);
}

/** On some occasions, lets some engines begin their requests late for a while, at most until `until`. */
async function beginLate(d: faults.Deps, until: number): Promise<void> {
  if (d.draw.part() >= LATE_SHARE) return;
  const late = d.site.places
    .map((p) => p.worker)
    .filter((w) => w instanceof workers.Engine)
    .filter(() => d.draw.part() < LATE_ENGINE_SHARE);
  for (const w of late) w.beginMs = d.draw.between(...BEGIN_MS);
  const ms = d.draw.between(...LATE_FOR_MS);
  await timers.setTimeout(Math.max(0, Math.min(ms, until - performance.now())));
  for (const w of late) w.beginMs = 0;
}
