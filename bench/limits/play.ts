/**
 * Plays a load against a worker that names a limit, and says what arrived there beyond the rule and how much of the limit
 * was used.
 * @module
 */
import * as uniform from "pure-rand/distribution/uniformFloat64";
import * as generators from "pure-rand/generator/xoroshiro128plus";
import * as limits from "../platform/limits.js";
import * as time from "../measure/time.js";
import * as fleet from "./fleet.js";

const MS_PER_S = 1000;
/** Milliseconds of the users' rule's window. */
const WINDOW_MS = 4000;
/** Milliseconds after a disturbance for which it excuses a host. */
const EXCUSED_MS = 3000;

/** When the limit is named, what happens, and the end. */
const NAMED_MS = 3000;
const EVENT_MS = 12_000;
const LATER_MS = 20_000;
const END_MS = 32_000;
/** How many times as much is asked for as the limit allows, and requests a second at least. */
const DEMAND = 12;
const LEAST_PER_S = 10;

export const CASES = [
  "calm",
  "all hosts are killed again and again",
  "all hosts are stopped and serve on",
  "most hosts are gone",
  "the place is killed again and again",
  "the places are killed in turn",
  "the place stands still",
  "a third of the hosts is cut off",
  "all hosts are cut off",
  "hosts are frozen in turn",
  "the limit falls",
  "the limit is named anew",
  "requests come in bursts",
] as const;
export type Case = (typeof CASES)[number];

export interface Setup {
  readonly case: Case;
  readonly hosts: number;
  readonly perS: number;
  readonly seed: number;
}

export interface Outcome {
  /** Requests over what the rule allows, in the worst window; 0 or less where it is kept. */
  readonly excess: number;
  /** The same, with those of hosts that were excused or had not been told. */
  readonly excessOfAll: number;
  /** Part of what the limit allows that arrived. */
  readonly used: number;
  /** Part of the requests that arrived, once the limit was known at some host, from hosts that did not know it. */
  readonly unaware: number;
  readonly messagesPerHostS: number;
}

export async function play(s: Setup): Promise<Outcome> {
  const rng = generators.xoroshiro128plus(s.seed);
  const random = (): number => uniform.uniformFloat64(rng);
  const clk = new time.Time();
  const made = new fleet.Fleet({ hosts: s.hosts, random }, clk);
  const demand = Math.max(LEAST_PER_S, DEMAND * s.perS);
  const next = (): void => {
    if (clk.mono() >= END_MS) return;
    const at = Math.floor(random() * s.hosts);
    if (s.case !== "requests come in bursts") {
      void made.request(at);
      clk.after((-Math.log(1 - random()) * MS_PER_S) / demand, next);
      return;
    }
    for (let n = 0; n < demand * 4; n++) void made.request(Math.floor(random() * s.hosts));
    clk.after(4 * MS_PER_S, next);
  };
  clk.after(1000, next);
  clk.after(NAMED_MS, () => {
    made.perS = s.perS;
  });
  const fallsAt = disturb(s, made, clk, random);
  await clk.runUntil(END_MS);
  const perSAt = (at: number): number => (at < fallsAt ? s.perS : s.perS / FALLS);
  const judged = made.arrivals.filter(
    (a) => !a.isExcused && a.at >= a.toldAt + limits.PROPAGATION_MS,
  );
  const spanS = (END_MS - NAMED_MS) / MS_PER_S;
  return {
    excess: excess(judged, perSAt),
    excessOfAll: excess(
      made.arrivals.filter((a) => a.at >= NAMED_MS + limits.PROPAGATION_MS),
      perSAt,
    ),
    used: made.arrivals.filter((a) => a.at >= NAMED_MS).length / (s.perS * spanS),
    unaware: unaware(made.arrivals),
    messagesPerHostS: made.messages / s.hosts / (END_MS / MS_PER_S),
  };
}

/** By how much a limit falls. */
const FALLS = 4;

/** Brings the case about; when the limit falls, Infinity where it does not. */
function disturb(s: Setup, made: fleet.Fleet, clk: time.Time, random: () => number): number {
  const hosts = Array.from({ length: s.hosts }, (_, h) => h);
  const each = (all: readonly number[], run: (h: number) => void): void => {
    for (const h of all) run(h);
  };
  const often = (run: () => void): void => {
    for (let at = EVENT_MS; at < LATER_MS; at += 700) clk.after(at, run);
  };
  switch (s.case) {
    case "calm":
    case "requests come in bursts":
      break;
    case "all hosts are killed again and again":
      often(() => {
        each(hosts, (h) => {
          made.kill(h);
        });
      });
      break;
    case "all hosts are stopped and serve on":
      clk.after(EVENT_MS, () => {
        each(hosts, (h) => {
          made.stop(h);
        });
      });
      break;
    case "most hosts are gone":
      clk.after(EVENT_MS, () => {
        each(hosts.slice(Math.ceil(s.hosts / 4)), (h) => {
          made.lose(h);
        });
      });
      break;
    case "the place is killed again and again":
      often(() => {
        made.killPlace(0, random() * 500);
      });
      break;
    case "the places are killed in turn":
      for (const p of [0, 1, 2]) {
        clk.after(EVENT_MS + p * 800, () => {
          made.killPlace(p, 3000);
        });
      }
      break;
    case "the place stands still":
      during(clk, (on) => {
        made.cutPlace(0, on);
      });
      break;
    case "a third of the hosts is cut off":
      during(clk, (on) => {
        each(hosts.slice(0, Math.ceil(s.hosts / 3)), (h) => {
          made.cut(h, on);
        });
      });
      break;
    case "all hosts are cut off":
      during(clk, (on) => {
        each(hosts, (h) => {
          made.cut(h, on);
        });
      });
      break;
    case "hosts are frozen in turn":
      each(hosts, (h) => {
        const at = EVENT_MS + (h / s.hosts) * (LATER_MS - EVENT_MS);
        for (const [ms, on] of [
          [at, true],
          [at + 2000, false],
        ] as const) {
          clk.after(ms, () => {
            made.freeze(h, on, EXCUSED_MS);
          });
        }
      });
      break;
    case "the limit falls":
      clk.after(EVENT_MS, () => {
        made.perS = s.perS / FALLS;
      });
      return EVENT_MS + limits.LIMIT_GRACE_MS;
    case "the limit is named anew":
      clk.after(EVENT_MS, () => {
        made.perS = undefined;
      });
      clk.after(EVENT_MS + 300, () => {
        made.perS = s.perS;
      });
      break;
  }
  return Infinity;
}

function during(clk: time.Time, run: (on: boolean) => void): void {
  for (const [ms, on] of [
    [EVENT_MS, true],
    [LATER_MS, false],
  ] as const) {
    clk.after(ms, () => {
      run(on);
    });
  }
}

/** Part of what arrived half a second and more after the limit was named first that was let in without knowing it. */
function unaware(all: readonly fleet.Arrival[]): number {
  const late = all.filter((a) => a.at >= NAMED_MS + limits.PROPAGATION_MS);
  return late.filter((a) => !a.knew).length / Math.max(1, late.length);
}

/** Requests over what the rule allows, in the worst window that ends once the limit binds. */
function excess(all: readonly fleet.Arrival[], perSAt: (at: number) => number): number {
  const sorted = [...all].sort((a, b) => a.at - b.at);
  let first = 0;
  let most = -Infinity;
  for (const [last, a] of sorted.entries()) {
    while ((sorted[first]?.at ?? Infinity) <= a.at - WINDOW_MS) first++;
    if (a.at < NAMED_MS + limits.LIMIT_GRACE_MS) continue;
    // What a limit allows in a window is taken at the higher one where it falls within it.
    const perS = perSAt(a.at - WINDOW_MS);
    most = Math.max(most, last - first + 1 - limits.allowedInWindow(perS));
  }
  return most;
}
