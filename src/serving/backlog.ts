/**
 * Estimates how long a prompt waits until the engine starts to read it (prefill), from the seats asked for and
 * granted and from the engine's latest reading speed. An engine reads prompts one after the other in order of
 * arrival, whatever their rank, so all requests with a granted seat come before those that wait for one. Pure.
 * @module
 */
import * as reading from "./reading.js";

/** The load of one seat that is asked for or granted. */
export interface Load {
  readonly tokens: number;
  readonly rank: number;
  /** Monotonic ms at which the seat was granted; undefined until then. */
  readonly givenAt: number | undefined;
  /** Prompt tokens that the engine had to read before its first event when it was granted, its own included. */
  readonly toRead: number;
  /** Whether its first event has come. */
  readonly began: boolean;
}

export interface Backlog {
  readonly loads: ReadonlyMap<string, Load>;
  readonly reading: reading.Reading;
  /** Estimated monotonic ms at which the engine has read all prompts whose seats are granted. */
  readonly readUntil: number;
}

/** Number of ranks that are distinguished; larger ones count as the last. */
export const RANKS = 10;

/** The backlog of an engine that no seat is asked for on. */
export const IDLE: Backlog = { loads: new Map(), reading: reading.UNKNOWN, readUntil: -Infinity };

/** Index of a rank among those that are distinguished, 0 to {@link RANK_COUNT} - 1. */
export function place(rank: number): number {
  return Math.min(RANKS - 1, Math.max(0, Math.round(rank)));
}

/** Estimated ms that the engine needs to read the prompts whose seats are granted. */
export function readingMs(b: Backlog, now: number): number {
  return Math.max(0, b.readUntil - now);
}

/**
 * Milliseconds after its grant for which a seat without a first event counts as one that the engine reads.
 * Its entry host may be frozen or gone, and must not keep the engine from serving others.
 */
const FIRST_EVENT_TIMEOUT_MS = 1500;

/** Number of requests whose seats were granted lately and that have no first event yet. */
export function unbegun(b: Backlog, now: number): number {
  let n = 0;
  for (const l of b.loads.values()) {
    if (l.givenAt !== undefined && !l.began && now - l.givenAt < FIRST_EVENT_TIMEOUT_MS) n++;
  }
  return n;
}

/** Estimated ms until the engine starts to read a prompt that arrives now, by rank, rounded. */
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

/** Adds a seat that is asked for. */
export function asked(b: Backlog, seat: string, tokens: number, rank: number): Backlog {
  return put(b, seat, { tokens, rank, givenAt: undefined, toRead: tokens, began: false });
}

/** Marks a seat as granted at `now`, and stores the tokens to be read until its first event. */
export function given(b: Backlog, seat: string, now: number): Backlog {
  const l = b.loads.get(seat);
  if (!l) return b;
  const perToken = reading.msPerToken(b.reading);
  const toRead = l.tokens + readingMs(b, now) / perToken;
  return { ...put(b, seat, { ...l, givenAt: now, toRead }), readUntil: now + toRead * perToken };
}

/** Records that the first event of a run came, `ms` after its request was sent. */
export function began(b: Backlog, seat: string, ms: number, now: number): Backlog {
  const l = b.loads.get(seat);
  if (!l || l.began) return b;
  const updated = reading.seen(b.reading, l.toRead, ms);
  const next = { ...put(b, seat, { ...l, began: true }), reading: updated };
  // The engine finished this prompt `firstMs` before the first event; it reads the other granted ones after it.
  let tokens = 0;
  for (const other of next.loads.values()) {
    if (other.givenAt === undefined || other.began || now - other.givenAt >= FIRST_EVENT_TIMEOUT_MS)
      continue;
    tokens += other.tokens;
  }
  const readUntil = now - reading.firstMs(updated) + tokens * reading.msPerToken(updated);
  return { ...next, readUntil };
}

/** Removes a seat that ended; a prompt that the engine has not read yet no longer counts. */
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
