/**
 * Plays a load against a way to keep a usage cap, and says what was let in and refused.
 * @module
 */
import * as uniform from "pure-rand/distribution/uniformFloat64";
import * as generators from "pure-rand/generator/xoroshiro128plus";
import type * as tokenBalance from "../../src/serving/token-balance.js";
import * as time from "../measure/time.js";
import * as fleet from "./fleet.js";

const MS_PER_S = 1000;
/** The users' rule: what may be let in, in a window, beyond the cap. */
const WINDOW_MS = 8000;
const OVERAGE = 0.1;
const SLACK = 17_000;
/** What a team usually uses, as a part of its cap, and how many times as much it asks for when it is hot. */
const USUAL = 1 / 1.8;
const HOT = 7.5;
/** Tokens of a request on an adapter, and of a call that is smaller than a host's share: from, and up to as many more. */
const STREAM_TOKENS = { least: 800, more: 3200 };
const CALL_TOKENS = { least: 300, more: 600 };
/** Milliseconds before the first request, for places to be found and filled. */
const START_MS = 4000;
const PLAY_MS = 30_000;
const END_MS = START_MS + PLAY_MS;
/** When things happen. */
const FIRST_MS = START_MS + 8000;
const SECOND_MS = START_MS + 16_000;
const LOWERED = 0.1;
/** Tokens a second of a small team's cap, and of a large one's with 29 hosts. */
const SMALL = 4200;
const LARGE = 110_000;
const LARGE_HOSTS = 29;

export const LOADS = [
  "even",
  "one_host",
  "small",
  "hot",
  "hot_lowered",
  "hot_place_lost",
  "hot_cut",
  "hot_calls_once_cut",
  "hot_restarts",
  "hot_restarts_while_cut",
] as const;
export type Load = (typeof LOADS)[number];

/** What came of a play. */
export interface Outcome {
  /** The most that was let in within a window, as a part of what the rule allows. */
  readonly most: number;
  /** The same as a part of the cap itself and the overdraft: more than 1 where a part of it was given out twice. */
  readonly ofCap: number;
  /** Part of the requests refused though the team asked for its usual. */
  readonly refused: number;
  /** Part of what the cap allows that was let in, where the team asked for more. */
  readonly used: number;
  readonly messagesPerHostS: number;
  /** Milliseconds that letting in took, at most. */
  readonly delayMs: number;
}

interface Let {
  readonly at: number;
  readonly units: number;
}

export interface Setup {
  readonly way: fleet.Way;
  readonly load: Load;
  readonly hosts: number;
  readonly seed: number;
}

export async function play(s: Setup): Promise<Outcome> {
  const rng = generators.xoroshiro128plus(s.seed);
  const draw = (): number => uniform.uniformFloat64(rng);
  const clk = new time.Time();
  const perS = s.load === "small" ? SMALL : (LARGE * s.hosts) / LARGE_HOSTS;
  const cap = { perS, burst: perS };
  const overdraft = SLACK / 2;
  const made = fleet.open(s.way, { hosts: s.hosts, places: 3, cap, overdraft }, clk);
  const isHot = s.load.startsWith("hot");
  const isOnceCut = s.load === "hot_calls_once_cut";
  const { least, more } = isOnceCut ? CALL_TOKENS : STREAM_TOKENS;
  const usualMs = (MS_PER_S * (least + more / 2)) / (perS * USUAL);
  // The cap is whole when most hosts are cut off and the team turns hot at the same moment.
  const everyMs = (): number =>
    isHot && (!isOnceCut || clk.mono() >= FIRST_MS) ? usualMs / HOT : usualMs;
  const lets: Let[] = [];
  let asked = 0;
  let refused = 0;
  let delayMs = 0;
  const request = (): void => {
    const host = s.load === "one_host" ? 0 : Math.floor(draw() * s.hosts);
    const units = Math.round(least + draw() * more);
    const at = clk.mono();
    asked++;
    void Promise.resolve(made.admit(host, units)).then((v) => {
      delayMs = Math.max(delayMs, clk.mono() - at);
      if (v.kind === "in") lets.push({ at: clk.mono(), units });
      else refused++;
    });
  };
  const next = (): void => {
    if (clk.mono() >= END_MS) return;
    request();
    clk.after(-Math.log(1 - draw()) * everyMs(), next);
  };
  clk.after(START_MS, next);
  disturb(s, made, clk, cap, draw);
  await clk.runUntil(END_MS + MS_PER_S);
  const lowered = s.load === "hot_lowered" ? FIRST_MS + WINDOW_MS : Infinity;
  const low = { perS: perS * LOWERED, burst: perS * LOWERED };
  const before = mostOf(lets, START_MS, lowered);
  const after = mostOf(lets, lowered, Infinity);
  const sum = lets.reduce((n, l) => n + l.units, 0);
  return {
    most: Math.max(before / allowed(cap), after / allowed(low)),
    ofCap: Math.max(before / (inWindow(cap) + overdraft), after / (inWindow(low) + overdraft)),
    refused: isHot ? 0 : refused / asked,
    used: sum / ((perS * PLAY_MS) / MS_PER_S + perS),
    messagesPerHostS: made.messages() / s.hosts / (PLAY_MS / MS_PER_S),
    delayMs,
  };
}

function disturb(
  s: Setup,
  made: fleet.Fleet,
  clk: time.Time,
  cap: tokenBalance.Cap,
  draw: () => number,
): void {
  const third = Math.floor(s.hosts / 3);
  const hosts = Array.from({ length: s.hosts }, (_, h) => h);
  switch (s.load) {
    case "even":
    case "one_host":
    case "small":
    case "hot":
      return;
    case "hot_lowered":
      clk.after(FIRST_MS, () => {
        made.change({ perS: cap.perS * LOWERED, burst: cap.burst * LOWERED });
      });
      return;
    case "hot_place_lost":
      clk.after(FIRST_MS, () => {
        made.kill(draw() * 4 * MS_PER_S);
      });
      return;
    case "hot_cut":
      cut(hosts.slice(0, third), made, clk);
      return;
    case "hot_calls_once_cut":
      cut(hosts.slice(third), made, clk);
      return;
    case "hot_restarts":
      for (const h of hosts) {
        clk.after(FIRST_MS + draw() * 2 * MS_PER_S, () => {
          made.restart(h);
        });
      }
      return;
    case "hot_restarts_while_cut":
      cut(hosts, made, clk);
      clk.after(FIRST_MS + 1, () => {
        for (const h of hosts) made.restart(h);
      });
      return;
  }
}

/** Cuts some hosts off from all places for a while. */
function cut(hosts: readonly number[], made: fleet.Fleet, clk: time.Time): void {
  for (const [ms, on] of [
    [FIRST_MS, true],
    [SECOND_MS, false],
  ] as const) {
    clk.after(ms, () => {
      for (const h of hosts) made.cut(h, on);
    });
  }
}

/** What a cap gives in a window that begins with its burst whole. */
function inWindow(cap: tokenBalance.Cap): number {
  return (cap.perS * WINDOW_MS) / MS_PER_S + cap.burst;
}

/** What the users' rule allows in a window. */
function allowed(cap: tokenBalance.Cap): number {
  return inWindow(cap) * (1 + OVERAGE) + SLACK;
}

/** The most of `lets` within one window that lies between `from` and `to`. */
function mostOf(lets: readonly Let[], from: number, to: number): number {
  let most = 0;
  let sum = 0;
  let first = 0;
  const within = lets.filter((l) => l.at >= from && l.at < to);
  for (const l of within) {
    sum += l.units;
    while ((within[first]?.at ?? Infinity) < l.at - WINDOW_MS) sum -= within[first++]?.units ?? 0;
    most = Math.max(most, sum);
  }
  return most;
}
