/**
 * `npm run soak -- --seed N --minutes M`: real daemons under random troubles, with every promise of
 * the pages checked from what callers and workers saw. Exit 1 when one was broken.
 * @module
 */
import * as fs from "node:fs";
import * as path from "node:path";
import * as meow from "meow";
import * as uniform from "pure-rand/distribution/uniformFloat64";
import * as generators from "pure-rand/generator/xoroshiro128plus";
import * as command from "../../src/cli/command.js";
import * as history from "./history.js";
import * as regressions from "./regressions.js";
import * as run from "./run.js";

const cli = meow.default(
  `
  Usage
    npm run soak -- [--seed 1] [--seeds 1] [--minutes 0.4]

  Options
    --seed     first seed; the same one draws the same troubles
    --seeds    how many seeds to run, one after the other
    --minutes  how long each runs
    --entries, --engines, --plain, --callers  the size of the site
    --regressions  run the seeds that ever failed instead
    --main     the daemons' program
    --out      folder for the daemons' logs and the record of each run
`,
  {
    importMeta: import.meta,
    allowUnknownFlags: false,
    flags: {
      seed: { type: "number", default: 1 },
      seeds: { type: "number", default: 1 },
      minutes: { type: "number", default: 0.4 },
      entries: { type: "number", default: 3 },
      engines: { type: "number", default: 4 },
      plain: { type: "number", default: 2 },
      callers: { type: "number", default: 24 },
      regressions: { type: "boolean", default: false },
      main: { type: "string", default: path.join(import.meta.dirname, "../../deploy/launch.cjs") },
      out: { type: "string", default: "out/soak" },
    },
  },
);

const MS_PER_MINUTE = 60_000;

/** Seeds of the draws of one run lie this far apart from those of another. */
const DRAWS = 16;

/** The `n`th row of draws from a seed. */
function drawing(seed: number, n: number): run.Draw {
  const rng = generators.xoroshiro128plus(seed * DRAWS + n);
  const part = (): number => uniform.uniformFloat64(rng);
  return {
    part,
    between: (min, max) => min + part() * (max - min),
    one: (list) => {
      const got = list[Math.floor(part() * list.length)];
      if (got === undefined) throw new RangeError("there is nothing to draw from");
      return got;
    },
  };
}

function tally(title: string, words: readonly string[]): void {
  const counts = new Map<string, number>();
  for (const w of words) counts.set(w, (counts.get(w) ?? 0) + 1);
  const rows = [...counts].sort().map(([w, n]) => [w, String(n)]);
  command.printLine(command.formatTable([[title, "TIMES"], ...rows]));
}

const { seed: first, seeds, minutes: usual } = cli.flags;
const runs = cli.flags.regressions
  ? regressions.REGRESSIONS
  : Array.from({ length: seeds }, (_, i) => ({ seed: first + i, minutes: usual }));
const endings: string[] = [];
const troubles: string[] = [];
let broken = 0;
for (const { seed, minutes } of runs) {
  const folder = path.join(cli.flags.out, `seed-${seed}`);
  fs.rmSync(folder, { recursive: true, force: true });
  fs.mkdirSync(folder, { recursive: true });
  const h = await run.run({
    size: cli.flags,
    callers: cli.flags.callers,
    ms: minutes * MS_PER_MINUTE,
    draw: (n) => drawing(seed, n),
    main: cli.flags.main,
    folder,
  });
  fs.writeFileSync(path.join(folder, "history.json"), JSON.stringify(h));
  const found = history.violations(h);
  broken += found.length;
  endings.push(...h.seen.map((s) => `${s.kind} ${history.ending(s)}`));
  troubles.push(...h.disturbances.map((d) => d.kind));
  command.printLine(
    `seed ${seed}: ${h.seen.length} requests, ${h.disturbances.length} troubles, ` +
      `${found.length} violations`,
  );
  for (const line of found.slice(0, 20)) command.printLine(`  ${line}`);
}
tally("KIND AND ENDING", endings);
tally("TROUBLE", troubles);
command.printLine(`Requests: ${endings.length}. Violations: ${broken}.`);
process.exit(broken === 0 ? 0 : 1);
