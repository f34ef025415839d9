/**
 * Decides how much prefill may be granted while streams run. An event of a stream takes a base time, plus the time for
 * the prompts that the engine reads meanwhile. Prefill is limited to what keeps an event within a share of the
 * longest pause that is on time; the rest is reserved for slow spells of the engine, which begin without notice.
 *
 * A prompt counts from the grant of its seat for as long as such an event may take, and until its first event, which comes with
 * its first token. Prompts that are read one after the other lengthen the same event. Pure.
 * @module
 */
import type * as seatMessages from "../seat-messages.js";

/** A granted prompt. */
export interface Read {
  readonly seat: string;
  readonly tokens: number;
  /** Monotonic ms of the grant. */
  readonly at: number;
  /** Prompt tokens granted without a first event when it was granted, its own included. */
  readonly tokensUntilFirst: number;
  /** Milliseconds from the grant until its first event; undefined until that. */
  readonly tookMs: number | undefined;
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
  /** Prompts granted in the last {@link KEPT_MS}. */
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
  /** Longest pause that is on time, in ms. */
  readonly gapMs: number;
  /** Time that an event may take, in ms. */
  readonly windowMs: number;
  /** Part of that for prefill, in ms; negative if events are too slow for any. */
  readonly readMs: number;
  /** Time of one step without prefill, in ms. */
  readonly stepMs: number;
}

/**
 * Share of the longest pause that an event may take by the estimate. A slow spell takes 2.5 times as long as usual; the
 * estimate is a mean that includes the spells, and is some 1.1 times the usual time.
 */
const PAUSE_SHARE = 0.4;
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
/** Steps, besides the reading itself, from a grant to the first event: the step that runs, and the one that makes the token. */
const STEPS_TO_FIRST = 2;
/**
 * Share of the longest pause by which events of an engine that has been granted little lately may exceed that; none of a full
 * one. Under moderate load prompts come close together by chance, and a wait for each of them would cost more than a spell just
 * then.
 */
const BURST_SHARE = 0.3;
/** Share of the longest pause that an event may take while the engine is slow; the slowness is an estimate. */
const SLOW_SHARE = 0.8;
/**
 * Factor on the time for which a prompt counts while the engine is slow: an event with a prompt takes nearly the longest pause
 * then, so a second one must not fall into it.
 */
const SLOW_WINDOW = 1.2;
/** Slowness above which an engine counts as slow. */
const SLOW_ABOVE = 1.4;
/**
 * Milliseconds after which an engine that stays slow counts as usual again: a slow spell is over by then, or the engine is slower
 * than before and the estimate of its times follows.
 */
const MAX_SLOW_MS = 1500;
/** Fewest prompts of the last seconds whose median is taken for usual. */
const MIN_READS = 8;
/** Factor of a slow spell that is counted at most. */
const MAX_SLOWNESS = 5;
/** Milliseconds for which granted prompts are kept; a slow spell is a small part of that. */
const KEPT_MS = 5000;
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
  return {
    ...time,
    gapMs,
    windowMs,
    readMs: windowMs - time.baseMs,
    stepMs: time.baseMs / eventTokens,
  };
}

/** How many times as long as estimated the engine took, or takes so far, from the grant of a prompt to its first event. */
function ratioOf(r: Read, a: Allowance, now: number): number {
  const estimatedMs = r.tokensUntilFirst * a.msPerToken + a.stepMs * STEPS_TO_FIRST;
  return (r.tookMs ?? now - r.at) / estimatedMs;
}

/** How slow an engine is now. */
export interface Slowness {
  /** How many times as long as usual it takes, at least 1. */
  readonly factor: number;
  /** Milliseconds for which it has been slow; 0 if it is not. */
  readonly sinceMs: number;
}

const NOT_SLOW: Slowness = { factor: 1, sinceMs: 0 };

/**
 * How slow the engine is, by the prompts read last. Usual is the median of those that were granted in the last seconds: it
 * includes what the estimate errs by, and the delay of entry hosts' reports. A prompt whose first event is overdue does not count
 * if one that was granted later has its own: then the report of its entry host is late, not the engine.
 */
export function slowness(p: Pace, a: Allowance, now: number): Slowness {
  const done = p.reads.filter((r) => r.tookMs !== undefined);
  const latest = done.at(-1);
  const ratios = done.map((r) => ratioOf(r, a, now));
  const sorted = [...ratios].sort((x, y) => x - y);
  const usual = done.length < MIN_READS ? 1 : (sorted[sorted.length >> 1] ?? 1);
  let factor = (ratios.at(-1) ?? usual) / usual;
  let since = now;
  for (const r of p.reads) {
    if (r.tookMs !== undefined || (latest && r.at <= latest.at)) continue;
    const own = ratioOf(r, a, now) / usual;
    if (own > SLOW_ABOVE) since = Math.min(since, r.at);
    factor = Math.max(factor, own);
  }
  if (factor <= SLOW_ABOVE) return NOT_SLOW;
  for (let i = done.length - 1; i >= 0; i--) {
    if ((ratios[i] ?? 0) <= SLOW_ABOVE * usual) break;
    since = Math.min(since, done[i]?.at ?? now);
  }
  return { factor: Math.min(MAX_SLOWNESS, factor), sinceMs: now - since };
}

/** Monotonic ms after which a prompt stops counting; `factor` is how many times as long as usual the engine takes. */
function countsUntil(r: Read, a: Allowance, factor: number): number {
  if (r.tookMs !== undefined) return r.at + Math.max(r.tookMs, a.windowMs * factor);
  return r.at + LOST_FACTOR * Math.max(a.windowMs, a.baseMs + r.tokens * a.msPerToken);
}

/** What keeps a prompt from being granted. */
export interface Hold {
  /** Milliseconds until it may be granted even if nothing happens until then. */
  readonly inMs: number;
  /** Whether it is held back for its size alone, so that smaller prompts may be granted before it. */
  readonly isTooLarge: boolean;
}

/**
 * What keeps a prompt from being granted; undefined if nothing does. At least one prompt is read per event, unless it is
 * too large: one that exceeds the limit is granted once no other counts.
 *
 * A prompt is granted if half of it is within the limit, so that the limit holds on average also where it is a few prompts
 * only. While the engine is slow, all of it must be, and one that would make all streams late by itself waits.
 */
export function holdOf(
  p: Pace,
  tokens: number,
  a: Allowance,
  { factor, sinceMs }: Slowness,
  now: number,
): Hold | undefined {
  const ownMs = tokens * a.msPerToken;
  if (factor > SLOW_ABOVE && sinceMs < MAX_SLOW_MS) {
    const limitMs = (SLOW_SHARE * a.gapMs) / factor - a.baseMs;
    if ((a.baseMs + ownMs) * factor > a.gapMs)
      return { inMs: Math.min(a.windowMs, MAX_SLOW_MS - sinceMs), isTooLarge: true };
    return blockingOf(p, ownMs, limitMs, factor * SLOW_WINDOW, a, now);
  }
  const burstMs = BURST_SHARE * a.gapMs * (1 - Math.min(1, load(p, a, tokens, now)));
  const limitMs = Math.min(a.readMs + burstMs, SLOW_SHARE * a.gapMs - a.baseMs - ownMs / 2);
  return blockingOf(p, ownMs / 2, limitMs, 1, a, now);
}

/** What keeps a prompt of `ownMs` waiting among those that count, for `factor` times their usual time, under a limit in ms. */
function blockingOf(
  p: Pace,
  ownMs: number,
  limitMs: number,
  factor: number,
  a: Allowance,
  now: number,
): Hold | undefined {
  const counted: { readonly ms: number; readonly until: number }[] = [];
  // Most of the prompts that are kept count no more.
  for (const r of p.reads) {
    const until = countsUntil(r, a, factor);
    if (until > now) counted.push({ ms: r.tokens * a.msPerToken, until });
  }
  counted.sort((x, y) => y.until - x.until);
  let sumMs = ownMs;
  // Those that stop counting last are added first: the one that exceeds the allowance must stop counting.
  const blocking = counted.find((r) => {
    sumMs += r.ms;
    return sumMs > limitMs;
  });
  return blocking && { inMs: blocking.until - now, isTooLarge: false };
}

/** Records that a seat was granted at `now` for a prompt of `tokens`. */
export function withGrant(p: Pace, seat: string, tokens: number, now: number): Pace {
  const kept = p.reads.filter((r) => now - r.at < KEPT_MS);
  const unread = kept.reduce((sum, r) => sum + (r.tookMs === undefined ? r.tokens : 0), 0);
  const read: Read = {
    seat,
    at: now,
    tokens,
    tokensUntilFirst: unread + tokens,
    tookMs: undefined,
  };
  return {
    ...p,
    totalTokens: p.totalTokens + tokens,
    reads: [...kept, read],
    recentTokens: recentTokens(p, now) + tokens,
    recentAt: now,
  };
}

/** Records that the first event of a seat has come. */
export function withFirstEvent(p: Pace, seat: string, now: number): Pace {
  const reads = p.reads.map((r) => (r.seat === seat ? { ...r, tookMs: now - r.at } : r));
  return { ...p, reads };
}

/** Records that a seat has ended; its prompt counts on if the engine has read it. */
export function withoutRead(p: Pace, seat: string): Pace {
  return { ...p, reads: p.reads.filter((r) => r.seat !== seat || r.tookMs !== undefined) };
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
    .filter((r) => countsUntil(r, a, 1) > now)
    .reduce((sum, r) => sum + r.tokens, 0);
  const firstMs = holdOf(p, tokens, a, NOT_SLOW, now) ? pendingTokens * a.msPerToken : 0;
  return firstMs + (aheadTokens * a.msPerToken) / allowedShare(a, tokens);
}
