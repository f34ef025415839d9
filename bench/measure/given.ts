/**
 * What a run is given: the intent of a deployment, and the future for the policy that knows it.
 * @module
 */
import type * as intents from "../../src/contract/intent.js";
import * as objects from "../../src/contract/objects.js";
import * as declare from "../declare.js";
import type * as workload from "./workload.js";

/** The intent of a deployment. */
export function intentOf(d: workload.Deployment): intents.Intent {
  const numbers = Array.from({ length: d.engines }, (_, i) => i);
  const domainOf = (i: number): string => d.failureDomains[i % d.failureDomains.length] ?? "";
  const spec = { slots: d.slots, seats: d.seats };
  const puts = [
    ...d.failureDomains.map((name) => declare.domain(name)),
    ...numbers.map((i) => declare.host(`host-${i}`, domainOf(i))),
    ...numbers.map((i) => declare.engineAt(`engine-${i}`, `host-${i}`, spec)),
    ...Array.from({ length: d.adapters }, (_, i) => declare.adapter(`a${i}`, "weights", ["1"])),
    declare.placement("anywhere"),
  ];
  const found = new Map(puts.map((o) => [objects.keyOf(o), o]));
  return { revision: 1, id: "measured", objects: found };
}

/** Times at which each adapter is wanted, for the policy that knows the future. */
export function futureOf(
  requests: readonly workload.Request[],
): ReadonlyMap<string, readonly number[]> {
  const out = new Map<string, number[]>();
  for (const r of requests) {
    const target = `${r.adapter}@1`;
    const times = out.get(target);
    if (times) times.push(r.at);
    else out.set(target, [r.at]);
  }
  return out;
}

/** The first time after `now` at which an adapter is wanted; Infinity for never. */
export function nextUse(times: readonly number[] | undefined, now: number): number {
  if (!times) return Infinity;
  let low = 0;
  let high = times.length;
  while (low < high) {
    const mid = (low + high) >>> 1;
    if ((times[mid] ?? 0) <= now) low = mid + 1;
    else high = mid;
  }
  return times[low] ?? Infinity;
}
