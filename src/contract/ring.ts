/**
 * A consistent-hash ring that gives the endpoints an adapter is tried on first. Every entry daemon
 * computes the same answer without communication, in time that hardly grows with the number of endpoints.
 * @module
 */
import * as hash from "../host/hash.js";

/** An endpoint on the ring. */
export interface Place {
  readonly name: string;
  readonly failureDomain: string;
}

/** A consistent-hash ring, as built by {@link build}. */
export interface Ring {
  readonly places: readonly Place[];
  /** Points in ascending order. `owners` holds, for each point, the index in `places` of its endpoint. */
  readonly points: Uint32Array;
  readonly owners: Uint32Array;
}

/** Points of one endpoint on the ring; with more points the endpoints' shares are more even. */
const POINTS_PER_ENDPOINT = 48;
/**
 * On a large ring, points scanned at most for each endpoint wanted. Also the number of further
 * endpoints collected at most for each failure domain wanted.
 */
const SCAN_PER_ENDPOINT = 16;

/**
 * Exceeds any number of endpoints. A point and the index of its endpoint are packed into one double,
 * point * MAX_ENDPOINTS + index, so that the native numeric sort can be used.
 */
const MAX_ENDPOINTS = 2 ** 20;

/** Builds the ring of the given endpoints. The answers do not depend on their order. */
export function build(places: readonly Place[]): Ring {
  const sortable = new Float64Array(places.length * POINTS_PER_ENDPOINT);
  for (const [owner, p] of places.entries()) {
    const name = hash.hash32(p.name);
    for (let i = 0; i < POINTS_PER_ENDPOINT; i++) {
      sortable[owner * POINTS_PER_ENDPOINT + i] = hash.mix32(name, i + 1) * MAX_ENDPOINTS + owner;
    }
  }
  sortable.sort();
  return {
    places,
    points: Uint32Array.from(sortable, (m) => Math.floor(m / MAX_ENDPOINTS)),
    owners: Uint32Array.from(sortable, (m) => m % MAX_ENDPOINTS),
  };
}

/** Index of the first point that is not below `point`, by binary search. */
function firstPointFrom(points: Uint32Array, point: number): number {
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
 * Returns up to `n` endpoints for `key`, in order of preference. The first `domains` of them are in
 * distinct failure domains, as far as there are that many.
 */
export function successors(ring: Ring, key: string, n: number, domains: number): readonly Place[] {
  const { points, owners, places } = ring;
  const found: Place[] = [];
  const visited = new Uint8Array(places.length);
  const start = firstPointFrom(points, hash.hash32(key));
  const wanted = Math.min(n, places.length);
  // A small ring is scanned whole, a large one only as far as the answer requires.
  const steps = Math.min(
    points.length,
    Math.max(wanted * SCAN_PER_ENDPOINT, 4 * POINTS_PER_ENDPOINT),
  );
  for (let i = 0; i < steps && found.length < wanted + domains * SCAN_PER_ENDPOINT; i++) {
    const owner = owners[(start + i) % points.length] ?? 0;
    if (visited[owner] === 1) continue;
    visited[owner] = 1;
    const place = places[owner];
    if (place) found.push(place);
  }
  return preferDistinctDomains(found, domains).slice(0, wanted);
}

/** Moves to the front the first endpoint of each failure domain, for at most `domains` domains. */
function preferDistinctDomains(found: readonly Place[], domains: number): readonly Place[] {
  const seen = new Set<string>();
  const preferred: Place[] = [];
  const rest: Place[] = [];
  for (const p of found) {
    const isNewDomain = preferred.length < domains && !seen.has(p.failureDomain);
    seen.add(p.failureDomain);
    (isNewDomain ? preferred : rest).push(p);
  }
  return [...preferred, ...rest];
}
