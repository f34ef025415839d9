import * as chai from "chai";
import * as simulation from "./simulation.js";

const { expect } = chai;

const SEEDS = [1, 2, 3, 4, 5];
const HOT = "0";
const RESTART_MS = 5000;

type Requests = readonly simulation.Request[];

/** Requests that arrive during the surge, over all seeds. */
function play(setup: simulation.Setup): Requests {
  const { from, until } = simulation.SURGE;
  return SEEDS.flatMap((seed) => simulation.simulate(setup, seed)).filter(
    (r) => r.at >= from && r.at < until,
  );
}

function onTime(list: Requests): number {
  return (
    list.filter((r) => r.run && r.run.first - r.at <= simulation.TARGET_MS).length / list.length
  );
}

function ofTeam(list: Requests, team: string): Requests {
  return list.filter((r) => r.team === team);
}

function served(list: Requests, rank: number): number {
  const all = list.filter((r) => r.rank === rank);
  return all.filter((r) => r.run).length / all.length;
}

describe("16 teams of which the largest sends seven times its usual load", function () {
  this.timeout(60_000);
  const surge = { shared: true, surge: 7 } as const;

  it("does not cost any other team more than 3 in 100 of what it is served on time alone", () => {
    const alone = play({ ...surge, isSilent: (team) => team === HOT });
    const beside = play(surge);
    for (const team of new Set(alone.map((r) => r.team))) {
      const usual = onTime(ofTeam(alone, team));
      expect(onTime(ofTeam(beside, team)), team).least(0.97 * usual);
    }
    const unshared = play({ ...surge, shared: false }).filter((r) => r.team !== HOT);
    expect(onTime(unshared)).below(0.6);
    for (const list of [beside, ofTeam(beside, HOT)]) {
      expect(served(list, 0)).least(served(list, 1));
      expect(served(list, 1)).least(served(list, 2));
    }
  });

  it("costs other teams no more than 2 s of their share on an engine whose daemon restarts", () => {
    const list = play({ ...surge, restartAt: RESTART_MS }).filter((r) => r.team !== HOT);
    const later = list.filter((r) => r.at >= RESTART_MS + 2000 && r.run?.engine === 0);
    expect(onTime(later)).least(0.97);
    expect(onTime(list)).least(0.97);
  });

  it("takes all of the engines where no other team asks", () => {
    const lone = (shared: boolean): Requests =>
      simulation.simulate({ shared, surge: 7, isSilent: (team) => team !== HOT }, 1);
    const used = simulation.utilisation(lone(true));
    expect(used).least(simulation.utilisation(lone(false)));
    expect(used).above(0.95);
  });

  it("is served almost as often on time as without shares at its usual load", () => {
    const usual = play({ shared: true, surge: 1 });
    const unshared = play({ shared: false, surge: 1 });
    expect(onTime(usual)).least(onTime(unshared) - 0.02);
    expect(onTime(ofTeam(usual, HOT))).least(onTime(ofTeam(unshared, HOT)) - 0.05);
  });
});
