import * as chai from "chai";
import * as generators from "pure-rand/generator/xoroshiro128plus";
import * as uniform from "pure-rand/distribution/uniformInt";
import type * as catalog from "../../../src/serving/catalog.js";
import * as plainWorkers from "./plain-workers.js";

const { expect } = chai;

const RUN_MS = 60_000;
const WORKERS = 3;
const PLACES = 6;
/** Calls per second. One host stands for all: it has their calls, and the whole retry budget. */
const PER_S = 30;
const BUDGET = { ratio: 0.2, slack: 90, windowMs: 10_000 };
const MEAN_MS = 30;
/** Exponential parts that a service time is the sum of. */
const PARTS = 4;
const CALL = plainWorkers.CALL;
const ONCE: catalog.Route = { ...CALL, name: "once", kind: "once" };

type Random = () => number;

/** Random numbers from 0 to 1, the same for the same seed. */
function randomOf(seed: number): Random {
  const rng = generators.xoroshiro128plus(seed);
  return () => uniform.uniformInt(rng, 0, 0xffffff) / 0x1000000;
}

function exponential(random: Random, meanMs: number): number {
  return -Math.log(1 - random()) * meanMs;
}

/** Slow spells of one worker, which take 0.15 of the time and about 600 ms each. */
function spellsOf(random: Random): readonly (readonly [from: number, to: number])[] {
  const list: (readonly [number, number])[] = [];
  for (let at = 0; at < RUN_MS; at = list.at(-1)?.[1] ?? RUN_MS) {
    const from = at + exponential(random, 3400);
    list.push([from, from + 300 + random() * 600]);
  }
  return list;
}

/** How long calls take: 17 in 100 are slower by a factor of three, as is all that the first worker does for 6 s. */
function workersOf(seed: number): plainWorkers.Options["treat"] {
  const random = randomOf(seed);
  const workers = Array.from({ length: WORKERS }, () => ({
    spells: spellsOf(random),
    freeAt: new Array<number>(PLACES).fill(0),
  }));
  return (id, _request, now) => {
    const index = Number(id.slice(1));
    const { spells, freeAt } = workers[index] ?? { spells: [], freeAt: [] };
    const isBad = index === 0 && now >= 30_000 && now < 36_000;
    const isInSpell = spells.some(([from, to]) => from <= now && now < to);
    const factor = (random() < 0.17 ? 3 : 1) * (isInSpell ? 2.5 : 1) * (isBad ? 3 : 1);
    let ms = 0;
    for (let i = 0; i < PARTS; i++) ms += exponential(random, (MEAN_MS / PARTS) * factor);
    const place = freeAt.indexOf(Math.min(...freeAt));
    const endsAt = Math.max(now, freeAt[place] ?? 0) + ms;
    freeAt[place] = endsAt;
    return { ms: endsAt - now };
  };
}

/** Serves calls for a minute, one in ten of them on a route that may not run twice. */
async function run(seed: number, isDemanding: boolean) {
  const treat = workersOf(seed);
  const random = randomOf(seed + 1000);
  const opts = { isDemanding, workers: WORKERS, treat, random, budget: BUDGET };
  const rig = new plainWorkers.Rig(opts);
  rig.setup.known.mostHosts = () => 1;
  const arrivals = randomOf(seed + 2000);
  const calls = new Map<
    string,
    { at: number; kind: string; call: ReturnType<plainWorkers.Rig["call"]> }
  >();
  while (rig.now < RUN_MS) {
    await rig.pass(Math.max(1, Math.round(exponential(arrivals, 1000 / PER_S))));
    const route = arrivals() < 0.1 ? ONCE : CALL;
    const id = `c${calls.size}`;
    calls.set(id, { at: rig.now, kind: route.kind, call: rig.call(id, { route }) });
  }
  await rig.pass(2000);
  const isLate = ({ at, call }: { at: number; call: { endedAt: number } }): boolean =>
    call.endedAt - at > CALL.targetMs;
  const idempotent = [...calls.values()].filter((c) => c.kind === "idempotent");
  return { rig, calls, idempotent: idempotent.length, late: idempotent.filter(isLate).length };
}

describe("calls to workers with slow calls and slow spells", () => {
  it("are late at most a third as often with hedges, within the retry budget", async () => {
    let late = 0;
    let lateWithout = 0;
    for (const seed of [1, 2, 3]) {
      lateWithout += (await run(seed, false)).late;
      const { rig, calls, late: lateHere } = await run(seed, true);
      late += lateHere;
      const sends = new Map<string, number>();
      const retriesAt: number[] = [];
      for (const { request, at } of rig.arrivals) {
        const before = sends.get(request) ?? 0;
        sends.set(request, before + 1);
        if (before > 0) retriesAt.push(at);
      }
      for (const [id, { kind, call }] of calls) {
        expect(sends.get(id)).at.most(kind === "once" ? 1 : 2);
        expect(call.seen.length).equal(1);
      }
      const { ratio, slack, windowMs } = BUDGET;
      const times = [...calls.values()].map(({ at }) => at);
      for (const from of retriesAt) {
        const within = (at: number): boolean => at >= from && at < from + windowMs;
        const allowed = ratio * times.filter(within).length + slack;
        expect(retriesAt.filter(within).length).at.most(allowed);
      }
    }
    expect(lateWithout).above(100);
    expect(late).at.most(lateWithout / 3);
  });
});
