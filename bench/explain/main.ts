/**
 * Tells from the daemons' logs where a day's worth went: `npm run explain -- FILE...`, on the files
 * into which their standard output was written.
 * @module
 */
import * as fs from "node:fs";
import * as meow from "meow";
import * as lines from "./lines.js";
import * as tables from "./tables.js";

const cli = meow.default(
  `
  Usage
    $ npm run explain -- FILE...

  Reads the daemons' log lines and prints what became of requests, when, and why.
`,
  { importMeta: import.meta, allowUnknownFlags: false },
);

if (cli.input.length === 0) cli.showHelp(2);

const day = lines.read(cli.input.map((file) => fs.readFileSync(file, "utf8")).join("\n"));
const all: readonly (readonly [string, readonly tables.Row[]])[] = [
  ["By route", tables.byRoute(day)],
  ["By team", tables.byTeam(day)],
  ["By time", tables.byTime(day)],
  ["Not answered whole", tables.byReason(day)],
  ["Late", tables.late(day)],
  ["Orders to engines", tables.orders(day)],
  ["Workers that ended", tables.ends(day)],
];
for (const [title, rows] of all) {
  process.stdout.write(`${title}\n`);
  console.table(rows);
}
