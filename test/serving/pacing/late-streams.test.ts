import * as chai from "chai";
import * as fc from "fast-check";
import * as choice from "../../../src/serving/choice.js";
import * as lateStreams from "../../../src/serving/pacing/late-streams.js";
import * as pauses from "../../../src/serving/spread/pauses.js";
import * as fixtures from "../fixtures.js";

const { expect } = chai;

const NEED: choice.Need = {
  model: "m",
  key: "m/a",
  promptTokens: 800,
  rank: 1,
  domain: "d1",
  tried: new Set(),
  targetMs: 1000,
};

/** An engine with steady streams that has the adapter, or not, and a share of late streams. */
function engine(id: string, isResident: boolean, late: number | undefined): choice.View {
  return fixtures.view(id, {
    state: {
      ...fixtures.STATE,
      instance: id,
      crowding: 0,
      ...(late !== undefined && { lateStreams: late }),
    },
    holdings: { models: ["m"], resident: isResident ? ["m/a"] : [], warm: [] },
  });
}

const best = (...views: readonly choice.View[]): string | undefined =>
  choice.rankEngines(views, NEED)[0]?.view.endpoint.id;

describe("late streams of an engine", () => {
  it("are a share that follows the latest streams, stays within 0 and 1, and fades without any", () => {
    const stream = fc.record({ isLate: fc.boolean(), afterMs: fc.nat(3000) });
    fc.assert(
      fc.property(fc.array(stream, { maxLength: 60 }), (streams) => {
        let s = lateStreams.NONE;
        for (const { isLate, afterMs } of streams) {
          s = lateStreams.recordStream(s, isLate, s.at + afterMs);
          expect(s.share).within(0, 1);
        }
        expect(lateStreams.shareAt(s, s.at + 5000)).closeTo(s.share / 2, 1e-9);
      }),
    );
    let s = lateStreams.NONE;
    for (let i = 1; i <= 14; i++) s = lateStreams.recordStream(s, true, 100 * i);
    expect(s.share).above(0.7);
  });

  // Guards against an engine in a slow spell keeping its adapters, so that all their streams are late.
  it("send an adapter elsewhere if most are late, even to an engine that must load it", () => {
    expect(best(engine("1", true, 0), engine("2", false, 0))).equal("1");
    expect(best(engine("1", true, 0.25), engine("2", true, 0))).equal("1");
    expect(best(engine("1", true, 0.95), engine("2", false, 0))).equal("2");
  });

  it("cost nothing where no engine tells them, as before an update of its daemon", () => {
    expect(best(engine("1", true, undefined), engine("2", false, 0))).equal("1");
    expect(pauses.costMs(0.3, 300)).equal(0);
    expect(pauses.costMs(1, 300)).equal(1200);
  });
});
