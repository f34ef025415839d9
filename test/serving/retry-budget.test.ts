import * as chai from "chai";
import type * as retries from "../../src/serving/retries.js";
import * as retrying from "./retrying.js";

const { expect } = chai;

const OPTS: retries.Options = { ratio: 0.2, slack: 52, windowMs: 10_000 };
/** When all hosts know how many they are. */
const KNOWN_MS = 200;

/** Fleets of a few hosts, of tens, and of hundreds, with their requests a second. */
const FLEETS = [
  { hosts: 4, perS: 70, stepMs: 10 },
  { hosts: 29, perS: 300, stepMs: 20 },
  { hosts: 360, perS: 2100, stepMs: 50 },
] as const;

type Fleet = (typeof FLEETS)[number];

function plan(f: Fleet, over: Partial<retrying.Plan>): retrying.Plan {
  return {
    ...f,
    opts: OPTS,
    ms: 34_000,
    wanted: [[6000, 34_000]],
    events: [],
    told: (alive, ageMs) => (ageMs < KNOWN_MS ? undefined : alive),
    seed: 1,
    ...over,
  };
}

function all(f: Fleet): readonly number[] {
  return Array.from({ length: f.hosts }, (_, i) => i);
}

/** All hosts are killed at once, again and again. */
function killedTogether(f: Fleet): readonly retrying.Event[] {
  const times = [8000, 9500, 11_000, 12_500, 14_000, 15_500];
  return times.flatMap((at) =>
    all(f).map((host) => ({ kind: "kill", at, host, downMs: 600 }) as const),
  );
}

const CASES: Readonly<Record<string, (f: Fleet) => Partial<retrying.Plan>>> = {
  "while all hosts are killed again and again": (f) => ({ events: killedTogether(f) }),
};

describe("the retry budget of all hosts together is kept", () => {
  for (const [title, over] of Object.entries(CASES)) {
    for (const f of FLEETS) {
      it(`${title}: ${f.hosts} hosts`, () => {
        const p = plan(f, over(f));
        expect(retrying.excess(retrying.play(p), p.opts)).most(0);
      }).timeout(30_000);
    }
  }
});
