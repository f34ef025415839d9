/**
 * Simulation in virtual time of entry hosts that make every retry their budget allows, and a check of whether the sum exceeds
 * the budget of all hosts together.
 * @module
 */
import * as generators from "pure-rand/generator/xoroshiro128plus";
import * as uniform from "pure-rand/distribution/uniformInt";
import type * as clock from "../../src/host/clock.js";
import * as endpointRegistry from "../../src/serving/endpoint-registry.js";
import * as peak from "../../src/serving/peak.js";
import * as rule from "../../bench/platform/retry-rule.js";
import * as retryBudget from "../../src/serving/retry-budget.js";

/** Clock of one simulated process, which reads `now`; its timers fire only when the process runs. */
export class ProcessClock {
  private timers: readonly { readonly at: number; readonly run: () => void }[] = [];

  constructor(private readonly now: () => number) {}

  readonly mono = (): number => this.now();
  readonly steady = (): number => this.now();
  readonly after = (ms: number, run: () => void): clock.Timer => {
    const timer = { at: this.now() + ms, run };
    this.timers = [...this.timers, timer];
    return {
      cancel: () => {
        this.timers = this.timers.filter((t) => t !== timer);
      },
    };
  };

  /** Fires the timers that are due. */
  run(): void {
    const due = this.timers.filter((t) => t.at <= this.now());
    this.timers = this.timers.filter((t) => t.at > this.now());
    for (const t of due) t.run();
  }
}

/** Something that happens to a host at the time `at`; all times in ms. */
export type HostEvent =
  /** The host's process is killed; another starts `downMs` later. */
  | { readonly kind: "kill"; readonly at: number; readonly host: number; readonly downMs: number }
  /** The host's process is told to stop, and keeps serving for `graceMs` beside its successor. */
  | { readonly kind: "stop"; readonly at: number; readonly host: number; readonly graceMs: number }
  /** The host disappears for good. */
  | { readonly kind: "gone"; readonly at: number; readonly host: number }
  /** The host's process is stalled for `ms`, while requests wait for it. */
  | { readonly kind: "freeze"; readonly at: number; readonly host: number; readonly ms: number }
  /** From now on all requests go to these hosts. */
  | { readonly kind: "move"; readonly at: number; readonly to: readonly number[] };

/** Input of a simulation. */
export interface Plan {
  readonly opts: retryBudget.Options;
  readonly hosts: number;
  readonly ms: number;
  /** Requests per second at all hosts together. */
  readonly perS: number;
  /** Intervals in which the request rate is multiplied by `times`. */
  readonly bursts: readonly (readonly [from: number, to: number, times: number])[];
  /** Intervals in which processes make as many retries as their budget allows. */
  readonly retriesWanted: readonly (readonly [from: number, to: number])[];
  readonly events: readonly HostEvent[];
  /** Number of hosts that a process of a given age is told of; undefined if it is told none. */
  readonly reportedHosts: (alive: number, ageMs: number) => number | undefined;
  readonly stepMs: number;
  /** Most milliseconds that a retry takes to reach its endpoint. */
  readonly maxArrivalMs: number;
  readonly seed: number;
}

/** Times at which requests arrived and retries reached their endpoints. */
export interface Trace {
  readonly requestsAt: readonly number[];
  readonly retriesAt: readonly number[];
}

interface Process {
  readonly clk: ProcessClock;
  readonly budget: retryBudget.Budget;
  readonly startedAt: number;
  readonly endsAt: number;
  /** Highest recent number of hosts that the process was told of. */
  counts: peak.Peak | undefined;
}

interface Host {
  /** Running processes; the last one receives the requests. */
  processes: readonly Process[];
  startsAt: number;
  frozenUntil: number;
  /** Requests that wait for the host. */
  waiting: number;
}

const SERVICE = "llm";

/** Runs a simulation. */
export function simulate(plan: Plan): Trace {
  let now = 0;
  const requestsAt: number[] = [];
  const retriesAt: number[] = [];
  const rng = generators.xoroshiro128plus(plan.seed);
  const startProcess = (): Process => {
    const clk = new ProcessClock(() => now);
    const budget = new retryBudget.Budget(plan.opts, clk);
    return { clk, budget, startedAt: now, endsAt: Infinity, counts: undefined };
  };
  const hosts: Host[] = Array.from({ length: plan.hosts }, () => ({
    processes: [startProcess()],
    startsAt: Infinity,
    frozenUntil: 0,
    waiting: 0,
  }));
  let receivers: readonly number[] = hosts.map((_, i) => i);
  let requestsDue = 0;
  const due = [...plan.events].sort((a, b) => a.at - b.at);
  for (; now < plan.ms; now += plan.stepMs) {
    for (; due[0] && due[0].at <= now; due.shift()) {
      const [e] = due;
      const host = e.kind === "move" ? undefined : hosts[e.host];
      if (e.kind === "move") receivers = e.to;
      else if (host) applyEvent(host, e, now, startProcess);
    }
    for (const h of hosts) startAndEndProcesses(h, now, startProcess);
    for (requestsDue += (perSNow() * plan.stepMs) / 1000; requestsDue >= 1; requestsDue--) {
      requestsAt.push(now);
      const h = hosts[receivers[uniform.uniformInt(rng, 0, receivers.length - 1)] ?? 0];
      if (h) h.waiting++;
    }
    const alive = hosts.filter((h) => h.processes.length > 0).length;
    const isWanted = plan.retriesWanted.some(([from, until]) => now >= from && now < until);
    for (const h of hosts) if (h.frozenUntil <= now) serve(h, alive, isWanted);
  }
  retriesAt.sort((a, b) => a - b);
  return { requestsAt, retriesAt };

  function perSNow(): number {
    const [, , times = 1] = plan.bursts.find(([from, until]) => now >= from && now < until) ?? [];
    return plan.perS * times;
  }

  function arrivesInMs(): number {
    return plan.maxArrivalMs === 0 ? 0 : uniform.uniformInt(rng, 0, plan.maxArrivalMs);
  }

  function serve(h: Host, alive: number, isWanted: boolean): void {
    const newest = h.processes.at(-1);
    if (!newest) return;
    for (; h.waiting > 0; h.waiting--) newest.budget.recordRequest(SERVICE);
    for (const p of h.processes) {
      const told = plan.reportedHosts(alive, now - p.startedAt);
      if (told !== undefined)
        p.counts = peak.addReading(p.counts, told, now, endpointRegistry.HOST_COUNT_WINDOW_MS);
      const most = p.counts && peak.highest(p.counts);
      while (isWanted && p.budget.takeRetry(SERVICE, most).from)
        retriesAt.push(now + arrivesInMs());
      // A process reads the requests that waited for it before its timers fire.
      p.clk.run();
    }
  }
}

function applyEvent(
  h: Host,
  e: Exclude<HostEvent, { kind: "move" }>,
  now: number,
  startProcess: () => Process,
): void {
  switch (e.kind) {
    case "kill":
      h.processes = [];
      h.startsAt = now + e.downMs;
      break;
    case "gone":
      h.processes = [];
      h.startsAt = Infinity;
      break;
    case "stop":
      for (const p of h.processes) p.budget.startDraining();
      h.processes = [
        ...h.processes.map((p) => ({ ...p, endsAt: now + e.graceMs })),
        startProcess(),
      ];
      break;
    case "freeze":
      h.frozenUntil = now + e.ms;
      break;
  }
}

/** Ends and starts processes as planned; requests that wait at a host without a process are lost. */
function startAndEndProcesses(h: Host, now: number, startProcess: () => Process): void {
  h.processes = h.processes.filter((p) => p.endsAt > now);
  if (h.startsAt <= now) {
    h.processes = [startProcess()];
    h.startsAt = Infinity;
  }
  if (h.processes.length === 0) h.waiting = 0;
}

/** Retries by which the worst window exceeds the budget; 0 or less if the budget is kept. */
export function excess(trace: Trace, opts: retryBudget.Options): number {
  const worst = rule.worstWindow(trace.requestsAt, trace.retriesAt, opts);
  return worst ? worst.retries - worst.allowed : -Infinity;
}
