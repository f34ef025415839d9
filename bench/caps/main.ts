/**
 * `npm run caps -- --seeds N`: the ways to keep a usage cap, in virtual time, one line for each size, load and way.
 * @module
 */
import * as meow from "meow";
import * as command from "../../src/cli/command.js";
import type * as fleet from "./fleet.js";
import * as play from "./play.js";

const cli = meow.default(
  `
  Usage
    npm run caps -- [--seeds 20] [--hosts 6,29,68,360]
`,
  {
    importMeta: import.meta,
    allowUnknownFlags: false,
    flags: {
      seeds: { type: "number", default: 20 },
      hosts: { type: "string", default: "6,29,68,360" },
      ways: { type: "string", default: "equal,following,places" },
    },
  },
);

const PERCENT = 100;

function percent(part: number): string {
  return `${(part * PERCENT).toFixed(1)} %`;
}

const head = [
  "HOSTS",
  "LOAD",
  "WAY",
  "MOST",
  "OF CAP",
  "REFUSED",
  "USED",
  "MSG/HOST/S",
  "DELAY MS",
];
const rows: string[][] = [head];
for (const hosts of cli.flags.hosts.split(",").map(Number)) {
  for (const load of play.LOADS) {
    for (const way of cli.flags.ways.split(",") as fleet.Way[]) {
      const all: play.Outcome[] = [];
      for (let seed = 1; seed <= cli.flags.seeds; seed++) {
        all.push(await play.play({ way, load, hosts, seed }));
      }
      const mean = (of: (o: play.Outcome) => number): number =>
        all.reduce((sum, o) => sum + of(o), 0) / all.length;
      rows.push([
        String(hosts),
        load,
        way,
        percent(Math.max(...all.map((o) => o.most))),
        percent(Math.max(...all.map((o) => o.ofCap))),
        percent(mean((o) => o.refused)),
        percent(mean((o) => o.used)),
        mean((o) => o.messagesPerHostS).toFixed(2),
        String(Math.round(Math.max(...all.map((o) => o.delayMs)))),
      ]);
    }
  }
}
command.printLine(command.formatTable(rows));
