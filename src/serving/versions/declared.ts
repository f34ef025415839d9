/**
 * The declared version of an adapter as one host knows it. Pure.
 * @module
 */

/** The newest declared version of an adapter. */
export interface Declared {
  readonly version: number;
  /** Newest version that the host knew before; 0 if it knew none. */
  readonly previous: number;
  /** Monotonic ms before which this version was certainly not declared; -Infinity if that is not known. */
  readonly notBefore: number;
}

/** What a host knows after it heard of `version`; the same as before unless it is newer. */
export function declare(
  known: Declared | undefined,
  version: number,
  notBefore: number,
): Declared | undefined {
  const previous = known?.version ?? 0;
  return previous >= version ? known : { version, previous, notBefore };
}

/** How a send relates to the newest version of its adapter that its host knows. */
export type Match = "newest" | "older" | "unnamed";

/** Compares the version that a send names, if any, with the newest known one. */
export function matchOf(known: Declared | undefined, version: number | undefined): Match {
  if (version === undefined) return "unnamed";
  return version >= (known?.version ?? 0) ? "newest" : "older";
}
