/**
 * Entry hosts in virtual time that retry whatever their budget allows, and how far that exceeds what the budget allows
 * all of them together.
 * @module
 */
import * as generators from "pure-rand/generator/xoroshiro128plus";
import * as uniform from "pure-rand/distribution/uniformInt";
import type * as clock from "../../src/host/clock.js";
import * as endpoints from "../../src/serving/endpoints.js";
import * as peak from "../../src/serving/peak.js";
import * as rule from "../../bench/platform/retry-rule.js";
import * as retries from "../../src/serving/retries.js";

/** The clock of one process, which reads `now`; its timers run when the process does. */
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

  /** Runs the timers that are due. */
  run(): void {
    const due = this.timers.filter((t) => t.at <= this.now());
    this.timers = this.timers.filter((t) => t.at > this.now());
    for (const t of due) t.run();
  }
}

/** What happens to a host at `at`; all times in ms. */
export type Event =
  /** Its process is killed; another starts `downMs` later. */
  | { readonly kind: "kill"; readonly at: number; readonly host: number; readonly downMs: number }
  /** Its process is told to stop, and serves on for `graceMs` beside the one that takes its place. */
  | { readonly kind: "stop"; readonly at: number; readonly host: number; readonly graceMs: number }
  /** It is gone for good. */
  | { readonly kind: "gone"; readonly at: number; readonly host: number }
  /** Its process stands still for `ms`, while requests wait for it. */
  | { readonly kind: "freeze"; readonly at: number; readonly host: number; readonly ms: number }
  /** From now on all requests come to these hosts. */
  | { readonly kind: "move"; readonly at: number; readonly to: readonly number[] };

export interface Plan {
  readonly opts: retries.Options;
  readonly hosts: number;
  readonly ms: number;
  /** Requests a second at all hosts together. */
  readonly perS: number;
  /** When there are how many times as many. */
  readonly bursts: readonly (readonly [from: number, to: number, times: number])[];
  /** When retries are wanted: as many as the budget allows. */
  readonly wanted: readonly (readonly [from: number, to: number])[];
  readonly events: readonly Event[];
  /** What a process hears of how many hosts there are. */
  readonly told: (alive: number, ageMs: number) => number | undefined;
  readonly stepMs: number;
  /** Milliseconds after which a retry reaches its endpoint, at most. */
  readonly arrivesInMs: number;
  readonly seed: number;
}

/** When requests came, and when retries were made. */
export interface Record {
  readonly asked: readonly number[];
  readonly retried: readonly number[];
}

interface Process {
  readonly clk: ProcessClock;
  readonly budget: retries.Budget;
  readonly startedAt: number;
  readonly endsAt: number;
  /** How many hosts it heard of. */
  counts: peak.Peak | undefined;
}

interface Host {
  /** Those that run, the one that takes requests last. */
  processes: readonly Process[];
  startsAt: number;
  frozenUntil: number;
  /** Requests that wait for it. */
  waiting: number;
}

const SERVICE = "llm";

/** Plays a plan. */
export function play(plan: Plan): Record {
  let now = 0;
  const asked: number[] = [];
  const retried: number[] = [];
  const rng = generators.xoroshiro128plus(plan.seed);
  const begin = (): Process => {
    const clk = new ProcessClock(() => now);
    const budget = new retries.Budget(plan.opts, clk);
    return { clk, budget, startedAt: now, endsAt: Infinity, counts: undefined };
  };
  const hosts: Host[] = Array.from({ length: plan.hosts }, () => ({
    processes: [begin()],
    startsAt: Infinity,
    frozenUntil: 0,
    waiting: 0,
  }));
  let to: readonly number[] = hosts.map((_, i) => i);
  let owed = 0;
  const due = [...plan.events].sort((a, b) => a.at - b.at);
  for (; now < plan.ms; now += plan.stepMs) {
    for (; due[0] && due[0].at <= now; due.shift()) {
      const [e] = due;
      const struck = e.kind === "move" ? undefined : hosts[e.host];
      if (e.kind === "move") to = e.to;
      else if (struck) strike(struck, e, now, begin);
    }
    for (const h of hosts) age(h, now, begin);
    for (owed += (perSNow() * plan.stepMs) / 1000; owed >= 1; owed--) {
      asked.push(now);
      const h = hosts[to[uniform.uniformInt(rng, 0, to.length - 1)] ?? 0];
      if (h) h.waiting++;
    }
    const alive = hosts.filter((h) => h.processes.length > 0).length;
    const isWanted = plan.wanted.some(([from, until]) => now >= from && now < until);
    for (const h of hosts) if (h.frozenUntil <= now) serve(h, alive, isWanted);
  }
  retried.sort((a, b) => a - b);
  return { asked, retried };

  function perSNow(): number {
    const [, , times = 1] = plan.bursts.find(([from, until]) => now >= from && now < until) ?? [];
    return plan.perS * times;
  }

  function arrivesInMs(): number {
    return plan.arrivesInMs === 0 ? 0 : uniform.uniformInt(rng, 0, plan.arrivesInMs);
  }

  function serve(h: Host, alive: number, isWanted: boolean): void {
    const newest = h.processes.at(-1);
    if (!newest) return;
    for (; h.waiting > 0; h.waiting--) newest.budget.request(SERVICE);
    for (const p of h.processes) {
      const told = plan.told(alive, now - p.startedAt);
      if (told !== undefined) p.counts = peak.read(p.counts, told, now, endpoints.HOSTS_MS);
      const most = p.counts && peak.highest(p.counts);
      while (isWanted && p.budget.take(SERVICE, most).from) retried.push(now + arrivesInMs());
      // What waited for a process is read before its timers run.
      p.clk.run();
    }
  }
}

function strike(
  h: Host,
  e: Exclude<Event, { kind: "move" }>,
  now: number,
  begin: () => Process,
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
      for (const p of h.processes) p.budget.leave();
      h.processes = [...h.processes.map((p) => ({ ...p, endsAt: now + e.graceMs })), begin()];
      break;
    case "freeze":
      h.frozenUntil = now + e.ms;
      break;
  }
}

/** Processes end and start as planned; what waits where none runs is lost. */
function age(h: Host, now: number, begin: () => Process): void {
  h.processes = h.processes.filter((p) => p.endsAt > now);
  if (h.startsAt <= now) {
    h.processes = [begin()];
    h.startsAt = Infinity;
  }
  if (h.processes.length === 0) h.waiting = 0;
}

/** By how many retries the worst window exceeds the budget; 0 or less where it is kept. */
export function excess(r: Record, opts: retries.Options): number {
  const worst = rule.worst(r.asked, r.retried, opts);
  return worst ? worst.retries - worst.allowed : -Infinity;
}
