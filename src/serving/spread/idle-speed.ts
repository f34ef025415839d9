/**
 * Estimates the speed of an engine that has run nothing for some time. An engine's estimate changes only with its runs,
 * so one that a slow spell made bad would otherwise keep all requests away, and with them the runs that correct it.
 * Pure functions.
 * @module
 */
import type * as choice from "../choice.js";
import type * as seatMessages from "../seat-messages.js";

/** How fast an engine is, as in its state. */
export interface Speed {
  /** Milliseconds to read one prompt token. */
  readonly msPerToken: number;
  /** Milliseconds from the last prompt token to the first event. */
  readonly firstMs: number;
}

/**
 * Half-life, in milliseconds without a seat, of the difference between an engine's estimate and the median of the engines
 * compared. Slow spells last under a second, and an engine in use has a seat open nearly all the time.
 */
const HALF_LIFE_MS = 10_000;

/** Median speed of the engines that announce crowding; undefined if none does. */
export function medianOf(views: readonly choice.View[]): Speed | undefined {
  const speeds = views.flatMap(({ state }) =>
    state?.crowding === undefined || state.instance === "" ? [] : [state],
  );
  if (speeds.length === 0) return undefined;
  return {
    msPerToken: median(speeds.map((s) => s.msPerToken)),
    firstMs: median(speeds.map((s) => s.firstMs)),
  };
}

function median(list: readonly number[]): number {
  // A typed array sorts numbers without a call for each comparison.
  return Float64Array.from(list).sort()[list.length >> 1] ?? 0;
}

/**
 * The speed expected of an engine by its state and the median of the engines compared. `idleMs` is the time since a seat
 * was open on it; undefined where that is unknown.
 */
export function expected(
  state: Speed & Pick<seatMessages.State, "crowding">,
  idleMs: number | undefined,
  usual: Speed | undefined,
): Speed {
  if (!usual || idleMs === undefined || state.crowding === undefined) return state;
  const weight = 2 ** (-idleMs / HALF_LIFE_MS);
  return {
    msPerToken: usual.msPerToken + (state.msPerToken - usual.msPerToken) * weight,
    firstMs: usual.firstMs + (state.firstMs - usual.firstMs) * weight,
  };
}
