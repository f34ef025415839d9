/**
 * Which endpoint an attempt goes to. Pure: the same code runs in the daemon, the tests and the
 * measuring tool.
 * @module
 */
import * as view from "./view.js";

/** Figures that steer the choice. */
export interface Options {
  readonly policy: "estimate" | "least-loaded" | "random" | "hash";
  /** Milliseconds that another failure domain is away, both ways. */
  readonly domainMs: number;
  /** Milliseconds that a full batch is preferred by, over an empty one. */
  readonly batchMs: number;
  /** Factor on the time of a load; over 1 keeps adapters from spreading to further engines. */
  readonly loadWeight: number;
  /** Milliseconds that each step down the ring costs an endpoint without the adapter. */
  readonly rankMs: number;
}

/** One endpoint that may serve the request, in the order of the ring. */
export interface Candidate {
  readonly view: view.View;
  /** Place on the ring, 0 for the first. */
  readonly rank: number;
}

/** A choice and what it was made of, for `explain`. */
export interface Estimate {
  readonly name: string;
  readonly holding: "loaded" | "coming" | "absent";
  readonly queueMs: number;
  readonly loadMs: number;
  readonly linkMs: number;
  /** Milliseconds taken off for a fuller batch. */
  readonly batchMs: number;
  /** The sum, in ms; the smallest is chosen. */
  readonly total: number;
}

/** Estimates the first token of `target` at one endpoint. */
export function estimate(
  c: Candidate,
  target: string,
  failureDomain: string,
  opts: Options,
): Estimate {
  const { view: v, rank } = c;
  const seats = v.news?.seats ?? 1;
  const load = view.load(v);
  const over = Math.max(0, load + 1 - seats);
  const queueMs = (over / seats) * (v.news?.serviceMs ?? 0);
  const holding = view.holding(v, target);
  const cost = (v.news?.loadMs ?? 0) * opts.loadWeight;
  const loadMs = loadCost(holding, cost) + (holding === "absent" ? rank * opts.rankMs : 0);
  const linkMs = v.failureDomain === failureDomain ? 0 : opts.domainMs;
  const batchMs = opts.batchMs * Math.min(1, load / seats);
  const total = queueMs + loadMs + linkMs - batchMs;
  return { name: v.name, holding, queueMs, loadMs, linkMs, batchMs, total };
}

function loadCost(holding: Estimate["holding"], cost: number): number {
  switch (holding) {
    case "loaded":
      return 0;
    case "coming":
      return cost / 2;
    case "absent":
      return cost;
  }
}

/** The best candidate, or undefined for none. `random` gives numbers from 0 up to 1. */
export function choose(
  candidates: readonly Candidate[],
  target: string,
  failureDomain: string,
  opts: Options,
  random: () => number,
): Candidate | undefined {
  switch (opts.policy) {
    case "random":
      return candidates[Math.floor(random() * candidates.length)];
    case "hash":
      return least(candidates, (c) => c.rank);
    case "least-loaded":
      return least(candidates, (c) => view.load(c.view) / (c.view.news?.seats ?? 1));
    case "estimate":
      return least(candidates, (c) => estimate(c, target, failureDomain, opts).total);
  }
}

function least(
  candidates: readonly Candidate[],
  cost: (c: Candidate) => number,
): Candidate | undefined {
  let best: Candidate | undefined;
  let lowest = Infinity;
  for (const c of candidates) {
    const at = cost(c);
    if (at >= lowest) continue;
    lowest = at;
    best = c;
  }
  return best;
}
