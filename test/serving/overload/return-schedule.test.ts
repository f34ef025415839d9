import * as chai from "chai";
import * as fc from "fast-check";
import * as returnSchedule from "../../../src/serving/overload/return-schedule.js";
import * as entryHost from "./entry-host.js";
import * as overloadRun from "./overload-run.js";

const { expect } = chai;

/** A host that has admitted 50 requests per second for two seconds, so that retries are at least 40 ms apart. */
function busyHost(): returnSchedule.Schedule {
  let s = returnSchedule.EMPTY;
  for (let at = 0; at <= 2000; at += 20) s = returnSchedule.recordAdmission(s, at);
  return s;
}

describe("booked retries", () => {
  const wanted = fc.record({
    rank: fc.nat(2),
    waitMs: fc.integer({ min: 120, max: 2000 }),
    latestMs: fc.integer({ min: 2000, max: 9000 }),
  });

  /* Guards against a time that is refused for certain, one that callers don't wait for, and retries that come together. */
  it("come after the wait, before the latest time, and apart from those of their rank and more urgent ones", () => {
    fc.assert(
      fc.property(fc.array(wanted, { maxLength: 60 }), (all) => {
        let schedule = busyHost();
        for (const r of all) {
          const ahead = schedule.booked.filter((b) => b.rank <= r.rank).map((b) => b.at - 2000);
          const booked = returnSchedule.book(schedule, r, 2000);
          expect(booked.inMs).within(r.waitMs, r.latestMs);
          if (booked.isLimited) expect(booked.inMs).equal(r.latestMs);
          else expect(booked.inMs).least(Math.max(0, ...ahead.map((ms) => ms + 40)));
          schedule = booked.schedule;
        }
      }),
    );
  });

  it("of urgent requests don't wait for less urgent ones", () => {
    fc.assert(
      fc.property(fc.array(wanted, { maxLength: 60 }), wanted, (others, r) => {
        let schedule = busyHost();
        for (const other of others)
          ({ schedule } = returnSchedule.book(schedule, { ...other, rank: 2 }, 2000));
        const urgent = { ...r, rank: 1 };
        const alone = returnSchedule.book(busyHost(), urgent, 2000);
        expect(returnSchedule.book(schedule, urgent, 2000).inMs).equal(alone.inMs);
      }),
    );
  });

  it("are forgotten once their time has come", () => {
    const r = { rank: 1, waitMs: 500, latestMs: 3000 };
    const { schedule, before } = returnSchedule.book(busyHost(), r, 2000);
    expect([before, schedule.booked.length]).deep.equal([0, 1]);
    const second = returnSchedule.book(schedule, r, 2100);
    expect([second.before, second.schedule.booked.length]).deep.equal([1, 2]);
    expect(returnSchedule.book(second.schedule, r, 9000).schedule.booked.length).equal(1);
  });

  /* Guards against callers that are all told the same time, meet the same overload, and are refused again. */
  for (const seed of [1, 2, 3]) {
    it(`are admitted after a burst of 2.5 times the capacity, and do not come together: seed ${seed}`, () => {
      const burst = { load: 2.5, overloadMs: 3500, deadlineMs: 20_000, isGraded: true, seed };
      const { requests } = overloadRun.play({ ...burst, isBooked: true });
      const retries = requests.filter((r) => r.isRetry);
      const admitted = retries.filter((r) => r.joinedRatio !== undefined);
      const times = retries.map((r) => r.arrivedAt).sort((a, b) => a - b);
      const [firstAt, lastAt] = [times[0] ?? 0, times.at(-1) ?? 0];
      const most = Math.max(
        ...times.map((from) => times.filter((t) => t >= from && t < from + 100).length),
      );
      const mean = (times.length * 100) / (lastAt - firstAt);
      expect(retries.length).above(1000);
      expect(admitted.length / retries.length).least(0.9);
      expect(most / mean).most(2);
    });
  }
});

describe("a caller that is refused because of the wait", () => {
  /** The retry times, in ms, that two callers are told who are refused at the same time. */
  async function toldTwice(gapMs: number): Promise<readonly number[]> {
    const entry = await entryHost.open(1500, gapMs);
    const told = [await entry.refusedAfterMs(9000), await entry.refusedAfterMs(9000)];
    entry.close();
    return told.map((ms) => ms ?? NaN);
  }

  it("is told a time of its own where streams must be steady", async () => {
    const [first = 0, second = 0] = await toldTwice(entryHost.STEADY_GAP_MS);
    expect(first).within(1300, 1500);
    expect(second).above(first + 500);
  });

  /* Guards against changed decisions where the configuration has no steady streams. */
  it("is told its estimated wait elsewhere", async () => {
    for (const ms of await toldTwice(entryHost.OTHER_GAP_MS)) expect(ms).within(1400, 1500);
  });
});
