/**
 * The cost of sending one more request to a crowded engine, so that load is balanced over engines of uneven speed.
 *
 * An engine's crowding is the prefill granted in the last second, as a share of what its running streams allow; 1 is
 * full. Engines without steady streams announce none, and are then ranked without it. Pure functions.
 * @module
 */
import type * as choice from "../choice.js";

/**
 * Cost of a full engine over that of an empty one, in copies of the adapter. With two, an engine that is up to half full
 * never gives an adapter away to an engine that would have to fetch it from the store, not even to an empty one, but
 * engines that have the adapter share its requests evenly.
 */
const COPIES_TO_FULL = 2;
/** Crowding from which the cost rises by one more copy until the engine is full, by the square of the excess. */
const RISES_FROM = 0.5;
/**
 * Cost of crowding beyond 1, in copies for each 1. It is low because where most engines are full, further copies make
 * none of them emptier, and take slots that other adapters need.
 */
const COPIES_BEYOND_FULL = 0.5;
/**
 * Crowding above which more engines are compared, and an adapter that no engine has goes to another engine. It leaves a
 * quarter of the room for what the other hosts send within the age of a state.
 */
const CROWDED_ABOVE = 0.75;
/** Share of its time that an engine with running streams can read prompts in, at most. */
const MAX_READING_SHARE = 0.5;
/** Period in milliseconds over which endpoint daemons measure crowding. */
const PERIOD_MS = 1000;

/** What the cost of one engine takes from all engines compared. */
export interface Means {
  readonly crowding: number;
  /** Milliseconds of a load from the weight store. */
  readonly coldMs: number;
}

/** Means over the engines of `views` that announced their crowding; undefined if none did. */
export function meansOf(views: readonly choice.View[]): Means | undefined {
  let [crowding, coldMs, count] = [0, 0, 0];
  for (const { state } of views) {
    if (state?.crowding === undefined || state.instance === "") continue;
    crowding += state.crowding;
    coldMs += state.coldMs;
    count++;
  }
  return count === 0 ? undefined : { crowding: crowding / count, coldMs: coldMs / count };
}

/** What prompts that are read in `readMs` add to an engine's crowding, at least. */
export function ofReading(readMs: number): number {
  return Math.max(0, readMs) / (MAX_READING_SHARE * PERIOD_MS);
}

/** Whether an engine is crowded; false where it announces no crowding. */
export function isCrowded(crowding: number | undefined): boolean {
  return crowding !== undefined && crowding > CROWDED_ABOVE;
}

/**
 * Cost in ms of one more request to an engine. `copyMs` is the cost of one more copy of the adapter, and `hasHolder`
 * whether any engine compared has the adapter.
 *
 * An adapter that no engine has should be loaded by the same engine whichever host asks. So its cost is the same for
 * all engines that are not crowded, whatever the age of the states, and the first of those in its order is chosen.
 */
export function costMs(crowding: number, copyMs: number, hasHolder: boolean): number {
  if (!hasHolder) return isCrowded(crowding) ? copyMs : 0;
  const within = Math.min(1, crowding);
  const beyond = Math.max(0, crowding - 1);
  const rise = Math.max(0, within - RISES_FROM) / (1 - RISES_FROM);
  return copyMs * (COPIES_TO_FULL * within + rise ** 2 + COPIES_BEYOND_FULL * beyond);
}

/** The crowding of the engine that was chosen and of the first in the adapter's order, for the log. */
export interface Comparison {
  readonly chosen: number;
  /** Undefined where the first in the order cannot serve the request. */
  readonly first: number | undefined;
}

/** Compares the best of a ranking with the first engine in the order; undefined where no crowding is announced. */
export function compare(ranking: readonly choice.Estimate[]): Comparison | undefined {
  const chosen = ranking[0]?.crowding;
  if (chosen === undefined) return undefined;
  const first = ranking.find((e) => e.view.orderIndex === 0)?.crowding;
  return { chosen: rounded(chosen), first: first === undefined ? undefined : rounded(first) };
}

function rounded(crowding: number): number {
  return Math.round(crowding * 100) / 100;
}
