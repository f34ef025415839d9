/**
 * The seats of one engine that were asked for and are not over, and what the latest ones tell: how
 * long the engine takes to begin, how long seats are held, how many runs fail.
 * @module
 */
import type * as announcer from "./announcer.js";
import * as backlog from "./backlog.js";
import type * as reading from "./reading.js";
import type * as seat from "./seat.js";

/** Weight of the latest run in the part of runs that fail. */
const LATEST_FAILURE = 0.12;
/** Weight of the latest run in the time that a seat is held. */
const LATEST_HOLD = 0.1;
/** Milliseconds that a seat is held, until runs tell: some tens of tokens. */
const USUAL_HOLD_MS = 600;

/** How a seat ended, as the entry daemon says. */
export type End = Extract<seat.FromEntry, { kind: "over" }>["how"];

export interface Seat {
  readonly client: announcer.Client;
  /** The client's own number for it. */
  readonly n: number;
  readonly request: string;
  /** Key of the adapter, or of the base model. */
  readonly key: string;
  readonly askedAt: number;
  readonly givenAt: number | undefined;
}

/** A seat that a client asks for at `now`, for the adapter `key`. */
export function asked(client: announcer.Client, key: string, m: seat.Ask, now: number): Seat {
  const { seat: n, request } = m;
  return { client, n, request, key, askedAt: now, givenAt: undefined };
}

export class Ledger {
  private readonly seats = new Map<string, Seat>();
  private load = backlog.IDLE;
  private failed = 0;
  private heldMs = USUAL_HOLD_MS;

  /** Seats asked for and not over. */
  get count(): number {
    return this.seats.size;
  }

  /** Part of the latest runs that failed, 0 to 1. */
  get failing(): number {
    return this.failed;
  }

  /** Smoothed milliseconds that a seat is held. */
  get holdMs(): number {
    return this.heldMs;
  }

  /** How fast the engine reads, as far as its runs tell. */
  get reading(): reading.Reading {
    return this.load.reading;
  }

  /** Milliseconds that the engine will still read prompts that have seats. */
  readingMs(now: number): number {
    return backlog.readingMs(this.load, now);
  }

  /** Prompts that have seats and no first event yet. */
  unbegun(now: number): number {
    return backlog.unbegun(this.load, now);
  }

  /** Estimated milliseconds until a prompt that arrives at `now` begins to be read, by rank. */
  waits(now: number): readonly number[] {
    return backlog.waits(this.load, now);
  }

  ask(id: string, s: Seat, promptTokens: number, rank: number): void {
    this.seats.set(id, s);
    this.load = backlog.asked(this.load, id, promptTokens, rank);
  }

  /** A seat is given at `now`; undefined when nobody asks for it any more. */
  give(id: string, now: number): Seat | undefined {
    const s = this.seats.get(id);
    if (!s) return undefined;
    this.load = backlog.given(this.load, id, now);
    this.seats.set(id, { ...s, givenAt: now });
    return s;
  }

  /** The first event of a run came, `ms` after the request was sent. */
  began(id: string, ms: number, now: number): void {
    this.load = backlog.began(this.load, id, ms, now);
  }

  /** A seat is over, or not given after all. */
  remove(id: string): Seat | undefined {
    const s = this.seats.get(id);
    this.seats.delete(id);
    this.load = backlog.over(this.load, id);
    return s;
  }

  /** What a seat that ended at `now` tells. */
  learn(s: Seat, how: End, now: number): void {
    const heldMs = now - (s.givenAt ?? now);
    this.heldMs += (heldMs - this.heldMs) * LATEST_HOLD;
    if (how === "failed") this.failed += (1 - this.failed) * LATEST_FAILURE;
    if (how === "whole") this.failed -= this.failed * LATEST_FAILURE;
  }

  /** Ids of a client's seats. */
  of(c: announcer.Client): readonly string[] {
    return [...this.seats].filter(([, s]) => s.client === c).map(([id]) => id);
  }
}
