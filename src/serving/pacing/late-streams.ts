/**
 * The share of an engine's latest streams that were late by a pause between two events. It shows what the speed of
 * reading prompts does not: an engine that is slow at making tokens, and slow spells. Pure.
 * @module
 */

/** Share of late streams, 0 to 1, and the monotonic ms at which it was last updated. */
export interface LateStreams {
  readonly share: number;
  readonly at: number;
}

/** Weight of the latest stream: about seven streams count, which a busy engine ends in a second or two. */
const LATEST_WEIGHT = 0.15;
/**
 * Half-life in ms of the share while no stream ends. An engine that was slow gets requests again after some seconds, and
 * these show whether it still is.
 */
const HALF_LIFE_MS = 5000;

/** The share of an engine that has not ended a stream yet. */
export const NONE: LateStreams = { share: 0, at: 0 };

/** The share at `now`. */
export function shareAt(s: LateStreams, now: number): number {
  return s.share * 2 ** (-Math.max(0, now - s.at) / HALF_LIFE_MS);
}

/** The share after a stream that ended at `now`. */
export function recordStream(s: LateStreams, isLate: boolean, now: number): LateStreams {
  const share = shareAt(s, now);
  return { share: share + ((isLate ? 1 : 0) - share) * LATEST_WEIGHT, at: now };
}
