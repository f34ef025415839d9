import * as chai from "chai";
import * as fc from "fast-check";
import * as choice from "../../../src/serving/choice.js";
import * as lateStreams from "../../../src/serving/pacing/late-streams.js";
import * as steadyAdmission from "../../../src/serving/pacing/steady-admission.js";
import * as pauses from "../../../src/serving/spread/pauses.js";
import * as fixtures from "../fixtures.js";

const { expect } = chai;

const BATCH = { requests: 48, cacheTokens: 100_000, eventTokens: 7 };

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

describe("a long prompt", () => {
  const at = (id: string, isResident: boolean, steadyPromptTokens?: number): choice.View => {
    const view = engine(id, isResident, 0);
    return { ...view, state: view.state && { ...view.state, steadyPromptTokens } };
  };

  // Guards against summaries that are read on slow engines between the tokens of all their streams.
  it("goes to an engine that reads it without making its streams late, even to one that must load the adapter", () => {
    expect(best(at("1", true, 900), at("2", false, 6000))).equal("1");
    expect(best(at("1", true, 700), at("2", true, 6000))).equal("2");
    expect(best(at("1", true, 400), at("2", false, 6000))).equal("2");
  });

  it("costs nothing where no stream runs, and no more than a few loads anywhere", () => {
    expect(best(at("1", true), at("2", false, 6000))).equal("1");
    expect(pauses.longPromptMs(800, undefined, 300)).equal(0);
    expect(pauses.longPromptMs(800, 800, 300)).equal(0);
    expect(pauses.longPromptMs(9000, 0, 300)).equal(1200);
  });

  it("is measured by the pace of the engine", () => {
    const e = new steadyAdmission.SteadyAdmission();
    const engineAt = { batch: BATCH, holdMs: 1000, now: 0 };
    expect(e.steadyPromptTokens(engineAt)).equal(undefined);
    const ask = { kind: "ask", seat: 0, request: "r", model: "m", version: 0, firm: true } as const;
    const need = { targetMs: 1000, leftMs: 4000, promptTokens: 100, answerTokens: 100, rank: 1 };
    e.add("a", { ...ask, ...need, gapMs: 300 }, 1);
    e.grant("a", 0);
    e.recordFirstEvent("a", 50);
    const tokens = e.steadyPromptTokens(engineAt);
    expect(tokens).within(500, 2000);
    expect(steadyTokensOf(900)).above(3 * (tokens ?? 0));

    function steadyTokensOf(gapMs: number): number | undefined {
      e.remove("a");
      e.add("b", { ...ask, ...need, gapMs }, 1);
      e.grant("b", 0);
      e.recordFirstEvent("b", 50);
      return e.steadyPromptTokens(engineAt);
    }
  });
});
