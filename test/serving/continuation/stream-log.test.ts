import * as chai from "chai";
import * as virtual from "../../../bench/measure/time.js";
import * as structuredLog from "../../../src/host/structured-log.js";
import * as logPace from "../../../src/serving/continuation/log-pace.js";
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
  it("takes no more than a share of the store's rate for all hosts together", () => {
    const rows = [
      [4, 400, 10],
      [29, 1200, 4.14],
      [360, 20_000, 5.56],
      [360, 400, 0.11],
      [1000, 400, 0.1],
      [1, 400, 20],
      [undefined, 20_000, 4],
    ] as const;
    for (const [hosts, writesPerS, perS] of rows)
      expect(logPace.batchesPerS(hosts, writesPerS)).closeTo(perS, 0.005);
  });

  it("is written at once where few streams begin", async () => {
    const { time, log, has } = open();
    for (let n = 0; n < 20; n++) {
      log.add(`a${n}`, ORIGIN, true);
      await time.runUntil(150 * n + 5);
      expect(has(`a${n}`), `a${n}`).equal(true);
      await time.runUntil(150 * (n + 1));
    }
  });

  it("is written at the host's rate where many streams begin", async () => {
    const { time, source, log } = open();
    for (let ms = 0; ms < 20_000; ms += 5) {
      time.after(ms, () => {
        log.add(`a${ms}`, ORIGIN, false);
      });
    }
    await time.runUntil(10_000);
    const before = source.calls;
    await time.runUntil(20_000);
    const leases = 2;
    expect(before).most(10 * 10 + 10 + leases);
    expect(source.calls - before).within(99, 101 + leases);
    expect(log.waitingCount).most(20);
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
    expect(source.calls).equal(2);
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
