/**
 * The requests that wait for a seat on an engine, and the order in which they are served. Pure.
 * @module
 */
import type * as seatMessages from "./seat-messages.js";
import * as deferral from "./sharing/deferral.js";
import * as fairShares from "./sharing/fair-shares.js";

/** A request for a seat that is neither granted nor denied yet. */
export interface Waiter {
  /** Identifies the seat among those of all connections. */
  readonly seat: string;
  /** Key of the adapter, or of the base model. */
  readonly key: string;
  readonly model: string;
  /** Undefined if the request is for the base model itself. */
  readonly adapter?: string | undefined;
  /** Newest version of the adapter that its host knows; 0 or undefined if none is known. */
  readonly version?: number | undefined;
  /** An older version on which it may run as well, until a monotonic ms. */
  readonly older?: { readonly version: number; readonly until: number } | undefined;
  /** Urgency; 0 is the most urgent. */
  readonly rank: number;
  /** Monotonic ms at which the seat was asked for. */
  readonly askedAt: number;
  /** Estimated ms from the start of reading its prompt until its first event. */
  readonly serviceMs: number;
  /** Monotonic ms after which its first event is late. */
  readonly targetAt: number;
  /** Monotonic ms after which the seat is of no use, and is denied. */
  readonly expiresAt: number;
  /** Team of the caller, if any. */
  readonly team?: string | undefined;
  /** Prompt tokens and expected answer tokens. */
  readonly tokens?: number | undefined;
}

/**
 * Milliseconds of waiting that one step of rank is worth. It is small because slots are scarce and
 * an urgent request may hold one ten times as long as another.
 */
const RANK_MS = 100;

/** Creates the waiter for a request for a seat that arrives at `now`; `key` is its adapter's. */
export function waiterFor(
  seatId: string,
  key: string,
  m: seatMessages.Ask,
  serviceMs: number,
  now: number,
): Waiter {
  const { model, adapter, version, rank, team } = m;
  const older = m.older && { version: m.older.version, until: now + m.older.forMs };
  const tokens = m.promptTokens + m.answerTokens;
  const times = { askedAt: now, targetAt: now + m.targetMs, expiresAt: now + m.leftMs };
  return {
    seat: seatId,
    key,
    model,
    adapter,
    version,
    older,
    rank,
    serviceMs,
    ...times,
    team,
    tokens,
  };
}

/** Latest monotonic ms at which the engine must start on a request for its first event to be on time. */
function startBy(w: Waiter): number {
  return w.targetAt - w.serviceMs;
}

/**
 * Sorts waiters into the order in which they are served: first those that can still be on time, by their
 * latest start and rank; then the others, by the time at which their seat is of no use any more. Under
 * overload, a late answer loses little by coming later still, so it yields to those that it would make late.
 * Requests of the teams `over` their share give way to those of other teams that would be late behind them,
 * whatever their rank: otherwise a team could take the shares of others by sending urgent requests only.
 */
export function servingOrder(
  waiting: readonly Waiter[],
  now: number,
  over: ReadonlySet<string> = fairShares.NO_TEAMS,
): readonly Waiter[] {
  const inTime = waiting.filter((w) => !isLate(w, now));
  inTime.sort((a, b) => startBy(a) + a.rank * RANK_MS - (startBy(b) + b.rank * RANK_MS));
  const late = waiting.filter((w) => isLate(w, now));
  late.sort((a, b) => behind(over, a) - behind(over, b) || a.expiresAt - b.expiresAt);
  return [...deferral.deferOver(inTime, over, now), ...late];
}

/**
 * Sorts waiters into the order in which slots are filled for them: like {@link servingOrder}, but all requests of the
 * teams `over` their share come after the others that are as much in time. An adapter takes its slot for seconds, so
 * a deferral by the time that prompts take would come too late.
 */
export function slotOrder(
  waiting: readonly Waiter[],
  now: number,
  over: ReadonlySet<string> = fairShares.NO_TEAMS,
): readonly Waiter[] {
  const late = (w: Waiter): number => (isLate(w, now) ? 1 : 0);
  const order = [...servingOrder(waiting, now, over)];
  return order.sort((a, b) => late(a) - late(b) || behind(over, a) - behind(over, b));
}

function behind(over: ReadonlySet<string>, w: Waiter): number {
  return fairShares.isOver(over, w) ? 1 : 0;
}

/** Whether a waiter's first event would be late even if the engine started on it at `now`. */
export function isLate(w: Waiter, now: number): boolean {
  return now > startBy(w);
}
