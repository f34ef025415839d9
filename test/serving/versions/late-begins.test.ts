import * as chai from "chai";
import * as cases from "../../../bench/versions/cases.js";

const { expect } = chai;

const SEEDS = [1, 2];
const [SMALL] = cases.SITES;
const { before, sender } = cases.WAYS;

/** Requests that begin late, over all seeds. */
async function lateBegins(of: cases.Case, way: typeof sender): Promise<number> {
  let late = 0;
  for (const seed of SEEDS) if (SMALL && way) late += (await cases.play(SMALL, of, way, seed)).late;
  return late;
}

describe("requests on an outdated adapter version, in virtual time", () => {
  for (const [title, of] of Object.entries(cases.CASES))
    it(`do not begin late: ${title}`, async () => {
      expect(await lateBegins(of, sender)).equal(0);
    });

  it("are found by the model where endpoint daemons decide by the time at which they hear", async () => {
    const [away, frozen] = [cases.CASES["all killed, away"], cases.CASES["all frozen 6 to 9 s"]];
    for (const of of [away, frozen]) expect(of && (await lateBegins(of, before))).greaterThan(0);
  });
});
