import * as chai from "chai";
import * as play from "../../bench/limits/play.js";

const { expect } = chai;

const SEEDS = 3;
const LIMITS = [1, 1.4, 20];
/**
 * Cases in which hosts that have not received the limit yet send to the worker; the rule does not
 * count their requests.
 */
const UNAWARE: ReadonlySet<play.Case> = new Set([
  "all hosts are killed again and again",
  "all hosts are stopped and serve on",
  "requests come in bursts",
]);

async function played(of: play.Case, hosts: number, perS: number): Promise<play.Outcome[]> {
  const seeds = hosts > 100 ? 1 : SEEDS;
  const all: play.Outcome[] = [];
  for (let seed = 1; seed <= seeds; seed++) {
    all.push(await play.play({ case: of, hosts, perS, seed }));
  }
  return all;
}

describe("a worker's limit over all hosts", () => {
  for (const hosts of [4, 29, 360]) {
    for (const of of play.CASES) {
      it(`is kept: ${of}, ${hosts} hosts`, async () => {
        for (const perS of LIMITS) {
          for (const o of await played(of, hosts, perS)) {
            expect(o.excess).most(0);
            if (!UNAWARE.has(of)) expect(o.excessOfAll).most(0);
          }
        }
      }).timeout(120_000);
    }

    it(`is used while more is asked for, also when its place is lost: ${hosts} hosts`, async () => {
      for (const [of, part] of [
        ["calm", 0.9],
        ["the place stands still", 0.7],
        ["the places are killed in turn", 0.8],
      ] as const) {
        for (const perS of LIMITS) {
          for (const o of await played(of, hosts, perS)) expect(o.used).least(part);
        }
      }
    }).timeout(120_000);

    it(`is known at all hosts at once: ${hosts} hosts`, async () => {
      for (const o of await played("the limit is named anew", hosts, 20)) {
        expect(o.unaware).most(0.1);
      }
    }).timeout(120_000);
  }
});
