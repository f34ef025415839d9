import * as chai from "chai";
import * as virtual from "../../../bench/measure/time.js";
import * as structuredLog from "../../../src/host/structured-log.js";
import * as streamLog from "../../../src/serving/continuation/stream-log.js";
import * as fakeSource from "../fake-source.js";

const { expect } = chai;

const ORIGIN = { service: "s", software: "v1" };

function open() {
  const time = new virtual.Time();
  const source = new fakeSource.FakeSource(time);
  const log = new streamLog.StreamLog({
    clock: time,
    log: structuredLog.silent,
    store: source,
    writesPerS: 400,
    hostCount: () => 4,
    streamMs: () => 10_000,
  });
  const has = (attempt: string): boolean => source.documents.has(streamLog.keyOf(attempt));
  return { time, source, log, has };
}

describe("the log of open streams", () => {
  it("is written in batches that all hosts together make at a share of the store's rate", () => {
    const rows = [
      [4, 400, 250],
      [29, 1200, 483],
      [360, 20_000, 360],
      [360, 400, 10_000],
    ] as const;
    for (const [hosts, writesPerS, ms] of rows)
      expect(Math.round(streamLog.intervalMs(hosts, writesPerS))).equal(ms);
  });

  it("holds streams that are still open or broke, and not those that ended before", async () => {
    const { time, log, has } = open();
    for (const attempt of ["open", "whole", "broken"]) log.add(attempt, ORIGIN, true);
    log.remove("whole", true);
    log.remove("broken", false);
    await time.runUntil(300);
    expect(["open", "whole", "broken"].map(has)).deep.equal([true, false, true]);
    expect(await log.find("open")).deep.equal(ORIGIN);
    expect(await log.find("whole")).equal(undefined);
  });

  it("is written again after a failure, and after the store has lost it", async () => {
    const { time, source, log, has } = open();
    const backup = source.backup();
    source.unavailable = true;
    log.add("a", ORIGIN, true);
    await time.runUntil(300);
    expect(log.waitingCount).equal(1);
    source.unavailable = false;
    await time.runUntil(600);
    expect([has("a"), log.waitingCount]).deep.equal([true, 0]);
    source.restore(backup);
    log.rewrite();
    await time.runUntil(1200);
    expect(has("a")).equal(true);
  });

  it("uses a lease for many batches, and a new one where the store has begun another era", async () => {
    const { time, source, log, has } = open();
    for (let n = 0; n < 5; n++) {
      log.add(`a${n}`, ORIGIN, true);
      await time.runUntil(300 * (n + 1));
    }
    expect(source.calls).equal(6);
    source.restore(source.backup());
    log.add("b", ORIGIN, true);
    await time.runUntil(3000);
    expect([has("b"), source.calls]).deep.equal([true, 9]);
  });
});
