/**
 * How long an engine will take to begin a prompt, estimated from the seats given and what their runs
 * took. Pure.
 * @module
 */

/** One seat that was asked for and is not over. */
export interface Load {
  readonly tokens: number;
  readonly rank: number;
  /** The first event came. */
  readonly began: boolean;
  /** Estimate made when the seat was given, in ms; 0 until then. */
  readonly expectedMs: number;
}

export interface Backlog {
  readonly loads: ReadonlyMap<string, Load>;
  /** How much slower than estimated the engine has been lately; 1 for as expected. */
  readonly slowness: number;
}

/** Prompt tokens that an engine reads in a millisecond: the users' sheet gives 19.2 for each site. */
const TOKENS_PER_MS = 19.2;
/** Milliseconds from the reading of a prompt to its first event: measured on an idle engine. */
const FIRST_EVENT_MS = 90;
/** Weight of the latest run in the slowness: about ten runs are remembered. */
const LATEST = 0.1;
/** Bounds of the slowness, so that one odd run does not shut an engine out. */
const SLOWEST = 6;
const FASTEST = 0.5;
/** Ranks told apart; larger ones count as the last. */
export const RANKS = 10;

/** Nothing asked for yet. */
export const IDLE: Backlog = { loads: new Map(), slowness: 1 };

/** Milliseconds until a prompt of `rank` that arrives now begins to be read. */
export function waitMs(b: Backlog, rank: number): number {
  let tokens = 0;
  for (const l of b.loads.values()) if (!l.began && l.rank <= rank) tokens += l.tokens;
  return (tokens / TOKENS_PER_MS) * b.slowness;
}

/** {@link waitMs} of each rank, in whole ms. */
export function waits(b: Backlog): readonly number[] {
  const tokens = new Array<number>(RANKS).fill(0);
  for (const l of b.loads.values()) {
    if (l.began) continue;
    const rank = Math.min(RANKS - 1, Math.max(0, Math.round(l.rank)));
    tokens[rank] = (tokens[rank] ?? 0) + l.tokens;
  }
  let sum = 0;
  return tokens.map((t) => {
    sum += t;
    return Math.round((sum / TOKENS_PER_MS) * b.slowness);
  });
}

/** Milliseconds that reading `tokens` takes on an engine that does nothing else. */
export function readMs(tokens: number): number {
  return tokens / TOKENS_PER_MS;
}

/** A seat is asked for. */
export function asked(b: Backlog, seat: string, tokens: number, rank: number): Backlog {
  return put(b, seat, { tokens, rank, began: false, expectedMs: 0 });
}

/** A seat is given; remembers what was to be expected of it. */
export function given(b: Backlog, seat: string): Backlog {
  const l = b.loads.get(seat);
  if (!l) return b;
  const expectedMs = waitMs(b, l.rank) / b.slowness + FIRST_EVENT_MS;
  return put(b, seat, { ...l, expectedMs });
}

/** The first event of a run came `ms` after the request was sent. */
export function began(b: Backlog, seat: string, ms: number): Backlog {
  const l = b.loads.get(seat);
  if (!l || l.began) return b;
  const now = l.expectedMs > 0 ? ms / l.expectedMs : b.slowness;
  const slowness = b.slowness + (now - b.slowness) * LATEST;
  const bounded = Math.min(SLOWEST, Math.max(FASTEST, slowness));
  return { ...put(b, seat, { ...l, began: true }), slowness: bounded };
}

/** A seat is over. */
export function over(b: Backlog, seat: string): Backlog {
  if (!b.loads.has(seat)) return b;
  const loads = new Map(b.loads);
  loads.delete(seat);
  return { ...b, loads };
}

function put(b: Backlog, seat: string, l: Load): Backlog {
  return { ...b, loads: new Map(b.loads).set(seat, l) };
}
