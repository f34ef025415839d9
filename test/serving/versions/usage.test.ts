import * as chai from "chai";
import * as fc from "fast-check";
import * as declared from "../../../src/serving/versions/declared.js";
import * as usage from "../../../src/serving/versions/usage.js";

const { expect } = chai;

const VERSION_MS = 5000;
const LIMITS = usage.limitsOf(VERSION_MS);

describe("the versions of an adapter that may be used", () => {
  const known = declared.declare(declared.declare(undefined, 1, -Infinity), 2, 1000);

  it("include the one before for a while, and begin within the time for a new version", () => {
    const at = (now: number): number => usage.oldestUsable(known, LIMITS, now);
    expect([1000, 4499, 4500, 9000].map(at)).deep.equal([1, 1, 2, 2]);
    expect(usage.beginsWithinMs(known, 1, LIMITS, 2000)).equal(3500);
    expect(usage.beginsWithinMs(known, 2, LIMITS, 2000)).equal(Infinity);
  });

  it("are the newest one alone where it is not known since when it is declared", () => {
    const first = declared.declare(undefined, 2, -Infinity);
    expect(usage.oldestUsable(first, LIMITS, 0)).equal(2);
    expect(usage.oldestUsable(undefined, LIMITS, 0)).equal(0);
  });

  it("are told to an endpoint daemon for as long as a request that takes time to begin may be sent on them", () => {
    const forMs = (expectedMs: number): number | undefined =>
      usage.olderFor(known, LIMITS, 1500, expectedMs)?.forMs;
    expect([0, 3500, 4500].map(forMs)).deep.equal([3000, 500, undefined]);
    expect(usage.oldestUsable(known, LIMITS, 1500, 4500)).equal(2);
  });

  it("let a request on the first version begin no later because of a third one", () => {
    const third = declared.declare(known, 3, 3400);
    expect(usage.beginsWithinMs(third, 1, LIMITS, 3500)).equal(2000);
    expect(usage.beginsWithinMs(third, 2, LIMITS, 3500)).equal(4400);
  });

  // Guards against a newer version that starts the time of all older ones again.
  it("never include one that was outdated longer ago than a request may be sent", () => {
    const step = fc.record({
      afterMs: fc.integer({ min: 1, max: 4000 }),
      by: fc.constantFrom(1, 2),
    });
    fc.assert(
      fc.property(
        fc.array(step, { minLength: 1, maxLength: 6 }),
        fc.nat(9000),
        (steps, laterMs) => {
          let at: declared.Declared | undefined;
          let now = 0;
          const since: { readonly version: number; readonly at: number }[] = [];
          for (const s of steps) {
            now += s.afterMs;
            at = declared.declare(at, (at?.version ?? 1) + s.by, now);
            since.push({ version: at?.version ?? 0, at: now });
          }
          now += laterMs;
          const oldest = usage.oldestUsable(at, LIMITS, now);
          const newer = since.find((d) => d.version > oldest);
          expect(newer ? now - newer.at : 0).below(LIMITS.sendMs);
        },
      ),
    );
  });
});
