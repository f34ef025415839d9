/**
 * The retry times that an entry host has announced to the callers it refused, for one service, so that these callers do
 * not all retry at once, nor while the overload lasts. Each host books retries by the rate at which it admits requests
 * itself, so that the sum over all hosts matches what the engines can serve. Pure.
 * @module
 */
import * as backlog from "../backlog.js";

/** A retry that was announced to a caller. */
export interface Booking {
  readonly rank: number;
  /** Monotonic ms at which the caller was told to retry. */
  readonly at: number;
}

/** The retries that are still to come, and the admissions that count towards the rate. */
export interface Schedule {
  /** Retries that were to come when the schedule last changed. */
  readonly booked: readonly Booking[];
  /** Sum of the weights of the requests admitted until `at`; each weighs 1 and decays over {@link WINDOW_MS}. */
  readonly admitted: number;
  /** Monotonic ms for which `admitted` holds. */
  readonly at: number;
}

/** A retry to be booked. */
export interface Wanted {
  /** Urgency of the request; 0 is the most urgent. */
  readonly rank: number;
  /** Milliseconds until the request could be begun, by the estimate of its wait. */
  readonly waitMs: number;
  /** Milliseconds after which its caller no longer retries. */
  readonly latestMs: number;
}

/** A booked retry. */
export interface Booked {
  /** The schedule with the retry. */
  readonly schedule: Schedule;
  /** Milliseconds until the retry. */
  readonly inMs: number;
  /** Number of retries booked before it. */
  readonly before: number;
  /** Whether no time was free up to the latest one, which the retry was set to. */
  readonly isLimited: boolean;
}

/** Time constant, in ms, of the decaying mean of admissions. */
const WINDOW_MS = 2000;
/**
 * Retries booked for each admission. At 1, retries take all that is served, and arrive beside new requests. Half leaves
 * room for as many new ones.
 */
const RETRIES_PER_ADMISSION = 0.5;
/**
 * Earliest retry, as a multiple of the estimated wait: an overload that has caused a wait mostly lasts longer than it, and
 * a retry that meets the same overload is refused again.
 */
const EARLIEST_WAITS = 3;
/** Largest part of the time up to the latest retry that is left free for this, so that the rest can be booked. */
const EARLIEST_PART = 0.5;

/** The schedule of a host that has admitted and refused nothing yet. */
export const EMPTY: Schedule = { booked: [], admitted: 0, at: 0 };

function admittedAt(s: Schedule, now: number): number {
  return s.admitted * Math.exp(-Math.max(0, now - s.at) / WINDOW_MS);
}

/** The schedule after a request was admitted at the monotonic ms `now`. */
export function recordAdmission(s: Schedule, now: number): Schedule {
  return { ...s, admitted: admittedAt(s, now) + 1, at: now };
}

/** Milliseconds between two retries; Infinity on a host that has not admitted a request. */
function intervalMs(s: Schedule, now: number): number {
  return WINDOW_MS / (admittedAt(s, now) * RETRIES_PER_ADMISSION);
}

/**
 * Books a retry at the earliest time that its wait, the retries of its rank, and those of more urgent ranks leave. The
 * wait is never cut short by {@link EARLIEST_PART}, only by the latest time.
 */
export function book(s: Schedule, r: Wanted, now: number): Booked {
  const booked = s.booked.filter((b) => b.at > now);
  const rank = backlog.rankIndex(r.rank);
  const ahead = booked.filter((b) => b.rank <= rank);
  const earliestMs = Math.min(EARLIEST_WAITS * r.waitMs, EARLIEST_PART * r.latestMs);
  const freeAt = ahead.reduce(
    (latest, b) => Math.max(latest, b.at + intervalMs(s, now)),
    now + Math.max(r.waitMs, earliestMs),
  );
  const at = Math.min(freeAt, now + r.latestMs);
  return {
    schedule: { booked: [...booked, { rank, at }], admitted: admittedAt(s, now), at: now },
    inMs: at - now,
    before: booked.filter((b) => b.at <= at).length,
    isLimited: freeAt > now + r.latestMs,
  };
}
