import * as chai from "chai";
import type * as fleet from "../../bench/caps/fleet.js";
import * as play from "../../bench/caps/play.js";

const { expect } = chai;

const SEEDS = 8;
/** Number of seeds for a load of many small requests, which takes long to simulate. */
const FEW_SEEDS = 2;

async function played(way: fleet.Way, load: play.Load, hosts: number): Promise<play.Outcome[]> {
  const all: play.Outcome[] = [];
  const seeds = load === "hot_calls_once_cut" ? FEW_SEEDS : SEEDS;
  for (let seed = 1; seed <= seeds; seed++) all.push(await play.play({ way, load, hosts, seed }));
  return all;
}

describe("a usage cap over all hosts", () => {
  for (const load of play.LOADS) {
    it(`is never passed beyond what the rule allows, nor given out twice: ${load}`, async () => {
      for (const hosts of [6, 29]) {
        for (const o of await played("places", load, hosts)) {
          expect(o.most).most(1);
          expect(o.ofCap).most(1);
        }
      }
    });
  }

  it("refuses nothing of a team within its usual load, at all hosts or at one", async () => {
    for (const load of ["even", "one_host"] as const) {
      for (const o of await played("places", load, 29)) expect(o.refused).equal(0);
    }
  });

  it("lets a team use its whole cap while it asks for more, even when its owner is lost", async () => {
    for (const load of ["hot", "hot_place_lost", "hot_restarts"] as const) {
      for (const o of await played("places", load, 29)) expect(o.used).least(0.9);
    }
  });

  /*
   * With equal shares at 29 hosts, 20.8 % of the requests of a team within its usual load were
   * refused, 88.3 % if all came to one host, and 100 % for a team whose share is smaller than one
   * request (3 seeds).
   */
  it("is shared better by one owner per team than by equal shares", async () => {
    for (const load of ["even", "one_host", "small"] as const) {
      const refused = async (way: fleet.Way): Promise<number> => {
        const all = await played(way, load, 29);
        return all.reduce((sum, o) => sum + o.refused, 0) / all.length;
      };
      expect(await refused("places")).below(await refused("equal"));
    }
  });
});
