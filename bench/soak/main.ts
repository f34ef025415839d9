/**
 * `npm run soak -- --seed N --minutes M`: runs real daemons under random faults and checks every documented promise
 * against what callers and workers observed. Exits with status 1 if a promise was broken.
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
    --seed     first seed; the same seed draws the same faults
    --seeds    number of seeds to run, one after the other
    --minutes  length of each run
    --entries, --engines, --plain, --callers  number of each in the site
    --regressions  run the seeds that have ever failed instead
    --main     the program that starts a daemon
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

/** Distance of the first random sequences of two seeds; the later sequences of a seed are the first ones of the next. */
const SEQUENCES_PER_SEED = 16;

/** The `n`th random sequence of a seed. */
function createDraw(seed: number, n: number): run.Draw {
  const rng = generators.xoroshiro128plus(seed * SEQUENCES_PER_SEED + n);
  const part = (): number => uniform.uniformFloat64(rng);
  return {
    part,
    between: (min, max) => min + part() * (max - min),
    one: (list) => {
      const element = list[Math.floor(part() * list.length)];
      if (element === undefined) throw new RangeError("cannot draw from an empty list");
      return element;
    },
  };
}

/** Prints a table of how often each word occurs. */
function tally(title: string, words: readonly string[]): void {
  const counts = new Map<string, number>();
  for (const w of words) counts.set(w, (counts.get(w) ?? 0) + 1);
  const rows = [...counts].sort().map(([w, n]) => [w, String(n)]);
  command.printLine(command.formatTable([[title, "TIMES"], ...rows]));
}

const { seed: firstSeed, seeds, minutes: defaultMinutes } = cli.flags;
const runs = cli.flags.regressions
  ? regressions.REGRESSIONS
  : Array.from({ length: seeds }, (_, i) => ({ seed: firstSeed + i, minutes: defaultMinutes }));
const endings: string[] = [];
const faultKinds: string[] = [];
let violationCount = 0;
for (const { seed, minutes } of runs) {
  const folder = path.join(cli.flags.out, `seed-${seed}`);
  fs.rmSync(folder, { recursive: true, force: true });
  fs.mkdirSync(folder, { recursive: true });
  const h = await run.run({
    size: cli.flags,
    callers: cli.flags.callers,
    ms: minutes * MS_PER_MINUTE,
    draw: (n) => createDraw(seed, n),
    main: cli.flags.main,
    folder,
  });
  fs.writeFileSync(path.join(folder, "history.json"), JSON.stringify(h));
  const found = history.violations(h);
  violationCount += found.length;
  endings.push(
    ...h.seen.map((s) => `${s.resumed ? "resumed " : ""}${s.kind} ${history.ending(s)}`),
  );
  faultKinds.push(...h.disturbances.map((d) => d.kind));
  command.printLine(
    `seed ${seed}: ${h.seen.length} requests, ${h.disturbances.length} disturbances, ` +
      `${found.length} violations`,
  );
  for (const line of found.slice(0, 20)) command.printLine(`  ${line}`);
}
tally("KIND AND ENDING", endings);
tally("DISTURBANCE", faultKinds);
command.printLine(`Requests: ${endings.length}. Violations: ${violationCount}.`);
process.exit(violationCount === 0 ? 0 : 1);
