/**
 * Chooses the connection for a request. Pure.
 *
 * The answers to the sends of one request all name that request. No connection carries it twice, so that the connection tells
 * them apart: an answer to an earlier send that arrives late cannot be taken for the answer to a later one.
 * @module
 */

/** What is known of one client of a pool. */
export interface Candidate {
  /** Number of its current connection, or of its last one. */
  readonly number: number;
  readonly isConnected: boolean;
  readonly isBusy: boolean;
}

/** Where to send a request; `index` is that of a candidate. */
export type Choice =
  | { readonly kind: "use"; readonly index: number }
  /** Close the connection of an idle client, and open another one. */
  | { readonly kind: "replace"; readonly index: number }
  | { readonly kind: "open" }
  | { readonly kind: "wait" };

/**
 * Chooses among `list`, to which clients may be added up to `limit`. `carried` holds the numbers of the connections that carried
 * the request before.
 */
export function choose(
  list: readonly Candidate[],
  limit: number,
  carried: ReadonlySet<number>,
): Choice {
  let unconnected: number | undefined;
  let unsuitable: number | undefined;
  for (const [index, c] of list.entries()) {
    if (c.isBusy) continue;
    if (!c.isConnected) unconnected ??= index;
    else if (carried.has(c.number)) unsuitable ??= index;
    else return { kind: "use", index };
  }
  if (unconnected !== undefined) return { kind: "use", index: unconnected };
  if (list.length < limit) return { kind: "open" };
  return unsuitable === undefined ? { kind: "wait" } : { kind: "replace", index: unsuitable };
}
