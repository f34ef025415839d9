import * as chai from "chai";
import * as fc from "fast-check";
import * as admission from "../../src/serving/admission.js";
import type * as choice from "../../src/serving/choice.js";
import * as fixtures from "./fixtures.js";

const { expect } = chai;

const STANDING: admission.Standing = { rank: 1, targetMs: 800, gapMs: 250, leftMs: 5000 };

function estimate(waitMs: number, ownMs: number): choice.Estimate {
  const view = fixtures.view("1");
  return { view, firstMs: waitMs + ownMs, ownMs, extraMs: 0 };
}

describe("admission", () => {
  it("refuses nobody for its own size while there is time for it", () => {
    fc.assert(
      fc.property(fc.integer({ min: 0, max: 5000 }), (ownMs) => {
        expect(admission.judge(STANDING, estimate(0, ownMs)).kind).equal("serve");
      }),
    );
  });

  it("refuses at once what cannot be begun before its deadline", () => {
    expect(admission.judge(STANDING, estimate(0, 5100)).kind).equal("refuse");
    expect(admission.judge({ ...STANDING, leftMs: 300 }, estimate(100, 250)).kind).equal("refuse");
  });

  it("refuses what would wait for longer than its target, and tells when that wait is over", () => {
    const verdict = admission.judge(STANDING, estimate(1200, 300));
    expect(verdict).deep.include({ kind: "refuse", comeBackMs: 1200 });
    expect(admission.judge(STANDING, estimate(900, 300)).kind).equal("serve");
  });

  it("lets the urgent wait longer than the less urgent", () => {
    const best = estimate(1000, 100);
    expect(admission.judge({ ...STANDING, rank: 0 }, best).kind).equal("serve");
    expect(admission.judge({ ...STANDING, rank: 2 }, best).kind).equal("refuse");
  });

  it("waits longer for an engine that is on its way than for none", () => {
    const none = admission.absentMs(STANDING, false);
    expect(none).below(STANDING.targetMs / 4);
    expect(admission.absentMs(STANDING, true))
      .above(4 * none)
      .below(STANDING.leftMs / 2);
  });

  it("tells nobody to come back when it would have no time left", () => {
    fc.assert(
      fc.property(fc.nat(60_000), fc.nat(60_000), (wantedMs, leftMs) => {
        expect(admission.comeBack(wantedMs, leftMs)).within(0, leftMs / 3);
      }),
    );
  });
});
