/**
 * `npm run measure`: runs policies against each other on seeded streams, and writes a table, a JSON
 * record and an SVG plot. See docs/MEASURING.md.
 * @module
 */
import * as fs from "node:fs/promises";
import * as meow from "meow";
import * as policy from "./policy.js";
import * as report from "./report.js";
import * as run from "./run.js";
import * as workload from "./workload.js";

const cli = meow.default(
  `
  Usage
    npm run measure -- [--deployment wattle|levant] [--policies A;B] [--seeds 1,2,3]
                       [--minutes 20] [--trouble none|shift|cold|slow|fail] [--zipf 1.2]
                       [--rate 5] [--out FOLDER]

  Each policy is a name (${policy.POLICIES.map((p) => p.name).join(", ")}), and may be
  followed by settings: sumacfield,batchMs=0,ageMs=500
`,
  {
    importMeta: import.meta,
    allowUnknownFlags: false,
    flags: {
      deployment: { type: "string", default: "wattle;levant" },
      policies: { type: "string", default: policy.POLICIES.map((p) => p.name).join(";") },
      seeds: { type: "string", default: "1,2,3" },
      minutes: { type: "number", default: 20 },
      trouble: { type: "string", default: "none" },
      zipf: { type: "number" },
      rate: { type: "number" },
      out: { type: "string", default: "out" },
    },
  },
);

function deploymentOf(name: string): workload.Deployment {
  const found = [workload.WATTLE, workload.LEVANT].find((d) => d.name === name);
  if (!found) throw new Error(`there is no deployment ${name}`);
  const { zipf = found.zipf, rate = found.requestsPerS } = cli.flags;
  return { ...found, zipf, requestsPerS: rate };
}

const trouble = workload.TROUBLES.find((t) => t === cli.flags.trouble);
if (!trouble) throw new Error(`there is no trouble ${cli.flags.trouble}`);
const rows: report.Row[] = [];
for (const name of cli.flags.deployment.split(";")) {
  const deployment = deploymentOf(name);
  for (const text of cli.flags.policies.split(";")) {
    for (const seed of cli.flags.seeds.split(",").map(Number)) {
      const plan = {
        deployment,
        policy: policy.find(text),
        seed,
        minutes: cli.flags.minutes,
        trouble,
      };
      rows.push(report.summarize(plan, await run.run(plan)));
    }
  }
}
process.stdout.write(`${report.table(rows)}\n`);
await fs.mkdir(cli.flags.out, { recursive: true });
await fs.writeFile(`${cli.flags.out}/measure.json`, JSON.stringify(rows, null, 2));
await fs.writeFile(`${cli.flags.out}/measure.svg`, report.plot(rows));
process.stdout.write(`Written: ${cli.flags.out}/measure.json and measure.svg\n`);
