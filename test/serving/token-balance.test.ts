import * as chai from "chai";
import * as fc from "fast-check";
import * as tokenBalance from "../../src/serving/token-balance.js";

const { expect } = chai;

const CAP: tokenBalance.Cap = { perS: 100, burst: 200 };
const ALONE = 1;

/** A draw whose requests don't wait. */
const atOnce = (...wants: readonly number[]): tokenBalance.DrawRequest => ({
  wants,
  patienceMs: 0,
});

describe("a token balance", () => {
  it("begins empty, fills at the cap's rate, and holds the burst at most", () => {
    const a = tokenBalance.initial(0, 0);
    expect(tokenBalance.refill(a, CAP, ALONE, 500).level).equal(50);
    expect(tokenBalance.refill(a, CAP, 0.5, 500).level).equal(25);
    expect(tokenBalance.refill(a, CAP, ALONE, 60_000).level).equal(200);
    expect(tokenBalance.draw(tokenBalance.initial(0, 30), CAP, ALONE, atOnce(1), 30).granted).equal(
      0,
    );
  });

  it("keeps its units when its part shrinks, and no more than the burst of a lowered cap", () => {
    const a = { level: 150, at: 0 };
    expect(tokenBalance.refill(a, CAP, 0, 1000).level).equal(150);
    expect(tokenBalance.refill(a, { perS: 10, burst: 20 }, ALONE, 1000).level).equal(20);
  });

  it("admits requests in order up to the first that does not fit, and tells when that one would", () => {
    const got = tokenBalance.draw({ level: 100, at: 0 }, CAP, ALONE, atOnce(60, 40, 30, 10), 0);
    expect(got).deep.equal({
      left: { level: 0, at: 0 },
      granted: 2,
      delaysMs: [0, 0],
      waitMs: 300,
    });
  });

  it("admits a request that exceeds the balance by the overdraft, which later requests pay back", () => {
    const got = tokenBalance.draw({ level: 30, at: 0 }, CAP, ALONE, atOnce(60), 30);
    expect(got.granted).equal(1);
    expect(got.left.level).equal(-30);
    expect(tokenBalance.draw(got.left, CAP, ALONE, atOnce(1), 30).waitMs).equal(10);
  });

  it("admits a request larger than the burst when full, but not with a small part of the hosts", () => {
    expect(tokenBalance.draw({ level: 200, at: 0 }, CAP, ALONE, atOnce(500), 0).granted).equal(1);
    expect(tokenBalance.draw({ level: 20, at: 0 }, CAP, 0.1, atOnce(500), 0).waitMs).equal(
      undefined,
    );
  });

  it("refunds requests that did not run, up to the burst", () => {
    expect(tokenBalance.refund({ level: 100, at: 0 }, CAP, 60).level).equal(160);
    expect(tokenBalance.refund({ level: 180, at: 0 }, CAP, 60).level).equal(200);
  });

  it("never admits more than was refilled, whatever the times and parts", () => {
    const moves = fc.array(
      fc.record({
        ms: fc.nat(3000),
        parts: fc.constantFrom([1], [0.5, 0.5], [0.7, 0.2, 0.1], [0.3]),
        place: fc.nat(2),
        units: fc.integer({ min: 1, max: 150 }),
      }),
      { maxLength: 60 },
    );
    const overdraft = 40;
    fc.assert(
      fc.property(moves, (all) => {
        let now = 0;
        let used = 0;
        const places = [0, 1, 2].map(() => tokenBalance.initial(0, overdraft));
        for (const m of all) {
          now += m.ms;
          for (const [i, a] of places.entries()) {
            places[i] = tokenBalance.refill(a, CAP, m.parts[i] ?? 0, now);
          }
          const part = m.parts[m.place] ?? 0;
          const got = tokenBalance.draw(
            places[m.place] ?? tokenBalance.initial(now, overdraft),
            CAP,
            part,
            atOnce(m.units),
            overdraft,
          );
          places[m.place] = got.left;
          if (got.granted > 0) used += m.units;
        }
        expect(used).most((CAP.perS * now) / 1000 + 1e-6);
      }),
    );
  });
});
