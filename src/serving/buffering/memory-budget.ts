/**
 * Decides which requests may have more bytes buffered for them, against a budget over all of a daemon's connections. Pure.
 *
 * Each holder may hold a share of what is free at that moment (a dynamic threshold, as in switches whose ports share one
 * buffer): while much is free nobody is held back, and as the budget fills up, the largest holders reach their limit first.
 * @module
 */

/** What a request is doing with what it holds; it decides whose progress counts. */
export type Stage =
  /** Its body arrives from the caller. */
  | "receiving"
  /** It waits for a worker, and nothing arrives. */
  | "waiting"
  /** An answer that is passed on whole arrives from the worker. */
  | "fetching"
  /** Its answer goes to the caller. */
  | "answering";

/** One request with what is buffered for it. */
export interface Holder {
  /** Bytes of its body, of its answer, and in its connection's write buffer. */
  readonly bytes: number;
  /** Those of them that were read from its worker. */
  readonly readBytes: number;
  /** Urgency; 0 is served first. */
  readonly rank: number;
  readonly stage: Stage;
  /**
   * Monotonic ms since which reading from its worker is paused, or paused again without progress in between; undefined if it
   * is not paused now.
   */
  readonly pausedAt: number | undefined;
  /** Monotonic ms at which it last made progress: the caller sent or took bytes, or an answer's bytes were read. */
  readonly progressAt: number;
}

/** Why a holder is ended. */
export type EndReason =
  /** The caller takes nothing of its answer. */
  | "unread_answer"
  /** The caller sends nothing of its body. */
  | "stalled_body"
  /** No room came free for the rest of a whole answer. */
  | "no_room";

/** Smallest and largest budget in bytes. A smaller one would refuse common bodies, a larger one exceed what hosts have. */
export const MIN_BUDGET_BYTES = 1_048_576;
export const MAX_BUDGET_BYTES = 1_073_741_824;
/** Why a request is refused: by the length that its body announces, by what has arrived of it, or by the fields of its head. */
export type RefusalReason = "announced_body" | "growing_body" | "head";

/** Milliseconds without progress after which a holder may be ended: as long as callers wait for a pause in a stream to end. */
export const PATIENCE_MS = 2000;
/** Milliseconds without progress after which a holder's share is smaller: several round trips of a caller that reads. */
export const SLOW_MS = 500;
/** Share of the budget above which it counts as used up; the rest is for bodies and whole answers. */
export const USED_UP_SHARE = 0.75;
/** Bytes that any holder may hold: what a connection's write buffer takes before it reports that it is full. */
export const FLOOR_BYTES = 16_384;
/** Most bytes buffered for one stream; a stream of text is several times shorter. */
export const STREAM_BYTES = 1_048_576;
/** Part of the free bytes that a holder without recent progress may hold. */
const SLOW_PART = 0.25;
/** Reduction of a holder's part of the free bytes for each rank, so that the least urgent pause first. */
const RANK_REDUCTION = 0.1;
/** Part of the free bytes that a new body may take, so that a few large bodies leave room for small ones. */
const BODY_PART = 0.5;
/** Bytes of the objects for a field's name or value, beside its characters. */
const FIELD_PART_BYTES = 100;
/** Part of its limit to which a paused holder must fall before reading resumes, so that it does not pause at each chunk. */
const RESUME_PART = 0.75;
/** Holders of fewer bytes are ended last; a connection alone costs about as much. */
const SMALL_BYTES = 4096;

/** Whether the sum of held bytes counts as the whole budget. */
export function isUsedUp(sum: number, budget: number): boolean {
  return sum > USED_UP_SHARE * budget;
}

/** Bytes that may be read from the holder's worker and held, as things are now. */
export function limitOf(h: Holder, sum: number, budget: number, now: number): number {
  // A whole answer's caller is not the reason why it is held, so all that is free is for it.
  if (h.stage === "fetching") return Math.max(FLOOR_BYTES, budget - sum);
  const isSlow = now - h.progressAt >= SLOW_MS;
  const part = (isSlow ? SLOW_PART : 1) / (1 + RANK_REDUCTION * h.rank);
  return Math.max(FLOOR_BYTES, Math.min(STREAM_BYTES, part * (USED_UP_SHARE * budget - sum)));
}

/** Whether reading from the holder's worker must pause. */
export function mustPause(h: Holder, sum: number, budget: number, now: number): boolean {
  return h.readBytes > limitOf(h, sum, budget, now);
}

/** Whether reading from a paused holder's worker may resume. */
export function mayResume(h: Holder, sum: number, budget: number, now: number): boolean {
  return h.readBytes <= Math.max(FLOOR_BYTES, RESUME_PART * limitOf(h, sum, budget, now));
}

/** Bytes that the fields of a head take, as parsed and as forwarded; `rawHeaders` are their names and values. */
export function headBytes(rawHeaders: readonly string[]): number {
  return rawHeaders.reduce((sum, text) => sum + FIELD_PART_BYTES + text.length, 0);
}

/** Whether a body or head of `bytes` may be held; `sum` is without it. Small ones always may, as any holder's floor. */
export function mayRead(bytes: number, sum: number, budget: number): boolean {
  return bytes <= Math.max(FLOOR_BYTES, BODY_PART * (budget - sum));
}

/** Why a holder would be ended if the budget required it; undefined if it makes progress or nothing depends on its caller. */
export function endReason(h: Holder, now: number): EndReason | undefined {
  if (now - h.progressAt < PATIENCE_MS || h.bytes === 0) return undefined;
  switch (h.stage) {
    case "receiving":
      return "stalled_body";
    case "waiting":
      return undefined;
    case "fetching":
      return h.pausedAt === undefined ? undefined : "no_room";
    case "answering":
      return "unread_answer";
  }
}

/**
 * Order in which holders are ended: those whose callers are slow, those worth it, the least urgent, the largest, the longest
 * without progress.
 */
function endOrder(a: Holder, b: Holder): number {
  return (
    Number(a.stage === "fetching") - Number(b.stage === "fetching") ||
    Number(a.bytes < SMALL_BYTES) - Number(b.bytes < SMALL_BYTES) ||
    b.rank - a.rank ||
    b.bytes - a.bytes ||
    a.progressAt - b.progressAt
  );
}

/**
 * The holders to be ended now, in order. Once the budget has been used up for a caller's patience, these are as many as it
 * takes until it is not; besides, those paused for that long, as their worker would otherwise stay unread.
 */
export function toEnd<T extends Holder>(
  holders: Iterable<T>,
  budget: number,
  usedUpMs: number,
  now: number,
): readonly T[] {
  let sum = 0;
  const candidates: T[] = [];
  for (const h of holders) {
    sum += h.bytes;
    if (endReason(h, now)) candidates.push(h);
  }
  const ended: T[] = [];
  for (const h of candidates.sort(endOrder)) {
    const freesBudget = usedUpMs >= PATIENCE_MS && isUsedUp(sum, budget);
    const pausedMs = h.pausedAt === undefined ? 0 : now - h.pausedAt;
    const isHeldUp = pausedMs >= PATIENCE_MS && !mayResume(h, sum, budget, now);
    if (!freesBudget && !isHeldUp) continue;
    ended.push(h);
    sum -= h.bytes;
  }
  return ended;
}
