import * as chai from "chai";
import * as fc from "fast-check";
import * as clock from "../src/host/clock.js";

const { expect } = chai;

/** A clock whose two sources the test sets; `shiftWallClock` moves the wall clock alone, as a suspension does. */
function manualClock() {
  let steadyMs = 1000;
  let aheadMs = 50_000;
  const clk: clock.Clock = {
    ...clock.system,
    steady: () => steadyMs,
    now: () => new Date(steadyMs + aheadMs),
  };
  return {
    clk,
    advance: (ms: number): void => {
      steadyMs += ms;
    },
    shiftWallClock: (ms: number): void => {
      aheadMs += ms;
    },
  };
}

describe("the clock", () => {
  it("counts the time during which the host was suspended", () => {
    const { clk, advance, shiftWallClock } = manualClock();
    const began = clk.mono();
    advance(20);
    shiftWallClock(3000);
    expect(clk.mono() - began).equal(3020);
    expect(clk.steady()).equal(1020);
  });

  it("does not go back when the wall clock does, and ignores a jump that was undone between two readings", () => {
    const { clk, advance, shiftWallClock } = manualClock();
    const began = clk.mono();
    shiftWallClock(-2000);
    advance(10);
    expect(clk.mono() - began).equal(10);
    shiftWallClock(2000);
    expect(clk.mono() - began).equal(2010);
    shiftWallClock(2000);
    shiftWallClock(-2000);
    expect(clk.mono() - began).equal(2010);
  });

  it("does not accumulate small differences between the two clocks", () => {
    const { clk, advance, shiftWallClock } = manualClock();
    const began = clk.mono();
    for (let i = 0; i < 1000; i++) {
      advance(1);
      shiftWallClock(i % 2 === 0 ? 1 : -1);
      clk.mono();
    }
    expect(clk.mono() - began).equal(1000);
  });

  it("never advances less than the steady clock, and never goes back", () => {
    const moves = fc.array(
      fc.record({ run: fc.nat(500), leap: fc.integer({ min: -5000, max: 5000 }) }),
    );
    fc.assert(
      fc.property(moves, (all) => {
        const { clk, advance, shiftWallClock } = manualClock();
        let last = clk.mono();
        for (const m of all) {
          advance(m.run);
          shiftWallClock(m.leap);
          const now = clk.mono();
          expect(now).least(last + m.run);
          last = now;
        }
      }),
    );
  });
});

it("a time beyond the range of Node's timers does not pass at once", async () => {
  let hasRun = false;
  const timer = clock.system.after(2 ** 31, () => (hasRun = true));
  await clock.sleep(clock.system, 20);
  timer.cancel();
  expect(hasRun).equal(false);
});
