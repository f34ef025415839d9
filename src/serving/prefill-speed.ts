/**
 * Estimates how fast an engine reads prompts (prefill), by a linear regression over its latest runs: the time
 * until the first event against the prompt tokens read until then. The estimate starts from a
 * conservative guess that a few runs outweigh. Pure.
 * @module
 */

/** Weighted sums over the latest runs, as the regression needs them. */
export interface PrefillSpeed {
  readonly weight: number;
  readonly tokens: number;
  readonly ms: number;
  readonly tokensSquared: number;
  readonly tokensMs: number;
}

/** Factor on the weight of all earlier runs at each new one; about twenty runs count. */
const DECAY = 0.95;
/**
 * The initial guess, entered as two fictitious runs: an empty prompt, and one of a few thousand tokens. It is
 * slow for current engines, so that a new engine is not given too much at once.
 */
const GUESS_FIRST_MS = 60;
const GUESS_TOKENS = 4000;
const GUESS_MS_PER_TOKEN = 0.05;
/** Bounds of the estimate in ms per token, far faster and far slower than real engines. */
const MIN_MS_PER_TOKEN = 0.001;
const MAX_MS_PER_TOKEN = 2;
/** A run's time is capped at this multiple of the expected one, so that a single outlier changes little. */
const OUTLIER_FACTOR = 4;

const NOTHING: PrefillSpeed = { weight: 0, tokens: 0, ms: 0, tokensSquared: 0, tokensMs: 0 };

function add(r: PrefillSpeed, tokens: number, ms: number): PrefillSpeed {
  return {
    weight: r.weight + 1,
    tokens: r.tokens + tokens,
    ms: r.ms + ms,
    tokensSquared: r.tokensSquared + tokens * tokens,
    tokensMs: r.tokensMs + tokens * ms,
  };
}

/** The estimate for an engine that has not run anything yet. */
export const INITIAL: PrefillSpeed = add(
  add(NOTHING, 0, GUESS_FIRST_MS),
  GUESS_TOKENS,
  GUESS_FIRST_MS + GUESS_TOKENS * GUESS_MS_PER_TOKEN,
);

/** Estimated ms that the engine needs to read one prompt token. */
export function msPerToken(r: PrefillSpeed): number {
  const spread = r.weight * r.tokensSquared - r.tokens * r.tokens;
  if (spread <= 0) return GUESS_MS_PER_TOKEN;
  const slope = (r.weight * r.tokensMs - r.tokens * r.ms) / spread;
  return Math.min(MAX_MS_PER_TOKEN, Math.max(MIN_MS_PER_TOKEN, slope));
}

/**
 * Estimated ms of a run that don't depend on its prompt: from the last prompt token to the first event,
 * and any overhead.
 */
export function firstMs(r: PrefillSpeed): number {
  return Math.max(0, (r.ms - msPerToken(r) * r.tokens) / r.weight);
}

/** Estimated ms until the first event of a run when `tokens` have to be read before it. */
export function firstEventMs(r: PrefillSpeed, tokens: number): number {
  return firstMs(r) + tokens * msPerToken(r);
}

/** Adds a run whose first event came after `ms`, when `tokens` had been read. */
export function withRun(r: PrefillSpeed, tokens: number, ms: number): PrefillSpeed {
  const cappedMs = Math.min(ms, OUTLIER_FACTOR * firstEventMs(r, tokens));
  const older: PrefillSpeed = {
    weight: r.weight * DECAY,
    tokens: r.tokens * DECAY,
    ms: r.ms * DECAY,
    tokensSquared: r.tokensSquared * DECAY,
    tokensMs: r.tokensMs * DECAY,
  };
  return add(older, tokens, cappedMs);
}
