/**
 * The faults that the soak injects. Each affects some parts of the site, lasts a while and is undone.
 * Which faults occur when is drawn from the seed.
 * @module
 */
import * as timers from "node:timers/promises";
import type * as strays from "../platform/stray.js";
import type * as bases from "../platform/worker-base.js";
import * as workers from "../platform/worker.js";
import * as caller from "./caller.js";
import type * as daemons from "./daemon.js";
import * as history from "./history.js";
import type * as site from "./site.js";

/** A random sequence of the seed. */
export interface Draw {
  /** Draws a number from 0 up to, not including, 1. */
  readonly part: () => number;
  /** Draws a number from `min` up to, not including, `max`. */
  readonly between: (min: number, max: number) => number;
  /** Draws an element of a list that is not empty. */
  readonly one: <T>(list: readonly T[]) => T;
}

/** What faults act on. */
export interface Deps {
  readonly site: site.Site;
  readonly draw: Draw;
  readonly history: history.History;
  readonly world: caller.Environment;
}

/** A fault in progress: the names of the parts it affects, and how to undo it. */
export interface ActiveFault {
  readonly on: readonly string[];
  readonly end: () => Promise<void> | void;
}

/** A kind of fault. */
export interface Fault {
  readonly name: string;
  /** Range of the milliseconds that it lasts. */
  readonly durationMs: readonly [number, number];
  /** Starts it. Returns undefined when there is nothing that it could affect now. */
  readonly begin: (d: Deps) => ActiveFault | undefined;
}

const doNothing = (): undefined => undefined;

/** Draws one of the daemons that run; undefined when none does. */
function drawRunning(d: Deps, of: readonly daemons.Daemon[]): daemons.Daemon | undefined {
  const up = of.filter((x) => x.running);
  return up.length === 0 ? undefined : d.draw.one(up);
}

/** A fault that kills one of some daemons, and starts it again. */
export function killFault(name: string, of: (s: site.Site) => readonly daemons.Daemon[]): Fault {
  return {
    name: `${name} killed`,
    durationMs: [100, 1500],
    begin: (d) => {
      const daemon = drawRunning(d, of(d.site));
      if (!daemon) return undefined;
      const gone = daemon.kill();
      return {
        on: [daemon.plan.name],
        end: async () => {
          await gone;
          daemon.start();
        },
      };
    },
  };
}

/** A fault that suspends one of some daemons. */
export function freezeFault(name: string, of: (s: site.Site) => readonly daemons.Daemon[]): Fault {
  return {
    name: `${name} frozen`,
    durationMs: [200, 3000],
    begin: (d) => {
      const daemon = drawRunning(d, of(d.site));
      if (!daemon) return undefined;
      daemon.freeze();
      return {
        on: [daemon.plan.name],
        end: () => {
          daemon.thaw();
        },
      };
    },
  };
}

/** A fault that asks one of some daemons to stop, and starts it again. */
export function stopFault(name: string, of: (s: site.Site) => readonly daemons.Daemon[]): Fault {
  return {
    name: `${name} asked to stop`,
    durationMs: [100, 500],
    begin: (d) => {
      const daemon = drawRunning(d, of(d.site));
      if (!daemon) return undefined;
      const gone = daemon.stop();
      return {
        on: [daemon.plan.name],
        end: async () => {
          await gone;
          daemon.start();
        },
      };
    },
  };
}

function workerFault(m: bases.Behavior): Fault {
  return {
    name: `worker ${m}`,
    durationMs: [500, 4000],
    begin: (d) => {
      const able = (p: site.Place): boolean => m !== "late" || p.worker instanceof workers.Engine;
      const place = d.draw.one(d.site.places.filter(able));
      const { worker } = place;
      worker.behavior = m;
      return {
        on: [worker.instance],
        end: () => {
          worker.behavior = "well";
        },
      };
    },
  };
}

/** A fault in which a worker sends bytes that prove nothing about a request. */
function strayFault(kind: Exclude<strays.Stray, "none">): Fault {
  return {
    name: `worker stray ${kind}`,
    durationMs: [500, 3000],
    begin: (d) => {
      const { worker } = d.draw.one(d.site.places);
      worker.stray.kind = kind;
      return {
        on: [worker.instance],
        end: () => {
          worker.stray.kind = "none";
        },
      };
    },
  };
}

/** The faults in which workers send such bytes. */
export const STRAY_FAULTS: readonly Fault[] = (["repeated", "unnamed", "unmarked"] as const).map(
  strayFault,
);

/** A fault of the links to a worker and to the endpoint daemon beside it. */
function linkFault(name: string, begin: (d: Deps, p: site.Place) => void): Fault {
  return {
    name: `link ${name}`,
    durationMs: [300, 3000],
    begin: (d) => {
      const place = d.draw.one(d.site.places);
      begin(d, place);
      return {
        on: [place.worker.instance, place.name],
        end: () => {
          for (const p of [place.proxy, place.seats]) p?.setFault({ kind: "none" });
        },
      };
    },
  };
}

function storeFault(name: string, begin: (d: Deps) => void): Fault {
  return {
    name: `store ${name}`,
    durationMs: [500, 5000],
    begin: (d) => {
      begin(d);
      return {
        on: ["store"],
        end: () => {
          const { faults } = d.site.store;
          Object.assign(faults, { mode: "well", delayMs: 0, loseWrites: 0 });
        },
      };
    },
  };
}

const entries = (s: site.Site): readonly daemons.Daemon[] => s.entries;
const endpoints = (s: site.Site): readonly daemons.Daemon[] => s.endpoints;

/** The end of an entry daemon, after which callers resume its streams elsewhere. */
export const ENTRY_KILL = killFault("entry daemon", entries);

/** Names of the adapters that callers request. */
export const ADAPTERS = Array.from({ length: 14 }, (_, i) => `a${i + 1}`);

/** Draws an adapter; a few of them get most of the requests. */
export function drawAdapter(draw: Draw): string {
  const n = Math.floor(draw.part() ** 3 * ADAPTERS.length);
  return ADAPTERS[n] ?? "a1";
}

/** Paths of the routes that the operator adds and removes. */
export const PATHS = ["/p1/", "/p2/", "/p3/"];

const workerLeaves: Fault = {
  name: "worker leaves",
  durationMs: [3500, 5000],
  begin: (d) => {
    const place = d.draw.one(d.site.places);
    const { instance } = place.worker;
    d.site.leave(place);
    d.history.changes.push({ kind: "leaving", instance, at: performance.now() });
    return {
      on: [],
      end: async () => {
        const now = performance.now();
        // Entry daemons that could not learn that it leaves may have sent requests to it until now.
        d.history.disturbances.push({ kind: "worker ends", on: instance, from: now, to: now });
        await d.site.restart(place, instance);
      },
    };
  },
};

/** Ranges of the milliseconds between two attempts of a request that crashes its workers, and of all of its attempts. */
const REPEAT_INTERVAL_MS: readonly [number, number] = [20, 400];
const REPEAT_FOR_MS: readonly [number, number] = [3000, 9000];
const FATAL_KINDS = ["stream", "call", "call_once"] as const;
const FATAL_PATHS = { stream: "/s/", call: "/c/", call_once: "/n/" } as const;

/** The plan of a request that crashes its workers, without what makes it do so. */
function fatalPlan(
  d: Deps,
  kind: (typeof FATAL_KINDS)[number],
): Omit<caller.RequestPlan, "parts" | "fatal"> {
  const adapter = kind === "stream" ? d.draw.one(ADAPTERS) : "";
  return { kind, path: FATAL_PATHS[kind], adapter, waitMs: 2500, leaveMs: undefined };
}

/** Sends one request that crashes its workers repeatedly for a while, to any entry host. */
export async function repeatFatalRequest(d: Deps): Promise<void> {
  const kind = d.draw.one(FATAL_KINDS);
  const fatal = { ...fatalPlan(d, kind), parts: [] };
  const wish = { ...fatal, fatal: `fatal-${Math.floor(d.draw.part() * 1e9)}` };
  await sendRepeatedly(d, () => wish);
}

/** Sends requests for a while, each on a connection of its own to any entry host. */
async function sendRepeatedly(d: Deps, nextRequest: () => caller.RequestPlan): Promise<void> {
  const until = performance.now() + d.draw.between(...REPEAT_FOR_MS);
  const attempts: Promise<void>[] = [];
  while (performance.now() < until) {
    attempts.push(caller.sendOne({ ...d.world, nextRequest }));
    await timers.setTimeout(d.draw.between(...REPEAT_INTERVAL_MS));
  }
  await Promise.all(attempts);
}

/** The prompts of a run: all hold the first of these parts, and each one of the others. */
const SHARED_PART = "a";
const OTHER_PARTS = ["b1", "b2", "b3", "b4"] as const;

/** Draws the parts of a prompt that other prompts share. */
export function drawParts(draw: Draw): readonly string[] {
  return [SHARED_PART, draw.one(OTHER_PARTS)];
}

/** Sends requests that have one part in common, which crashes their workers, for a while, to any entry host. */
export async function sendFatalPart(d: Deps): Promise<void> {
  const kind = d.draw.one(FATAL_KINDS);
  const part = `f${Math.floor(d.draw.part() * 1e9).toString(16)}`;
  d.site.fatalParts.add(part);
  await sendRepeatedly(d, () => {
    const [shared = "", ...others] = drawParts(d.draw);
    return { ...fatalPlan(d, kind), parts: [shared, part, ...others] };
  });
}

/** Number of faults that end entry daemons while a service sheds load, and range of the milliseconds between them. */
const RESTARTS = 6;
const RESTART_INTERVAL_MS: readonly [number, number] = [200, 1500];
const RESTART_FAULTS = [ENTRY_KILL, stopFault("entry daemon", entries)];

/** Lets all workers of one service shed load while entry daemons are killed or asked to stop, one after the other. */
export async function shedDuringRestarts(
  d: Deps,
  strike: (f: Fault) => Promise<void> | undefined,
): Promise<void> {
  const { service } = d.draw.one(d.site.places).worker;
  const struck = d.site.places.map((p) => p.worker).filter((w) => w.service === service);
  for (const w of struck) w.behavior = "shedding";
  const going: Promise<void>[] = [];
  for (let n = 0; n < RESTARTS; n++) {
    await timers.setTimeout(d.draw.between(...RESTART_INTERVAL_MS));
    going.push(strike(d.draw.one(RESTART_FAULTS)) ?? Promise.resolve());
  }
  await Promise.all(going);
  for (const w of struck) if (w.behavior === "shedding") w.behavior = "well";
}

/** Range of the limits that a worker announces, in requests a second, and of the milliseconds for which it does. */
const LIMIT_PER_S: readonly [number, number] = [0.5, 6];
const LIMIT_FOR_MS: readonly [number, number] = [4000, 9000];

/** Lets a worker announce a limit for a while, at most until `until`. */
export async function announceLimit(d: Deps, until: number): Promise<void> {
  const { worker } = d.draw.one(d.site.places);
  worker.limitPerS = Math.round(d.draw.between(...LIMIT_PER_S) * 10) / 10;
  const ms = d.draw.between(...LIMIT_FOR_MS);
  await timers.setTimeout(Math.max(0, Math.min(ms, until - performance.now())));
  worker.limitPerS = undefined;
}

const storeIsBusy = storeFault("is busy", (d) => {
  d.site.store.faults.mode = "busy";
});
/** Range of the milliseconds from the start of the store's outage until a worker leaves. */
const LEAVE_DELAY_MS: readonly [number, number] = [100, 1200];

/** Lets a worker leave while the store is unavailable, so that only the worker's answers announce it. */
export async function leaveDuringStoreOutage(
  d: Deps,
  strike: (f: Fault) => Promise<void> | undefined,
): Promise<void> {
  const out = strike(storeIsBusy);
  await timers.setTimeout(d.draw.between(...LEAVE_DELAY_MS));
  await Promise.all([out, strike(workerLeaves)]);
}

/** Share of the occasions on which all workers of a service ask for a pause, instead of some. */
const ALL_WORKERS_SHARE = 0.3;
/** Ranges of the pause in seconds, of the share of requests that a worker sheds, and of the milliseconds for which it does. */
const PAUSE_S: readonly [number, number] = [0.3, 3];
const SHED_SHARE: readonly [number, number] = [0.3, 1];
const PAUSES_FOR_MS: readonly [number, number] = [2000, 6000];

/** Lets some workers of a service shed requests and ask for pauses for a while, at most until `until`. */
export async function requestPauses(d: Deps, until: number): Promise<void> {
  const all = d.draw.part() < ALL_WORKERS_SHARE;
  const { service } = d.draw.one(d.site.places).worker;
  const struck = d.site.places
    .map((p) => p.worker)
    .filter((w) => w.service === service && w.behavior === "well" && (all || d.draw.part() < 0.5));
  for (const w of struck) {
    w.behavior = "shedding";
    w.shedPart = d.draw.between(...SHED_SHARE);
    w.pauseS = Math.round(d.draw.between(...PAUSE_S) * 10) / 10;
  }
  const ms = d.draw.between(...PAUSES_FOR_MS);
  await timers.setTimeout(Math.max(0, Math.min(ms, until - performance.now())));
  for (const w of struck) {
    if (w.behavior === "shedding") w.behavior = "well";
    w.pauseS = undefined;
  }
}

/** Kinds of fault that a run chooses from. */
export const FAULTS: readonly Fault[] = [
  // Planned work, which is listed several times to be more frequent than any one fault.
  workerLeaves,
  workerLeaves,
  workerLeaves,
  ENTRY_KILL,
  killFault("endpoint daemon", endpoints),
  freezeFault("entry daemon", entries),
  freezeFault("endpoint daemon", endpoints),
  stopFault("entry daemon", entries),
  stopFault("endpoint daemon", endpoints),
  {
    name: "settings changed",
    durationMs: [10, 50],
    begin: (d) => {
      const daemon = drawRunning(d, [...d.site.entries, ...d.site.endpoints]);
      daemon?.reload();
      return daemon && { on: [daemon.plan.name], end: doNothing };
    },
  },
  ...(["failing", "hanging", "slow", "breaking", "doubling", "losing", "late"] as const).map(
    workerFault,
  ),
  {
    name: "worker crashes",
    durationMs: [200, 2000],
    begin: (d) => {
      const place = d.draw.one(d.site.places);
      const { instance } = place.worker;
      d.site.end(place);
      return {
        on: [instance],
        end: () => d.site.restart(place, instance),
      };
    },
  },
  linkFault("delays", (d, p) => {
    const ms = d.draw.between(20, 250);
    for (const x of [p.proxy, p.seats]) x?.setFault({ kind: "delay", ms });
  }),
  linkFault("is silent", (_d, p) => {
    for (const x of [p.proxy, p.seats]) x?.setFault({ kind: "silence" });
  }),
  linkFault("is cut one way", (d, p) => {
    const hold = d.draw.one(["requests", "answers"] as const);
    for (const x of [p.proxy, p.seats]) x?.setFault({ kind: "one_way", hold });
  }),
  linkFault("is reset", (d, p) => {
    for (const x of [p.proxy, p.seats]) x?.reset(0.6, d.draw.part);
  }),
  storeIsBusy,
  storeFault("is silent", (d) => {
    d.site.store.faults.mode = "silent";
  }),
  storeFault("is slow", (d) => {
    d.site.store.faults.delayMs = d.draw.between(50, 400);
  }),
  storeFault("loses answers", (d) => {
    d.site.store.faults.loseWrites = 0.5;
  }),
  storeFault("forgets its history", (d) => {
    d.site.store.compact();
  }),
  {
    name: "store out of reach of one",
    durationMs: [500, 5000],
    begin: (d) => {
      const [name, proxy] = d.draw.one([...d.site.storeLinks]);
      proxy.setFault({ kind: "silence" });
      return {
        on: [history.storeLink(name)],
        end: () => {
          proxy.setFault({ kind: "none" });
        },
      };
    },
  },
  {
    name: "entries lapse",
    durationMs: [500, 2500],
    begin: (d) => {
      d.site.store.faults.mode = "busy";
      const lost = d.site.places.filter(() => d.draw.part() < 0.5);
      for (const p of lost) d.site.store.remove(`servers/${p.worker.name}`);
      return {
        on: ["store"],
        end: () => {
          d.site.store.faults.mode = "well";
          for (const p of lost) d.site.register(p);
        },
      };
    },
  },
];

/** Declares a new version of an adapter as an operator does, and records it. */
export function declare(d: Deps, adapter: string): void {
  const version = d.site.declare(adapter);
  d.history.declared.push({ adapter, version, at: performance.now() });
}

/** Makes a change as an operator does. It is not recorded as a disturbance, so it excuses nothing. */
export function applyOperatorChange(d: Deps): void {
  if (d.draw.part() < 0.5) {
    declare(d, d.draw.one(ADAPTERS));
    return;
  }
  const path = d.draw.one(PATHS);
  const kind = d.site.toggle(path) ? "route_added" : "route_removed";
  d.history.changes.push({ kind, path, at: performance.now() });
}
