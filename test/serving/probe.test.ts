import * as chai from "chai";
import * as time from "../../bench/measure/time.js";
import * as engine from "../../src/serving/engine.js";
import * as probe from "../../src/serving/probe.js";
import * as residency from "../../src/serving/residency.js";
import * as loadHistory from "../../src/serving/load-history.js";
import * as fakes from "./fake-engine.js";

const { expect } = chai;

function setUp() {
  const clk = new time.Time();
  const fake = new fakes.FakeEngine();
  return { clk, fake, probe: new probe.Probe(clk, fake) };
}

const dueInMs = (p: probe.Probe): number => p.dueInMs(true, residency.empty(), loadHistory.INITIAL);

describe("probe", () => {
  it("reports an engine as out after two consecutive polls without an answer", async () => {
    const { fake, probe } = setUp();
    fake.behaviour = "out";
    const results = [await probe.run(undefined), await probe.run(undefined)];
    expect(results.map((f) => f.kind === "missed" && f.isOut)).deep.equal([false, true]);
  });

  it("does not poll during a pause that the engine asks for, and does not count it as a miss", async () => {
    const { clk, fake, probe } = setUp();
    await probe.run(undefined);
    fake.report = () => Promise.reject(new engine.PauseError(3000));
    for (let n = 0; n < 3; n++) expect((await probe.run(undefined)).kind).equal("paused");
    expect(dueInMs(probe)).equal(3000);
    expect(probe.retryMs).equal(3000);
    probe.makeDue();
    expect(dueInMs(probe)).equal(3000);
    clk.after(3000, () => undefined);
    await clk.runUntil(3000);
    expect(dueInMs(probe)).equal(0);
  });
});
