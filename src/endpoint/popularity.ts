/**
 * How much each adapter was wanted lately: hits weighted by worth, halved every half-life.
 * @module
 */

interface Heat {
  readonly value: number;
  readonly at: number;
}

/** Heat of the adapters worth remembering; others count as cold. */
export interface Popularity {
  /** Milliseconds in which a past hit loses half its weight. */
  readonly halfLifeMs: number;
  /** Adapters remembered; the coldest is forgotten first. */
  readonly limit: number;
  readonly byTarget: ReadonlyMap<string, Heat>;
}

/** Nothing wanted yet. */
export function cold(halfLifeMs: number, limit: number): Popularity {
  if (!(halfLifeMs > 0) || !(limit > 0)) throw new RangeError("half-life and limit must be over 0");
  return { halfLifeMs, limit, byTarget: new Map() };
}

/** Heat of `target` at `now`; 0 when it is not remembered. */
export function heat(p: Popularity, target: string, now: number): number {
  const h = p.byTarget.get(target);
  return h ? h.value * 2 ** (-(now - h.at) / p.halfLifeMs) : 0;
}

/** The popularity after one hit of weight `worth`. */
export function hit(p: Popularity, target: string, worth: number, now: number): Popularity {
  const byTarget = new Map(p.byTarget);
  byTarget.set(target, { value: heat(p, target, now) + worth, at: now });
  if (byTarget.size <= p.limit) return { ...p, byTarget };
  const others = [...byTarget.keys()].filter((t) => t !== target);
  byTarget.delete(coldest(p, others, now) ?? "");
  return { ...p, byTarget };
}

/** The coldest of some targets; undefined for none. */
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
