/**
 * How long an engine will take to begin a prompt, estimated from the seats asked for and given, and
 * from how fast it has read lately. Pure.
 * @module
 */
import * as reading from "./reading.js";

/** One seat that was asked for and is not over. */
export interface Load {
  readonly tokens: number;
  readonly rank: number;
  /** Monotonic ms at which the seat was given; undefined until then. */
  readonly givenAt: number | undefined;
  /** Prompt tokens to be read until its first event, its own included, when it was given. */
  readonly toRead: number;
  /** The first event came. */
  readonly began: boolean;
}

export interface Backlog {
  readonly loads: ReadonlyMap<string, Load>;
  readonly reading: reading.Reading;
  /** Monotonic ms of the latest first event. */
  readonly beganAt: number;
}

/** Ranks told apart; larger ones count as the last. */
export const RANKS = 10;
/** Part of a prompt that counts as read at most before its first event tells. */
const READ_PART = 0.9;

/** Nothing asked for yet. */
export const IDLE: Backlog = { loads: new Map(), reading: reading.UNKNOWN, beganAt: -Infinity };

/** The place of a rank among those told apart. */
export function place(rank: number): number {
  return Math.min(RANKS - 1, Math.max(0, Math.round(rank)));
}

/** Prompt tokens to be read at `now` before one of each rank that arrives now. */
function ahead(b: Backlog, now: number): readonly number[] {
  const tokens = new Array<number>(RANKS).fill(0);
  for (const l of b.loads.values()) {
    if (!l.began) tokens[place(l.rank)] = (tokens[place(l.rank)] ?? 0) + l.tokens;
  }
  const head = headOf(b);
  if (head) tokens[place(head.rank)] = (tokens[place(head.rank)] ?? 0) - readOf(b, head, now);
  let sum = 0;
  return tokens.map((t) => {
    sum += t;
    return sum;
  });
}

/** The prompt that the engine is reading: the most urgent one that has a seat, then the oldest. */
function headOf(b: Backlog): Load | undefined {
  let head: Load | undefined;
  for (const l of b.loads.values()) {
    if (l.began || l.givenAt === undefined) continue;
    if (!head || place(l.rank) < place(head.rank)) head = l;
  }
  return head;
}

/** Tokens of the prompt being read that were read by `now`, as far as time tells. */
function readOf(b: Backlog, head: Load, now: number): number {
  const since = Math.max(b.beganAt, head.givenAt ?? now);
  const read = Math.max(0, now - since) / reading.msPerToken(b.reading);
  return Math.min(READ_PART * head.tokens, read);
}

/** Milliseconds until a prompt that arrives now begins to be read, by rank, in whole ms. */
export function waits(b: Backlog, now: number): readonly number[] {
  const ms = reading.msPerToken(b.reading);
  return ahead(b, now).map((tokens) => Math.round(tokens * ms));
}

/** A seat is asked for. */
export function asked(b: Backlog, seat: string, tokens: number, rank: number): Backlog {
  return put(b, seat, { tokens, rank, givenAt: undefined, toRead: tokens, began: false });
}

/** A seat is given at `now`; remembers what is to be read until its first event. */
export function given(b: Backlog, seat: string, now: number): Backlog {
  const l = b.loads.get(seat);
  if (!l) return b;
  // Its own tokens are among those ahead of the next of its rank.
  return put(b, seat, { ...l, givenAt: now, toRead: ahead(b, now)[place(l.rank)] ?? l.tokens });
}

/** The first event of a run came, `ms` after the request was sent. */
export function began(b: Backlog, seat: string, ms: number, now: number): Backlog {
  const l = b.loads.get(seat);
  if (!l || l.began) return b;
  const learnt = reading.seen(b.reading, l.toRead, ms);
  return { ...put(b, seat, { ...l, began: true }), reading: learnt, beganAt: now };
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
