import * as chai from "chai";
import * as fc from "fast-check";
import * as clock from "../../src/host/clock.js";
import * as deadline from "../../src/serving/deadlines/deadline.js";

const { expect } = chai;

describe("the deadlines of a request", () => {
  it("hold a stream open for as long as its caller waits, but not much beyond the route's timeout", () => {
    const at = { arrivedAt: 1000, readAt: 1500 };
    expect(deadline.deadlinesOf(at, 2000, 9000)).deep.equal({ dueAt: 3000, streamDueAt: 3500 });
    expect(deadline.deadlinesOf(at, 9000, 2000)).deep.equal({ dueAt: 3000, streamDueAt: 3200 });
    expect(deadline.deadlinesOf(at, Infinity, 2000).streamDueAt).equal(3200);
  });

  it("never cut a stream before an answer is due", () => {
    const ms = fc.integer({ min: 1, max: 9000 });
    fc.assert(
      fc.property(ms, ms, ms, ms, (arrivedAt, lagMs, waitMs, timeoutMs) => {
        const at = { arrivedAt, readAt: arrivedAt + lagMs };
        const due = deadline.deadlinesOf(at, waitMs, timeoutMs);
        return due.streamDueAt >= due.dueAt;
      }),
    );
  });

  for (const hasResponseBegun of [true, false]) {
    it(`pass ${hasResponseBegun ? "later" : "sooner"} if a stream ${hasResponseBegun ? "has" : "has not"} begun`, async () => {
      const now = performance.now();
      const p = { hasResponseBegun: false };
      const req = { dueAt: now + 50, streamDueAt: now + (hasResponseBegun ? 250 : 5000) };
      const passed = new Promise<number>((resolve) => {
        deadline.onPassed(clock.system, req, p, () => {
          resolve(performance.now());
        });
      });
      p.hasResponseBegun = hasResponseBegun;
      expect((await passed) - now).least(hasResponseBegun ? 250 : 50);
      if (!hasResponseBegun) expect((await passed) - now).below(5000);
    });
  }
});
