/**
 * Selects the engines that are compared for a request. Pure functions.
 *
 * In a fleet of many engines and entry hosts, comparing all engines for each request would take time that grows with
 * the fleet, and would send all hosts with equally old states to the engine that was the idlest then. So only the
 * engines known to have the adapter are compared, and a few in the adapter's own order. That order is the same on all
 * hosts, so a request for an adapter that no engine has goes to the same few engines from any host. More engines are
 * compared only while the best would be late or is crowded. This combines consistent hashing with the power of a few choices.
 * @module
 */
import * as choice from "./choice.js";
import * as crowding from "./spread/crowding.js";

/** Access to the views of the engines of one service. */
export interface EngineViews {
  /** Views of the first `n` engines in the order for `key`, each with its index in that order. */
  readonly inOrder: (key: string, n: number) => readonly choice.View[];
  /** Views of up to {@link HOLDER_SAMPLE} engines on which an adapter is resident or warm, sampled at random. */
  readonly withAdapter: (key: string) => readonly choice.View[];
}

/**
 * Number of engines that are compared in an adapter's own order: at first, then if the best of those would be late
 * or is crowded, then if none of those is usable. Sixteen cover a small fleet completely.
 */
const WIDTHS: readonly number[] = [4, 16, Infinity];
/**
 * Maximum number of engines sampled among those that have an adapter. By outdated states, all hosts would send to the
 * same best engine of all; the best of a small random sample differs between hosts.
 */
export const HOLDER_SAMPLE = 8;
/** Order index given to an engine that has the adapter and is not among the first in the adapter's order. */
export const HOLDER_ORDER_INDEX = 4;

/**
 * The engines that can serve a request, best first. `orderKey` is the key whose order is used for a request that names
 * no adapter.
 */
export function find(
  fleet: EngineViews,
  need: choice.Need,
  orderKey: string,
): readonly choice.Estimate[] {
  const holders = need.key === undefined ? [] : fleet.withAdapter(need.key);
  let found: readonly choice.Estimate[] = [];
  for (const width of WIDTHS) {
    const views = merge(fleet.inOrder(need.key ?? orderKey, width), holders);
    found = choice.rankEngines(views, need);
    const [best] = found;
    // All engines are compared only where none of the second width is usable; an engine that would be late is usable.
    if (best && (isGood(best, need) || width === WIDTHS[1])) break;
    if (!best && isWorthWaiting(views, width)) break;
  }
  return found;
}

/** Whether an engine would be on time and is not crowded, so that no more engines are compared. */
function isGood(best: choice.Estimate, need: choice.Need): boolean {
  return best.firstMs <= need.targetMs && !crowding.isCrowded(best.crowding);
}

/**
 * Whether to wait for engines that are starting instead of comparing more engines. An entry host that has just started
 * is connected to no engine; if its first requests compared all engines, it would connect to the whole fleet before it
 * serves one. An engine that loads its base model is waited for only if no other engine of the second width is usable,
 * as after a power cut of the whole site.
 */
function isWorthWaiting(views: readonly choice.View[], width: number): boolean {
  const isFirst = width === WIDTHS[0];
  return views.some((v) => v.isStarting && (!isFirst || v.state === undefined));
}

/** Merges two lists of views, with each engine once. */
function merge(
  inOrder: readonly choice.View[],
  holders: readonly choice.View[],
): readonly choice.View[] {
  const ids = new Set(inOrder.map((v) => v.endpoint.id));
  return [...inOrder, ...holders.filter((v) => !ids.has(v.endpoint.id))];
}
