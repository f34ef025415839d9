/**
 * Decides which teams exceed their share of one engine, by max-min fairness over the tokens that were granted to each
 * team lately: a team that wants less than an equal share gets all it wants, and what it leaves is shared by the
 * others. Teams that exceed their share give way to the others while requests queue up. Pure.
 * @module
 */
import * as popularity from "../../endpoint/popularity.js";
import * as seatMessages from "../seat-messages.js";

/** Tokens (prompt and expected answer) granted to each team, with exponential decay. */
export type Grants = popularity.Popularity;

/** Weight of each team's share; a team that is not listed has weight 1. */
export type Weights = ReadonlyMap<string, number>;

/**
 * Half-life of granted tokens in ms, about the time for which callers wait. A longer one would make a team pay for
 * requests whose callers are long served; with a shorter one, a few large prompts would exceed any share.
 */
export const HALF_LIFE_MS = 2000;
/** Number of teams whose tokens are kept, several times what an engine serves at once; others count as idle. */
const TRACKED_TEAMS = 256;
/**
 * Milliseconds of waiting requests below which no team exceeds its share: half of the shortest usual target for a first
 * event. With less waiting, the order makes nobody late, and the largest team would lose without need.
 */
export const CONGESTED_MS = 250;
/**
 * Part of the engine that is kept for a team that asks next. It makes the largest team exceed its share before another
 * team's request arrives, so that the wait announced for that request is the one it will have.
 */
const RESERVED_PART = 0.05;
/** Allowed weights; a ratio of 10,000 between two teams is as good as none at all for the smaller one. */
const MIN_WEIGHT = 0.01;
const MAX_WEIGHT = 100;

/** What shares consider of a waiting request. */
export interface Waiting {
  /** Undefined for requests without a team, which count as one team. */
  readonly team?: string | undefined;
  /** Prompt tokens and expected answer tokens. */
  readonly tokens?: number | undefined;
  /** Estimated ms that the engine takes until its first event. */
  readonly serviceMs: number;
}

/** How the teams of one engine stand at one time. */
export interface Standing {
  /** Teams that exceed their share, the furthest beyond it first; requests without a team count as {@link NO_TEAM}. */
  readonly over: ReadonlySet<string>;
  /** Whether a team within its share waits or was granted a seat in the last half-life. */
  readonly isContended: boolean;
}

/** Name that stands for requests without a team. */
export const NO_TEAM = "";
/** No team exceeds its share. */
export const NO_TEAMS: ReadonlySet<string> = new Set();
/** The standing on an engine without congestion. */
export const CALM: Standing = { over: NO_TEAMS, isContended: false };
/** The grants of a daemon that has just started. */
export const NO_GRANTS: Grants = popularity.cold(HALF_LIFE_MS, TRACKED_TEAMS);

/** Checks configured weights; throws a RangeError that names the team and the allowed range. */
export function checkWeights(weights: Weights): Weights {
  for (const [team, weight] of weights) {
    if (weight >= MIN_WEIGHT && weight <= MAX_WEIGHT) continue;
    throw new RangeError(
      `the weight of team ${team} is ${weight}; it must be from ${MIN_WEIGHT} to ${MAX_WEIGHT}`,
    );
  }
  return weights;
}

/** Adds the tokens of a granted request; one that states none counts as one token. */
export function recordGrant(
  g: Grants,
  team: string | undefined,
  tokens: number,
  now: number,
): Grants {
  return popularity.hit(g, team ?? NO_TEAM, Math.max(1, tokens), now);
}

/** Tokens that were granted to a team lately. */
export function grantedTo(g: Grants, team: string, now: number): number {
  return popularity.heat(g, team, now);
}

/** One team's use of an engine, in tokens per weight. */
interface Use {
  readonly team: string;
  readonly weight: number;
  readonly granted: number;
  /** Granted lately or waiting. */
  readonly wanted: number;
}

function usesOf(
  g: Grants,
  waiting: readonly Waiting[],
  weights: Weights,
  now: number,
): readonly Use[] {
  const waitingTokens = new Map<string, number>();
  for (const { team = NO_TEAM, tokens = 0 } of waiting) {
    waitingTokens.set(team, (waitingTokens.get(team) ?? 0) + Math.max(1, tokens));
  }
  return [...new Set([...g.byTarget.keys(), ...waitingTokens.keys()])].map((team) => {
    const weight = weights.get(team) ?? 1;
    const granted = grantedTo(g, team, now) / weight;
    return { team, weight, granted, wanted: granted + (waitingTokens.get(team) ?? 0) / weight };
  });
}

/** Tokens per weight that each team gets at most, if `capacity` tokens are shared by max-min fairness. */
function levelOf(uses: readonly Use[], capacity: number): number {
  let left = capacity;
  let weightLeft = uses.reduce((sum, u) => sum + u.weight, 0);
  for (const u of [...uses].sort((a, b) => a.wanted - b.wanted)) {
    if (u.wanted * weightLeft > left) return left / weightLeft;
    left -= u.wanted * u.weight;
    weightLeft -= u.weight;
  }
  return Infinity;
}

/** How teams stand at `now`, by what was granted lately and what waits. */
export function standing(
  g: Grants,
  waiting: readonly Waiting[],
  weights: Weights,
  now: number,
): Standing {
  if (waiting.reduce((sum, w) => sum + w.serviceMs, 0) < CONGESTED_MS) return CALM;
  const uses = usesOf(g, waiting, weights, now);
  const capacity = uses.reduce((sum, u) => sum + u.granted * u.weight, 0);
  const level = levelOf(uses, capacity * (1 - RESERVED_PART));
  const over = uses
    .filter((u) => u.granted > level)
    .sort((a, b) => b.granted - a.granted)
    .slice(0, seatMessages.MAX_OVER_TEAMS);
  const names = new Set(over.map((u) => u.team));
  const isActive = (u: Use): boolean =>
    u.wanted > u.granted || now - (g.byTarget.get(u.team)?.at ?? -Infinity) < HALF_LIFE_MS;
  return { over: names, isContended: uses.some((u) => !names.has(u.team) && isActive(u)) };
}

/** Whether a request's team exceeds its share. */
export function isOver(over: ReadonlySet<string>, w: Pick<Waiting, "team">): boolean {
  return over.size > 0 && over.has(w.team ?? NO_TEAM);
}
