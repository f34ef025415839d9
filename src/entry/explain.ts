/**
 * Why a caller's request for a model goes where it goes, in sentences for an operator.
 * @module
 */
import * as intents from "../contract/intent.js";
import type * as objects from "../contract/objects.js";
import * as selector from "../contract/selector.js";
import * as job from "./job.js";
import * as route from "./route.js";
import * as view from "./view.js";
import type * as views from "./views.js";

/** What the explanation is drawn from. */
export interface Deps {
  readonly intent: intents.Intent;
  readonly views: views.Views;
  readonly now: number;
  readonly failureDomain: string;
  readonly route: route.Options;
  readonly random: () => number;
}

/** The lines for `caller` and `model`; the last names the endpoint that would be chosen now. */
export function explain(callerName: string, model: string, d: Deps): readonly string[] {
  const caller = intents.find(d.intent, "Caller", callerName);
  if (!caller) return [`There is no caller ${callerName}.`];
  const found = intents.resolve(d.intent, model);
  if (!found) return [`The intent names no adapter and version ${model}.`];
  const { adapter, version } = found;
  const grant = intents.grantFor(d.intent, caller, adapter);
  if (!grant) return [`No grant lets ${callerName} use ${adapter.metadata.name}.`];
  const placements = intents.placementsOf(d.intent, adapter);
  const work = {
    kind: "model",
    adapter: adapter.metadata.name,
    version,
    path: "",
    stream: false,
  } as const;
  const key = job.keyOf(work);
  const candidates = d.views.candidates(d.intent, adapter, key, new Set());
  const best = route.choose(candidates, key, d.failureDomain, d.route, d.random);
  return [
    `${model} is ${key}, granted by ${grant.metadata.name}.`,
    placements.length === 0
      ? `No placement picks ${adapter.metadata.name}.`
      : `Placed by ${placements.map((p) => p.metadata.name).join(", ")}.`,
    ...intents
      .list(d.intent, "Endpoint")
      .map((e) => line(e, adapter, key, placements, candidates, d)),
    best ? `Chosen now: ${best.view.name}.` : "Chosen now: none.",
  ];
}

function line(
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
    const sum = [
      `queue ${Math.round(cost.queueMs)}`,
      `load ${Math.round(cost.loadMs)}`,
      `link ${Math.round(cost.linkMs)}`,
      `batch -${Math.round(cost.batchMs)}`,
    ].join(", ");
    return `${name}: allowed; the adapter is ${cost.holding}; ${Math.round(cost.total)} ms (${sum}).`;
  }
  return `${name}: left out; ${whyOut(e, adapter, placements, d)}.`;
}

function whyOut(
  e: objects.Endpoint,
  adapter: objects.Adapter,
  placements: readonly objects.Placement[],
  d: Deps,
): string {
  if (!intents.fits(e, adapter)) return `it does not serve ${adapter.spec.baseModel}`;
  const labels = intents.labelsOf(d.intent, e);
  const missed = placements.map((p) => {
    const why = selector.whyNot(p.spec.endpoints, labels);
    return why && `placement ${p.metadata.name}: ${why}`;
  });
  if (missed.length > 0 && missed.every((m) => m !== undefined)) return missed.join("; ");
  if (intents.drained(d.intent, e)) return `label ${intents.DRAIN_LABEL} drains it`;
  const v = d.views.get(e.metadata.name);
  if (!v) return "the list of hosts does not have it";
  return view.unusable(v, d.now) ?? "others come first on the ring";
}
