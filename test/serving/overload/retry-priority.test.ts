import * as chai from "chai";
import * as fc from "fast-check";
import * as uniform from "pure-rand/distribution/uniformFloat64";
import * as generators from "pure-rand/generator/xoroshiro128plus";
import * as structuredLog from "../../../src/host/structured-log.js";
import * as catalog from "../../../src/serving/catalog.js";
import * as metrics from "../../../src/serving/metrics.js";
import * as retryPriority from "../../../src/serving/overload/retry-priority.js";
import * as progress from "../../../src/serving/progress.js";
import * as retryBudget from "../../../src/serving/retry-budget.js";
import * as sendChecks from "../../../src/serving/send-checks.js";
import * as fixtures from "../fixtures.js";
import * as retrySimulation from "../retry-simulation.js";

const { expect } = chai;

const BUDGET: retryBudget.Options = { ratio: 0.2, slack: 90, windowMs: 10_000 };
const BATCH = { requests: 32, cacheTokens: 100_000, eventTokens: 7 };
const SERVICE = fixtures.SERVICE.name;
/** Milliseconds from a send until it is known to have failed, and until a retry's first event. */
const SEND_MS = 30;
const TARGET_MS = 1000;
/** Age of a request whose retry has its first event just after the target. */
const LATE_MS = TARGET_MS - SEND_MS + 1;

/** A configuration with a stream route, whose engines state their batch if the streams are to be steady. */
function configOf(isSteady: boolean): catalog.Config {
  const engine = { slots: 22, loadsPerS: 1, models: [], ...(isSteady && { batch: BATCH }) };
  const route = { ...fixtures.ROUTE, kind: "stream", gapMs: 300 } as const;
  const services = new Map([[SERVICE, { ...fixtures.SERVICE, engine }]]);
  return { ...fixtures.CONFIG, routes: [route], services };
}

const STEADY = configOf(true);
const NOT_STEADY = configOf(false);

/** One of `hosts` entry hosts in virtual time. */
function hostOf(cfg: () => catalog.Config, now: () => number, hosts: number, opts = BUDGET) {
  const clk = new retrySimulation.ProcessClock(now);
  const budget = new retryBudget.Budget(opts, clk);
  const lines: structuredLog.Fields[] = [];
  const deps = {
    clock: clk,
    log: { ...structuredLog.silent, info: (_: string, f: structuredLog.Fields) => lines.push(f) },
    metrics: metrics.create(),
    catalog: () => ({ ...catalog.EMPTY, config: cfg() }),
    endpoints: { mostHosts: () => hosts },
  };
  const checks = new sendChecks.SendChecks(budget, deps as unknown as sendChecks.Deps);
  /** Requests a retry of a request that arrived `ageMs` ago. */
  const retry = (rank: number, ageMs = 0): boolean => {
    const route = { ...fixtures.ROUTE, rank, targetMs: TARGET_MS };
    const req = fixtures.request({ route, arrivedAt: now() - ageMs });
    return checks.chargeRetry(req, { ...progress.start(req), serviceMs: SEND_MS });
  };
  return { clk, budget, deps, lines, retry };
}

/** Retries allowed by rank while the engines of 26 hosts fail 45 of 100 requests for 4 s. `shares` are those of the ranks. */
function allowedRetries(cfg: catalog.Config, shares: readonly number[], seed: number): number[] {
  const [hosts, perS, maxSends] = [26, 300, 4];
  const rng = generators.xoroshiro128plus(seed);
  const random = (): number => uniform.uniformFloat64(rng);
  const allowed = shares.map(() => 0);
  for (let host = 0; host < hosts; host++) {
    let now = 0;
    const { clk, budget, retry } = hostOf(
      () => cfg,
      () => now,
      hosts,
    );
    const sends: { at: number; rank: number; sends: number; fails: readonly boolean[] }[] = [];
    for (let at = 0; at < 18_000; at -= (Math.log(1 - random()) * 1000 * hosts) / perS) {
      let draw = random();
      const rank = shares.findIndex((share) => (draw -= share) < 0);
      const fails = Array.from({ length: maxSends }, () => random() < 0.45);
      sends.push({ at, rank, sends: 0, fails });
    }
    for (let next = sends.shift(); next; next = sends.shift()) {
      now = next.at;
      clk.run();
      if (next.sends === 0) budget.recordRequest(SERVICE);
      else if (!retry(next.rank, next.sends * SEND_MS)) continue;
      else allowed[next.rank] = (allowed[next.rank] ?? 0) + 1;
      if (now < 14_000 || !next.fails[next.sends] || next.sends + 1 === maxSends) continue;
      sends.push({ ...next, at: now + SEND_MS, sends: next.sends + 1 });
      sends.sort((a, b) => a.at - b.at);
    }
  }
  return allowed;
}

function sum(values: readonly number[]): number {
  return values.reduce((total, n) => total + n, 0);
}

/** Some requests, and one retry `afterMs` after the last. */
const STEP = fc.record({
  afterMs: fc.nat(400),
  requests: fc.nat(6),
  rank: fc.nat(2),
  isLate: fc.boolean(),
});
type Step = typeof STEP extends fc.Arbitrary<infer T> ? T : never;

/** Whether each retry is allowed, and whether it would be first come, first served. */
function decisions(cfg: catalog.Config, steps: readonly Step[]) {
  let now = 0;
  const opts = { ratio: 0.5, slack: 5, windowMs: 2000 };
  const host = hostOf(
    () => cfg,
    () => now,
    1,
    opts,
  );
  const plain = hostOf(
    () => cfg,
    () => now,
    1,
    opts,
  );
  return steps.map((s) => {
    now += s.afterMs;
    for (const h of [host, plain]) {
      h.clk.run();
      for (let i = 0; i < s.requests; i++) h.budget.recordRequest(SERVICE);
    }
    const isAllowed = host.retry(s.rank, s.isLate ? LATE_MS : 0);
    return { isAllowed, byArrival: plain.budget.takeRetry(SERVICE, 1).from !== undefined };
  });
}

describe("priority for scarce retries", () => {
  /* Guards against urgent requests that are lost because less urgent retries used up the budget before. */
  it("allows the most urgent rank 1.3 times as many retries, and as many in total", () => {
    const shares = [0.4, 0.4, 0.2];
    const totals = [NOT_STEADY, STEADY].map((cfg) => {
      const runs = [1, 2, 3, 4, 5, 6, 7, 8].map((seed) => allowedRetries(cfg, shares, seed));
      return { urgent: sum(runs.map((r) => r[0] ?? 0)), all: sum(runs.map(sum)) };
    });
    const [before, after] = totals;
    expect((after?.urgent ?? 0) / (before?.urgent ?? 0)).least(1.3);
    expect((after?.all ?? 0) / (before?.all ?? 0)).within(0.98, 1.02);
  });

  /* Guards against a reservation that changes deployments which need none. */
  it("decides as first come, first served with a single rank, or without steady streams", () => {
    const steps = fc.array(STEP, { maxLength: 80 });
    fc.assert(
      fc.property(steps, fc.nat(2), (some, rank) => {
        const ofOneRank = some.map((s) => ({ ...s, rank }));
        const all = [...decisions(NOT_STEADY, some), ...decisions(STEADY, ofOneRank)];
        for (const d of all) expect(d.isAllowed).equal(d.byArrival);
      }),
    );
  });

  /* Guards against a priority that exceeds the budget. */
  it("never allows more retries in total than first come, first served", () => {
    fc.assert(
      fc.property(fc.array(STEP, { maxLength: 80 }), (steps) => {
        let ahead = 0;
        for (const d of decisions(STEADY, steps)) {
          ahead += Number(d.byArrival) - Number(d.isAllowed);
          expect(ahead).least(0);
        }
      }),
    );
  });

  /* Guards against tokens that stay unused, and against reserving for retries that are late anyway. */
  it("reserves for more urgent classes only, beyond what is earned, and while they request retries", () => {
    const urgent = { rank: 0, isLate: false };
    const next = { rank: 1, isLate: false };
    const requested = [0, 100, 200].reduce(
      (r, at) => retryPriority.record(r, urgent, at),
      retryPriority.record(retryPriority.NONE, { rank: 0, isLate: true }, 0),
    );
    const decide = (r: retryPriority.Retry, retries: number, earnedPerS: number, now: number) =>
      retryPriority.decide(requested, r, { retries, earnedPerS }, now).kind;
    expect(decide(next, 8, 0, 200)).equal("reserved");
    expect(decide(next, 8, 2, 200)).equal("eligible");
    expect(decide(urgent, 1, 0, 200)).equal("eligible");
    expect(decide({ rank: 0, isLate: true }, 8, 0, 200)).equal("eligible");
    expect(decide(next, 1, 0, 3000)).equal("eligible");
    const late = retryPriority.record(retryPriority.NONE, { rank: 0, isLate: true }, 0);
    const ofLate = (r: retryPriority.Retry) =>
      retryPriority.decide(late, r, { retries: 1, earnedPerS: 0 }, 0);
    expect(ofLate(next)).deep.equal({ kind: "eligible", priority: 1, reserve: 0 });
    expect(ofLate({ rank: 1, isLate: true })).deep.equal({
      kind: "reserved",
      priority: 2,
      reserve: 4,
    });
  });

  /* Guards against refusals that cannot be told from an empty budget, and against a scan of all routes for each retry. */
  it("is logged and counted by rank, and follows the configuration, which is scanned once", async () => {
    let scans = 0;
    const scanned: catalog.Config = {
      ...STEADY,
      get services() {
        scans++;
        return STEADY.services;
      },
    };
    let cfg = scanned;
    let now = 0;
    const opts = { ...BUDGET, slack: 0 };
    const { budget, deps, lines, retry } = hostOf(
      () => cfg,
      () => now,
      1,
      opts,
    );
    for (let i = 0; i < 30; i++) budget.recordRequest(SERVICE);
    now = 2000;
    expect([retry(0), retry(0), retry(1)]).deep.equal([true, true, false]);
    expect(scans).equal(1);
    expect(lines.at(-1)).include({
      from: undefined,
      tokens: 1,
      rank: 1,
      priority: 1,
      reserve: 7.2,
    });
    cfg = NOT_STEADY;
    expect([retry(1, LATE_MS), retry(1)]).deep.equal([true, false]);
    expect(lines.at(-1)).include({ from: undefined, tokens: 0, rank: 1, priority: undefined });
    const text = await deps.metrics.text();
    const counted = text.match(/(?<=^sumacfield_retries_by_rank_total).*/gm);
    expect(counted).deep.equal([
      '{rank="0",outcome="allowed"} 2',
      '{rank="1",outcome="reserved"} 1',
      '{rank="1",outcome="allowed"} 1',
      '{rank="1",outcome="exhausted"} 1',
    ]);
  });
});
