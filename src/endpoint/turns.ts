/**
 * Decides which endpoint may load next from the weight store, which runs only a few loads at full
 * speed (`parallel`). One endpoint daemon, the keeper, holds this state; all daemons choose it by
 * rendezvous hashing. Turns only affect speed, so having two keepers or none for a moment is harmless,
 * and the state needs no consensus and no persistence.
 * @module
 */
import type * as control from "../link/control.js";

/** Limits and times of turns. */
export interface Options {
  /** Number of loads that the weight store runs at full speed. */
  readonly parallel: number;
  /** Milliseconds after which a turn that was neither ended nor renewed expires. */
  readonly holdMs: number;
  /** Shortest and longest time after which a daemon is told to ask again, in ms. */
  readonly askMinMs: number;
  readonly askMaxMs: number;
}

interface Ask extends control.TurnRequest {
  readonly at: number;
}

/** The granted turns and the waiting requests for turns. */
export interface Turns {
  readonly opts: Options;
  /** For each endpoint that has a turn, when it was granted or last renewed, in monotonic ms. */
  readonly holders: ReadonlyMap<string, number>;
  /** The waiting requests, by endpoint. */
  readonly asks: ReadonlyMap<string, Ask>;
  /** Moving average of the length of a turn, in ms; paces repeated requests. */
  readonly turnMs: number;
}

/** Weight of a new turn's length in the moving average, from 0 to 1. */
const SAMPLE_WEIGHT = 0.2;
/** Time after which a request that was not repeated is dropped, as a multiple of `askMaxMs`. */
const STALE_WAITS = 3;

/** No turns and no requests. */
export function none(opts: Options): Turns {
  return { opts, holders: new Map(), asks: new Map(), turnMs: opts.askMinMs };
}

function dropExpired(t: Turns, now: number): Turns {
  const holders = new Map([...t.holders].filter(([, at]) => now - at < t.opts.holdMs));
  const staleAfter = STALE_WAITS * t.opts.askMaxMs;
  const asks = new Map([...t.asks].filter(([, a]) => now - a.at < staleAfter));
  return { ...t, holders, asks };
}

/**
 * Answers a request for a turn. An endpoint that has a turn renews it by asking again and gets "go".
 * Otherwise the requests with the highest scores get "go" while turns are free. All others are told
 * when to ask again: the more requests are ahead, the later, so that the rate of requests stays low
 * however many endpoints wait.
 */
export function ask(
  t: Turns,
  a: control.TurnRequest,
  now: number,
): { readonly turns: Turns; readonly answer: control.TurnAnswer } {
  const live = dropExpired(t, now);
  if (live.holders.has(a.endpoint)) {
    const holders = new Map(live.holders).set(a.endpoint, now);
    return { turns: { ...live, holders }, answer: { kind: "go" } };
  }
  const asks = new Map(live.asks).set(a.endpoint, { ...a, at: now });
  const ahead = [...asks.values()].filter((o) => goesBefore(o, a)).length;
  const freeTurns = live.opts.parallel - live.holders.size;
  if (ahead < freeTurns) {
    asks.delete(a.endpoint);
    const holders = new Map(live.holders).set(a.endpoint, now);
    return { turns: { ...live, asks, holders }, answer: { kind: "go" } };
  }
  const { askMinMs, askMaxMs } = live.opts;
  const wait = ahead === 0 ? askMinMs : ahead * live.turnMs;
  const askAgainMs = Math.min(askMaxMs, Math.max(askMinMs, wait));
  return { turns: { ...live, asks }, answer: { kind: "wait", askAgainMs } };
}

function goesBefore(a: control.TurnRequest, b: control.TurnRequest): boolean {
  return a.score === b.score ? a.endpoint < b.endpoint : a.score > b.score;
}

/** Ends the turn of `endpoint`. */
export function end(t: Turns, endpoint: string, now: number): Turns {
  const since = t.holders.get(endpoint);
  if (since === undefined) return t;
  const holders = new Map(t.holders);
  holders.delete(endpoint);
  return { ...t, holders, turnMs: t.turnMs + SAMPLE_WEIGHT * (now - since - t.turnMs) };
}
