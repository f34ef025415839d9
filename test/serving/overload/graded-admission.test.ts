import * as chai from "chai";
import * as fc from "fast-check";
import * as admission from "../../../src/serving/admission.js";
import * as fixtures from "../fixtures.js";
import * as entryHost from "./entry-host.js";
import * as overloadRun from "./overload-run.js";

const { expect } = chai;

const TIMES = { rank: 1, targetMs: 1000, gapMs: 300, leftMs: 9000 };
/** Longest admitted wait of these, and of the same in a team that exceeds its share. */
const [LONGEST_MS, OVER_SHARE_MS] = [1300, 910];

/** Whether a request with this wait is refused. */
function isRefused(waitMs: number, givesWay: boolean, draw?: number): boolean {
  const best = { view: fixtures.view("1"), firstMs: waitMs + 50, serviceMs: 50, penaltyMs: 0 };
  return admission.decide(TIMES, best, givesWay, draw).kind === "refuse";
}

describe("graded admission", () => {
  it("refuses a share that rises from none at 0.8 of the longest wait to all at 1.2", () => {
    const draws = Array.from({ length: 100 }, (_, i) => i / 100);
    for (const [givesWay, longestMs] of [
      [false, LONGEST_MS] as const,
      [true, OVER_SHARE_MS] as const,
    ]) {
      const shareAt = (ratio: number): number =>
        draws.filter((draw) => isRefused(ratio * longestMs, givesWay, draw)).length / draws.length;
      expect([0.5, 0.79, 1.21, 3].map(shareAt)).deep.equal([0, 0, 1, 1]);
      expect(shareAt(0.9)).closeTo(0.25, 0.011);
      expect(shareAt(1)).closeTo(0.5, 0.011);
      expect(shareAt(1.1)).closeTo(0.75, 0.011);
    }
  });

  /* Guards against changed decisions where the configuration has no steady streams. */
  it("refuses by the longest wait alone without a random number", () => {
    fc.assert(
      fc.property(fc.nat(3000), fc.boolean(), (waitMs, givesWay) => {
        return isRefused(waitMs, givesWay) === waitMs > (givesWay ? OVER_SHARE_MS : LONGEST_MS);
      }),
    );
  });

  it("is used where streams must be steady, and only there", async () => {
    const steady = await entryHost.open(500, entryHost.STEADY_GAP_MS);
    await steady.refusedAfterMs(1000);
    expect(steady.heard).not.include("ask");
    steady.close();
    const other = await entryHost.open(500, entryHost.OTHER_GAP_MS);
    await other.refusedAfterMs(1000);
    expect(other.heard).include("ask");
    other.close();
  });

  const overload = { load: 1.5, overloadMs: 10_000, deadlineMs: 10_000, isBooked: true };
  const played = (o: Pick<overloadRun.Options, "isGraded" | "isOneRank" | "seed">) => {
    const { requests, busy } = overloadRun.play({ ...overload, ...o });
    const { fromMs, toMs } = overloadRun.periodOf(overload);
    return {
      busy,
      fromMs,
      toMs,
      all: requests.filter((r) => r.arrivedAt >= fromMs && r.arrivedAt < toMs),
    };
  };
  const shareOf = (
    list: readonly overloadRun.Request[],
    key: "joinedRatio" | "servedRatio",
  ): number => list.filter((r) => r[key] !== undefined).length / list.length;

  for (const seed of [1, 2, 3]) {
    /* Guards against queues that grow with the age of the states, idle engines, and less urgent requests served instead. */
    it(`keeps queues short and engines busy, and serves by rank, at 1.5 times the capacity: seed ${seed}`, () => {
      const { all, busy } = played({ isGraded: true, seed });
      const served = [0, 1, 2].map((rank) =>
        shareOf(
          all.filter((r) => r.rank === rank),
          "servedRatio",
        ),
      );
      expect(Math.max(...all.map((r) => r.joinedRatio ?? 0))).below(1.5);
      expect(busy).least(0.95);
      expect(served[0]).least((served[1] ?? 0) - 0.05);
      expect(served[1]).least((served[2] ?? 0) - 0.05);
    });

    /* Guards against hosts that admit everything and then refuse everything. */
    it(`halves the swing of admissions by a threshold: seed ${seed}`, () => {
      const swingOf = (isGraded: boolean): number => {
        const { all, fromMs, toMs } = played({ isGraded, isOneRank: true, seed });
        const shares: number[] = [];
        for (let t = fromMs + 2000; t < toMs; t += 100) {
          const list = all.filter((r) => r.arrivedAt >= t && r.arrivedAt < t + 100);
          shares.push(shareOf(list, "joinedRatio"));
        }
        const mean = shares.reduce((sum, s) => sum + s, 0) / shares.length;
        return Math.sqrt(shares.reduce((sum, s) => sum + (s - mean) ** 2, 0) / shares.length);
      };
      expect(swingOf(true)).most(swingOf(false) / 2);
    });
  }
});
