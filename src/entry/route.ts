/**
 * Chooses the endpoint that an attempt is sent to. Free of side effects: the daemon, the tests and
 * the measuring tool run the same code.
 * @module
 */
import * as view from "./view.js";

/** Parameters of the choice. */
export interface Options {
  readonly policy: "estimate" | "least-loaded" | "random" | "hash";
  /** Round-trip time to another failure domain, in ms. */
  readonly domainMs: number;
  /** Milliseconds subtracted for a full batch; in proportion for a partly filled one. */
  readonly batchMs: number;
  /** Factor on the time of a load; above 1, adapters spread to fewer engines. */
  readonly loadWeight: number;
  /** Milliseconds added per place on the ring for an endpoint without the adapter. */
  readonly rankMs: number;
}

/** An endpoint that may serve the request. */
export interface Candidate {
  readonly view: view.View;
  /** Place on the ring in the order for this target; 0 is the first. */
  readonly rank: number;
}

/** The estimated cost of one endpoint with its parts, as shown by `explain`. */
export interface Estimate {
  readonly name: string;
  readonly holding: "loaded" | "coming" | "absent";
  readonly queueMs: number;
  readonly loadMs: number;
  readonly linkMs: number;
  /** Milliseconds subtracted because the batch is fuller. */
  readonly batchMs: number;
  /** Total cost in ms; the endpoint with the lowest is chosen. */
  readonly total: number;
}

/** Estimates the time to the first token of `target` at one endpoint. */
export function estimate(
  c: Candidate,
  target: string,
  failureDomain: string,
  opts: Options,
): Estimate {
  const { view: v, rank } = c;
  const seats = v.news?.seats ?? 1;
  const load = view.load(v);
  const excess = Math.max(0, load + 1 - seats);
  const queueMs = (excess / seats) * (v.news?.serviceMs ?? 0);
  const holding = view.holding(v, target);
  const weightedLoadMs = (v.news?.loadMs ?? 0) * opts.loadWeight;
  const loadMs =
    loadCostMs(holding, weightedLoadMs) + (holding === "absent" ? rank * opts.rankMs : 0);
  const linkMs = v.failureDomain === failureDomain ? 0 : opts.domainMs;
  const batchMs = opts.batchMs * Math.min(1, load / seats);
  const total = queueMs + loadMs + linkMs - batchMs;
  return { name: v.name, holding, queueMs, loadMs, linkMs, batchMs, total };
}

function loadCostMs(holding: Estimate["holding"], loadMs: number): number {
  switch (holding) {
    case "loaded":
      return 0;
    case "coming":
      return loadMs / 2;
    case "absent":
      return loadMs;
  }
}

/**
 * The best candidate by the policy; undefined when there are no candidates. `random` returns
 * numbers from 0 up to, but not including, 1.
 */
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
      return minBy(candidates, (c) => c.rank);
    case "least-loaded":
      return minBy(candidates, (c) => view.load(c.view) / (c.view.news?.seats ?? 1));
    case "estimate":
      return minBy(candidates, (c) => estimate(c, target, failureDomain, opts).total);
  }
}

function minBy(
  candidates: readonly Candidate[],
  cost: (c: Candidate) => number,
): Candidate | undefined {
  let best: Candidate | undefined;
  let lowest = Infinity;
  for (const c of candidates) {
    const value = cost(c);
    if (value >= lowest) continue;
    lowest = value;
    best = c;
  }
  return best;
}
