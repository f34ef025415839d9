/**
 * Whose load goes next, when the weight store runs one load at a time at full speed. One endpoint
 * daemon, the same for all by rendezvous hashing, keeps this value; it is only about speed, so a
 * moment with two of them or none does no harm and nothing needs to be agreed or kept.
 * @module
 */
import type * as control from "../link/control.js";

export interface Options {
  /** Loads that the weight store runs at full speed. */
  readonly parallel: number;
  /** Milliseconds after which a turn that was neither ended nor asked for again is free. */
  readonly holdMs: number;
  /** Shortest and longest wait told, in ms. */
  readonly askMinMs: number;
  readonly askMaxMs: number;
}

interface Ask extends control.TurnAsk {
  readonly at: number;
}

/** Turns taken and asked for. */
export interface Turns {
  readonly opts: Options;
  /** Endpoint that has a turn, and when it got it. */
  readonly holders: ReadonlyMap<string, number>;
  readonly asks: ReadonlyMap<string, Ask>;
  /** Smoothed length of a turn in ms; paces the questions. */
  readonly turnMs: number;
}

const SMOOTHING = 0.2;
/** An ask not repeated for this many of the longest waits is dropped. */
const STALE = 3;

export function none(opts: Options): Turns {
  return { opts, holders: new Map(), asks: new Map(), turnMs: opts.askMinMs };
}

function current(t: Turns, now: number): Turns {
  const holders = new Map([...t.holders].filter(([, at]) => now - at < t.opts.holdMs));
  const staleAfter = STALE * t.opts.askMaxMs;
  const asks = new Map([...t.asks].filter(([, a]) => now - a.at < staleAfter));
  return { ...t, holders, asks };
}

/**
 * One question: "go" for whoever has a turn already and keeps it alive by asking; "go" for the most wanted load when a turn is free. Others are told when to ask again,
 * the later the more loads go before theirs, so that questions stay few however many wait.
 */
export function ask(
  t: Turns,
  a: control.TurnAsk,
  now: number,
): { readonly turns: Turns; readonly answer: control.TurnAnswer } {
  const at = current(t, now);
  if (at.holders.has(a.endpoint)) {
    const holders = new Map(at.holders).set(a.endpoint, now);
    return { turns: { ...at, holders }, answer: { kind: "go" } };
  }
  const asks = new Map(at.asks).set(a.endpoint, { ...a, at: now });
  const ahead = [...asks.values()].filter((o) => before(o, a)).length;
  const free = at.opts.parallel - at.holders.size;
  if (ahead < free) {
    asks.delete(a.endpoint);
    const holders = new Map(at.holders).set(a.endpoint, now);
    return { turns: { ...at, asks, holders }, answer: { kind: "go" } };
  }
  const { askMinMs, askMaxMs } = at.opts;
  const wait = ahead === 0 ? askMinMs : ahead * at.turnMs;
  const askAgainMs = Math.min(askMaxMs, Math.max(askMinMs, wait));
  return { turns: { ...at, asks }, answer: { kind: "wait", askAgainMs } };
}

function before(a: control.TurnAsk, b: control.TurnAsk): boolean {
  return a.score === b.score ? a.endpoint < b.endpoint : a.score > b.score;
}

/** The turn of `endpoint` is over. */
export function end(t: Turns, endpoint: string, now: number): Turns {
  const since = t.holders.get(endpoint);
  if (since === undefined) return t;
  const holders = new Map(t.holders);
  holders.delete(endpoint);
  return { ...t, holders, turnMs: t.turnMs + SMOOTHING * (now - since - t.turnMs) };
}
