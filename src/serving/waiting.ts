/**
 * Who waits for a seat on an engine, and in which order they are served. Pure.
 * @module
 */
import type * as seat from "./seat.js";

/** A seat that is asked for and not yet given. */
export interface Waiter {
  readonly seat: string;
  readonly key: string;
  readonly model: string;
  /** Left out for the base model itself. */
  readonly adapter?: string | undefined;
  readonly rank: number;
  readonly since: number;
  /** Milliseconds that the engine will read its prompt, until its first event. */
  readonly ownMs: number;
  /** Monotonic ms after which its answer is late, and after which the seat is of no use. */
  readonly targetAt: number;
  readonly dueAt: number;
}

/**
 * Milliseconds of waiting that one step of urgency counts as. Places are what is scarce, and urgent
 * answers may hold one ten times as long as others, so urgency goes before age by a little only.
 */
const RANK_MS = 100;

/** The waiter that an ask for the adapter `key` makes at `now`. */
export function from(seatId: string, key: string, m: seat.Ask, ownMs: number, now: number): Waiter {
  const { model, adapter, rank } = m;
  const times = { since: now, targetAt: now + m.targetMs, dueAt: now + m.leftMs };
  return { seat: seatId, key, model, adapter, rank, ownMs, ...times };
}

/** Monotonic ms until which a waiter must be begun to be on time. */
function startBy(w: Waiter): number {
  return w.targetAt - w.ownMs;
}

/**
 * Waiters in the order they are served: those that can still be on time by how soon they must be begun
 * for it, then the others by their deadline. This answers engines with more to read than they can: a
 * late answer is worth the same a little later, so it gives way to what would be late because of it.
 */
export function inOrder(waiting: readonly Waiter[], now: number): readonly Waiter[] {
  const late = (w: Waiter): number => (isLate(w, now) ? 1 : 0);
  const key = (w: Waiter): number => (late(w) ? w.dueAt : startBy(w) + w.rank * RANK_MS);
  return [...waiting].sort((a, b) => late(a) - late(b) || key(a) - key(b));
}

/** Whether a waiter would be late even if it were begun at `now`. */
export function isLate(w: Waiter, now: number): boolean {
  return now > startBy(w);
}
