/**
 * The declared versions of an adapter as one host knows them. Pure.
 * @module
 */

/** A version that was declared. */
interface Step {
  readonly version: number;
  /** Monotonic ms before which it was certainly not declared; -Infinity if that is not known. */
  readonly notBefore: number;
}

/** The newest declared version of an adapter, with those before it. */
export interface Declared extends Step {
  /** The latest versions that were declared, in order; the last one is the newest. */
  readonly steps: readonly Step[];
  /** Newest version that was declared before those; 0 if none is known. */
  readonly base: number;
}

/** Number of steps that are kept. A version older than these is taken for outdated at any time. */
const MAX_STEPS = 4;

/** What a host knows after it heard of `version`; the same as before unless it is newer. */
export function declare(
  known: Declared | undefined,
  version: number,
  notBefore: number,
): Declared | undefined {
  if ((known?.version ?? 0) >= version) return known;
  const all = [...(known?.steps ?? []), { version, notBefore }];
  const dropped = all.slice(0, -MAX_STEPS).at(-1);
  const base = dropped?.version ?? known?.base ?? 0;
  return { version, notBefore, steps: all.slice(-MAX_STEPS), base };
}

/** Monotonic ms before which a version was certainly not outdated; Infinity if it is not outdated. */
export function outdatedSince(known: Declared | undefined, version: number): number {
  if (!known || version >= known.version) return Infinity;
  if (version < known.base) return -Infinity;
  return known.steps.find((s) => s.version > version)?.notBefore ?? -Infinity;
}

/** The oldest version that was not outdated before a monotonic ms; 0 if none is declared. */
export function oldestSince(known: Declared | undefined, at: number): number {
  if (!known) return 0;
  const [first] = known.steps;
  if (first && first.notBefore > at) return known.base;
  return known.steps.findLast((s) => s.notBefore <= at)?.version ?? known.version;
}

/** How a send relates to the newest version of its adapter that its host knows. */
export type Match = "newest" | "older" | "unnamed";

/** Compares the version that a send names, if any, with the newest known one. */
export function matchOf(known: Declared | undefined, version: number | undefined): Match {
  if (version === undefined) return "unnamed";
  return version >= (known?.version ?? 0) ? "newest" : "older";
}
