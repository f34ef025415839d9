/**
 * The sets of decisions that are measured against each other.
 * @module
 */
import type * as plan from "../../src/endpoint/plan.js";
import type * as route from "../../src/entry/route.js";

export interface Policy {
  readonly name: string;
  readonly route: route.Options;
  readonly evict: plan.Eviction["kind"];
  readonly order: plan.Options["order"];
  /** Whether loads take turns at the weight store. */
  readonly turns: boolean;
  /** Whether entry daemons know the endpoints' state at once; no real one does. */
  readonly fresh: boolean;
  /** Whether requests wait in one queue for all, and go to the engine that is free first. */
  readonly shared: boolean;
  readonly ageMs: number;
  readonly halfLifeMs: number;
  /** Waits told between questions for a turn, in ms. */
  readonly turnMinMs: number;
}

const OURS: Policy = {
  name: "sumacfield",
  route: { policy: "estimate", domainMs: 4, batchMs: 20, loadWeight: 1, rankMs: 50 },
  evict: "coldest",
  order: "worth",
  turns: true,
  fresh: false,
  shared: false,
  ageMs: 1000,
  halfLifeMs: 300_000,
  turnMinMs: 20,
};

const PLAIN: Policy = { ...OURS, evict: "least-recent", order: "first-come", turns: false };

/** By name: ours, the simple baselines, and the bound that knows the future. */
export const POLICIES: readonly Policy[] = [
  OURS,
  { ...PLAIN, name: "random", route: { ...OURS.route, policy: "random" } },
  { ...PLAIN, name: "least-loaded", route: { ...OURS.route, policy: "least-loaded" } },
  { ...PLAIN, name: "hash", route: { ...OURS.route, policy: "hash" } },
  {
    ...PLAIN,
    name: "shared-queue",
    route: { ...OURS.route, policy: "least-loaded" },
    shared: true,
  },
  { ...OURS, name: "bound", evict: "ranked", fresh: true, turnMinMs: 1 },
];

/** A policy by name, with settings changed as `name,key=value,...` says. */
export function find(text: string): Policy {
  const [name, ...edits] = text.split(",");
  const found = POLICIES.find((p) => p.name === name);
  if (!found) throw new Error(`there is no policy ${name ?? ""}`);
  let policy: Policy = found;
  for (const edit of edits) {
    const [key = "", value = ""] = edit.split("=", 2);
    policy = change(policy, key, value);
  }
  return edits.length === 0 ? policy : { ...policy, name: text };
}

function change(p: Policy, key: string, value: string): Policy {
  const typed = value === "true" || value === "false" ? value === "true" : value;
  const number = Number(value);
  const given = Number.isNaN(number) ? typed : number;
  if (key in p.route) return { ...p, route: { ...p.route, [key]: given } };
  if (key in p) return { ...p, [key]: given };
  throw new Error(`a policy has no setting ${key}`);
}
