/**
 * Time of the event loop that a connection has used lately. Pure.
 * @module
 */

/** Milliseconds in which what was used is forgotten by two thirds. */
const DECAY_MS = 1000;
/** Milliseconds of recent use up to which a connection belongs to each class but the last. */
const CLASS_MS = [3, 10, 30] as const;
/** Number of classes. */
export const CLASSES = CLASS_MS.length + 1;

/** The use of one connection. */
export interface Use {
  /** Milliseconds used, as of `at`. */
  readonly ms: number;
  /** Monotonic ms. */
  readonly at: number;
}

/** The use of a new connection. */
export const NONE: Use = { ms: 0, at: 0 };

/** Milliseconds of use that count at `now`. */
export function recentMs(u: Use, now: number): number {
  return u.ms * Math.exp((u.at - now) / DECAY_MS);
}

/** The use after another `ms`. */
export function add(u: Use, now: number, ms: number): Use {
  return { ms: recentMs(u, now) + ms, at: now };
}

/** Class of a connection, from 0; those of lower classes have used less lately, and are read first. */
export function classOf(u: Use, now: number): number {
  const ms = recentMs(u, now);
  const found = CLASS_MS.findIndex((most) => ms < most);
  return found < 0 ? CLASS_MS.length : found;
}
