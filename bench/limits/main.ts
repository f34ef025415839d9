/**
 * `npm run limits -- --seeds N`: a worker's limit over all hosts, in virtual time, one line for each size, case and limit.
 * @module
 */
import * as meow from "meow";
import * as command from "../../src/cli/command.js";
import * as play from "./play.js";

const cli = meow.default(
  `
  Usage
    npm run limits -- [--seeds 3] [--hosts 4,29,360] [--limits 1.4,20]
`,
  {
    importMeta: import.meta,
    allowUnknownFlags: false,
    flags: {
      seeds: { type: "number", default: 3 },
      hosts: { type: "string", default: "4,29,360" },
      limits: { type: "string", default: "1.4,20" },
    },
  },
);

const rows: string[][] = [["HOSTS", "CASE", "LIMIT", "OVER", "USED", "MSG/HOST/S"]];
for (const hosts of cli.flags.hosts.split(",").map(Number)) {
  for (const of of play.CASES) {
    for (const perS of cli.flags.limits.split(",").map(Number)) {
      const all: play.Outcome[] = [];
      for (let seed = 1; seed <= cli.flags.seeds; seed++) {
        all.push(await play.play({ case: of, hosts, perS, seed }));
      }
      const mean = (read: (o: play.Outcome) => number): number =>
        all.reduce((sum, o) => sum + read(o), 0) / all.length;
      rows.push([
        String(hosts),
        of,
        String(perS),
        Math.max(0, ...all.map((o) => o.excess)).toFixed(1),
        mean((o) => o.used).toFixed(2),
        mean((o) => o.messagesPerHostS).toFixed(1),
      ]);
    }
  }
}
command.printLine(command.formatTable(rows));
