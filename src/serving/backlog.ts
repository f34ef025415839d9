/**
 * How long an engine will take to begin a prompt, estimated from the seats asked for and given, and
 * from how fast it has read lately. An engine reads prompts one after the other, in the order in which
 * it gets them, whatever their rank; so what has a seat goes before all that waits for one. Pure.
 * @module
 */
import * as reading from "./reading.js";

/** One seat that was asked for and is not over. */
export interface Load {
  readonly tokens: number;
  readonly rank: number;
  /** Monotonic ms at which its seat was given; undefined until then. */
  readonly givenAt: number | undefined;
  /** Prompt tokens to be read until its first event, its own included, when it was given. */
  readonly toRead: number;
  /** The first event came. */
  readonly began: boolean;
}

export interface Backlog {
  readonly loads: ReadonlyMap<string, Load>;
  readonly reading: reading.Reading;
  /** Monotonic ms at which the engine will have read all prompts that have seats, as far as known. */
  readonly readUntil: number;
}

/** Ranks told apart; larger ones count as the last. */
export const RANKS = 10;

/** Nothing asked for yet. */
export const IDLE: Backlog = { loads: new Map(), reading: reading.UNKNOWN, readUntil: -Infinity };

/** The place of a rank among those told apart. */
export function place(rank: number): number {
  return Math.min(RANKS - 1, Math.max(0, Math.round(rank)));
}

/** Milliseconds that the engine will still read prompts that have seats. */
export function readingMs(b: Backlog, now: number): number {
  return Math.max(0, b.readUntil - now);
}

/**
 * Milliseconds after which a seat without a first event counts no more as one that is being read: its
 * host may be frozen or gone, and must not keep the engine from others.
 */
const UNHEARD_MS = 1500;

/** Prompts that have got their seats lately and have no first event yet. */
export function unbegun(b: Backlog, now: number): number {
  let n = 0;
  for (const l of b.loads.values()) {
    if (l.givenAt !== undefined && !l.began && now - l.givenAt < UNHEARD_MS) n++;
  }
  return n;
}

/** Milliseconds until a prompt that arrives now begins to be read, by rank, in whole ms. */
export function waits(b: Backlog, now: number): readonly number[] {
  const tokens = new Array<number>(RANKS).fill(0);
  for (const l of b.loads.values()) {
    if (l.givenAt === undefined) tokens[place(l.rank)] = (tokens[place(l.rank)] ?? 0) + l.tokens;
  }
  const perToken = reading.msPerToken(b.reading);
  let sum = readingMs(b, now);
  return tokens.map((t) => {
    sum += t * perToken;
    return Math.round(sum);
  });
}

/** A seat is asked for. */
export function asked(b: Backlog, seat: string, tokens: number, rank: number): Backlog {
  return put(b, seat, { tokens, rank, givenAt: undefined, toRead: tokens, began: false });
}

/** A seat is given at `now`; remembers what is to be read until its first event. */
export function given(b: Backlog, seat: string, now: number): Backlog {
  const l = b.loads.get(seat);
  if (!l) return b;
  const perToken = reading.msPerToken(b.reading);
  const toRead = l.tokens + readingMs(b, now) / perToken;
  return { ...put(b, seat, { ...l, givenAt: now, toRead }), readUntil: now + toRead * perToken };
}

/** The first event of a run came, `ms` after the request was sent. */
export function began(b: Backlog, seat: string, ms: number, now: number): Backlog {
  const l = b.loads.get(seat);
  if (!l || l.began) return b;
  const learnt = reading.seen(b.reading, l.toRead, ms);
  const at = { ...put(b, seat, { ...l, began: true }), reading: learnt };
  // Its prompt was read some time before its first event; what has a seat since is read after it.
  let tokens = 0;
  for (const other of at.loads.values()) {
    if (other.givenAt === undefined || other.began || now - other.givenAt >= UNHEARD_MS) continue;
    tokens += other.tokens;
  }
  const readUntil = now - reading.firstMs(learnt) + tokens * reading.msPerToken(learnt);
  return { ...at, readUntil };
}

/** A seat is over. */
export function over(b: Backlog, seat: string): Backlog {
  const l = b.loads.get(seat);
  if (!l) return b;
  const loads = new Map(b.loads);
  loads.delete(seat);
  const unread = l.givenAt !== undefined && !l.began ? l.tokens * reading.msPerToken(b.reading) : 0;
  return { ...b, loads, readUntil: b.readUntil - unread };
}

function put(b: Backlog, seat: string, l: Load): Backlog {
  return { ...b, loads: new Map(b.loads).set(seat, l) };
}
