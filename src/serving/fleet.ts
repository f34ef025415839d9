/**
 * The engines of one service, arranged so that a search among them looks at few: in the order that
 * belongs to an adapter, and by who has it. Pure but for the holders, which are read as they are.
 * @module
 */
import * as ring from "../contract/ring.js";
import type * as catalog from "./catalog.js";
import type * as choice from "./choice.js";
import type * as holders from "./holders.js";
import * as search from "./search.js";

/** Where the engines of a service are. */
export interface Arrangement {
  /** The ring of the addresses of their endpoint daemons. */
  readonly ring: ring.Ring;
  /** The endpoints at each of these addresses: two while an incarnation follows another. */
  readonly at: ReadonlyMap<string, readonly catalog.Endpoint[]>;
}

/** Failure domains that the first engines in an adapter's order are spread over. */
const SPREAD = 2;

/**
 * Arranges `list` by the addresses that `daemonOf` tells. Of the rings `known`, one of the same addresses
 * is used again, since a new incarnation at an address changes nothing.
 */
export function arrange(
  list: readonly catalog.Endpoint[],
  daemonOf: (e: catalog.Endpoint) => string,
  known: readonly ring.Ring[],
): Arrangement {
  const at = new Map<string, readonly catalog.Endpoint[]>();
  for (const e of list) {
    const address = daemonOf(e);
    at.set(address, [...(at.get(address) ?? []), e]);
  }
  const same = known.find(
    (r) => r.places.length === at.size && r.places.every((p) => at.has(p.name)),
  );
  if (same) return { at, ring: same };
  const places = [...at].map(([name, [e]]) => ({ name, failureDomain: e?.domain ?? "" }));
  return { at, ring: ring.build(places) };
}

/** What a search needs of the engines in an arrangement. */
export function of(
  a: Arrangement,
  having: holders.Holders,
  viewOf: (e: catalog.Endpoint, place: number) => choice.View,
  random: () => number,
): search.Fleet {
  const viewsAt = (address: string, place: number): readonly choice.View[] =>
    (a.at.get(address) ?? []).map((e) => viewOf(e, place));
  return {
    inOrder: (key, n) =>
      ring.successors(a.ring, key, n, SPREAD).flatMap((p, place) => viewsAt(p.name, place)),
    having: (key) => {
      const there = [...having.of(key)].filter((address) => a.at.has(address));
      return drawn(there, search.HOLDERS, random).flatMap((at) => viewsAt(at, search.ELSEWHERE));
    },
  };
}

/** Up to `n` of a list, drawn at random. */
function drawn<T>(list: readonly T[], n: number, random: () => number): readonly T[] {
  const left = [...list];
  if (left.length <= n) return left;
  return Array.from({ length: n }, () => left.splice(Math.floor(random() * left.length), 1)).flat();
}
