/**
 * The table of one engine's seats, asked for or granted, and statistics of the latest ones: how fast the
 * engine reads prompts, how long seats are held, and how many runs fail.
 * @module
 */
import type * as announcer from "./announcer.js";
import * as backlog from "./backlog.js";
import type * as prefillSpeed from "./prefill-speed.js";
import type * as seatMessages from "./seat-messages.js";

/** Weight of the latest run in the smoothed share of failed runs. */
const FAILURE_WEIGHT = 0.12;
/** Weight of the latest run in the smoothed time that a seat is held. */
const HOLD_WEIGHT = 0.1;
/** Initial estimate of the ms that a seat is held: the time for some tens of tokens. */
const INITIAL_HOLD_MS = 600;

/** How a seat ended, as reported by the entry daemon. */
export type SeatOutcome = Extract<seatMessages.FromEntry, { kind: "over" }>["how"];

export interface Seat {
  readonly client: announcer.Client;
  /** Number of the seat on the client's connection. */
  readonly seatNumber: number;
  readonly request: string;
  /** Key of the adapter, or of the base model. */
  readonly key: string;
  /** Monotonic ms at which it was asked for, and at which it was granted; undefined until then. */
  readonly askedAt: number;
  readonly grantedAt: number | undefined;
  /** Team of the caller, if any. */
  readonly team: string | undefined;
  /** Expected answer tokens; 0 if left out. */
  readonly answerTokens?: number | undefined;
  /** Longest pause on time of its stream, in ms; left out if its route sets none. */
  readonly gapMs?: number | undefined;
}

/** A seat, and the load that it puts on the engine. */
export interface OpenSeat {
  readonly id: string;
  readonly seat: Seat;
  readonly load: backlog.SeatLoad;
}

/** Creates a seat that a client asks for at `now`; `key` is its adapter's. */
export function newSeat(
  client: announcer.Client,
  key: string,
  m: seatMessages.Ask,
  now: number,
): Seat {
  const { seat: seatNumber, request, team, answerTokens, gapMs } = m;
  const times = { askedAt: now, grantedAt: undefined };
  return { client, seatNumber, request, key, ...times, team, answerTokens, gapMs };
}

export class SeatTable {
  private readonly seats = new Map<string, Seat>();
  private load = backlog.EMPTY;
  private failedShare = 0;
  private smoothedHoldMs = INITIAL_HOLD_MS;

  /** Number of seats that are asked for or granted, and not ended. */
  get count(): number {
    return this.seats.size;
  }

  /** Smoothed share of the latest runs that failed, 0 to 1. */
  get failureShare(): number {
    return this.failedShare;
  }

  /** Smoothed milliseconds that a seat is held. */
  get holdMs(): number {
    return this.smoothedHoldMs;
  }

  /** Estimated speed at which the engine reads prompts. */
  get speed(): prefillSpeed.PrefillSpeed {
    return this.load.speed;
  }

  /** Estimated ms that the engine needs to read the prompts whose seats are granted. */
  prefillMs(now: number): number {
    return backlog.prefillMs(this.load, now);
  }

  /** Number of requests whose seats were granted lately and that have no first event yet. */
  unstarted(now: number): number {
    return backlog.unstarted(this.load, now);
  }

  /**
   * Estimated ms until the engine starts to read a prompt that arrives at `now`, by rank, if it is served before the
   * waiting requests of the teams `over` their share.
   */
  waitsByRank(now: number, over?: ReadonlySet<string>): readonly number[] {
    return backlog.waitsByRank(this.load, now, over);
  }

  add(id: string, s: Seat, promptTokens: number, rank: number): void {
    this.seats.set(id, s);
    this.load = backlog.addSeat(this.load, id, promptTokens, rank, s.team);
  }

  /** Marks a seat as granted at `now`; returns undefined if it is not asked for any more. */
  grant(id: string, now: number): Seat | undefined {
    const s = this.seats.get(id);
    if (!s) return undefined;
    this.load = backlog.grantSeat(this.load, id, now);
    this.seats.set(id, { ...s, grantedAt: now });
    return s;
  }

  /** Records that the first event of a run came, `ms` after its request was sent. */
  recordFirstEvent(id: string, ms: number, now: number): void {
    this.load = backlog.recordFirstEvent(this.load, id, ms, now);
  }

  /** Removes a seat that ended, was denied or was given up. */
  remove(id: string): Seat | undefined {
    const s = this.seats.get(id);
    this.seats.delete(id);
    this.load = backlog.removeSeat(this.load, id);
    return s;
  }

  /** Updates the statistics with a seat that ended at `now`. */
  recordEnd(s: Seat, how: SeatOutcome, now: number): void {
    const heldMs = now - (s.grantedAt ?? now);
    this.smoothedHoldMs += (heldMs - this.smoothedHoldMs) * HOLD_WEIGHT;
    if (how === "failed") this.failedShare += (1 - this.failedShare) * FAILURE_WEIGHT;
    if (how === "whole") this.failedShare -= this.failedShare * FAILURE_WEIGHT;
  }

  /** The seats that are asked for or granted, and not ended, in the order in which they were asked for. */
  *open(): Generator<OpenSeat> {
    for (const [id, seat] of this.seats) {
      const load = this.load.loads.get(id);
      if (load) yield { id, seat, load };
    }
  }

  /** Returns the ids of a client's seats. */
  idsOf(c: announcer.Client): readonly string[] {
    return [...this.seats].filter(([, s]) => s.client === c).map(([id]) => id);
  }
}
