/**
 * `npm run origins`: ways to keep the origins of streams, on the same streams and disturbances in virtual time, and what
 * they cost.
 * @module
 */
import * as meow from "meow";
import * as command from "../../src/cli/command.js";
import * as batches from "./batches.js";
import * as cost from "./cost.js";
import * as disturbances from "./disturbances.js";
import * as fleet from "./fleet.js";

const cli = meow.default(
  `
  Usage
    npm run origins -- [--seeds 40] [--sites "small;large;large, short streams"]
`,
  {
    importMeta: import.meta,
    allowUnknownFlags: false,
    flags: {
      seeds: { type: "number", default: 40 },
      sites: { type: "string", default: disturbances.SITES.map((s) => s.name).join(";") },
    },
  },
);
const names = cli.flags.sites.split(";");
const sites = disturbances.SITES.filter((s) => names.includes(s.name));
const seeds = Array.from({ length: cli.flags.seeds }, (_, n) => n + 1);
/** Milliseconds from one transaction of an entry daemon to the next. */
const WRITE_MS = [100, 250, 500, 1000, 2000, 4000];

function waysOf(s: disturbances.Site): Readonly<Record<string, fleet.Way>> {
  const writeMs = cost.writeMsOf(s);
  return {
    today: {},
    repair: { repairs: true },
    handover: { handsOver: true },
    log: { writeMs },
    both: { repairs: true, writeMs },
    table: { isTable: true },
  };
}

/** The outcomes on all seeds, for each way. */
function play(
  s: disturbances.Site,
  name: string,
  ways: readonly fleet.Way[],
): readonly (readonly fleet.Outcome[])[] {
  const bySeed = seeds.map((seed) => {
    const made = fleet.scenario(s, name, seed);
    return ways.map((way) => fleet.play(made, way));
  });
  return ways.map((_, n) => bySeed.flatMap((outcomes) => outcomes[n] ?? []));
}

function meanOf(all: readonly fleet.Outcome[], read: (o: fleet.Outcome) => number): number {
  return all.reduce((sum, o) => sum + read(o), 0) / all.length;
}

/** Mean and least. */
function formatShare(
  all: readonly fleet.Outcome[],
  read: (o: fleet.Outcome) => number = (o) => o.known / o.resumed,
): string {
  return `${meanOf(all, read).toFixed(3)} (${Math.min(...all.map(read)).toFixed(3)})`;
}

function print(rows: readonly (readonly string[])[]): void {
  command.printLine(`${command.formatTable(rows)}\n`);
}

for (const s of sites) {
  const ways = waysOf(s);
  const rows = [[s.name, "streams", ...Object.keys(ways), "begin (table)", "wrong", "reads/s"]];
  for (const name of Object.keys(disturbances.DISTURBANCES)) {
    const played = play(s, name, Object.values(ways));
    const shares = played.map((all) => formatShare(all.filter((o) => o.resumed > 0)));
    const all = played.flat();
    rows.push([
      name,
      meanOf(played[0] ?? [], (o) => o.resumed).toFixed(0),
      ...shares,
      formatShare(played.at(-1) ?? [], (o) => o.begun),
      String(all.reduce((sum, o) => sum + o.wrong, 0)),
      String(Math.max(...all.map((o) => o.readsPerS))),
    ]);
  }
  print(rows);
}

const amounts = sites.flatMap((s) =>
  Object.entries(waysOf(s)).map(([name, way]) => ({
    name: `${s.name}: ${name}`,
    of: cost.of(s, way),
  })),
);
print([
  ["each second", ...Object.keys(amounts[0]?.of ?? {})],
  ...amounts.map(({ name, of }) => [
    name,
    ...Object.values<number>({ ...of }).map((n) => n.toFixed(1)),
  ]),
]);

const rows = [["all killed", "write ms", "known", "transactions/s", "keys/s"]];
for (const s of sites) {
  const times = [...new Set([...WRITE_MS, cost.writeMsOf(s)])];
  const ways = times.map((writeMs) => ({ writeMs }));
  const played = play(s, "all daemons killed, resumed at once", ways);
  for (const [n, way] of ways.entries()) {
    const { transactions, keys } = cost.of(s, way);
    const figures = [transactions, keys].map((f) => f.toFixed(0));
    rows.push([s.name, way.writeMs.toFixed(0), formatShare(played[n] ?? []), ...figures]);
  }
}
print(rows);

/** Ways to write batches, and milliseconds to the first event. */
const BATCH_WAYS: readonly batches.Way[] = [
  { pace: "ticks", share: 0.05, from: "event", by: "entry" },
  { pace: "delayed", share: 0.05, from: "event", by: "entry" },
  { pace: "prompt", share: 0.05, from: "event", by: "entry" },
  { pace: "saved", share: 0.05, from: "event", by: "entry" },
  { pace: "saved", share: 0.1, from: "event", by: "entry" },
  { pace: "saved", share: 0.2, from: "event", by: "entry" },
  { pace: "delayed", share: 0.05, from: "send", by: "entry" },
  { pace: "saved", share: 0.05, from: "send", by: "entry" },
  { pace: "saved", share: 0.1, from: "send", by: "entry" },
  { pace: "saved", share: 0.1, from: "send", by: "endpoint" },
];
const FIRST_EVENT_MS = [100, 300];

const byWay = [
  ["batches", "pace", "share", "from", "by", "event ms", "known", "ms", "batches/s", "keys/s"],
];
for (const s of [disturbances.FIXTURE, ...sites])
  for (const way of BATCH_WAYS)
    for (const ms of way.from === "send" ? FIRST_EVENT_MS : FIRST_EVENT_MS.slice(0, 1)) {
      const load = batches.loadOf(s, way, ms);
      const all = seeds.map((seed) => batches.play(load, way, seed));
      const mean = (read: (o: batches.Outcome) => number): number =>
        all.reduce((sum, o) => sum + read(o), 0) / all.length;
      byWay.push([
        s.name,
        way.pace,
        String(way.share),
        way.from,
        way.by,
        String(ms),
        mean((o) => o.known).toFixed(3),
        mean((o) => o.meanMs).toFixed(0),
        mean((o) => o.batches).toFixed(1),
        mean((o) => o.keys).toFixed(1),
      ]);
    }
print(byWay);
