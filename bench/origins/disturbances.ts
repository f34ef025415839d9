/**
 * The sites and the disturbances under which ways to keep the origins of streams are weighed. Times are in virtual ms.
 * @module
 */

/** A site. Its daemons are numbered, the entry daemons first. */
export interface Site {
  readonly name: string;
  readonly entries: number;
  readonly endpoints: number;
  readonly domains: number;
  /** Streams that begin each second, and their kinds: the part of each, and the mean of its exponential lengths. */
  readonly perS: number;
  readonly kinds: readonly { readonly part: number; readonly meanMs: number }[];
  /** Writing calls a second that the store takes from all daemons. */
  readonly writesPerS: number;
  /** Daemons that are restarted or replaced at a time. */
  readonly batch: number;
}

const SMALL: Site = {
  name: "small",
  entries: 4,
  endpoints: 18,
  domains: 4,
  perS: 55,
  kinds: [
    { part: 2 / 3, meanMs: 300 },
    { part: 1 / 3, meanMs: 2500 },
  ],
  writesPerS: 400,
  batch: 1,
};
const LARGE: Site = {
  name: "large",
  entries: 360,
  endpoints: 600,
  domains: 8,
  perS: 2100,
  kinds: [{ part: 1, meanMs: 10_000 }],
  writesPerS: 3200 * (960 / 146),
  batch: 20,
};
/** About the site of `test/platform/resumed-streams.test.ts`. */
export const FIXTURE: Site = {
  ...SMALL,
  name: "fixture",
  entries: 3,
  endpoints: 8,
  perS: 18,
  kinds: [{ part: 1, meanMs: 2080 }],
};
export const SITES: readonly Site[] = [
  SMALL,
  LARGE,
  { ...LARGE, name: "large, short streams", kinds: SMALL.kinds },
];

/** What happens to a daemon; an endpoint daemon joins with a new worker and leaves with its worker. */
export interface Step {
  readonly at: number;
  readonly kind: "kill" | "start" | "stop" | "pause" | "thaw" | "join" | "leave";
  readonly daemon: number;
}

export interface Script {
  readonly steps: readonly Step[];
  /** Callers resume no stream before. */
  readonly resumedFrom: number;
  /** While the store is away. */
  readonly away?: { readonly from: number; readonly until: number };
  /** When a group of adapters is written to begin its streams at the new version; Infinity if it never is. */
  readonly rowChangesAt: (row: number) => number;
}

type Disturbance = (s: Site, random: () => number) => Script;

/** When the first daemon is disturbed. */
export const START_MS = 17_000;
/** Groups of adapters. */
export const ROWS = 256;

function range(from: number, to: number): readonly number[] {
  return Array.from({ length: to - from }, (_, i) => from + i);
}
const daemonsOf = (s: Site): readonly number[] => range(0, s.entries + s.endpoints);
const endpointsOf = (s: Site): readonly number[] => range(s.entries, s.entries + s.endpoints);

/** Streams are resumed after the last step, if nothing else is given. */
function script(steps: readonly Step[], more: Partial<Script> = {}): Script {
  const resumedFrom = Math.max(...steps.map((s) => s.at));
  return { steps, resumedFrom, rowChangesAt: () => Infinity, ...more };
}

function kill(list: readonly number[], at: number, downMs: () => number): readonly Step[] {
  return list.flatMap((daemon): readonly Step[] => [
    { at, kind: "kill", daemon },
    { at: at + downMs(), kind: "start", daemon },
  ]);
}
/** The entry daemon whose streams are cut. */
const killEntry = (at = START_MS): readonly Step[] => kill([0], at, () => 400);

/** Restarts daemons in turn: by a kill, or by SIGTERM and a kill when the next one's turn comes. */
function restart(
  list: readonly number[],
  how: "kill" | "stop",
  batch: number,
  intervalMs: number,
): readonly Step[] {
  return list.flatMap((daemon, i): readonly Step[] => {
    const at = START_MS + Math.floor(i / batch) * intervalMs;
    const next = at + intervalMs;
    const start: Step = { at: next, kind: "start", daemon };
    const first: Step = { at, kind: how, daemon };
    return how === "kill" ? [first, start] : [first, { at: next, kind: "kill", daemon }, start];
  });
}

/** A part of a list in random order. */
function choose<T>(list: readonly T[], part: number, random: () => number): readonly T[] {
  const keyed = list.map((item) => ({ item, key: random() })).sort((a, b) => a.key - b.key);
  return keyed.slice(0, Math.floor(list.length * part)).map(({ item }) => item);
}

const killAll: Disturbance = (s, random) =>
  script(
    kill(daemonsOf(s), START_MS, () => 400 + 700 * random()),
    { resumedFrom: START_MS },
  );

const killEntryAndEndpoints: Disturbance = (s) =>
  script([...killEntry(), ...restart(endpointsOf(s), "kill", s.batch, 500)]);

const killInTurn: Disturbance = (s) => script(restart(daemonsOf(s), "kill", s.batch, 300));

/** Kills all endpoint daemons, and an entry daemon `afterMs` after they are back. */
function killEndpoints(s: Site, afterMs: number): Script {
  const steps = kill(endpointsOf(s), START_MS, () => 300);
  return script([...steps, ...killEntry(START_MS + 300 + afterMs)]);
}

const pauseHalf: Disturbance = (s, random) => {
  const paused = choose(daemonsOf(s).slice(1), 1 / 2, random).flatMap((daemon): Step[] => [
    { at: START_MS, kind: "pause", daemon },
    { at: START_MS + 2500, kind: "thaw", daemon },
  ]);
  return script([...paused, ...killEntry(START_MS + 200)]);
};

/** A quarter of the workers is replaced by workers of a new version. */
const replaceQuarter: Disturbance = (s, random) => {
  const old = choose(endpointsOf(s), 1 / 4, random);
  const atOf = (i: number): number => START_MS + 200 * (1 + Math.floor(i / s.batch));
  const steps = old.flatMap((daemon, i): Step[] => [
    { at: atOf(i), kind: "leave", daemon },
    { at: atOf(i) + 300, kind: "kill", daemon },
    { at: atOf(i) + 300, kind: "join", daemon: s.entries + s.endpoints + i },
  ]);
  return script([...killEntry(), ...steps], {
    rowChangesAt: (row) => (row < ROWS / 4 ? atOf((row / (ROWS / 4)) * old.length) : Infinity),
  });
};

/** Each second one worker takes the new version beside its endpoint daemon; an entry daemon is killed after a part of them. */
function rollOut(s: Site, part: number): Script {
  return script(killEntry(START_MS + part * s.endpoints * 1000), {
    rowChangesAt: (row) => START_MS + Math.ceil(((row + 1) / ROWS) * s.endpoints) * 1000,
  });
}

/** The same with the store away from 1 s before to 10 s after. */
function withoutStore(of: Disturbance): Disturbance {
  return (s, random) => {
    const made = of(s, random);
    const until = Math.max(...made.steps.map((t) => t.at)) + 10_000;
    return { ...made, away: { from: START_MS - 1000, until } };
  };
}

export const DISTURBANCES: Readonly<Record<string, Disturbance>> = {
  "a host killed": () => script(killEntry()),
  "all daemons killed, resumed at once": killAll,
  "all daemons killed, resumed 4 s later": (s, random) => {
    return { ...killAll(s, random), resumedFrom: START_MS + 4000 };
  },
  "a host killed, then each endpoint daemon": killEntryAndEndpoints,
  "rolling restart, SIGTERM": (s) => script(restart(daemonsOf(s), "stop", s.batch, 300)),
  "the same, endpoint daemons first": (s) =>
    script(restart([...endpointsOf(s), ...range(0, s.entries)], "stop", s.batch, 300)),
  "rolling restart, SIGKILL": killInTurn,
  "all endpoint daemons killed, a host .1 s after their start": (s) => killEndpoints(s, 100),
  "all endpoint daemons killed, a host .7 s after their start": (s) => killEndpoints(s, 700),
  "half of all paused, a host killed, resumed meanwhile": (s, random) => {
    return { ...pauseHalf(s, random), resumedFrom: START_MS };
  },
  "half of all paused, a host killed, resumed after it": pauseHalf,
  "a host killed, a quarter of the workers replaced": replaceQuarter,
  "the same, resumed 4 s later": (s, random) => {
    return { ...replaceQuarter(s, random), resumedFrom: START_MS + 6000 };
  },
  "a host killed in the middle of a rollout": (s) => rollOut(s, 1 / 2),
  "a host killed at the end of a rollout": (s) => rollOut(s, 1),
  "store away: a host killed": withoutStore(() => script(killEntry())),
  "store away: a host killed, then each endpoint daemon": withoutStore(killEntryAndEndpoints),
  "store away: rolling restart, SIGKILL": withoutStore(killInTurn),
};
