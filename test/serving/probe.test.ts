import * as chai from "chai";
import * as time from "../../bench/measure/time.js";
import * as engine from "../../src/serving/engine.js";
import * as probe from "../../src/serving/probe.js";
import * as residency from "../../src/serving/residency.js";
import * as warmth from "../../src/serving/warmth.js";
import * as fakes from "./fake-engine.js";

const { expect } = chai;

function open() {
  const clk = new time.Time();
  const fake = new fakes.FakeEngine();
  return { clk, fake, probe: new probe.Probe(clk, fake) };
}

const dueInMs = (p: probe.Probe): number => p.dueInMs(true, residency.empty(), warmth.UNKNOWN);

describe("questions to an engine", () => {
  it("take two misses in a row for an engine that is out", async () => {
    const { fake, probe } = open();
    fake.mood = "out";
    const found = [await probe.ask(undefined), await probe.ask(undefined)];
    expect(found.map((f) => f.kind === "missed" && f.isOut)).deep.equal([false, true]);
  });

  it("are not asked within a pause that the engine asks for, which is no miss", async () => {
    const { clk, fake, probe } = open();
    await probe.ask(undefined);
    fake.report = () => Promise.reject(new engine.PauseError(3000));
    for (let n = 0; n < 3; n++) expect((await probe.ask(undefined)).kind).equal("paused");
    expect(dueInMs(probe)).equal(3000);
    expect(probe.retryMs).equal(3000);
    probe.hurry();
    expect(dueInMs(probe)).equal(3000);
    clk.after(3000, () => undefined);
    await clk.runUntil(3000);
    expect(dueInMs(probe)).equal(0);
  });
});
