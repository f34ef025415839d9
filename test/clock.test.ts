import * as chai from "chai";
import * as fc from "fast-check";
import * as clock from "../src/host/clock.js";

const { expect } = chai;

/** Clocks that a test moves by hand. */
function byHand() {
  let steadyMs = 1000;
  let aheadMs = 50_000;
  const clk: clock.Clock = {
    ...clock.system,
    steady: () => steadyMs,
    now: () => new Date(steadyMs + aheadMs),
  };
  return {
    clk,
    run: (ms: number): void => {
      steadyMs += ms;
    },
    suspend: (ms: number): void => {
      aheadMs += ms;
    },
  };
}

describe("the clock", () => {
  it("counts the time for which a host was suspended", () => {
    const { clk, run, suspend } = byHand();
    const began = clk.mono();
    run(20);
    suspend(3000);
    expect(clk.mono() - began).equal(3020);
    expect(clk.steady()).equal(1020);
  });

  it("does not go back when the time of day does, nor twice ahead when it returns from ahead", () => {
    const { clk, run, suspend } = byHand();
    const began = clk.mono();
    suspend(-2000);
    run(10);
    expect(clk.mono() - began).equal(10);
    suspend(2000);
    expect(clk.mono() - began).equal(2010);
    suspend(2000);
    suspend(-2000);
    expect(clk.mono() - began).equal(2010);
  });

  it("does not gain by small differences between the two clocks", () => {
    const { clk, run, suspend } = byHand();
    const began = clk.mono();
    for (let i = 0; i < 1000; i++) {
      run(1);
      suspend(i % 2 === 0 ? 1 : -1);
      clk.mono();
    }
    expect(clk.mono() - began).equal(1000);
  });

  it("never says less than the steady clock, and never goes back", () => {
    const moves = fc.array(
      fc.record({ run: fc.nat(500), leap: fc.integer({ min: -5000, max: 5000 }) }),
    );
    fc.assert(
      fc.property(moves, (all) => {
        const { clk, run, suspend } = byHand();
        let last = clk.mono();
        for (const m of all) {
          run(m.run);
          suspend(m.leap);
          const now = clk.mono();
          expect(now).least(last + m.run);
          last = now;
        }
      }),
    );
  });
});
