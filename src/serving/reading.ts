/**
 * How fast an engine reads prompts, learnt from its own runs: a line through what the latest of them
 * took until their first event against the prompt tokens that were read until then. Nothing is known
 * of an engine beforehand but a careful guess, which a few runs outweigh. Pure.
 * @module
 */

/** Weighted sums over the latest runs. */
export interface Reading {
  readonly weight: number;
  readonly tokens: number;
  readonly ms: number;
  readonly tokensSquared: number;
  readonly tokensMs: number;
}

/** What a run keeps of its weight at the next one: about twenty runs are remembered. */
const KEEP = 0.95;
/**
 * The guess before any run, as two runs that were not: a prompt of no length and one of a few thousand
 * tokens. It is slow for an engine of today, so that a new one is not given too much at once.
 */
const GUESS_FIRST_MS = 60;
const GUESS_TOKENS = 4000;
const GUESS_MS_PER_TOKEN = 0.05;
/** Bounds of what is believed, in ms a token: from far faster to far slower than engines are. */
const FASTEST = 0.001;
const SLOWEST = 2;
/** A run counts as this many times what was expected at most, so that one odd run changes little. */
const ODD = 4;

const NOTHING: Reading = { weight: 0, tokens: 0, ms: 0, tokensSquared: 0, tokensMs: 0 };

function add(r: Reading, tokens: number, ms: number): Reading {
  return {
    weight: r.weight + 1,
    tokens: r.tokens + tokens,
    ms: r.ms + ms,
    tokensSquared: r.tokensSquared + tokens * tokens,
    tokensMs: r.tokensMs + tokens * ms,
  };
}

/** An engine that has not run anything yet. */
export const UNKNOWN: Reading = add(
  add(NOTHING, 0, GUESS_FIRST_MS),
  GUESS_TOKENS,
  GUESS_FIRST_MS + GUESS_TOKENS * GUESS_MS_PER_TOKEN,
);

/** Milliseconds that each prompt token takes. */
export function msPerToken(r: Reading): number {
  const spread = r.weight * r.tokensSquared - r.tokens * r.tokens;
  if (spread <= 0) return GUESS_MS_PER_TOKEN;
  const slope = (r.weight * r.tokensMs - r.tokens * r.ms) / spread;
  return Math.min(SLOWEST, Math.max(FASTEST, slope));
}

/** Milliseconds from a prompt's last token to the first event, with what every run takes besides. */
export function firstMs(r: Reading): number {
  return Math.max(0, (r.ms - msPerToken(r) * r.tokens) / r.weight);
}

/** Milliseconds until the first event when `tokens` have to be read until then. */
export function expectedMs(r: Reading, tokens: number): number {
  return firstMs(r) + tokens * msPerToken(r);
}

/** The first event of a run came after `ms`, when `tokens` had been read. */
export function seen(r: Reading, tokens: number, ms: number): Reading {
  const counted = Math.min(ms, ODD * expectedMs(r, tokens));
  const older: Reading = {
    weight: r.weight * KEEP,
    tokens: r.tokens * KEEP,
    ms: r.ms * KEEP,
    tokensSquared: r.tokensSquared * KEEP,
    tokensMs: r.tokensMs * KEEP,
  };
  return add(older, tokens, counted);
}
