/**
 * Streams of requests at the sizes of the two deployments, the same for the same seed.
 * @module
 */
import * as floats from "pure-rand/distribution/uniformFloat64";
import * as generators from "pure-rand/generator/xoroshiro128plus";

/** One kind of request. */
export interface Class {
  readonly name: string;
  /** Part of all requests. */
  readonly share: number;
  /** Tokens of an answer, from and up to. */
  readonly tokens: readonly [number, number];
  /** Milliseconds within which the first byte is wanted. */
  readonly deadlineMs: number;
  readonly worth: number;
}

/** A deployment as the brief gives it, with what it leaves open filled in. */
export interface Deployment {
  readonly name: "wattle" | "levant";
  readonly failureDomains: readonly string[];
  readonly engines: number;
  readonly entries: number;
  readonly adapters: number;
  /** Loads a second of the weight store, one at a time. */
  readonly loadsPerS: number;
  readonly slots: number;
  readonly seats: number;
  /** Milliseconds of a step of an empty batch, and more for each seat used. */
  readonly stepMs: number;
  readonly stepPerSeatMs: number;
  readonly requestsPerS: number;
  /** Exponent of Zipf's law for the adapters' popularity. */
  readonly zipf: number;
  readonly classes: readonly Class[];
}

/** What goes wrong, half-way through a run. */
export type Trouble = "none" | "shift" | "cold" | "slow" | "fail";
export const TROUBLES: readonly Trouble[] = ["none", "shift", "cold", "slow", "fail"];

export const WATTLE: Deployment = {
  name: "wattle",
  failureDomains: ["qld-se-a", "qld-se-b", "qld-se-c"],
  engines: 6,
  entries: 3,
  adapters: 3000,
  loadsPerS: 2,
  slots: 8,
  seats: 16,
  stepMs: 25,
  stepPerSeatMs: 0.5,
  requestsPerS: 5,
  zipf: 1.2,
  classes: [
    { name: "captions", share: 0.5, tokens: [20, 60], deadlineMs: 3000, worth: 8 },
    { name: "summaries", share: 0.2, tokens: [200, 500], deadlineMs: 30_000, worth: 1 },
    { name: "notes", share: 0.3, tokens: [60, 200], deadlineMs: 10_000, worth: 1 },
  ],
};

export const LEVANT: Deployment = {
  name: "levant",
  failureDomains: ["abdali", "khalda", "marka", "sahab"],
  engines: 13,
  entries: 4,
  adapters: 3000,
  loadsPerS: 4,
  slots: 8,
  seats: 16,
  stepMs: 25,
  stepPerSeatMs: 0.5,
  requestsPerS: 10,
  zipf: 1.2,
  classes: [
    { name: "valuable", share: 0.2, tokens: [200, 600], deadlineMs: 10_000, worth: 8 },
    { name: "disputes", share: 0.6, tokens: [200, 600], deadlineMs: 30_000, worth: 1 },
    { name: "holds", share: 0.2, tokens: [20, 80], deadlineMs: 10_000, worth: 2 },
  ],
};

/** One request of a stream. */
export interface Request {
  readonly at: number;
  readonly adapter: string;
  readonly class: Class;
  /** Callers are as many as failure domains, and each has its own part of the adapters. */
  readonly caller: string;
  readonly tokens: number;
  readonly entry: number;
}

/** Random numbers from 0 up to 1, the same for the same seed. */
export function randomOf(seed: number): () => number {
  const rng = generators.xoroshiro128plus(seed);
  return () => floats.uniformFloat64(rng);
}

function zipfTable(n: number, exponent: number): Float64Array {
  const table = new Float64Array(n);
  let sum = 0;
  for (let i = 0; i < n; i++) {
    sum += (i + 1) ** -exponent;
    table[i] = sum;
  }
  return table.map((v) => v / sum);
}

function rankOf(table: Float64Array, at: number): number {
  let low = 0;
  let high = table.length - 1;
  while (low < high) {
    const mid = (low + high) >>> 1;
    if ((table[mid] ?? 1) < at) low = mid + 1;
    else high = mid;
  }
  return low;
}

function classAt(classes: readonly Class[], at: number): Class {
  let sum = 0;
  for (const c of classes) {
    sum += c.share;
    if (at < sum) return c;
  }
  const last = classes.at(-1);
  if (!last) throw new RangeError("a deployment needs a class");
  return last;
}

const MS_PER_S = 1000;
/** Places in the ranking that a shift moves every adapter by. */
const SHIFT = 1000;

/**
 * The requests of `ms` milliseconds, oldest first: Poisson arrivals, adapters by Zipf's law. After a
 * shift at `shiftAt` other adapters are the popular ones.
 */
export function stream(
  d: Deployment,
  seed: number,
  ms: number,
  shiftAt: number | undefined,
): readonly Request[] {
  const random = randomOf(seed);
  const table = zipfTable(d.adapters, d.zipf);
  const out: Request[] = [];
  let at = 0;
  for (;;) {
    at += (-Math.log(1 - random()) / d.requestsPerS) * MS_PER_S;
    if (at >= ms) return out;
    const rank = rankOf(table, random());
    const moved = shiftAt !== undefined && at >= shiftAt ? (rank + SHIFT) % d.adapters : rank;
    const cls = classAt(d.classes, random());
    const [least, most] = cls.tokens;
    out.push({
      at,
      adapter: `a${moved}`,
      class: cls,
      caller: `caller-${moved % d.failureDomains.length}`,
      tokens: Math.round(least + random() * (most - least)),
      entry: Math.floor(random() * d.entries),
    });
  }
}
