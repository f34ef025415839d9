/**
 * Consistent hashing: the endpoints an adapter is tried on first, the same for every entry daemon
 * without a word between them, and found in time that hardly grows with their number.
 * @module
 */
import * as hash from "../host/hash.js";

/** An endpoint on the ring. */
export interface Place {
  readonly name: string;
  readonly failureDomain: string;
}

export interface Ring {
  readonly places: readonly Place[];
  /** Points in rising order, and the place that owns each. */
  readonly points: Uint32Array;
  readonly owners: Uint32Array;
}

/** Points of one place; more make shares more even. */
const POINTS = 48;
/** Points looked at for one answer, for each place wanted. */
const LOOK = 16;

/** Above any number of places: a point and its owner share one double, so that sorting stays native. */
const OWNERS = 2 ** 20;

/** The ring of some endpoints, whatever their order. */
export function build(places: readonly Place[]): Ring {
  const made = new Float64Array(places.length * POINTS);
  for (const [owner, p] of places.entries()) {
    const name = hash.of32(p.name);
    for (let i = 0; i < POINTS; i++) {
      made[owner * POINTS + i] = hash.mix32(name, i + 1) * OWNERS + owner;
    }
  }
  made.sort();
  return {
    places,
    points: Uint32Array.from(made, (m) => Math.floor(m / OWNERS)),
    owners: Uint32Array.from(made, (m) => m % OWNERS),
  };
}

function firstAt(points: Uint32Array, point: number): number {
  let low = 0;
  let high = points.length;
  while (low < high) {
    const mid = (low + high) >>> 1;
    if ((points[mid] ?? 0) < point) low = mid + 1;
    else high = mid;
  }
  return low;
}

/**
 * Up to `n` endpoints for `key`, best first. The first `domains` of them are in failure domains of
 * their own as far as there are so many.
 */
export function successors(ring: Ring, key: string, n: number, domains: number): readonly Place[] {
  const { points, owners, places } = ring;
  const found: Place[] = [];
  const met = new Set<number>();
  const start = firstAt(points, hash.of32(key));
  const wanted = Math.min(n, places.length);
  // All of a small ring is walked; of a large one no more than the answer needs.
  const steps = Math.min(points.length, Math.max(wanted * LOOK, 4 * POINTS));
  for (let i = 0; i < steps && met.size < wanted + domains * LOOK; i++) {
    const owner = owners[(start + i) % points.length] ?? 0;
    if (met.has(owner)) continue;
    met.add(owner);
    const place = places[owner];
    if (place) found.push(place);
  }
  return spread(found, domains).slice(0, wanted);
}

function spread(found: readonly Place[], domains: number): readonly Place[] {
  const seen = new Set<string>();
  const ahead: Place[] = [];
  const rest: Place[] = [];
  for (const p of found) {
    const fresh = ahead.length < domains && !seen.has(p.failureDomain);
    seen.add(p.failureDomain);
    (fresh ? ahead : rest).push(p);
  }
  return [...ahead, ...rest];
}
