/**
 * Arranges the engines of one service so that a search has to compare only a few of them: by their order for an
 * adapter, and by which of them have it. Pure functions, except that the adapter index is read as it is.
 * @module
 */
import * as ring from "../contract/ring.js";
import type * as catalog from "./catalog.js";
import type * as choice from "./choice.js";
import type * as adapterIndex from "./adapter-index.js";
import * as search from "./search.js";

/** The engines of a service, arranged by the addresses of their endpoint daemons. */
export interface Layout {
  /** Consistent-hash ring of the addresses. */
  readonly ring: ring.Ring;
  /** The endpoints at each address: two while one incarnation replaces another. */
  readonly byAddress: ReadonlyMap<string, readonly catalog.Endpoint[]>;
}

/** Number of failure domains over which the first engines in an adapter's order are spread. */
const FIRST_DOMAINS = 2;

/**
 * Arranges the endpoints `list` by the addresses that `daemonOf` returns. A ring of `cachedRings` that has the same
 * addresses is reused, since a new incarnation at an address does not change the ring.
 */
export function buildLayout(
  list: readonly catalog.Endpoint[],
  daemonOf: (e: catalog.Endpoint) => string,
  cachedRings: readonly ring.Ring[],
): Layout {
  const byAddress = new Map<string, readonly catalog.Endpoint[]>();
  for (const e of list) {
    const address = daemonOf(e);
    byAddress.set(address, [...(byAddress.get(address) ?? []), e]);
  }
  const cached = cachedRings.find(
    (r) => r.places.length === byAddress.size && r.places.every((p) => byAddress.has(p.name)),
  );
  if (cached) return { byAddress, ring: cached };
  const places = [...byAddress].map(([name, [e]]) => ({ name, failureDomain: e?.domain ?? "" }));
  return { byAddress, ring: ring.build(places) };
}

/** The views of the engines in a layout that are accepted, for a search. `adapters` tells which engines have an adapter. */
export function viewsFor(
  layout: Layout,
  adapters: adapterIndex.AdapterIndex,
  viewOf: (e: catalog.Endpoint, place: number) => choice.View,
  random: () => number,
  accepts: (e: catalog.Endpoint) => boolean = () => true,
): search.EngineViews {
  const viewsAt = (address: string, place: number): readonly choice.View[] =>
    (layout.byAddress.get(address) ?? []).filter(accepts).map((e) => viewOf(e, place));
  return {
    inOrder: (key, n) =>
      ring
        .successors(layout.ring, key, n, FIRST_DOMAINS)
        .flatMap((p, place) => viewsAt(p.name, place)),
    withAdapter: (key) => {
      const addresses = [...adapters.addressesOf(key)].filter((address) =>
        layout.byAddress.get(address)?.some(accepts),
      );
      return sample(addresses, search.HOLDER_SAMPLE, random).flatMap((address) =>
        viewsAt(address, search.HOLDER_ORDER_INDEX),
      );
    },
  };
}

/** Up to `n` elements of a list, sampled at random without replacement. */
function sample<T>(list: readonly T[], n: number, random: () => number): readonly T[] {
  const rest = [...list];
  if (rest.length <= n) return rest;
  return Array.from({ length: n }, () => rest.splice(Math.floor(random() * rest.length), 1)).flat();
}
