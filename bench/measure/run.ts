/**
 * Feeds a stream of requests to the decision code: the entry daemons' views and routing, the endpoint
 * daemons' gates and plans, and the turns at the weight store, all of them the daemons' own.
 * @module
 */
import * as intents from "../../src/contract/intent.js";
import * as gate from "../../src/endpoint/gate.js";
import type * as plan from "../../src/endpoint/plan.js";
import type * as gateSetup from "../../src/endpoint/gate-setup.js";
import * as turns from "../../src/endpoint/turns.js";
import * as route from "../../src/entry/route.js";
import * as views from "../../src/entry/views.js";
import * as log from "../../src/host/log.js";
import * as members from "../../src/host/members.js";
import type * as statsdMetrics from "../../src/host/statsd-metrics.js";
import type * as wire from "../../src/link/wire.js";
import * as outcome from "../../src/request/outcome.js";
import * as fakes from "./fakes.js";
import * as given from "./given.js";
import type * as policies from "./policy.js";
import * as time from "./time.js";
import * as workload from "./workload.js";

/** What became of one request. */
export interface Sample {
  readonly at: number;
  readonly class: string;
  readonly caller: string;
  readonly worth: number;
  /** Milliseconds it waited for its adapter. */
  readonly stallMs: number;
  /** Milliseconds to its first token; undefined when it was refused. */
  readonly firstMs: number | undefined;
  readonly late: boolean;
}

export interface Result {
  readonly samples: readonly Sample[];
  readonly batchFill: number;
  readonly loads: number;
  /** Milliseconds after which the engine that came back cold had its hot set again. */
  readonly refillMs: number | undefined;
}

export interface Plan {
  readonly deployment: workload.Deployment;
  readonly policy: policies.Policy;
  readonly seed: number;
  readonly minutes: number;
  readonly trouble: workload.Trouble;
}

const MS_PER_MIN = 60_000;
const LINK_MS = 1.5;
const ASK_MS = 1000;
const LOOK_MS = 500;
const ATTEMPTS = 4;
/** An adapter is hot when its rank is below this part of all slots. */
const HOT = 0.5;
/** Part of an engine's hot set that must be back for it to count as refilled. */
const REFILLED = 0.9;
const SLOW = 4;
const TROUBLE_MS = 60_000;
const QUIET: statsdMetrics.Metrics = {
  observe: () => undefined,
  count: () => undefined,
  summaries: () => [],
  close: () => undefined,
};

class Bench {
  readonly clk = new time.Time();
  readonly samples: Sample[] = [];
  readonly weights: fakes.Weights;
  readonly engines: fakes.Engine[] = [];
  private readonly gates = new Map<string, { gate: gate.Gate; engine: fakes.Engine }>();
  private readonly entries: views.EndpointViews[] = [];
  private readonly intent: intents.Intent;
  private readonly random: () => number;
  private readonly future: ReadonlyMap<string, readonly number[]>;
  private turns: turns.Turns;
  private count = 0;
  private held: (() => void)[] = [];

  constructor(
    private readonly p: Plan,
    requests: readonly workload.Request[],
  ) {
    const d = p.deployment;
    this.weights = new fakes.Weights(this.clk, 1000 / d.loadsPerS);
    this.intent = given.intentOf(d);
    this.random = workload.randomOf(p.seed + 1);
    this.future = given.futureOf(requests);
    this.turns = turns.none({
      parallel: 1,
      holdMs: 1e9,
      askMinMs: p.policy.turnMinMs,
      askMaxMs: 1000,
    });
  }

  async start(): Promise<void> {
    const d = this.p.deployment;
    const listed = Array.from({ length: d.engines }, (_, i) => ({
      name: `engine-${i}`,
      role: "endpoint" as const,
      failureDomain: d.failureDomains[i % d.failureDomains.length] ?? "",
      address: "0.0.0.0:0",
      leaving: false,
    }));
    const source = { list: () => Promise.resolve(listed) };
    for (const m of listed) this.addEngine(m.name);
    for (let i = 0; i < d.entries; i++) {
      const mems = new members.Members(source, log.silent);
      const known = new views.EndpointViews(
        {
          maxPolled: 16,
          pollAfterMs: 1000,
          maxMisses: 3,
          candidates: 6,
          maxHolders: 8,
          circuit: CIRCUIT,
        },
        { clock: this.clk, log: log.silent, members: mems, peer: () => noPeer() },
      );
      this.entries.push(known);
      await mems.refresh();
    }
    await Promise.all([...this.gates.values()].map((g) => g.gate.look()));
    this.askAll();
    this.lookAll();
  }

  private addEngine(name: string): void {
    const { deployment: d, policy } = this.p;
    const engine = new fakes.Engine(this.clk, d, this.weights);
    this.engines.push(engine);
    const opened = new gate.Gate(
      {
        name,
        epoch: name,
        plan: {
          seats: d.seats,
          queue: 256,
          loads: 1,
          evict: this.eviction(),
          order: policy.order,
          ageMs: policy.ageMs,
        },
        slots: d.slots,
        halfLifeMs: policy.halfLifeMs,
        pollIntervalMs: LOOK_MS,
        countLagMs: 1000,
        maxCancelMs: 30_000,
        orderTimeoutMs: 60_000,
        retryLoadMs: 2000,
        fencing: "ignored",
        initialLoadMs: 1000 / d.loadsPerS,
        initialServiceMs: 3000,
      },
      {
        clock: this.clk,
        log: log.silent,
        metrics: QUIET,
        engine,
        turn: this.turn(name),
        engineLease: { fencingNumber: () => 1, hasHandedOver: () => true, isLost: () => false },
        sourceOf: () => "weights",
        revision: () => 1,
      },
    );
    this.gates.set(name, { gate: opened, engine });
  }

  private eviction(): plan.Eviction {
    const kind = this.p.policy.evict;
    if (kind !== "ranked") return { kind };
    return { kind, value: (target, now) => -given.nextUse(this.future.get(target), now) };
  }

  private turn(endpoint: string): gateSetup.TurnClient {
    if (!this.p.policy.turns)
      return { ask: () => Promise.resolve({ kind: "go" }), end: () => undefined };
    return {
      ask: async (target, score) => {
        await this.clk.wait(LINK_MS);
        const asked = turns.ask(this.turns, { endpoint, target, score }, this.clk.mono());
        this.turns = asked.turns;
        await this.clk.wait(LINK_MS);
        return asked.answer;
      },
      end: () => {
        this.clk.after(LINK_MS, () => {
          this.turns = turns.end(this.turns, endpoint, this.clk.mono());
        });
      },
    };
  }

  private askAll(): void {
    for (const known of this.entries) {
      for (const { gate: g } of this.gates.values()) known.receive(g.news());
    }
    this.clk.after(ASK_MS, () => {
      this.askAll();
    });
  }

  private lookAll(): void {
    for (const { gate: g } of this.gates.values()) void g.look();
    this.clk.after(LOOK_MS, () => {
      this.lookAll();
    });
  }

  /** Sends one request as an entry daemon does; its sample is there when it is over. */
  async send(r: workload.Request): Promise<void> {
    const entry = this.entries[r.entry];
    const adapter = intents.find(this.intent, "Adapter", r.adapter);
    if (!entry || !adapter) throw new Error("no such entry or adapter");
    if (this.p.policy.shared) await this.free();
    const tried = new Set<string>();
    for (let n = 0; n < ATTEMPTS; n++) {
      if (this.p.policy.fresh) for (const g of this.gates.values()) entry.receive(g.gate.news());
      const key = `${r.adapter}@1`;
      const found = entry.candidates(this.intent, adapter, key, tried);
      const domain = this.p.deployment.failureDomains[r.entry] ?? "";
      const chosen = route.choose(found, key, domain, this.p.policy.route, this.random);
      if (!chosen) break;
      tried.add(chosen.view.name);
      if (await this.attempt(r, entry, chosen.view.name)) return;
    }
    const waited = this.clk.mono() - r.at;
    this.record(r, Math.max(waited, 0), undefined);
  }

  private async attempt(
    r: workload.Request,
    entry: views.EndpointViews,
    name: string,
  ): Promise<boolean> {
    const at = this.gates.get(name);
    if (!at) return false;
    const abort = new AbortController();
    entry.attemptStarted(name, abort);
    await this.clk.wait(LINK_MS);
    let seat: gate.Seat;
    try {
      seat = await at.gate.admit(this.attemptFor(r, name), abort.signal);
    } catch (err) {
      entry.receive(at.gate.news());
      entry.attemptEnded(name, abort, err instanceof outcome.StepError);
      return false;
    }
    // What was spent at endpoints that refused counts as a stall as well.
    const stall = seat.stallMs === 0 ? 0 : seat.dispatchedAt - r.at;
    await at.engine.generate(r.tokens, () => {
      this.record(r, Math.min(stall, seat.dispatchedAt - r.at), this.clk.mono() - r.at);
      entry.receive(at.gate.news());
    });
    seat.end();
    this.release();
    entry.receive(at.gate.news());
    entry.attemptEnded(name, abort, true);
    return true;
  }

  private attemptFor(r: workload.Request, name: string): wire.Attempt {
    this.count++;
    return {
      id: String(this.count),
      epoch: name,
      caller: r.caller,
      class: r.class.name,
      worth: r.class.worth,
      queue: 1000,
      budgetMs: r.at + r.class.deadlineMs - this.clk.mono(),
      revision: 1,
      repeatable: true,
      work: { kind: "model", adapter: r.adapter, version: "1", path: "", stream: false },
    };
  }

  private record(r: workload.Request, stallMs: number, firstMs: number | undefined): void {
    this.samples.push({
      at: r.at,
      class: r.class.name,
      caller: r.caller,
      worth: r.class.worth,
      stallMs,
      firstMs,
      late: firstMs === undefined || firstMs > r.class.deadlineMs,
    });
  }

  /** Waits, first come first served, until some engine has a free seat. */
  private free(): Promise<void> {
    const open = [...this.gates.values()].some((g) => {
      const news = g.gate.news();
      return news.running + news.waiting < news.seats;
    });
    if (open && this.held.length === 0) return Promise.resolve();
    return new Promise((resolve) => this.held.push(resolve));
  }

  private release(): void {
    this.held.shift()?.();
  }

  /** Comes back cold, and measures how long its hot adapters take to be there again. */
  async coldStart(): Promise<number> {
    const [first] = this.gates.values();
    if (!first) throw new Error("no engine");
    const { engines, slots } = this.p.deployment;
    const hot = first.gate
      .news()
      .loaded.filter((t) => Number(t.slice(1, t.indexOf("@"))) < engines * slots * HOT);
    const began = this.clk.mono();
    first.engine.restart();
    for (;;) {
      await this.clk.wait(LOOK_MS);
      const loaded = [...this.gates.values()].flatMap((g) => g.gate.news().loaded);
      const back = hot.filter((t) => loaded.includes(t)).length;
      if (back >= REFILLED * hot.length) return this.clk.mono() - began;
    }
  }
}

const CIRCUIT = { failures: 1e9, openMs: 1000, openMaxMs: 1000 } as const;

function noPeer(): never {
  throw new Error("the measuring tool has no peers");
}

/** Runs one stream through one policy. */
export async function run(p: Plan): Promise<Result> {
  const ms = p.minutes * MS_PER_MIN;
  const shiftAt = p.trouble === "shift" ? ms / 2 : undefined;
  const requests = workload.stream(p.deployment, p.seed, ms, shiftAt);
  const bench = new Bench(p, requests);
  await bench.start();
  for (const r of requests) bench.clk.after(r.at, () => void bench.send(r));
  let refillMs: number | undefined;
  bench.clk.after(ms / 2, () => {
    switch (p.trouble) {
      case "none":
      case "shift":
        break;
      case "cold":
        void bench.coldStart().then((took) => {
          refillMs = took;
        });
        break;
      case "slow":
        bench.weights.slow = SLOW;
        break;
      case "fail":
        bench.weights.failing = true;
        break;
    }
  });
  bench.clk.after(ms / 2 + TROUBLE_MS, () => {
    bench.weights.slow = 1;
    bench.weights.failing = false;
  });
  await bench.clk.runUntil(ms);
  const tokens = bench.engines.reduce((sum, e) => sum + e.tokens, 0);
  const seatSteps = bench.engines.reduce((sum, e) => sum + e.seatSteps, 0);
  return {
    samples: bench.samples,
    batchFill: tokens / seatSteps,
    loads: bench.engines.reduce((sum, e) => sum + e.loads, 0),
    refillMs,
  };
}
