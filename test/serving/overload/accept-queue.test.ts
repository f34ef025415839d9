import * as chai from "chai";
import * as fc from "fast-check";
import * as acceptQueue from "../../../src/serving/overload/accept-queue.js";
import * as loopLag from "../../../src/serving/overload/loop-lag.js";
import * as servedPart from "../../../src/serving/overload/served-part.js";

const { expect } = chai;

interface Accepted {
  readonly waitMs: number;
  readonly lagMs: number;
  readonly mostMs: number;
}

/** Plays turns in virtual time, each of which accepts one of the connections that have arrived; the host probes as it is told to. */
function play(arrivals: readonly number[], turnMs: number): readonly Accepted[] {
  const queue: { readonly at: number; readonly isProbe: boolean }[] = [];
  const coming = [...arrivals];
  const accepted: Accepted[] = [];
  let run: acceptQueue.Run;
  for (let now = 0; coming.length + queue.length > 0; now += turnMs) {
    for (; (coming[0] ?? Infinity) <= now; coming.shift())
      queue.push({ at: coming[0] ?? 0, isProbe: false });
    const next = queue.shift();
    if (!next) {
      run = undefined;
      continue;
    }
    run = acceptQueue.recordAccept(run, now, loopLag.NO_LAG);
    if (next.isProbe) run = acceptQueue.recordProbeAccepted(run, next.at);
    else
      accepted.push({
        waitMs: now - next.at,
        lagMs: acceptQueue.lagAt(run, now).ms,
        mostMs: acceptQueue.mostWaitMs(run, now),
      });
    if (acceptQueue.isProbeDue(run, now)) {
      run = acceptQueue.recordProbe(run, now);
      queue.push({ at: now, isProbe: true });
    }
  }
  return accepted;
}

describe("the wait of connections that are accepted", () => {
  // Guards against a lag that grows with the time for which a crowd connects, although each connection is accepted at once.
  it("stays small while every turn accepts a connection that has just arrived", () => {
    const accepted = play(
      Array.from({ length: 4000 }, (_, i) => 2 * i),
      2,
    );
    const tooHighMs = accepted.map((a) => a.lagMs - a.waitMs);
    expect(Math.max(...tooHighMs)).most(loopLag.NORMAL_MS);
  });

  it("is seen while more connect than are accepted", () => {
    const accepted = play(
      Array.from({ length: 2000 }, (_, i) => i),
      2,
    );
    const late = accepted.filter((a) => a.waitMs > 300);
    expect(late).length.above(1000);
    for (const a of late) expect(a.lagMs).within(0.5 * a.waitMs, 1.5 * a.waitMs);
  });

  it("is at most what is taken for the most, a turn more or less", () => {
    const gaps = fc.array(fc.integer({ min: 0, max: 40 }), { maxLength: 200 });
    fc.assert(
      fc.property(gaps, fc.integer({ min: 1, max: 20 }), (gapsMs, turnMs) => {
        let at = 0;
        const accepted = play(
          gapsMs.map((ms) => (at += ms)),
          turnMs,
        );
        return accepted.every((a) => a.waitMs <= a.mostMs + turnMs && a.lagMs <= a.mostMs);
      }),
    );
  });
});

describe("refusals of a host that is behind", () => {
  const counts = (brought: number, served: number): servedPart.Counts => {
    let c = servedPart.NONE;
    for (let i = 0; i < brought; i++) c = servedPart.record(c, "brought", 0);
    for (let i = 0; i < served; i++) c = servedPart.record(c, "served", 0);
    return c;
  };

  // Guards against refusing ordinary requests because of a crowd that brings none that is served.
  it("do not help if few of what callers bring are requests that are served", () => {
    expect(servedPart.isEnough(counts(1000, 20), 0)).equal(false);
    expect(servedPart.isEnough(counts(1000, 300), 0)).equal(true);
    expect(servedPart.isEnough(servedPart.NONE, 0)).equal(true);
  });
});
