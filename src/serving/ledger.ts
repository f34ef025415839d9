/**
 * The table of one engine's seats, asked for or granted, and statistics of the latest ones: how fast the
 * engine reads prompts, how long seats are held, and how many runs fail.
 * @module
 */
import type * as announcer from "./announcer.js";
import * as backlog from "./backlog.js";
import type * as reading from "./reading.js";
import type * as seat from "./seat.js";

/** Weight of the latest run in the smoothed share of failed runs. */
const FAILURE_WEIGHT = 0.12;
/** Weight of the latest run in the smoothed time that a seat is held. */
const HOLD_WEIGHT = 0.1;
/** Initial estimate of the ms that a seat is held: the time for some tens of tokens. */
const INITIAL_HOLD_MS = 600;

/** How a seat ended, as reported by the entry daemon. */
export type End = Extract<seat.FromEntry, { kind: "over" }>["how"];

export interface Seat {
  readonly client: announcer.Client;
  /** Number of the seat on the client's connection. */
  readonly n: number;
  readonly request: string;
  /** Key of the adapter, or of the base model. */
  readonly key: string;
  /** Monotonic ms at which it was asked for, and at which it was granted; undefined until then. */
  readonly askedAt: number;
  readonly givenAt: number | undefined;
}

/** Creates a seat that a client asks for at `now`; `key` is its adapter's. */
export function asked(client: announcer.Client, key: string, m: seat.Ask, now: number): Seat {
  const { seat: n, request } = m;
  return { client, n, request, key, askedAt: now, givenAt: undefined };
}

export class Ledger {
  private readonly seats = new Map<string, Seat>();
  private load = backlog.IDLE;
  private failedShare = 0;
  private smoothedHoldMs = INITIAL_HOLD_MS;

  /** Number of seats that are asked for or granted, and not ended. */
  get count(): number {
    return this.seats.size;
  }

  /** Smoothed share of the latest runs that failed, 0 to 1. */
  get failing(): number {
    return this.failedShare;
  }

  /** Smoothed milliseconds that a seat is held. */
  get holdMs(): number {
    return this.smoothedHoldMs;
  }

  /** Estimated speed at which the engine reads prompts. */
  get reading(): reading.Reading {
    return this.load.reading;
  }

  /** Estimated ms that the engine needs to read the prompts whose seats are granted. */
  readingMs(now: number): number {
    return backlog.readingMs(this.load, now);
  }

  /** Number of requests whose seats were granted lately and that have no first event yet. */
  unbegun(now: number): number {
    return backlog.unbegun(this.load, now);
  }

  /** Estimated ms until the engine starts to read a prompt that arrives at `now`, by rank. */
  waits(now: number): readonly number[] {
    return backlog.waits(this.load, now);
  }

  ask(id: string, s: Seat, promptTokens: number, rank: number): void {
    this.seats.set(id, s);
    this.load = backlog.asked(this.load, id, promptTokens, rank);
  }

  /** Marks a seat as granted at `now`; returns undefined if it is not asked for any more. */
  give(id: string, now: number): Seat | undefined {
    const s = this.seats.get(id);
    if (!s) return undefined;
    this.load = backlog.given(this.load, id, now);
    this.seats.set(id, { ...s, givenAt: now });
    return s;
  }

  /** Records that the first event of a run came, `ms` after its request was sent. */
  began(id: string, ms: number, now: number): void {
    this.load = backlog.began(this.load, id, ms, now);
  }

  /** Removes a seat that ended, was denied or was given up. */
  remove(id: string): Seat | undefined {
    const s = this.seats.get(id);
    this.seats.delete(id);
    this.load = backlog.over(this.load, id);
    return s;
  }

  /** Updates the statistics with a seat that ended at `now`. */
  learn(s: Seat, how: End, now: number): void {
    const heldMs = now - (s.givenAt ?? now);
    this.smoothedHoldMs += (heldMs - this.smoothedHoldMs) * HOLD_WEIGHT;
    if (how === "failed") this.failedShare += (1 - this.failedShare) * FAILURE_WEIGHT;
    if (how === "whole") this.failedShare -= this.failedShare * FAILURE_WEIGHT;
  }

  /** Returns the ids of a client's seats. */
  of(c: announcer.Client): readonly string[] {
    return [...this.seats].filter(([, s]) => s.client === c).map(([id]) => id);
  }
}
