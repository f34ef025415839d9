import * as chai from "chai";
import * as fc from "fast-check";
import * as admission from "../../src/serving/admission.js";
import type * as choice from "../../src/serving/choice.js";
import * as fixtures from "./fixtures.js";

const { expect } = chai;

const REQUEST: admission.RequestTimes = { rank: 1, targetMs: 800, gapMs: 250, leftMs: 5000 };

function estimate(waitMs: number, serviceMs: number): choice.Estimate {
  const view = fixtures.view("1");
  return { view, firstMs: waitMs + serviceMs, serviceMs, penaltyMs: 0 };
}

describe("admission", () => {
  it("never refuses a request for its own size while its deadline allows it", () => {
    fc.assert(
      fc.property(fc.integer({ min: 0, max: 5000 }), (ownMs) => {
        expect(admission.decide(REQUEST, estimate(0, ownMs)).kind).equal("serve");
      }),
    );
  });

  it("refuses a request at once whose first event would come after its deadline", () => {
    expect(admission.decide(REQUEST, estimate(0, 5100)).kind).equal("refuse");
    expect(admission.decide({ ...REQUEST, leftMs: 300 }, estimate(100, 250)).kind).equal("refuse");
  });

  it("refuses a request that would wait longer than its target, and tells when that wait is over", () => {
    const verdict = admission.decide(REQUEST, estimate(1200, 300));
    expect(verdict).deep.include({ kind: "refuse", retryAfterMs: 1200 });
    expect(admission.decide(REQUEST, estimate(900, 300)).kind).equal("serve");
  });

  it("lets more urgent requests wait longer", () => {
    const best = estimate(1000, 100);
    expect(admission.decide({ ...REQUEST, rank: 0 }, best).kind).equal("serve");
    expect(admission.decide({ ...REQUEST, rank: 2 }, best).kind).equal("refuse");
  });

  it("waits longer where an engine is starting", () => {
    const none = admission.maxEndpointWaitMs(REQUEST, false);
    expect(none).below(REQUEST.targetMs / 4);
    expect(admission.maxEndpointWaitMs(REQUEST, true))
      .above(4 * none)
      .below(REQUEST.leftMs / 2);
  });

  it("never sets the time to retry close to the deadline", () => {
    fc.assert(
      fc.property(fc.nat(60_000), fc.nat(60_000), (wantedMs, leftMs) => {
        expect(admission.retryAfterMs(wantedMs, leftMs)).within(0, leftMs / 3);
      }),
    );
  });
});
