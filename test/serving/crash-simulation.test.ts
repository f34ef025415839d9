import * as chai from "chai";
import * as crashSimulation from "./crash-simulation.js";

const { expect } = chai;

/** Number of seeds of each case; SUMACFIELD_SEEDS sets another number by hand. */
const SEEDS = Number(process.env.SUMACFIELD_SEEDS ?? 8);
/** Number of sends later than the users' bound that the users accept. */
const MAX_LATE = 3;

const CASES: readonly (Omit<crashSimulation.Plan, "seed" | "hosts"> & { readonly name: string })[] =
  [
    { name: "a calm fleet", workers: 30, fatalPerS: 3, ordinaryPerS: 60, crashesPerS: 0 },
    {
      name: "workers that end once a second",
      workers: 30,
      fatalPerS: 3,
      ordinaryPerS: 60,
      crashesPerS: 1,
    },
    {
      name: "a failure domain that is lost",
      workers: 30,
      fatalPerS: 3,
      ordinaryPerS: 60,
      crashesPerS: 0,
      domainLostAt: 2500,
    },
    {
      name: "no such request, workers that end",
      workers: 30,
      fatalPerS: 0,
      ordinaryPerS: 60,
      crashesPerS: 1,
    },
  ];

describe("a request that ends its workers, at any of many hosts", () => {
  for (const hosts of [30, 100, 300]) {
    for (const { name, ...plan } of CASES) {
      it(`is stopped, and no other held for it: ${hosts} hosts, ${name}`, () => {
        let [ended, condemned, late] = [0, 0, 0];
        for (let seed = 1; seed <= SEEDS; seed++) {
          const o = crashSimulation.simulate({ ...plan, seed, hosts });
          ended = Math.max(ended, o.ended);
          condemned += o.quarantined;
          late = Math.max(late, o.late);
        }
        expect(condemned).equal(0);
        expect(late).most(MAX_LATE);
        if (SEEDS > 100)
          process.stdout.write(`      ${hosts} hosts, ${name}: ${ended} ended at most\n`);
      }).timeout(600_000);
    }
  }
});
