/**
 * Whether a request is let in, how long it waits, and when one that is refused should come back.
 *
 * The load that this answers is more prompts than the engines can read for a while. One that is let in
 * then is late itself and makes those behind it late, so what has to wait too long is refused at once.
 * Only waiting counts: a request is not refused for its own size, since what it takes itself is no
 * longer than on an idle engine, and a late answer is of use too. Pure.
 * @module
 */
import type * as choice from "./choice.js";

/** What is known of a request when it is judged; times from now, in ms. */
export interface Standing {
  /** Urgency; 0 goes first. */
  readonly rank: number;
  /** From its arrival until its answer is late. */
  readonly targetMs: number;
  /** Longest pause between events that is on time; Infinity where none is set. */
  readonly gapMs: number;
  /** Until its caller or its route gives it up. */
  readonly leftMs: number;
}

export type Verdict =
  | { readonly kind: "serve" }
  | { readonly kind: "refuse"; readonly why: string; readonly comeBackMs: number };

/**
 * Waiting, as a part of the target, above which a request is refused at once. At 1, an answer is late
 * even if it took no time of its own; urgent ones may wait a little longer, since less urgent ones give
 * way to them while they do and what is known of the queue is some 20 ms old.
 */
const WAIT_BY_RANK = [1.4, 1.3, 1.0] as const;

/** Judges a request by the best endpoint that there is for it. */
export function judge(r: Standing, best: choice.Estimate): Verdict {
  if (best.firstMs > r.leftMs) {
    const why = `the first event would come in ${Math.round(best.firstMs)} ms, after the deadline`;
    return { kind: "refuse", why, comeBackMs: best.firstMs - best.ownMs };
  }
  const waitMs = best.firstMs - best.ownMs;
  const bound = WAIT_BY_RANK[r.rank] ?? WAIT_BY_RANK[2];
  if (waitMs <= r.targetMs * bound) return { kind: "serve" };
  const why = `it would wait ${Math.round(waitMs)} ms before it is begun`;
  return { kind: "refuse", why, comeBackMs: waitMs };
}

/** Milliseconds for which a request may wait for its turn under a worker's limit; beyond, it goes elsewhere. */
export const TURN_MS = 500;

/** Part of its target that a request waits while there is no endpoint; refusals must come early. */
const WAIT_PART = 0.2;
/**
 * Callers leave a stream that is silent for the longest of these: some time, some targets, some of
 * the pauses that are on time. By the users' pages.
 */
const PATIENCE_MS = 2000;
const PATIENCE_TARGETS = 4;
const PATIENCE_GAPS = 8;
/** Part of its time for which a request is held at most: what is left must be enough to come back. */
const HOLD_PART = 0.6;

/** Milliseconds for which a request waits while no endpoint is there; longer if one is on its way. */
export function absentMs(r: Standing, coming: boolean): number {
  return coming ? holdMs(r) : r.targetMs * WAIT_PART;
}

/** Milliseconds for which a request is held for a seat; then its caller is better told to come back. */
export function holdMs(r: Standing): number {
  const gaps = Number.isFinite(r.gapMs) ? PATIENCE_GAPS * r.gapMs : 0;
  const patienceMs = Math.max(PATIENCE_MS, PATIENCE_TARGETS * r.targetMs, gaps);
  return HOLD_PART * Math.min(r.leftMs, patienceMs);
}

/** Milliseconds over which those are spread that come back when a worker takes requests again. */
const RETURN_SPREAD_MS = 250;

/** When a caller should come back, in ms, that can be served `opensInMs` from now; `random` is from 0 up to 1. */
export function returnMs(opensInMs: number, random: number): number {
  return opensInMs + random * RETURN_SPREAD_MS;
}

/** Part of the time left after which a caller still comes back when told to. */
const COME_BACK_PART = 0.3;
/** Milliseconds after which a refused caller is told to come back at least. */
const COME_BACK_MS = 120;
/**
 * Milliseconds after which it is told to come back when nobody knows when it can be served: about what
 * a daemon's start and an engine's load of a base model from its disk take together.
 */
export const UNKNOWN_MS = 1500;

/** When a refused caller should come back, in ms; it must still have time then. */
export function comeBack(wantedMs: number, leftMs: number): number {
  return Math.min(Math.max(0, leftMs) * COME_BACK_PART, Math.max(COME_BACK_MS, wantedMs));
}
