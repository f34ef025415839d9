import * as chai from "chai";
import * as fc from "fast-check";
import * as hedging from "../../../src/serving/overload/hedging.js";

const { expect } = chai;

const ROUTE = { kind: "idempotent", attempts: 2, targetMs: 150 } as const;
const CALL: hedging.Call = { route: ROUTE, runs: 0, isHedged: false, waitedMs: 0, leftMs: 800 };

function timesOf(list: readonly number[]): hedging.ResponseTimes {
  return list.reduce<hedging.ResponseTimes>(hedging.record, []);
}

describe("a hedge", () => {
  it("is due in time for an answer by the target, but not before answers usually arrive, or half of the target has passed", () => {
    expect(hedging.hedgeInMs(CALL, 40)).equal(110);
    expect(hedging.hedgeInMs({ ...CALL, waitedMs: 30 }, 40)).equal(80);
    expect(hedging.hedgeInMs(CALL, 70)).equal(80);
    expect(hedging.hedgeInMs(CALL, 90)).equal(75);
  });

  it("is not due where it is not allowed, of no use, or the usual time is not known", () => {
    const others: readonly Partial<hedging.Call>[] = [
      { route: { ...ROUTE, kind: "once" } },
      { route: { ...ROUTE, kind: "stream" } },
      { route: { ...ROUTE, attempts: 1 } },
      { runs: 1 },
      { isHedged: true },
      { leftMs: 100 },
    ];
    for (const over of others) expect(hedging.hedgeInMs({ ...CALL, ...over }, 40)).equal(undefined);
    expect(hedging.hedgeInMs(CALL, undefined)).equal(undefined);
  });

  it("is timed by the 0.9 quantile of the latest 64 response times, once there are five", () => {
    expect(hedging.quantileMs(timesOf(new Array(4).fill(20)))).equal(undefined);
    expect(hedging.quantileMs(timesOf([1, 2, 3, 4, 5, 6, 7, 8, 9, 10]))).equal(9);
    const times = fc.array(fc.double({ min: 0, max: 1000, noNaN: true }), { minLength: 5 });
    fc.assert(
      fc.property(times, (list) => {
        const latest = list.slice(-64);
        const ms = hedging.quantileMs(timesOf(list)) ?? -1;
        expect(latest.filter((t) => t <= ms).length).at.least(0.9 * latest.length);
        expect(latest.filter((t) => t < ms).length).below(0.9 * latest.length);
      }),
    );
  });
});
