/**
 * `npm run versions`: ways to decide when an older version of an adapter may be used, on the same requests, declarations and
 * disturbances in virtual time.
 * @module
 */
import * as meow from "meow";
import * as command from "../../src/cli/command.js";
import * as cases from "./cases.js";
import type * as fleet from "./fleet.js";

const cli = meow.default(
  `
  Usage
    npm run versions -- [--seeds 20] [--sites "small;large"] [--cases "burst;half killed"]
`,
  {
    importMeta: import.meta,
    allowUnknownFlags: false,
    flags: {
      seeds: { type: "number", default: 20 },
      sites: { type: "string", default: "small;large" },
      cases: { type: "string", default: "" },
    },
  },
);

const names = cli.flags.sites.split(";");
const chosen = Object.entries(cases.CASES).filter(([name]) => {
  return cli.flags.cases === "" || cli.flags.cases.split(";").includes(name);
});
const share = (part: number, of: number): string => (part / of).toFixed(4);
for (const site of cases.SITES.filter((s) => names.includes(s.name))) {
  const titles = ["late", "late, cut", "served", "in 1 s", "wait ms", "refused", "off", "lost"];
  const rows = [[site.name, "way", "requests", ...titles, "loads"]];
  for (const [title, of] of chosen) {
    for (const [name, way] of Object.entries(cases.WAYS)) {
      const sum: Partial<Record<keyof fleet.Outcome, number>> = {};
      for (let seed = 1; seed <= cli.flags.seeds; seed++) {
        const out = await cases.play(site, of, way, seed);
        for (const key of Object.keys(out) as (keyof fleet.Outcome)[])
          sum[key] = (sum[key] ?? 0) + out[key];
      }
      const { requests = 0, served = 0 } = sum;
      const shares = [share(served, requests), share(sum.servedIn1S ?? 0, requests)];
      const counts = [sum.refused, sum.brokenOff, sum.lost, sum.loads].map(String);
      rows.push([
        ...[title, name, String(requests), String(sum.late), String(sum.lateCut), ...shares],
        ...[((sum.waitMs ?? 0) / served).toFixed(0), ...counts],
      ]);
    }
  }
  command.printLine(`${command.formatTable(rows)}\n`);
}
