/**
 * The popularity (heat) of each adapter: its requests weighted by worth, with exponential decay.
 * @module
 */

interface Heat {
  readonly value: number;
  readonly at: number;
}

/** Heat of the adapters that are remembered; all others have heat 0. */
export interface Popularity {
  /** Milliseconds after which a past request has half its weight. */
  readonly halfLifeMs: number;
  /** Largest number of adapters to remember; the coldest is dropped first. */
  readonly limit: number;
  readonly byTarget: ReadonlyMap<string, Heat>;
}

/** A popularity without any requests. */
export function cold(halfLifeMs: number, limit: number): Popularity {
  if (!(halfLifeMs > 0) || !(limit > 0))
    throw new RangeError("half-life and limit must be greater than 0");
  return { halfLifeMs, limit, byTarget: new Map() };
}

/** Heat of `target` at `now`; 0 if it is not remembered. */
export function heat(p: Popularity, target: string, now: number): number {
  const h = p.byTarget.get(target);
  return h ? h.value * 2 ** (-(now - h.at) / p.halfLifeMs) : 0;
}

/** The popularity after one more request for `target`, of weight `worth`. */
export function hit(p: Popularity, target: string, worth: number, now: number): Popularity {
  const byTarget = new Map(p.byTarget);
  byTarget.set(target, { value: heat(p, target, now) + worth, at: now });
  if (byTarget.size <= p.limit) return { ...p, byTarget };
  const others = [...byTarget.keys()].filter((t) => t !== target);
  byTarget.delete(coldest(p, others, now) ?? "");
  return { ...p, byTarget };
}

/** The target in `of` with the least heat; undefined if `of` is empty. */
export function coldest(p: Popularity, of: Iterable<string>, now: number): string | undefined {
  let best: string | undefined;
  let least = Infinity;
  for (const target of of) {
    const h = heat(p, target, now);
    if (h >= least) continue;
    least = h;
    best = target;
  }
  return best;
}
