/**
 * Explains to an operator, in sentences, how a caller's request for a model would be routed.
 * @module
 */
import * as intents from "../contract/intent.js";
import type * as objects from "../contract/objects.js";
import * as selector from "../contract/selector.js";
import * as job from "./job.js";
import * as route from "./route.js";
import * as view from "./view.js";
import type * as views from "./views.js";

/** State that the explanation is based on. */
export interface Deps {
  readonly intent: intents.Intent;
  readonly views: views.EndpointViews;
  /** Monotonic ms. */
  readonly now: number;
  readonly failureDomain: string;
  readonly route: route.Options;
  readonly random: () => number;
}

/** Lines that explain the routing; the last names the endpoint that would be chosen now. */
export function explain(callerName: string, model: string, d: Deps): readonly string[] {
  const caller = intents.find(d.intent, "Caller", callerName);
  if (!caller) return [`Caller ${callerName} does not exist.`];
  const resolved = intents.resolve(d.intent, model);
  if (!resolved) return [`The intent has no adapter and version ${model}.`];
  const { adapter, version } = resolved;
  const grant = intents.grantFor(d.intent, caller, adapter);
  if (!grant) return [`No grant allows ${callerName} to use ${adapter.metadata.name}.`];
  const placements = intents.placementsOf(d.intent, adapter);
  const work = {
    kind: "model",
    adapter: adapter.metadata.name,
    version,
    path: "",
    stream: false,
  } as const;
  const key = job.targetKey(work);
  const candidates = d.views.candidates(d.intent, adapter, key, new Set());
  const best = route.choose(candidates, key, d.failureDomain, d.route, d.random);
  return [
    `${model} resolves to ${key}, allowed by grant ${grant.metadata.name}.`,
    placements.length === 0
      ? `No placement selects ${adapter.metadata.name}.`
      : `Selected by placements: ${placements.map((p) => p.metadata.name).join(", ")}.`,
    ...intents
      .list(d.intent, "Endpoint")
      .map((e) => describeEndpoint(e, adapter, key, placements, candidates, d)),
    best ? `Chosen endpoint: ${best.view.name}.` : "Chosen endpoint: none.",
  ];
}

/** The line for one endpoint: its estimated cost, or why it is not a candidate. */
function describeEndpoint(
  e: objects.Endpoint,
  adapter: objects.Adapter,
  key: string,
  placements: readonly objects.Placement[],
  candidates: readonly route.Candidate[],
  d: Deps,
): string {
  const name = e.metadata.name;
  const candidate = candidates.find((c) => c.view.name === name);
  if (candidate) {
    const cost = route.estimate(candidate, key, d.failureDomain, d.route);
    const breakdown = [
      `queue ${Math.round(cost.queueMs)}`,
      `load ${Math.round(cost.loadMs)}`,
      `link ${Math.round(cost.linkMs)}`,
      `batch -${Math.round(cost.batchMs)}`,
    ].join(", ");
    return `${name}: candidate; the adapter is ${cost.holding}; ${Math.round(cost.total)} ms (${breakdown}).`;
  }
  return `${name}: not a candidate; ${exclusionReason(e, adapter, placements, d)}.`;
}

/** Why an endpoint is not among the candidates. */
function exclusionReason(
  e: objects.Endpoint,
  adapter: objects.Adapter,
  placements: readonly objects.Placement[],
  d: Deps,
): string {
  if (!intents.fits(e, adapter)) return `it does not serve ${adapter.spec.baseModel}`;
  const labels = intents.labelsOf(d.intent, e);
  const mismatches = placements.map((p) => {
    const why = selector.whyNot(p.spec.endpoints, labels);
    return why && `placement ${p.metadata.name}: ${why}`;
  });
  if (mismatches.length > 0 && mismatches.every((m) => m !== undefined))
    return mismatches.join("; ");
  if (intents.drained(d.intent, e)) return `it is drained by label ${intents.DRAIN_LABEL}`;
  const v = d.views.get(e.metadata.name);
  if (!v) return "it is not in the list of hosts";
  return view.unusable(v, d.now) ?? "other endpoints come first on the ring";
}
