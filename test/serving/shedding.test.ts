import * as chai from "chai";
import * as fc from "fast-check";
import * as uniform from "pure-rand/distribution/uniformFloat64";
import * as generators from "pure-rand/generator/xoroshiro128plus";
import * as acceptQueue from "../../src/serving/overload/accept-queue.js";
import * as loopLag from "../../src/serving/overload/loop-lag.js";
import * as shedding from "../../src/serving/overload/shedding.js";

const { expect } = chai;

/** Milliseconds of processor time for a request that is served, and for one that is refused. */
const SERVE_MS = 4;
const REFUSE_MS = 1;
/** Milliseconds that a worker takes. */
const WORK_MS = 100;
/** Arrivals as a multiple of what the host can serve: first and last at a load that it can bear. */
const LOAD = { calm: 0.5, burst: 2.2 };
const BURST = { fromMs: 1000, toMs: 7000 };
const END_MS = 10_000;

interface Ended {
  readonly rank: number;
  readonly targetMs: number;
  readonly arrivedAt: number;
  readonly readAt: number;
  readonly isRefused: boolean;
}

/** Plays a weak host in virtual time, whose requests come on kept connections, or each on a new one. */
function play(on: "kept" | "new", seed: number): readonly Ended[] {
  const rng = generators.xoroshiro128plus(seed);
  const random = (): number => uniform.uniformFloat64(rng);
  const arrivals: number[] = [];
  for (let t = 0; t < END_MS;) {
    const load = t >= BURST.fromMs && t < BURST.toMs ? LOAD.burst : LOAD.calm;
    t -= (Math.log(1 - random()) * SERVE_MS) / load;
    arrivals.push(t);
  }
  const ended: Ended[] = [];
  let beats = loopLag.start(0);
  let run: acceptQueue.Run;
  let nextBeatAt = loopLag.BEAT_MS;
  let now = 0;
  while (ended.length < arrivals.length) {
    if (now >= nextBeatAt) {
      beats = loopLag.recordBeat(beats, now);
      nextBeatAt = now + loopLag.BEAT_MS;
    }
    const waiting = arrivals.slice(ended.length).findIndex((t) => t > now);
    const count = waiting < 0 ? arrivals.length - ended.length : waiting;
    if (count === 0) {
      run = undefined;
      now = Math.min(arrivals[ended.length] ?? now, nextBeatAt);
      continue;
    }
    if (on === "new") run = acceptQueue.recordAccept(run, now, loopLag.NO_LAG);
    for (let left = on === "new" ? 1 : count; left > 0; left--) {
      const arrivedAt = arrivals[ended.length] ?? now;
      const rank = ended.length % 3;
      const targetMs = [1000, 1500, 2000][Math.floor(random() * 3)] ?? 0;
      const lag = run ? acceptQueue.lagAt(run, now) : loopLag.lagAt(beats, now);
      const isRefused =
        shedding.refusalReason(lag.ms, lag, { rank, targetMs }, random()) !== undefined;
      ended.push({ rank, targetMs, arrivedAt, readAt: now, isRefused });
      now += isRefused ? REFUSE_MS : SERVE_MS;
    }
    beats = loopLag.recordPoll(beats);
  }
  return ended;
}

describe("load shedding", () => {
  /* Guards against a host that serves everything late, swings between all and nothing, or stays slow after a burst. */
  for (const on of ["kept", "new"] as const) {
    it(`keeps a weak host on time at 2.2 times its capacity: ${on} connections`, () => {
      const ended = play(on, 1);
      const inBurst = ended.filter((e) => e.arrivedAt >= BURST.fromMs && e.arrivedAt < BURST.toMs);
      const served = inBurst.filter((e) => !e.isRefused);
      const isOnTime = (e: Ended): boolean => e.readAt - e.arrivedAt + WORK_MS <= e.targetMs;
      const isHeld = (e: Ended): boolean => e.isRefused && e.readAt - e.arrivedAt > e.targetMs / 4;
      const ofRank = (rank: number): number => served.filter((e) => e.rank === rank).length;
      const perHalfSecond = Array.from({ length: 12 }, (_, i) => {
        const fromMs = BURST.fromMs + i * 500;
        const list = inBurst.filter((e) => e.arrivedAt >= fromMs && e.arrivedAt < fromMs + 500);
        return list.filter((e) => !e.isRefused).length / list.length;
      });
      const later = ended.filter((e) => e.arrivedAt >= BURST.toMs + 1000);
      expect(served.every(isOnTime) && !ended.some(isHeld)).equal(true);
      expect(served.length * SERVE_MS).above(0.55 * (BURST.toMs - BURST.fromMs));
      expect([...perHalfSecond].sort((a, b) => a - b)[0]).within(0.02, 0.6);
      expect(ofRank(0)).above(ofRank(1));
      expect(ofRank(1)).above(ofRank(2));
      expect(later.filter((e) => e.isRefused)).deep.equal([]);
    });
  }

  /* Guards against changed decisions on hosts that keep up. */
  it("refuses nothing up to the normal lag", () => {
    const request = fc.record({ rank: fc.nat(9), targetMs: fc.integer({ min: 1, max: 9000 }) });
    const lag = fc.record({ ms: fc.integer({ min: 0, max: 100 }), isSingle: fc.boolean() });
    fc.assert(
      fc.property(lag, request, (l, r) => shedding.refusalReason(l.ms, l, r, 0) === undefined),
    );
  });

  /* Guards against refusing what a process reads after it was stopped once, though it can be served in time. */
  it("refuses after a single long turn only what would be late in any case", () => {
    const beats = loopLag.recordBeat(loopLag.recordBeat(loopLag.start(0), 50), 450);
    const lag = loopLag.lagAt(beats, 460);
    expect(lag).deep.equal({ ms: 350, isSingle: true });
    expect(shedding.refusalReason(lag.ms, lag, { rank: 1, targetMs: 500 }, 0)).equal(undefined);
    expect(shedding.refusalReason(lag.ms, lag, { rank: 1, targetMs: 450 }, 1)).contain(
      "350 ms behind",
    );
    const lasting = loopLag.lagAt(loopLag.recordBeat(beats, 850), 860);
    expect(shedding.refusalReason(lasting.ms, lasting, { rank: 1, targetMs: 500 }, 0)).not.equal(
      undefined,
    );
  });
});

describe("the lag of an event loop", () => {
  /* Guards against a lag that is longer than the wait, or shorter by more than two beats, whatever the turns take. */
  it("is at most the longest wait of what is read, and at least two beats less", () => {
    fc.assert(
      fc.property(fc.array(fc.integer({ min: 50, max: 900 })), fc.nat(900), (turnsMs, readMs) => {
        let beats = loopLag.start(0);
        let [pollAt, turnAt] = [0, 0];
        for (const ms of turnsMs) {
          beats = loopLag.recordPoll(beats);
          [pollAt, turnAt] = [turnAt, turnAt + ms];
          beats = loopLag.recordBeat(beats, turnAt);
        }
        const longestMs = turnAt - pollAt + readMs;
        const { ms } = loopLag.lagAt(beats, turnAt + readMs);
        return ms <= longestMs && ms >= longestMs - 2 * loopLag.BEAT_MS;
      }),
    );
  });

  it("is none after a time without beats, and once a poll has read what waited", () => {
    expect(loopLag.lagAt(loopLag.start(9000), 9000).ms).equal(0);
    const late = loopLag.recordBeat(loopLag.start(0), 5000);
    expect(loopLag.lagAt(late, 5010).ms).equal(4950);
    expect(loopLag.lagAt(loopLag.recordPoll(late), 5020).ms).equal(0);
  });
});
