import * as chai from "chai";
import * as fc from "fast-check";
import * as recentUse from "../../src/host/reading/recent-use.js";

const { expect } = chai;

describe("the recent use of a connection", () => {
  it("never puts a connection that has used more into a lower class", () => {
    const ms = fc.double({ min: 0, max: 1000, noNaN: true });
    fc.assert(
      fc.property(ms, ms, ms, (some, more, later) => {
        const used = (n: number): recentUse.Use => recentUse.add(recentUse.NONE, 0, n);
        const classes = [some, some + more].map((n) => recentUse.classOf(used(n), later));
        return (classes[0] ?? 0) <= (classes[1] ?? 0);
      }),
    );
  });

  it("is forgotten", () => {
    const used = recentUse.add(recentUse.NONE, 0, 500);
    expect(recentUse.classOf(used, 0)).equal(recentUse.CLASSES - 1);
    expect(recentUse.classOf(used, 10_000)).equal(0);
  });
});
