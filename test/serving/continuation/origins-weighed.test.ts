import * as chai from "chai";
import * as batches from "../../../bench/origins/batches.js";
import * as disturbances from "../../../bench/origins/disturbances.js";
import * as fleet from "../../../bench/origins/fleet.js";

const { expect } = chai;

const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8];
const [SMALL] = disturbances.SITES;
/** Parts of the resumed streams that went on at daemons as processes. */
const SEEN: Readonly<Record<string, number>> = {
  "a host killed": 1,
  "all daemons killed, resumed at once": 0,
  "all daemons killed, resumed 4 s later": 0,
  "a host killed, then each endpoint daemon": 0,
  "rolling restart, SIGTERM": 0,
  "all endpoint daemons killed, a host .1 s after their start": 0,
  "half of all paused, a host killed, resumed after it": 1,
};

/** The outcomes on all seeds together. */
function play(name: string, way: fleet.Way) {
  const all = SEEDS.flatMap((seed) =>
    SMALL ? fleet.play(fleet.scenario(SMALL, name, seed), way) : [],
  );
  const sum = (read: (o: fleet.Outcome) => number): number => all.reduce((n, o) => n + read(o), 0);
  const resumed = sum((o) => o.resumed);
  expect(resumed).greaterThan(0);
  return { share: sum((o) => o.known) / resumed, wrong: sum((o) => o.wrong) };
}

describe("ways to keep the origins of streams, modelled", () => {
  for (const [name, share] of Object.entries(SEEN)) {
    it(`keep what daemons as processes keep: ${name}`, () => {
      expect(play(name, {}).share).equal(share);
    });
  }

  it("never take another version for a stream's own", () => {
    for (const name of Object.keys(disturbances.DISTURBANCES))
      for (const way of [
        {},
        { repairs: true, writeMs: 250 },
        { handsOver: true },
        { isTable: true },
      ])
        expect(play(name, way).wrong, name).equal(0);
  });

  it("write the part of the open streams that follows from their lengths", () => {
    const writeMs = 1000;
    const kinds = SMALL?.kinds ?? [];
    const open = kinds.reduce((sum, k) => sum + k.part * k.meanMs, 0);
    const written = kinds.reduce((sum, { part, meanMs }) => {
      const ratio = writeMs / meanMs;
      return sum + (part * meanMs * (1 - Math.exp(-ratio))) / ratio;
    }, 0);
    const { share } = play("all daemons killed, resumed at once", { writeMs });
    expect(share).closeTo(written / open, 0.05);
  });

  it("write by then what daemons as processes had written when all were killed", () => {
    const share = 0.05;
    const seen = [
      [{ pace: "delayed", share, from: "event", by: "entry" }, 0.938],
      [{ pace: "saved", share: 2 * share, from: "event", by: "entry" }, 1],
    ] as const;
    for (const [way, part] of seen) {
      const load = batches.loadOf(disturbances.FIXTURE, way, 500);
      const known = SEEDS.map((seed) => batches.play(load, way, seed).known);
      expect(known.reduce((sum, k) => sum + k, 0) / SEEDS.length).closeTo(part, 0.03);
    }
  });
});
