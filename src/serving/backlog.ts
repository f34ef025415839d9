/**
 * Estimates how long a prompt waits until the engine starts to read it (prefill), from the seats asked for and
 * granted and from the engine's latest reading speed. An engine reads prompts one after the other in order of
 * arrival, whatever their rank, so all requests with a granted seat come before those that wait for one. Pure.
 * @module
 */
import * as prefillSpeed from "./prefill-speed.js";
import * as fairShares from "./sharing/fair-shares.js";

/** The load of one seat that is asked for or granted. */
export interface SeatLoad {
  readonly tokens: number;
  readonly rank: number;
  /** Team of the caller, if any. */
  readonly team: string | undefined;
  /** Monotonic ms at which the seat was granted; undefined until then. */
  readonly grantedAt: number | undefined;
  /** Prompt tokens that the engine had to read before its first event when it was granted, its own included. */
  readonly tokensUntilFirst: number;
  /** Whether its first event has come. */
  readonly hasBegun: boolean;
}

export interface Backlog {
  readonly loads: ReadonlyMap<string, SeatLoad>;
  readonly speed: prefillSpeed.PrefillSpeed;
  /** Estimated monotonic ms at which the engine has read all prompts whose seats are granted. */
  readonly prefillUntil: number;
}

/** Number of ranks that are distinguished; larger ones count as the last. */
export const RANK_COUNT = 10;

/** The backlog of an engine that no seat is asked for on. */
export const EMPTY: Backlog = {
  loads: new Map(),
  speed: prefillSpeed.INITIAL,
  prefillUntil: -Infinity,
};

/** Index of a rank among those that are distinguished, 0 to {@link RANK_COUNT} - 1. */
export function rankIndex(rank: number): number {
  return Math.min(RANK_COUNT - 1, Math.max(0, Math.round(rank)));
}

/** Estimated ms that the engine needs to read the prompts whose seats are granted. */
export function prefillMs(b: Backlog, now: number): number {
  return Math.max(0, b.prefillUntil - now);
}

/**
 * Milliseconds after its grant for which a seat without a first event counts as one that the engine reads.
 * Its entry host may be frozen or gone, and must not keep the engine from serving others.
 */
export const FIRST_EVENT_TIMEOUT_MS = 1500;

/** Number of requests whose seats were granted lately and that have no first event yet. */
export function unstarted(b: Backlog, now: number): number {
  let n = 0;
  for (const l of b.loads.values()) {
    if (l.grantedAt !== undefined && !l.hasBegun && now - l.grantedAt < FIRST_EVENT_TIMEOUT_MS) n++;
  }
  return n;
}

/**
 * Estimated ms until the engine starts to read a prompt that arrives now, by rank, rounded. Requests of the teams `over`
 * their share that wait for a seat are left out, as a request of another team is served before them.
 */
export function waitsByRank(
  b: Backlog,
  now: number,
  over: ReadonlySet<string> = fairShares.NO_TEAMS,
): readonly number[] {
  const tokens = new Array<number>(RANK_COUNT).fill(0);
  for (const l of b.loads.values()) {
    if (l.grantedAt === undefined && !fairShares.isOver(over, l))
      tokens[rankIndex(l.rank)] = (tokens[rankIndex(l.rank)] ?? 0) + l.tokens;
  }
  const perToken = prefillSpeed.msPerToken(b.speed);
  let sum = prefillMs(b, now);
  return tokens.map((t) => {
    sum += t * perToken;
    return Math.round(sum);
  });
}

/** Adds a seat that is asked for. */
export function addSeat(
  b: Backlog,
  seat: string,
  tokens: number,
  rank: number,
  team?: string,
): Backlog {
  return put(b, seat, {
    tokens,
    rank,
    team,
    grantedAt: undefined,
    tokensUntilFirst: tokens,
    hasBegun: false,
  });
}

/** Marks a seat as granted at `now`, and stores the tokens to be read until its first event. */
export function grantSeat(b: Backlog, seat: string, now: number): Backlog {
  const l = b.loads.get(seat);
  if (!l) return b;
  const perToken = prefillSpeed.msPerToken(b.speed);
  const tokensUntilFirst = l.tokens + prefillMs(b, now) / perToken;
  return {
    ...put(b, seat, { ...l, grantedAt: now, tokensUntilFirst }),
    prefillUntil: now + tokensUntilFirst * perToken,
  };
}

/** Records that the first event of a run came, `ms` after its request was sent. */
export function recordFirstEvent(b: Backlog, seat: string, ms: number, now: number): Backlog {
  const l = b.loads.get(seat);
  if (!l || l.hasBegun) return b;
  const updated = prefillSpeed.withRun(b.speed, l.tokensUntilFirst, ms);
  const next = { ...put(b, seat, { ...l, hasBegun: true }), speed: updated };
  // The engine finished this prompt `firstMs` before the first event; it reads the other granted ones after it.
  let tokens = 0;
  for (const other of next.loads.values()) {
    if (
      other.grantedAt === undefined ||
      other.hasBegun ||
      now - other.grantedAt >= FIRST_EVENT_TIMEOUT_MS
    )
      continue;
    tokens += other.tokens;
  }
  const prefillUntil =
    now - prefillSpeed.firstMs(updated) + tokens * prefillSpeed.msPerToken(updated);
  return { ...next, prefillUntil };
}

/** Removes a seat that ended; a prompt that the engine has not read yet no longer counts. */
export function removeSeat(b: Backlog, seat: string): Backlog {
  const l = b.loads.get(seat);
  if (!l) return b;
  const loads = new Map(b.loads);
  loads.delete(seat);
  const unread =
    l.grantedAt !== undefined && !l.hasBegun ? l.tokens * prefillSpeed.msPerToken(b.speed) : 0;
  return { ...b, loads, prefillUntil: b.prefillUntil - unread };
}

function put(b: Backlog, seat: string, l: SeatLoad): Backlog {
  return { ...b, loads: new Map(b.loads).set(seat, l) };
}
