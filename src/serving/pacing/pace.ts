/**
 * Decides how much prefill may be granted while streams run. An event of a stream takes a base time, plus the time for
 * the prompts that the engine reads meanwhile. Prefill is limited to what keeps an event within a share of the
 * longest pause that is on time; the rest is reserved for slow spells of the engine.
 *
 * A prompt counts from the grant of its seat until its first event, which comes with its first token. Prompts that are read one
 * after the other can still lengthen the same event; counting them for a whole event would leave half of a slow engine's
 * capacity unused, and then more requests are refused than streams come on time. An engine that is slower than estimated is
 * granted less. Pure.
 * @module
 */
import type * as seatMessages from "../seat-messages.js";

/** A granted prompt without a first event. */
export interface Read {
  readonly seat: string;
  readonly tokens: number;
  /** Monotonic ms of the grant. */
  readonly at: number;
}

/**
 * Weighted sums over events of the latest streams: `x` is the prompt tokens granted per event, `y` its ms. A stream's
 * weight is its number of events.
 */
interface Sums {
  readonly weight: number;
  readonly x: number;
  readonly y: number;
  readonly xx: number;
  readonly xy: number;
}

/** What is known of an engine's events, and the prefill granted on it. */
export interface Pace {
  readonly sums: Sums;
  /** Monotonic ms at which the latest stream ended. */
  readonly learnedAt: number;
  /** Prompt tokens granted so far. */
  readonly totalTokens: number;
  /** Prompts that count as being read. */
  readonly reads: readonly Read[];
  /** Exponentially decaying sum of the prompt tokens granted, at `recentAt`. */
  readonly recentTokens: number;
  readonly recentAt: number;
}

/** Time of an engine's events, in ms. */
export interface EventTime {
  /** Of one event without prefill. */
  readonly baseMs: number;
  /** Of each prompt token that is read meanwhile. */
  readonly msPerToken: number;
}

/** Prefill that is allowed while streams run. */
export interface Allowance extends EventTime {
  /** Time that an event may take, in ms. */
  readonly windowMs: number;
  /** Part of that for prefill, in ms; negative if events are too slow for any. */
  readonly readMs: number;
}

/**
 * Share of the longest pause that an event may take by the estimate. A slow spell takes 2.5 times as long as usual; the
 * estimate is a mean that includes the spells, and is some 1.1 times the usual time.
 */
const PAUSE_SHARE = 0.45;
/**
 * Initial guesses of the ms of a step and of reading one prompt token; slow for current engines. Their ratio differs
 * less between engines than their speed.
 */
const GUESS_STEP_MS = 10;
const GUESS_MS_PER_TOKEN = 0.05;
/**
 * The guesses, scaled by how fast the engine is on the whole, stay in the estimate as two streams of this weight: one
 * without prefill and one beside this many prompt tokens per event. While all events see about the same prefill, which
 * is usual under high load, the measurements determine the sum of both times but not the two apart.
 */
const GUESS_WEIGHT = 40;
const GUESS_TOKENS = 4000;
/** Number of events after which the weight of earlier streams is halved: some hundred streams. */
const HALF_LIFE_EVENTS = 4000;
/** Milliseconds after which it is halved as well; engines change in minutes. */
const HALF_LIFE_MS = 60_000;
/** A stream's time is capped at this multiple of the expected one, so that a single outlier changes little. */
const OUTLIER_FACTOR = 4;
/** Bounds of the estimated ms per token, far faster and far slower than real engines. */
const MIN_MS_PER_TOKEN = 0.001;
const MAX_MS_PER_TOKEN = 2;
/**
 * A prompt stops counting after this multiple of the time that it and an event may take, also without a first event:
 * its entry host may be frozen. It is more than the factor of slow spells, which is about 2.5.
 */
const LOST_FACTOR = 3;
/** Time constant in ms of the decay of the prefill that counts as recent. */
const RECENT_MS = 1000;

const NOTHING: Sums = { weight: 0, x: 0, y: 0, xx: 0, xy: 0 };

/** The pace of an engine that has not run anything yet. */
export const INITIAL: Pace = {
  sums: NOTHING,
  learnedAt: 0,
  totalTokens: 0,
  reads: [],
  recentTokens: 0,
  recentAt: 0,
};

function add(s: Sums, weight: number, x: number, y: number): Sums {
  return {
    weight: s.weight + weight,
    x: s.x + weight * x,
    y: s.y + weight * y,
    xx: s.xx + weight * x * x,
    xy: s.xy + weight * x * y,
  };
}

function scaled(s: Sums, by: number): Sums {
  return { weight: by * s.weight, x: by * s.x, y: by * s.y, xx: by * s.xx, xy: by * s.xy };
}

/** The measurements as they count at `now`. */
function agedSums(p: Pace, now: number): Sums {
  return scaled(p.sums, 2 ** (-Math.max(0, now - p.learnedAt) / HALF_LIFE_MS));
}

/** Estimates the time of events of `eventTokens` tokens, by a linear regression over streams and guesses. */
export function eventTime(p: Pace, eventTokens: number, now: number): EventTime {
  const aged = agedSums(p, now);
  const guessMs = GUESS_STEP_MS * eventTokens;
  const guessedMs = guessMs * aged.weight + GUESS_MS_PER_TOKEN * aged.x;
  const scale = (aged.y + GUESS_WEIGHT * guessMs) / (guessedMs + GUESS_WEIGHT * guessMs);
  const idle = add(aged, GUESS_WEIGHT, 0, scale * guessMs);
  const busyMs = scale * (guessMs + GUESS_TOKENS * GUESS_MS_PER_TOKEN);
  const s = add(idle, GUESS_WEIGHT, GUESS_TOKENS, busyMs);
  const slope = (s.weight * s.xy - s.x * s.y) / (s.weight * s.xx - s.x * s.x);
  const msPerToken = Math.min(MAX_MS_PER_TOKEN, Math.max(MIN_MS_PER_TOKEN, slope));
  return { baseMs: Math.max(0, (s.y - msPerToken * s.x) / s.weight), msPerToken };
}

/** Adds the timing of a stream that ended at `now`, during which `tokens` prompt tokens were granted. */
export function withStream(
  p: Pace,
  t: seatMessages.StreamTiming,
  tokens: number,
  eventTokens: number,
  now: number,
): Pace {
  const count = t.events - 1;
  if (count < 1 || t.spanMs <= 0) return p;
  const x = tokens / count;
  const { baseMs, msPerToken } = eventTime(p, eventTokens, now);
  const y = Math.min(t.spanMs / count, OUTLIER_FACTOR * (baseMs + x * msPerToken));
  const older = scaled(agedSums(p, now), 2 ** (-count / HALF_LIFE_EVENTS));
  return { ...p, sums: add(older, count, x, y), learnedAt: now };
}

/** The prefill that is allowed beside streams whose longest pause on time is `gapMs`. */
export function allowance(p: Pace, gapMs: number, eventTokens: number, now: number): Allowance {
  const time = eventTime(p, eventTokens, now);
  const windowMs = PAUSE_SHARE * gapMs;
  return { ...time, windowMs, readMs: windowMs - time.baseMs };
}

/** Monotonic ms after which a prompt without a first event stops counting. */
function lostAt(r: Read, a: Allowance): number {
  return r.at + LOST_FACTOR * Math.max(a.windowMs, a.baseMs + r.tokens * a.msPerToken);
}

/**
 * Milliseconds until a prompt may be granted even if none of those before it has its first event; 0 if it may be now.
 * A prompt that exceeds the allowance is granted once no other counts, so at least one is read per event.
 */
export function readyInMs(p: Pace, tokens: number, a: Allowance, now: number): number {
  const counted = p.reads
    .map((r) => ({ ms: r.tokens * a.msPerToken, until: lostAt(r, a) }))
    .filter((r) => r.until > now)
    .sort((x, y) => y.until - x.until);
  let sumMs = tokens * a.msPerToken;
  // Those that stop counting last are added first: the one that exceeds the allowance must stop counting.
  const blocking = counted.find((r) => {
    sumMs += r.ms;
    return sumMs > a.readMs;
  });
  return blocking ? blocking.until - now : 0;
}

/** Records that a seat was granted at `now` for a prompt of `tokens`. */
export function withGrant(p: Pace, seat: string, tokens: number, now: number): Pace {
  return {
    ...p,
    totalTokens: p.totalTokens + tokens,
    reads: [...p.reads, { seat, at: now, tokens }],
    recentTokens: recentTokens(p, now) + tokens,
    recentAt: now,
  };
}

/** Records that the first event of a seat has come, or that the seat has ended. */
export function withoutRead(p: Pace, seat: string): Pace {
  return { ...p, reads: p.reads.filter((r) => r.seat !== seat) };
}

function recentTokens(p: Pace, now: number): number {
  return p.recentTokens * Math.exp(-Math.max(0, now - p.recentAt) / RECENT_MS);
}

/** Share of the time that may be spent on prefill; one prompt of `tokens` may always be read per event. */
function allowedShare(a: Allowance, tokens: number): number {
  const promptMs = tokens * a.msPerToken;
  return Math.max(a.readMs / a.windowMs, promptMs / (a.baseMs + promptMs));
}

/**
 * Prefill granted in about the last second, as a share of what is allowed in that time for prompts of `tokens`; 0 if no
 * stream runs (`a` is undefined).
 */
export function load(p: Pace, a: Allowance | undefined, tokens: number, now: number): number {
  if (!a) return 0;
  return (recentTokens(p, now) * a.msPerToken) / RECENT_MS / allowedShare(a, tokens);
}

/** Estimated ms until a prompt of `tokens` is granted that arrives behind `aheadTokens` waiting ones. */
export function waitMs(
  p: Pace,
  a: Allowance,
  tokens: number,
  aheadTokens: number,
  now: number,
): number {
  const pendingTokens = p.reads
    .filter((r) => lostAt(r, a) > now)
    .reduce((sum, r) => sum + r.tokens, 0);
  const firstMs = readyInMs(p, tokens, a, now) > 0 ? pendingTokens * a.msPerToken : 0;
  return firstMs + (aheadTokens * a.msPerToken) / allowedShare(a, tokens);
}
