import * as chai from "chai";
import * as fc from "fast-check";
import * as eras from "../src/store/era.js";
import * as position from "../src/store/position.js";

const { expect } = chai;

const at = (era: number, revision: number): position.Position =>
  position.Position.at(eras.parse(String(era)), revision);

const POSITIONS = fc
  .tuple(fc.nat({ max: eras.MAX }), fc.nat({ max: 2 ** 31 - 1 }))
  .map(([era, revision]) => at(era, revision));

describe("a position in the store", () => {
  it("is later in a later era, whatever the revisions", () => {
    expect(at(2, 1).isAfter(at(1, 500))).equal(true);
    expect(at(1, 500).isAfter(at(2, 1))).equal(false);
    expect(at(2, 2).isAfter(at(2, 1))).equal(true);
    expect(at(2, 1).isAfter(at(2, 1))).equal(false);
  });

  it("makes fencing numbers that are exact and order as positions do", () => {
    fc.assert(
      fc.property(POSITIONS, POSITIONS, (a, b) => {
        expect(a.fencingNumber > b.fencingNumber).equal(a.isAfter(b));
        expect(Number.isSafeInteger(a.fencingNumber)).equal(true);
      }),
    );
    expect(Number.isSafeInteger(at(eras.MAX, 2 ** 40 - 1).fencingNumber)).equal(true);
  });

  it("is not made from anything but a revision", () => {
    for (const revision of [-1, 1.5, NaN, 2 ** 40]) expect(() => at(1, revision)).throw(RangeError);
  });
});

describe("the era of a store's answer", () => {
  it("is the first one if the answer states none", () => {
    expect(new eras.EraTracker().observe(undefined)).equal(eras.FIRST);
  });

  it("is refused if it cannot be parsed", () => {
    for (const text of ["", "-1", "1.5", "x", "1e3", String(eras.MAX + 1)])
      expect(() => new eras.EraTracker().observe(text), text).throw(eras.EraError);
  });

  it("is refused once a later one has been stated, also if it is missing", () => {
    const tracker = new eras.EraTracker();
    tracker.observe("3");
    expect(() => tracker.observe("2")).throw(eras.EraError);
    expect(() => tracker.observe(undefined)).throw(eras.EraError);
    expect(tracker.newest).equal(3);
  });
});
