/**
 * The sites, the disturbances and the ways that are compared, and one play of them in virtual time.
 * @module
 */
import * as uniform from "pure-rand/distribution/uniformFloat64";
import * as generators from "pure-rand/generator/xoroshiro128plus";
import * as usage from "../../src/serving/versions/usage.js";
import * as engine from "./engine.js";
import * as fleet from "./fleet.js";

export const SITES: readonly fleet.Site[] = [
  { name: "small", hosts: 4, engines: 8, adapters: 24, perS: 18 },
  { name: "large", hosts: 60, engines: 300, adapters: 600, perS: 300 },
];
const MEAN_LENGTH_MS = 1000;

const BUILT = usage.limitsOf(engine.VERSION_MS);
const limitsOf = (sendFraction: number): usage.Limits => {
  return { ...BUILT, sendMs: sendFraction * engine.VERSION_MS };
};
const sender = (limits: usage.Limits): fleet.Way => {
  return { limits: { seated: limits, seatless: limits } };
};
const STRICT = limitsOf(0);
export const WAYS: Readonly<Record<string, fleet.Way>> = {
  before: {},
  sender: sender(BUILT),
  strict: sender(STRICT),
  "sender, strict without seat": { limits: { seated: BUILT, seatless: STRICT } },
  "sender, .3": sender(limitsOf(0.3)),
  "sender, .5": sender(limitsOf(0.5)),
};

export type Case = (f: fleet.Fleet, random: () => number) => void;
const at = (f: fleet.Fleet, ms: number, run: () => void): void => {
  f.clk.after(fleet.START_MS + ms, run);
};
const burst: Case = (f) => {
  at(f, 0, () => {
    f.declare(f.keys);
  });
};
/** Each adapter gets a newer version, at a time of its own. */
const oneByOne: Case = (f, random) => {
  for (const key of f.keys)
    at(f, 4000 * random(), () => {
      f.declare([key]);
    });
};
const third: Case = (f, random) => {
  at(f, 300 + 3700 * random(), () => {
    f.declare(f.keys);
  });
};
function between(from: number, until: number, random: () => number): number {
  return from + (until - from) * random();
}
/** Stops the daemons of a part of the engines near the declaration, and starts them again at a time in a range. */
function stop(how: "freeze" | "kill", part: number, [from, until]: readonly number[] = []): Case {
  return (f, random) => {
    for (const e of f.engines) {
      const startMs = 1500 * (2 * random() - 1);
      const [isHit, endMs] = [random() < part, between(from ?? 2000, until ?? 9000, random)];
      if (!isHit) continue;
      const hearsInMs = 20 + 280 * random();
      at(f, startMs, () => {
        if (how === "kill") e.kill();
        else e.isFrozen = true;
      });
      at(f, endMs, () => {
        if (how === "kill") e.start();
        else if (e.isUp) e.thaw(hearsInMs);
        else e.isFrozen = false;
      });
    }
  };
}
const inTurn: Case = (f) => {
  for (const [n, e] of f.engines.entries())
    for (let ms = (3000 * n) / f.engines.length; ms < 9000; ms += 3000) {
      at(f, ms, () => {
        e.kill();
      });
      at(f, ms + 300, () => {
        e.start();
      });
    }
};
const cuts: Case = (f, random) => {
  for (const h of f.hosts) {
    const [isHit, startMs, ms] = [random() < 0.5, 4000 * random() - 3000, 500 + 8500 * random()];
    if (!isHit) continue;
    h.cutFrom = fleet.START_MS + startMs;
    h.cutUntil = h.cutFrom + ms;
  }
};
const slow: Case = (f, random) => {
  for (const n of f.engines.keys())
    if (random() < 0.5) f.slowUntil.set(n, fleet.START_MS + 3000 + 5000 * random());
};
const all =
  (...parts: readonly Case[]): Case =>
  (f, random) => {
    for (const part of parts) part(f, random);
  };
const freezes = stop("freeze", 0.5);
const kills = stop("kill", 0.5);
export const CASES: Readonly<Record<string, Case>> = {
  "no newer version": () => undefined,
  "one by one": oneByOne,
  burst,
  "a third version": all(burst, third),
  "half of the daemons frozen": all(burst, freezes),
  "all frozen 6 to 9 s": all(burst, stop("freeze", 1, [6000, 9000])),
  "half killed": all(burst, kills),
  "all killed, away": all(burst, stop("kill", 1, [60_000, 60_000])),
  "restarts in turn": all(burst, inTurn),
  "half of the hosts cut": all(burst, cuts),
  "half of the engines slow": all(burst, slow),
  "third version, slow engines": all(burst, third, slow),
  "all at once, one by one": all(oneByOne, third, freezes, kills, cuts, slow),
};

/** The load of a site, and a case of disturbances, by seeds that are the same for all ways. */
export async function play(site: fleet.Site, of: Case, way: fleet.Way, seed: number) {
  const rng = generators.xoroshiro128plus(seed);
  const random = (): number => uniform.uniformFloat64(rng);
  const f = new fleet.Fleet(site, way, seed);
  of(f, random);
  const exponential = (mean: number): number => -Math.log(1 - random()) * mean;
  let n = 0;
  for (let ms = 0; (ms += exponential(1000 / site.perS)) < fleet.LAST_MS; n++) {
    const drawn = [n, Math.floor(random() * site.hosts)] as const;
    const adapter = Math.floor(random() ** 2 * site.adapters);
    const lengthMs = exponential(MEAN_LENGTH_MS);
    f.clk.after(ms, () => {
      void f.request(...drawn, adapter, lengthMs);
    });
  }
  return f.play();
}
