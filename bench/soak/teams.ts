/**
 * The teams of a run, with API keys that are replaced and a rate cap of one team, and the checks that both were enforced.
 * @module
 */
import type * as journals from "../platform/journal.js";
import type * as history from "./history.js";

/** An API key, and when the operator added and revoked it (`Infinity` while it is valid). */
export interface Key {
  readonly key: string;
  readonly team: string;
  readonly from: number;
  until: number;
}

/** A cap on the tokens a second of {@link CAPPED}, from time `at` on. */
interface Cap {
  readonly perS: number;
  readonly at: number;
}

/** All keys and caps that the operator has set. */
export interface Teams {
  readonly keys: Key[];
  readonly caps: Cap[];
}

/** Bounds in the daemons' settings, under the platform's names. */
export const BOUNDS = {
  strictRevoke: true,
  revokeMs: 5000,
  quotaSlack: 2000,
} as const;
const TOLERATED_OVERAGE = 0.1;
const WINDOW_MS = 8000;
const MS_PER_S = 1000;
/** Milliseconds within which a change is in force on hosts that can reach the store. */
const IN_FORCE_MS = 2000;

const UNCAPPED = "news";
const CAPPED = "sport";
/** The cap while it is high and while it is low, in tokens a second; its burst is as many tokens. */
const HIGH_CAP = 6000;
const LOW_CAP = 600;
/** Tokens of a request to an adapter (as its usage header and in sum), and of a call. */
export const STREAM_USAGE = "200,40";
const STREAM_TOKENS = 240;
const CALL_TOKENS = 20;
/** A key that no configuration ever contained. */
const UNKNOWN = "k-unknown";

/** The teams at the start of a run: two keys each, and the high cap. */
export function createTeams(now: number): Teams {
  const key = (team: string, n: number): Key => ({
    key: `k-${team}-${n}`,
    team,
    from: now,
    until: Infinity,
  });
  return {
    keys: [UNCAPPED, CAPPED].flatMap((t) => [key(t, 1), key(t, 2)]),
    caps: [{ perS: HIGH_CAP, at: now }],
  };
}

/** The teams as listed in a configuration document. */
export function toDocuments(t: Teams): readonly object[] {
  const perS = t.caps.at(-1)?.perS ?? HIGH_CAP;
  const cap = { unit: "token_rate", plainTokens: CALL_TOKENS, ratePerS: perS, burst: perS };
  return [UNCAPPED, CAPPED].map((name) => ({
    name,
    apiKeys: t.keys.filter((k) => k.team === name && k.until === Infinity).map((k) => k.key),
    ...(name === CAPPED && cap),
  }));
}

/** Revokes a key and gives its team a new one. */
export function rotateKey(t: Teams, draw: <T>(list: readonly T[]) => T, now: number): void {
  const old = draw(t.keys.filter((k) => k.until === Infinity));
  old.until = now;
  const key = `k-${old.team}-${t.keys.length + 1}`;
  t.keys.push({ key, team: old.team, from: now, until: Infinity });
}

/** Switches the cap from high to low, or back. */
export function toggleCap(t: Teams, now: number): void {
  const perS = t.caps.at(-1)?.perS === HIGH_CAP ? LOW_CAP : HIGH_CAP;
  t.caps.push({ perS, at: now });
}

/** Share of the requests with a valid key; share of the others with a revoked key, if there is one, not an unknown key. */
const VALID_KEY_SHARE = 0.88;
const REVOKED_KEY_SHARE = 0.8;

/** Draws the key for a request: valid, revoked or unknown. */
export function pickKey(
  t: Teams,
  draw: { readonly part: () => number; readonly one: <T>(list: readonly T[]) => T },
): string {
  const revoked = t.keys.filter((k) => k.until < Infinity);
  const valid = t.keys.filter((k) => k.until === Infinity);
  if (draw.part() < VALID_KEY_SHARE) return draw.one(valid).key;
  if (draw.part() < REVOKED_KEY_SHARE && revoked.length > 0) return draw.one(revoked).key;
  return UNKNOWN;
}

/** Describes how a request's treatment violates the rules for its key; undefined if it does not. */
export function keyViolation(
  t: Teams,
  s: history.RequestRecord,
  runs: readonly journals.Run[],
): string | undefined {
  const key = t.keys.find((k) => k.key === s.key);
  const foreign = runs.find((r) => r.team !== key?.team);
  if (foreign) return `ran for ${foreign.team ?? "no team"}, with a key of ${key?.team ?? "none"}`;
  if (runs.some((r) => r.sawKey)) return "its API key was forwarded to a worker";
  if (!key) return undefined;
  if (runs.length > 0 && s.sentAt > key.until + BOUNDS.revokeMs) {
    return `ran ${Math.round(s.sentAt - key.until)} ms after its key was revoked`;
  }
  const denied = s.end.kind === "answer" && s.end.status === 401;
  if (denied && key.from + IN_FORCE_MS < s.sentAt && key.until > s.endedAt) {
    return "got 401 with a valid key";
  }
  return undefined;
}

/** One line for each window in which the capped team ran more tokens than its cap allows. */
export function capViolations(
  t: Teams,
  seen: readonly history.RequestRecord[],
  runs: ReadonlyMap<string, readonly journals.Run[]>,
  outOfTouch: (from: number, to: number) => boolean,
): readonly string[] {
  const own = new Set(t.keys.filter((k) => k.team === CAPPED).map((k) => k.key));
  const ran = seen.flatMap((s) => {
    const at = Math.min(...(runs.get(s.id) ?? []).map((r) => r.at));
    if (!own.has(s.key) || at === Infinity) return [];
    return [{ sentAt: s.sentAt, at, tokens: s.adapter === "" ? CALL_TOKENS : STREAM_TOKENS }];
  });
  return ran.flatMap(({ at: to }) => {
    const from = to - WINDOW_MS;
    const used = ran
      .filter((r) => r.sentAt >= from && r.at <= to)
      .reduce((sum, r) => sum + r.tokens, 0);
    const perS = highestCap(t, from, to, outOfTouch);
    const allowed = perS * (WINDOW_MS / MS_PER_S + 1) * (1 + TOLERATED_OVERAGE) + BOUNDS.quotaSlack;
    if (used <= allowed) return [];
    return [`cap: ${CAPPED} ran ${used} tokens in a window, ${Math.round(allowed)} allowed`];
  });
}

/**
 * The highest cap that may apply in a window. A lowered cap binds a window that starts after the cap is in force on all hosts
 * that can reach the store.
 */
function highestCap(
  t: Teams,
  from: number,
  to: number,
  outOfTouch: (from: number, to: number) => boolean,
): number {
  const since = from - IN_FORCE_MS;
  const may = t.caps.filter((c, i) => {
    const until = t.caps[i + 1]?.at ?? Infinity;
    return c.at <= to && (until >= since || outOfTouch(until, to));
  });
  return Math.max(...may.map((c) => c.perS));
}
