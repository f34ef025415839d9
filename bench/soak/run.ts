/**
 * Runs one seed of the soak: a site and its callers under overlapping faults, and a calm period at the end.
 * @module
 */
import * as timers from "node:timers/promises";
import * as workers from "../platform/worker.js";
import * as caller from "./caller.js";
import * as declarations from "./declarations.js";
import * as faults from "./faults.js";
import * as history from "./history.js";
import * as site from "./site.js";
import * as restarts from "./restarts.js";
import * as storeRestore from "./store-restore.js";
import * as teams from "./teams.js";

export type Draw = faults.Draw;

/** Settings of one run. */
export interface Plan {
  readonly size: site.Size;
  readonly callers: number;
  readonly ms: number;
  /** The `n`th random sequence of the seed: callers, faults and the operator each use their own. */
  readonly draw: (n: number) => Draw;
  /** Path of the program that starts a daemon. */
  readonly main: string;
  /** Folder for the daemons' settings and logs. */
  readonly folder: string;
}

/** Range of the milliseconds from one fault to the next. */
const FAULT_INTERVAL_MS: readonly [number, number] = [100, 1600];
/** Share of the kinds of fault that one run uses. */
const KIND_SHARE = 0.35;
/** Most faults that are active at the same time. */
const MAX_ACTIVE_FAULTS = 4;
/** Range of the milliseconds from one change by the operator to the next. */
const OPERATOR_INTERVAL_MS: readonly [number, number] = [700, 3000];
/** Milliseconds at the end of a run without faults. */
const CALM_MS = 9000;
/** The last milliseconds of the calm period, in which the site must have recovered. */
const RECOVERED_MS = 4000;
/** Least share of the requests that must be served once the site has recovered. */
const MIN_SERVED_SHARE = 0.9;
/**
 * Share of the runs in which requests crash their workers, range of the milliseconds before each such request, and number of
 * the random sequence for them. It has its own sequence so that a seed's other faults stay the same.
 */
const FATAL_SHARE = 0.5;
const FATAL_INTERVAL_MS: readonly [number, number] = [500, 4000];
const FATAL_DRAWS = 3;
/** The same for requests that have a part in common which crashes their workers, and the sequence for the parts of all prompts. */
const FATAL_PART_SHARE = 0.5;
const FATAL_PART_INTERVAL_MS: readonly [number, number] = [500, 4000];
const FATAL_PART_DRAWS = 14;
const PART_DRAWS = 15;
/** The same for services that shed load. */
const SHED_SHARE = 0.4;
const SHED_INTERVAL_MS: readonly [number, number] = [500, 4000];
const SHED_DRAWS = 6;
/** The same for workers that announce limits, with the number of loops that do so at once. */
const LIMIT_SHARE = 0.6;
const LIMIT_LOOPS = 2;
const LIMIT_INTERVAL_MS: readonly [number, number] = [200, 2500];
const LIMIT_DRAWS = 7;
/** The same for workers that ask for pauses. */
const PAUSE_SHARE = 0.6;
const PAUSE_INTERVAL_MS: readonly [number, number] = [300, 3000];
const PAUSE_DRAWS = 8;
/** The same for workers that leave while the store is unavailable. */
const OUTAGE_LEAVE_SHARE = 0.6;
const OUTAGE_LEAVE_INTERVAL_MS: readonly [number, number] = [500, 4000];
const OUTAGE_LEAVE_DRAWS = 9;
/** The same for a store that is restored from backups. */
const RESTORE_SHARE = 0.6;
const RESTORE_INTERVAL_MS: readonly [number, number] = [1000, 6000];
const RESTORE_DRAWS = 10;
/** Share of the workers whose answers have neither a length nor chunks, and number of the random sequence for it. */
const CLOSE_FRAMING_SHARE = 0.4;
const FRAMING_DRAWS = 11;
/** Share of the runs in which workers of several software versions serve, the versions, and the number of the sequence. */
const MIXED_SHARE = 0.7;
const VERSIONS = ["v1", "v1.1", "v1.2"] as const;
const VERSION_DRAWS = 12;
/** The same for entry daemons that are killed one after the other, with the range of a stream's ms between two events. */
const KILL_SHARE = 0.6;
const KILL_INTERVAL_MS: readonly [number, number] = [300, 3000];
const KILL_DRAWS = 13;
const EVENT_MS: readonly [number, number] = [20, 120];
/** The same for restarts of all daemons, with the ms between two events of a stream, so that many are open at a restart. */
const RESTART_ALL_SHARE = 0.5;
const RESTART_ALL_INTERVAL_MS: readonly [number, number] = [1500, 5000];
const RESTART_ALL_DRAWS = 16;
const LONG_EVENT_MS = 300;
/**
 * The same for declarations of versions while endpoint daemons are disturbed, with the number of loops, and the milliseconds
 * for which they go on without other faults: links and the store must be well for longer than a version may take.
 */
const DECLARE_SHARE = 0.5;
const DECLARE_INTERVAL_MS: readonly [number, number] = [500, 3000];
const DECLARE_LOOPS = 2;
const DECLARE_DRAWS = 17;
const DECLARE_ALONE_MS = 13_000;
/** The same for workers that send bytes which prove nothing about a request. */
const STRAY_SHARE = 0.6;
const STRAY_INTERVAL_MS: readonly [number, number] = [200, 1500];
const STRAY_DRAWS = 18;
/** One in so many callers speaks HTTP/1.0. */
const OLD_CALLER_INTERVAL = 6;
/** Numbers of the random sequences for the API keys of requests, and for the operator's changes of keys and caps. */
const KEY_DRAWS = 4;
const TEAM_DRAWS = 5;
/** Range of the milliseconds from one change of keys or caps to the next, and share of the changes that are to a cap. */
const TEAM_CHANGE_INTERVAL_MS: readonly [number, number] = [1500, 5000];
const CAP_SHARE = 0.35;
/** Draws to skip at the start of a sequence, which hardly differ from one seed to the next. */
const SKIPPED_DRAWS = 2;
/** Share of the requests whose callers disconnect early, in general and for the slow adapter. */
const DISCONNECT_SHARE = 0.05;
const SLOW_DISCONNECT_SHARE = 0.4;

/** Runs the soak once and returns the record of the run. */
export async function run(plan: Plan): Promise<history.History> {
  const soakFaults: string[] = [];
  const teamState = teams.createTeams(performance.now());
  const s = new site.Site(
    plan.size,
    plan.main,
    plan.folder,
    (what) => soakFaults.push(what),
    teamState,
  );
  const h: history.History = {
    seen: [],
    kept: s.journal,
    disturbances: [],
    changes: [],
    declared: [],
    teams: teamState,
    faults: soakFaults,
  };
  s.onWorkerCrash = (instance) => {
    const now = performance.now();
    h.disturbances.push({ kind: "request ends worker", on: instance, from: now, to: now });
  };
  const framing = plan.draw(FRAMING_DRAWS);
  s.framing = () => (framing.part() < CLOSE_FRAMING_SHARE ? "close" : "default");
  const version = plan.draw(VERSION_DRAWS);
  for (let i = 0; i < SKIPPED_DRAWS; i++) version.part();
  const isMixed = version.part() < MIXED_SHARE;
  s.eventMs = version.between(...EVENT_MS);
  s.software = () => (isMixed ? version.one(VERSIONS) : VERSIONS[0]);
  await s.start();
  const stopCallers = new AbortController();
  const world = createEnvironment(s, plan.draw, h);
  const deps = (n: number): faults.Deps => ({ site: s, draw: plan.draw(n), history: h, world });
  const callers = Array.from({ length: plan.callers }, (_, i) =>
    i % OLD_CALLER_INTERVAL === 0
      ? caller.runWithoutChunks(world, stopCallers.signal)
      : caller.run(world, stopCallers.signal),
  );
  const until = performance.now() + plan.ms;
  const declaring = deps(DECLARE_DRAWS);
  const declares = isInShare(declaring, DECLARE_SHARE);
  const all = [injectFaults(deps(1), until), changeConfiguration(deps(2), until)];
  await Promise.all([
    ...all,
    declares && declareRepeatedly(declaring, until),
    sendFatalRequests(deps(FATAL_DRAWS), until),
    sendFatalParts(deps(FATAL_PART_DRAWS), until),
    shedRepeatedly(deps(SHED_DRAWS), until),
    limitRepeatedly(deps(LIMIT_DRAWS), until),
    pauseRepeatedly(deps(PAUSE_DRAWS), until),
    leaveRepeatedly(deps(OUTAGE_LEAVE_DRAWS), until),
    restoreRepeatedly(deps(RESTORE_DRAWS), until),
    killRepeatedly(deps(KILL_DRAWS), until),
    restartAllRepeatedly(deps(RESTART_ALL_DRAWS), until),
    sendStrayBytes(deps(STRAY_DRAWS), until),
    changeTeams(s, teamState, plan.draw(TEAM_DRAWS), until),
  ]);
  if (declares) await declareRepeatedly(declaring, performance.now() + DECLARE_ALONE_MS);
  await timers.setTimeout(CALM_MS);
  const recoveredAt = performance.now() - RECOVERED_MS;
  stopCallers.abort();
  await Promise.all(callers);
  await s.stop();
  const share = history.servedShare(h, recoveredAt);
  if (share < MIN_SERVED_SHARE)
    soakFaults.push(`recovery: ${Math.round(share * 100)} of 100 served at the end`);
  return h;
}

function createEnvironment(
  s: site.Site,
  drawOf: Plan["draw"],
  h: history.History,
): caller.Environment {
  const [draw, keys, parts] = [drawOf(0), drawOf(KEY_DRAWS), drawOf(PART_DRAWS)];
  let count = 0;
  const nextRequest = (): caller.RequestPlan => {
    const kind = draw.one(["stream", "stream", "stream_once", "call", "call_once"] as const);
    const adapter = kind.startsWith("stream") ? faults.drawAdapter(draw) : "";
    const extra = kind === "call" && draw.part() < 0.3;
    const path = extra ? draw.one(faults.PATHS) : PATH_OF[kind];
    const leaving = adapter === site.SLOW_ADAPTER ? SLOW_DISCONNECT_SHARE : DISCONNECT_SHARE;
    return {
      kind,
      adapter,
      path,
      waitMs: Math.round(draw.between(1500, 4000)),
      leaveMs: draw.part() < leaving ? draw.between(10, 200) : undefined,
      parts: faults.drawParts(parts),
    };
  };
  return {
    nextRequest,
    entry: () => {
      const at = draw.one(s.inRotation());
      return { name: at.plan.name, address: at.callers };
    },
    pauseMs: () => draw.between(20, 200),
    record: (seen) => h.seen.push(seen),
    nextId: () => `r${count++}`,
    key: () => teams.pickKey(h.teams, keys),
  };
}

const PATH_OF: Readonly<Record<history.Kind, string>> = {
  stream: "/s/",
  stream_once: "/o/",
  call: "/c/",
  call_once: "/n/",
};

/** Starts faults until `until`, and resolves once the last one has ended. */
async function injectFaults(d: faults.Deps, until: number): Promise<void> {
  const activeFaults = new Map<string, Promise<void>>();
  // A run uses only some kinds of fault: with all of them, each would excuse what another would reveal.
  const drawn = faults.FAULTS.filter(() => d.draw.part() < KIND_SHARE);
  const kinds = drawn.length > 0 ? drawn : faults.FAULTS;
  while (performance.now() < until) {
    await timers.setTimeout(d.draw.between(...FAULT_INTERVAL_MS));
    if (activeFaults.size >= MAX_ACTIVE_FAULTS) continue;
    const fault = d.draw.one(kinds);
    if (activeFaults.has(fault.name)) continue;
    const ended = inject(d, fault);
    if (!ended) continue;
    activeFaults.set(
      fault.name,
      ended.then(() => {
        activeFaults.delete(fault.name);
      }),
    );
  }
  await Promise.all(activeFaults.values());
}

/** Starts a fault and records it; resolves once it has ended. Undefined when it has nothing to affect. */
function inject(d: faults.Deps, fault: faults.Fault): Promise<void> | undefined {
  const active = fault.begin(d);
  if (!active) return undefined;
  const from = performance.now();
  const records = active.on.map((name) => ({ kind: fault.name, on: name, from, to: Infinity }));
  d.history.disturbances.push(...records);
  return (async () => {
    await timers.setTimeout(d.draw.between(...fault.durationMs));
    await active.end();
    for (const n of records) n.to = performance.now();
  })();
}

/** Draws whether this run belongs to the given share of all runs. */
function isInShare(d: faults.Deps, share: number): boolean {
  for (let i = 0; i < SKIPPED_DRAWS; i++) d.draw.part();
  return d.draw.part() < share;
}

/** In some runs, lets services shed load while entry daemons restart, repeatedly until `until`. */
async function shedRepeatedly(d: faults.Deps, until: number): Promise<void> {
  if (!isInShare(d, SHED_SHARE)) return;
  while (performance.now() < until) {
    await faults.shedDuringRestarts(d, (fault) => inject(d, fault));
    await timers.setTimeout(d.draw.between(...SHED_INTERVAL_MS));
  }
}

/** In some runs, sends requests that crash their workers, one after the other until `until`. */
async function sendFatalRequests(d: faults.Deps, until: number): Promise<void> {
  if (!isInShare(d, FATAL_SHARE)) return;
  while (performance.now() < until) {
    await timers.setTimeout(d.draw.between(...FATAL_INTERVAL_MS));
    await faults.repeatFatalRequest(d);
  }
}

/** In some runs, sends requests with parts that crash their workers, one part after the other until `until`. */
async function sendFatalParts(d: faults.Deps, until: number): Promise<void> {
  if (!isInShare(d, FATAL_PART_SHARE)) return;
  while (performance.now() < until) {
    await timers.setTimeout(d.draw.between(...FATAL_PART_INTERVAL_MS));
    await faults.sendFatalPart(d);
  }
}

/** In some runs, lets workers announce limits until `until`, in several loops at once. */
async function limitRepeatedly(d: faults.Deps, until: number): Promise<void> {
  if (!isInShare(d, LIMIT_SHARE)) return;
  const one = async (): Promise<void> => {
    while (performance.now() < until) {
      await faults.announceLimit(d, until);
      await timers.setTimeout(d.draw.between(...LIMIT_INTERVAL_MS));
    }
  };
  await Promise.all(Array.from({ length: LIMIT_LOOPS }, one));
}

/** In some runs, lets workers shed requests and ask for pauses, repeatedly until `until`. */
async function pauseRepeatedly(d: faults.Deps, until: number): Promise<void> {
  if (!isInShare(d, PAUSE_SHARE)) return;
  while (performance.now() < until) {
    await faults.requestPauses(d, until);
    await timers.setTimeout(d.draw.between(...PAUSE_INTERVAL_MS));
  }
}

/** In some runs, lets workers leave while the store is unavailable, repeatedly until `until`. */
async function leaveRepeatedly(d: faults.Deps, until: number): Promise<void> {
  if (!isInShare(d, OUTAGE_LEAVE_SHARE)) return;
  while (performance.now() < until) {
    await faults.leaveDuringStoreOutage(d, (fault) => inject(d, fault));
    await timers.setTimeout(d.draw.between(...OUTAGE_LEAVE_INTERVAL_MS));
  }
}

/** In some runs, kills entry daemons, repeatedly until `until`; they may be down at the same time. */
async function killRepeatedly(d: faults.Deps, until: number): Promise<void> {
  if (!isInShare(d, KILL_SHARE)) return;
  const going: Promise<void>[] = [];
  while (performance.now() < until) {
    await timers.setTimeout(d.draw.between(...KILL_INTERVAL_MS));
    going.push(inject(d, faults.ENTRY_KILL) ?? Promise.resolve());
  }
  await Promise.all(going);
}

/** In some runs, lets workers send bytes that prove nothing about a request, repeatedly until `until`. */
async function sendStrayBytes(d: faults.Deps, until: number): Promise<void> {
  if (!isInShare(d, STRAY_SHARE)) return;
  const going: Promise<void>[] = [];
  while (performance.now() < until) {
    await timers.setTimeout(d.draw.between(...STRAY_INTERVAL_MS));
    going.push(inject(d, d.draw.one(faults.STRAY_FAULTS)) ?? Promise.resolve());
  }
  await Promise.all(going);
}

/** In some runs, restarts all daemons, repeatedly until `until`. */
async function restartAllRepeatedly(d: faults.Deps, until: number): Promise<void> {
  if (!isInShare(d, RESTART_ALL_SHARE)) return;
  d.site.eventMs = LONG_EVENT_MS;
  for (const { worker } of d.site.places)
    if (worker instanceof workers.Engine) worker.eventMs = LONG_EVENT_MS;
  while (performance.now() < until) {
    await timers.setTimeout(d.draw.between(...RESTART_ALL_INTERVAL_MS));
    await restarts.restartUnderStreams(d);
  }
}

/** Declares versions while endpoint daemons are disturbed, repeatedly until `until`, in several loops at once. */
async function declareRepeatedly(d: faults.Deps, until: number): Promise<void> {
  const one = async (): Promise<void> => {
    while (performance.now() < until) {
      await declarations.declareUnderDisturbance(d, (fault) => inject(d, fault), until);
      await timers.setTimeout(d.draw.between(...DECLARE_INTERVAL_MS));
    }
  };
  await Promise.all(Array.from({ length: DECLARE_LOOPS }, one));
}

/** In some runs, lets the store be restored from a backup, repeatedly until `until`. */
async function restoreRepeatedly(d: faults.Deps, until: number): Promise<void> {
  if (!isInShare(d, RESTORE_SHARE)) return;
  while (performance.now() < until) {
    await timers.setTimeout(d.draw.between(...RESTORE_INTERVAL_MS));
    await storeRestore.restoreFromBackup(d);
  }
}

/** Makes the operator's changes of API keys and of a cap, until `until`. */
async function changeTeams(
  s: site.Site,
  teamState: teams.Teams,
  draw: Draw,
  until: number,
): Promise<void> {
  while (performance.now() < until) {
    await timers.setTimeout(draw.between(...TEAM_CHANGE_INTERVAL_MS));
    const now = performance.now();
    if (draw.part() < CAP_SHARE) teams.toggleCap(teamState, now);
    else teams.rotateKey(teamState, draw.one, now);
    s.configure();
  }
}

/** Makes the operator's other changes until `until`. */
async function changeConfiguration(d: faults.Deps, until: number): Promise<void> {
  while (performance.now() < until) {
    await timers.setTimeout(d.draw.between(...OPERATOR_INTERVAL_MS));
    faults.applyOperatorChange(d);
  }
}
