/**
 * `npm run chaos -- --seed N --runs M`: random schedules of failures, singly and in pairs, over real
 * daemons in one process. The same seed gives the same schedule. Exit 1 when a promise was broken.
 * @module
 */
import * as fc from "fast-check";
import * as meow from "meow";
import * as command from "../../src/cli/command.js";
import * as site from "../site.js";
import * as commands from "./commands.js";
import * as history from "./history.js";

const cli = meow.default("\n  Usage\n    npm run chaos -- [--seed 1] [--runs 5] [--steps 30]\n", {
  importMeta: import.meta,
  allowUnknownFlags: false,
  flags: {
    seed: { type: "number", default: 1 },
    runs: { type: "number", default: 5 },
    steps: { type: "number", default: 150 },
  },
});

const MODELS = [
  "captions@1",
  "captions@2",
  "notes",
  "rulings@2",
  "holds@1",
  "bulletins",
  "service",
];

const ask = fc
  .record({
    model: fc.constantFrom(...MODELS),
    times: fc.integer({ min: 1, max: 8 }),
    tokens: fc.integer({ min: 2, max: 30 }),
    stream: fc.boolean(),
    key: fc.option(fc.integer({ min: 0, max: 400 }), { nil: undefined }),
  })
  .map((a) => {
    const key = a.key === undefined ? undefined : `k${a.key}`;
    return new commands.Ask(a.model, a.times, a.tokens, a.stream, key);
  });
const failure = fc.constantFrom(...commands.FAILURES);
const schedule = fc.commands(
  [
    ask,
    ask,
    failure.map((f) => new commands.Begin(f)),
    // Ends come for whatever is on; those of failures that are off are passed over.
    ...commands.FAILURES.map((f) => fc.constant(new commands.End(f))),
    fc.integer({ min: 20, max: 300 }).map((ms) => new commands.Wait(ms)),
    ask,
  ],
  { size: "max", maxCommands: cli.flags.steps },
);

const seen: history.Seen[] = [];
const broken: string[] = [];

async function once(cmds: Iterable<fc.AsyncCommand<commands.Model, commands.Real>>): Promise<void> {
  const s = await site.Site.start({
    engines: 3,
    entries: 2,
    service: true,
    slots: 2,
    stepMs: 3,
    settings: { claimWindowMs: "60000" },
  });
  const real: commands.Real = { site: s, seen: [], pending: [], underWay: new Set(), count: 0 };
  const model: commands.Model = { on: new Set() };
  try {
    await fc.asyncModelRun(() => ({ model, real }), cmds);
    for (const f of commands.FAILURES) if (model.on.has(f.name)) await f.end(s);
    await Promise.all(real.pending);
  } finally {
    await s.stop();
  }
  const prompts = new Map<string, string>();
  for (const r of real.seen) if (r.id !== "") prompts.set(r.id, r.prompt);
  const did: history.Did[] = s.journal().flatMap((e): history.Did[] => {
    if (e.kind === "run") return [{ kind: "run", id: e.id, name: e.name, prompt: e.prompt }];
    if (e.kind === "evicted-in-use") return [{ kind: "evicted-in-use", name: e.name }];
    return [];
  });
  for (const r of s.services?.service.executedCalls ?? [])
    did.push({ kind: "service", body: r.body });
  seen.push(...real.seen);
  const found = history.violations(real.seen, did);
  if (found.length === 0) return;
  broken.push(...found);
  process.stdout.write(`Schedule: ${[...cmds].map(String).join("; ")}\n${found.join("\n")}\n`);
}

await fc.assert(fc.asyncProperty(schedule, once), {
  seed: cli.flags.seed,
  numRuns: cli.flags.runs,
  endOnFailure: true,
});

/** Part of the requests answered, repeats with the same key left out. */
function availability(t: history.Tally): string {
  const asked = t.requests - t.duplicate;
  return asked === 0 ? "-" : `${((100 * t.answers) / asked).toFixed(1)} %`;
}

const rows = history
  .tally(seen)
  .map((t) => [
    t.during,
    ...[t.requests, t.answers, t.duplicate, t.not_run, t.failed, t.unknown, t.broken].map(String),
    availability(t),
    history.codes(seen, t.during),
  ]);
const head = [
  "DURING",
  "REQUESTS",
  "ANSWERS",
  "DUPLICATES",
  "NOT RUN",
  "FAILED",
  "UNKNOWN",
  "BROKEN",
  "AVAILABILITY",
  "CODES",
];
command.printLine(command.formatTable([head, ...rows]));
command.printLine(`Requests: ${seen.length}. Violations: ${broken.length}.`);
process.exit(broken.length === 0 ? 0 : 1);
