/**
 * Which engines a choice looks at.
 *
 * The load that this answers is a fleet of many engines and many entry hosts. To look at all engines for
 * each request costs an entry host time that grows with the fleet, and sends all hosts with news of the
 * same age to the same engine that was the idlest then. So a choice looks at the engines known to have the
 * adapter, and at a few in the adapter's own order, which is the same on all hosts: an adapter that nobody
 * has goes to the same few engines whoever asks. It looks at more of them only while the best would be
 * late. Consistent hashing, with the power of a few choices; pure.
 * @module
 */
import * as choice from "./choice.js";

/** The engines of one service, as an entry host knows them. */
export interface Fleet {
  /** Views of the first `n` engines in the order that belongs to `key`, each with its place there. */
  readonly inOrder: (key: string, n: number) => readonly choice.View[];
  /** Views of engines known to have an adapter at hand: {@link HOLDERS} of them at most, drawn at random. */
  readonly having: (key: string) => readonly choice.View[];
}

/**
 * Engines looked at in an adapter's own order: at first, while the best of them would be late, and while
 * none of them can be used at all. Sixteen cover small fleets whole.
 */
const WIDTHS: readonly number[] = [4, 16, Infinity];
/**
 * Engines looked at among those that have an adapter. The best of all by
 * old news is what every other host sends to as well, the best of a few drawn ones is not.
 */
export const HOLDERS = 8;
/** Place of an engine that has an adapter and is not among the first in its order. */
export const ELSEWHERE = 4;

/** Candidates for a request on an engine, best first; `spread` places what names no adapter. */
export function find(fleet: Fleet, need: choice.Need, spread: string): readonly choice.Estimate[] {
  const having = need.key === undefined ? [] : fleet.having(need.key);
  let found: readonly choice.Estimate[] = [];
  for (const width of WIDTHS) {
    const views = joined(fleet.inOrder(need.key ?? spread, width), having);
    found = choice.engines(views, need);
    const [best] = found;
    // All engines are looked at only where none can be used; a late one can be.
    if (best && (best.firstMs <= need.targetMs || width === WIDTHS[1])) break;
    if (!best && isWorthWaiting(views, width)) break;
  }
  return found;
}

/**
 * Whether engines that cannot be used yet are waited for, and no others looked at. An entry host that has
 * just started has reached no engine: were all of them looked at for its first requests, it would connect
 * to the whole fleet before it serves one. An engine that loads its base model is waited for only when no
 * other of the second width can be used, as after a power cut of the whole site.
 */
function isWorthWaiting(views: readonly choice.View[], width: number): boolean {
  const isFirst = width === WIDTHS[0];
  return views.some((v) => v.coming && (!isFirst || v.state === undefined));
}

/** Views of both lists, each engine once. */
function joined(
  inOrder: readonly choice.View[],
  having: readonly choice.View[],
): readonly choice.View[] {
  const met = new Set(inOrder.map((v) => v.endpoint.id));
  return [...inOrder, ...having.filter((v) => !met.has(v.endpoint.id))];
}
