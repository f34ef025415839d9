/**
 * One run of the soak: a site, callers, troubles in series and overlapping, and a calm end.
 * @module
 */
import * as timers from "node:timers/promises";
import * as caller from "./caller.js";
import * as faults from "./faults.js";
import * as history from "./history.js";
import * as site from "./site.js";
import * as teams from "./teams.js";

export type Draw = faults.Draw;

export interface Plan {
  readonly size: site.Size;
  readonly callers: number;
  readonly ms: number;
  /** Draws of their own for callers, troubles and the operator. */
  readonly draw: (n: number) => Draw;
  /** The daemons' program. */
  readonly main: string;
  /** Where settings and logs go. */
  readonly folder: string;
}

/** Milliseconds from one trouble to the next. */
const PAUSE_MS: readonly [number, number] = [100, 1600];
/** Part of the kinds of trouble that one run has. */
const KINDS = 0.35;
/** Troubles at the same time, at most. */
const TOGETHER = 4;
/** Milliseconds from one change by the operator to the next. */
const OPERATE_MS: readonly [number, number] = [700, 3000];
/** Milliseconds at the end without trouble, and the part of them in which all must be well again. */
const CALM_MS = 9000;
const WELL_MS = 4000;
/** Part of the requests that must be served once all is well again. */
const SERVED = 0.9;
/**
 * Part of the runs in which requests end their workers, the pause before each, and the row of draws for them: one of its own,
 * so that the troubles of a seed stay as they were.
 */
const FATAL = 0.5;
const FATAL_PAUSE_MS: readonly [number, number] = [500, 4000];
const FATAL_DRAWS = 3;
/** Part of the runs in which services shed load, the pause between, and the row of draws for it. */
const SHED = 0.4;
const SHED_PAUSE_MS: readonly [number, number] = [500, 4000];
const SHED_DRAWS = 6;
/** Part of the runs in which workers name limits, how many at once, the pause between, and the row of draws for them. */
const LIMIT = 0.6;
const LIMITED = 2;
const LIMIT_PAUSE_MS: readonly [number, number] = [200, 2500];
const LIMIT_DRAWS = 7;
/** Part of the runs in which workers ask for pauses, the pause between, and the row of draws for them. */
const PAUSE = 0.6;
const PAUSE_PAUSE_MS: readonly [number, number] = [300, 3000];
const PAUSE_DRAWS = 8;
/** Part of the runs in which workers leave while the store is out, the pause between, and the row of draws for it. */
const UNHEARD = 0.6;
const UNHEARD_PAUSE_MS: readonly [number, number] = [500, 4000];
const UNHEARD_DRAWS = 9;
/** Rows of draws for the keys that requests carry, and for what the operator does with keys and caps. */
const KEY_DRAWS = 4;
const TEAM_DRAWS = 5;
/** Milliseconds from one change of keys or caps to the next, and part of them that change a cap. */
const ROTATE_MS: readonly [number, number] = [1500, 5000];
const CAP_PART = 0.35;
/** First draws of a row that hardly differ from one seed to the next. */
const ALIKE = 2;
/** Part of the callers that go away early. */
const LEAVING = 0.05;
const LEAVING_SLOW = 0.4;

export async function run(plan: Plan): Promise<history.History> {
  const wrong: string[] = [];
  const given = teams.begin(performance.now());
  const s = new site.Site(plan.size, plan.main, plan.folder, (what) => wrong.push(what), given);
  const h: history.History = {
    seen: [],
    kept: s.kept,
    disturbances: [],
    changes: [],
    teams: given,
    faults: wrong,
  };
  const declared: { adapter: string; version: number; at: number }[] = [];
  s.ended = (instance) => {
    const now = performance.now();
    h.disturbances.push({ kind: "request ends worker", on: instance, from: now, to: now });
  };
  await s.start();
  const over = new AbortController();
  const world = worldOf(s, plan.draw(0), plan.draw(KEY_DRAWS), h, declared);
  const deps = (n: number): faults.Deps => ({ site: s, draw: plan.draw(n), history: h, world });
  const callers = Array.from({ length: plan.callers }, () => caller.run(world, over.signal));
  const until = performance.now() + plan.ms;
  const all = [trouble(deps(1), until), operate(deps(2), until, declared)];
  await Promise.all([
    ...all,
    crash(deps(FATAL_DRAWS), until),
    shed(deps(SHED_DRAWS), until),
    limit(deps(LIMIT_DRAWS), until),
    pause(deps(PAUSE_DRAWS), until),
    leave(deps(UNHEARD_DRAWS), until),
    rotate(s, given, plan.draw(TEAM_DRAWS), until),
  ]);
  await timers.setTimeout(CALM_MS);
  const well = performance.now() - WELL_MS;
  over.abort();
  await Promise.all(callers);
  await s.stop();
  const part = history.served(h, well);
  if (part < SERVED) wrong.push(`recovery: ${Math.round(part * 100)} of 100 served at the end`);
  return h;
}

function worldOf(
  s: site.Site,
  draw: Draw,
  keys: Draw,
  h: history.History,
  declared: readonly { adapter: string; version: number; at: number }[],
): caller.World {
  let count = 0;
  const wish = (): caller.Wish => {
    const kind = draw.one(["stream", "stream", "stream_once", "call", "call_once"] as const);
    const adapter = kind.startsWith("stream") ? popular(draw) : "";
    const extra = kind === "call" && draw.part() < 0.3;
    const path = extra ? draw.one(faults.PATHS) : PATH_OF[kind];
    const leaving = adapter === site.SLOW_ADAPTER ? LEAVING_SLOW : LEAVING;
    const sure = performance.now() - history.VERSION_MS;
    const versions = declared.filter((d) => d.adapter === adapter && d.at < sure);
    return {
      kind,
      adapter,
      path,
      waitMs: Math.round(draw.between(1500, 4000)),
      version: Math.max(0, ...versions.map((d) => d.version)),
      leaveMs: draw.part() < leaving ? draw.between(10, 200) : undefined,
    };
  };
  return {
    wish,
    entry: () => {
      const at = draw.one(s.inRotation());
      return { name: at.plan.name, address: at.callers };
    },
    pauseMs: () => draw.between(20, 200),
    saw: (seen) => h.seen.push(seen),
    nextId: () => `r${count++}`,
    key: () => teams.keyFor(h.teams, keys),
  };
}

const PATH_OF: Readonly<Record<history.Kind, string>> = {
  stream: "/s/",
  stream_once: "/o/",
  call: "/c/",
  call_once: "/n/",
};

/** An adapter; a few are asked for most of the time. */
function popular(draw: Draw): string {
  const n = Math.floor(draw.part() ** 3 * faults.ADAPTERS.length);
  return faults.ADAPTERS[n] ?? "a1";
}

/** Troubles come and go until `until`; resolves once the last is mended. */
async function trouble(d: faults.Deps, until: number): Promise<void> {
  const on = new Map<string, Promise<void>>();
  // Each run has some kinds alone: where all come, each excuses what another would show.
  const drawn = faults.FAULTS.filter(() => d.draw.part() < KINDS);
  const kinds = drawn.length > 0 ? drawn : faults.FAULTS;
  while (performance.now() < until) {
    await timers.setTimeout(d.draw.between(...PAUSE_MS));
    if (on.size >= TOGETHER) continue;
    const fault = d.draw.one(kinds);
    if (on.has(fault.name)) continue;
    const mended = strike(d, fault);
    if (!mended) continue;
    on.set(
      fault.name,
      mended.then(() => {
        on.delete(fault.name);
      }),
    );
  }
  await Promise.all(on.values());
}

/** Begins a trouble; resolves once it is mended. Undefined where there is nothing to strike. */
function strike(d: faults.Deps, fault: faults.Fault): Promise<void> | undefined {
  const struck = fault.begin(d);
  if (!struck) return undefined;
  const from = performance.now();
  const notes = struck.on.map((name) => ({ kind: fault.name, on: name, from, to: Infinity }));
  d.history.disturbances.push(...notes);
  return (async () => {
    await timers.setTimeout(d.draw.between(...fault.lasts));
    await struck.end();
    for (const n of notes) n.to = performance.now();
  })();
}

/** Whether a run is one of a part of all runs. */
function isOneOf(d: faults.Deps, part: number): boolean {
  for (let i = 0; i < ALIKE; i++) d.draw.part();
  return d.draw.part() < part;
}

/** In some runs, services shed load while entry daemons go, again and again until `until`. */
async function shed(d: faults.Deps, until: number): Promise<void> {
  if (!isOneOf(d, SHED)) return;
  while (performance.now() < until) {
    await faults.shedding(d, (fault) => strike(d, fault));
    await timers.setTimeout(d.draw.between(...SHED_PAUSE_MS));
  }
}

/** In some runs, requests that end their workers come one after the other until `until`. */
async function crash(d: faults.Deps, until: number): Promise<void> {
  if (!isOneOf(d, FATAL)) return;
  while (performance.now() < until) {
    await timers.setTimeout(d.draw.between(...FATAL_PAUSE_MS));
    await faults.fatal(d);
  }
}

/** In some runs, workers name limits, one after the other and some at once, until `until`. */
async function limit(d: faults.Deps, until: number): Promise<void> {
  if (!isOneOf(d, LIMIT)) return;
  const one = async (): Promise<void> => {
    while (performance.now() < until) {
      await faults.limiting(d, until);
      await timers.setTimeout(d.draw.between(...LIMIT_PAUSE_MS));
    }
  };
  await Promise.all(Array.from({ length: LIMITED }, one));
}

/** In some runs, workers shed requests and ask for pauses, again and again until `until`. */
async function pause(d: faults.Deps, until: number): Promise<void> {
  if (!isOneOf(d, PAUSE)) return;
  while (performance.now() < until) {
    await faults.pausing(d, until);
    await timers.setTimeout(d.draw.between(...PAUSE_PAUSE_MS));
  }
}

/** In some runs, workers leave while the store is out, again and again until `until`. */
async function leave(d: faults.Deps, until: number): Promise<void> {
  if (!isOneOf(d, UNHEARD)) return;
  while (performance.now() < until) {
    await faults.unheard(d, (fault) => strike(d, fault));
    await timers.setTimeout(d.draw.between(...UNHEARD_PAUSE_MS));
  }
}

/** The operator takes keys away, gives others, and changes a cap, until `until`. */
async function rotate(s: site.Site, given: teams.Teams, draw: Draw, until: number): Promise<void> {
  while (performance.now() < until) {
    await timers.setTimeout(draw.between(...ROTATE_MS));
    const now = performance.now();
    if (draw.part() < CAP_PART) teams.toggleCap(given, now);
    else teams.rotate(given, draw.one, now);
    s.configure();
  }
}

async function operate(
  d: faults.Deps,
  until: number,
  declared: { adapter: string; version: number; at: number }[],
): Promise<void> {
  while (performance.now() < until) {
    await timers.setTimeout(d.draw.between(...OPERATE_MS));
    const before = new Map(d.site.newest);
    faults.operate(d);
    for (const [adapter, version] of d.site.newest) {
      if (before.get(adapter) !== version)
        declared.push({ adapter, version, at: performance.now() });
    }
  }
}
