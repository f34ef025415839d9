import * as chai from "chai";
import * as fc from "fast-check";
import type * as retryBudget from "../../src/serving/retry-budget.js";
import * as retrySimulation from "./retry-simulation.js";

const { expect } = chai;

const OPTS: retryBudget.Options = { ratio: 0.2, slack: 52, windowMs: 10_000 };
/** Age in ms from which a process knows the number of hosts. */
const HOST_COUNT_KNOWN_MS = 200;

/** Fleets of a few hosts, of tens and of hundreds, with their requests per second. */
const FLEETS = [
  { hosts: 4, perS: 70, stepMs: 10 },
  { hosts: 29, perS: 300, stepMs: 20 },
  { hosts: 360, perS: 2100, stepMs: 50 },
] as const;

type Fleet = (typeof FLEETS)[number];

function plan(f: Fleet, overrides: Partial<retrySimulation.Plan>): retrySimulation.Plan {
  return {
    ...f,
    opts: OPTS,
    ms: 34_000,
    bursts: [],
    retriesWanted: [[6000, 34_000]],
    events: [],
    reportedHosts: (alive, ageMs) => (ageMs < HOST_COUNT_KNOWN_MS ? undefined : alive),
    maxArrivalMs: 0,
    seed: 1,
    ...overrides,
  };
}

function allHosts(f: Fleet): readonly number[] {
  return Array.from({ length: f.hosts }, (_, i) => i);
}

/** All hosts are killed at once, several times. */
function killedTogether(f: Fleet): readonly retrySimulation.HostEvent[] {
  const times = [8000, 9500, 11_000, 12_500, 14_000, 15_500];
  return times.flatMap((at) =>
    allHosts(f).map((host) => ({ kind: "kill", at, host, downMs: 600 }) as const),
  );
}

/** Hosts are stopped one after the other; each process keeps serving beside its successor. */
function stoppedInTurn(f: Fleet): readonly retrySimulation.HostEvent[] {
  return allHosts(f).map(
    (host) =>
      ({ kind: "stop", at: 8000 + (host * 10_000) / f.hosts, host, graceMs: 8000 }) as const,
  );
}

/** Half of the hosts disappear for good, one after the other. */
function halfDisappearInTurn(f: Fleet): readonly retrySimulation.HostEvent[] {
  return allHosts(f)
    .slice(f.hosts / 2)
    .map((host, i) => ({ kind: "gone", at: 8000 + (i * 10_000) / f.hosts, host }) as const);
}

/** Three quarters of the hosts disappear at once, and their requests move to the others. */
function mostDisappear(f: Fleet): readonly retrySimulation.HostEvent[] {
  const stay = Math.ceil(f.hosts / 4);
  const gone = allHosts(f).slice(stay);
  return [
    { kind: "move", at: 21_000, to: allHosts(f).slice(0, stay) },
    ...gone.map((host) => ({ kind: "gone", at: 21_000, host }) as const),
  ];
}

/** All hosts are stopped at once; each process keeps serving beside its successor. */
function stoppedTogether(f: Fleet): readonly retrySimulation.HostEvent[] {
  return allHosts(f).map((host) => ({ kind: "stop", at: 20_000, host, graceMs: 8000 }) as const);
}

/** All requests move from one half of the hosts to the other. */
function movedToOtherHalf(f: Fleet): readonly retrySimulation.HostEvent[] {
  const half = f.hosts / 2;
  return [
    { kind: "move", at: 0, to: allHosts(f).slice(0, half) },
    { kind: "move", at: 10_000, to: allHosts(f).slice(half) },
  ];
}

/** A quarter of the hosts are stalled, one after the other. */
function frozenInTurn(f: Fleet): readonly retrySimulation.HostEvent[] {
  return allHosts(f)
    .slice(0, Math.ceil(f.hosts / 4))
    .map((host, i) => ({ kind: "freeze", at: 8000 + i * 100, host, ms: 4000 }) as const);
}

const CASES: Readonly<Record<string, (f: Fleet) => Partial<retrySimulation.Plan>>> = {
  "without disturbances": () => ({}),
  "after a long time without retries": () => ({ retriesWanted: [[30_000, 34_000]] }),
  "while all hosts are killed again and again": (f) => ({ events: killedTogether(f) }),
  "while hosts are stopped in turn and keep serving": (f) => ({ events: stoppedInTurn(f) }),
  "while all hosts are stopped and serve on": (f) => ({
    events: stoppedTogether(f),
    ms: 40_000,
    retriesWanted: [[27_500, 40_000]],
  }),
  "while hosts disappear for good": (f) => ({ events: halfDisappearInTurn(f) }),
  "while most hosts disappear at once": (f) => ({
    events: mostDisappear(f),
    retriesWanted: [[20_000, 34_000]],
  }),
  "while requests move from some hosts to others": (f) => ({
    events: movedToOtherHalf(f),
    retriesWanted: [
      [9900, 10_000],
      [19_900, 20_000],
    ],
  }),
  "while all hosts are stalled at once": (f) => ({
    events: allHosts(f).map((host) => ({ kind: "freeze", at: 16_000, host, ms: 4000 }) as const),
    retriesWanted: [[20_000, 34_000]],
  }),
  "long after all hosts were stalled": (f) => ({
    events: allHosts(f).map((host) => ({ kind: "freeze", at: 16_000, host, ms: 4000 }) as const),
    ms: 40_000,
    retriesWanted: [[29_000, 40_000]],
  }),
  "while retries reach their endpoints late": () => ({ maxArrivalMs: 700 }),
  "while requests come in bursts": () => ({
    bursts: [
      [0, 17_500, 0.1],
      [17_500, 19_900, 5],
      [19_900, 27_500, 0.1],
      [27_500, 30_000, 5],
    ],
    retriesWanted: [[19_900, 34_000]],
  }),
  "while hosts are stalled in turn": (f) => ({ events: frozenInTurn(f) }),
  "where the number of hosts is never known": () => ({ reportedHosts: () => undefined }),
  "where processes that start are told of few hosts": (f) => ({
    events: killedTogether(f),
    reportedHosts: (alive, ageMs) => Math.min(alive, 1 + Math.floor(ageMs / 50)),
  }),
};

describe("the retry budget of all hosts together is not exceeded", () => {
  for (const [title, overrides] of Object.entries(CASES)) {
    for (const f of FLEETS) {
      it(`${title}: ${f.hosts} hosts`, () => {
        const p = plan(f, overrides(f));
        expect(retrySimulation.excess(retrySimulation.simulate(p), p.opts)).most(0);
      }).timeout(30_000);
    }
  }

  it("under any sequence of host events", () => {
    const [few, more] = FLEETS;
    const at = fc.integer({ min: 0, max: 40_000 });
    const ms = fc.integer({ min: 100, max: 9000 });
    const event = (host: fc.Arbitrary<number>): fc.Arbitrary<retrySimulation.HostEvent> =>
      fc.oneof(
        fc.record({ kind: fc.constant("kill" as const), at, host, downMs: ms }),
        fc.record({ kind: fc.constant("stop" as const), at, host, graceMs: ms }),
        fc.record({ kind: fc.constant("gone" as const), at, host }),
        fc.record({ kind: fc.constant("freeze" as const), at, host, ms }),
        fc.record({
          kind: fc.constant("move" as const),
          at,
          to: fc.array(host, { minLength: 1, maxLength: 4 }),
        }),
      );
    const wanted = fc.array(
      fc.tuple(at, ms).map(([from, lasts]) => [from, from + lasts] as const),
      { minLength: 1, maxLength: 4 },
    );
    const burst = fc
      .tuple(at, ms, fc.constantFrom(0, 0.2, 3, 6))
      .map(([from, lasts, times]) => [from, from + lasts, times] as const);
    const cases = fc.constantFrom(few, more).chain((f) =>
      fc.record({
        f: fc.constant(f),
        events: fc.array(event(fc.nat(f.hosts - 1)), { maxLength: 40 }),
        bursts: fc.array(burst, { maxLength: 4 }),
        wanted,
        seed: fc.nat(1000),
      }),
    );
    fc.assert(
      fc.property(cases, ({ f, ...overrides }) => {
        const p = plan(f, { ...overrides, ms: 45_000, maxArrivalMs: 700, stepMs: 50 });
        expect(retrySimulation.excess(retrySimulation.simulate(p), p.opts)).most(0);
      }),
      { numRuns: 100 },
    );
  }).timeout(60_000);
});
