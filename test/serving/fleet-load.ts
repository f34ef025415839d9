/**
 * The load of a large fleet in virtual time: entry hosts that know each engine as it was some time ago,
 * engines that read prompts one after the other and keep adapters in their hosts' memory, and callers
 * that ask for adapters of very different popularity.
 */
import * as queues from "tinyqueue";
import * as generators from "pure-rand/generator/xoroshiro128plus";
import * as uniform from "pure-rand/distribution/uniformFloat64";
import * as choice from "../../src/serving/choice.js";
import * as diversion from "../../src/serving/diversion.js";
import * as fleet from "../../src/serving/fleet.js";
import * as holders from "../../src/serving/holders.js";
import * as search from "../../src/serving/search.js";
import * as fixtures from "./fixtures.js";

/** How large the fleet is, and how fast it is. */
export interface Size {
  readonly engines: number;
  readonly entries: number;
  readonly perS: number;
  readonly adapters: number;
  /** Milliseconds between two words from an engine to an entry host that asks it for nothing. */
  readonly paceMs: number;
}

/** How entry hosts choose: among all engines by what each said last, or as the product does. */
export type Policy = "all by the last word" | "search";

/** What callers got. */
export interface Outcome {
  readonly onTime: number;
  /** Loads from the weight store for each different adapter asked for. */
  readonly loadsEach: number;
  /** Views looked at for each request. */
  readonly looks: number;
}

const PLAYED_MS = 12_000;
const TARGET_MS = 1000;
const PROMPT_TOKENS = 2300;
const MS_PER_TOKEN = 0.052;
const FIRST_MS = 80;
/** What short and long answers take after their first event, and the part that is long. */
const SHORT_MS = 450;
const LONG_MS = 3400;
const LONG_PART = 0.2;
const COLD_MS = 250;
const WARM_MS = 25;
const SLOTS = 6;
const MEMORY = 36;
const WAY_MS = 2;
const SKEW = 1.2;

interface Engine {
  readonly id: string;
  readFreeAt: number;
  /** Adapters in use or used last, the latest last, with when each is in its place and free again. */
  readonly slots: Map<string, { readyAt: number; busyUntil: number }>;
  readonly memory: Map<string, true>;
}

/** An engine as an entry host heard of it. */
interface Heard {
  at: number;
  waitMs: number;
  slotMs: number;
  resident: readonly string[];
  warm: readonly string[];
  keys: ReadonlySet<string>;
  tokens: number;
}

interface Event {
  readonly at: number;
  readonly run: () => void;
}

export function play(size: Size, policy: Policy, seed: number): Outcome {
  const rng = generators.xoroshiro128plus(seed);
  const random = (): number => uniform.uniformFloat64(rng);
  const events = new queues.default<Event>([], (a, b) => a.at - b.at);
  let now = 0;
  const after = (ms: number, run: () => void): void => {
    events.push({ at: now + ms, run });
  };
  const engines = Array.from({ length: size.engines }, (_, i): Engine => {
    return { id: `e${i}`, readFreeAt: 0, slots: new Map(), memory: new Map() };
  });
  const endpoints = engines.map((e, i) => {
    return { ...fixtures.endpoint(e.id, e.id), domain: `d${i % 5}` };
  });
  const arranged = fleet.arrange(endpoints, (e) => e.address, []);
  let asked = 0;
  let onTime = 0;
  let loads = 0;
  let looks = 0;
  const different = new Set<string>();
  const popular = zipf(size.adapters, random);

  const hosts = Array.from({ length: size.entries }, () => {
    const heard = new Map(engines.map((e) => [e.id, nothing()]));
    return { heard, having: new holders.Holders() };
  });
  type Host = (typeof hosts)[number];

  const waitOf = (e: Engine): number => Math.max(0, e.readFreeAt - now);
  const slotMsOf = (e: Engine): number => {
    if (e.slots.size < SLOTS) return 0;
    return Math.max(0, Math.min(...[...e.slots.values()].map((s) => s.busyUntil)) - now);
  };
  const tell = (e: Engine, h: Host): void => {
    const resident = [...e.slots.keys()];
    const keys = new Set([...resident, ...e.memory.keys()]);
    h.having.changed(e.id, h.heard.get(e.id)?.keys ?? new Set(), keys);
    const warm = [...e.memory.keys()];
    const slotMs = slotMsOf(e);
    h.heard.set(e.id, { at: now, waitMs: waitOf(e), slotMs, resident, warm, keys, tokens: 0 });
  };
  const viewOf = (h: Host, id: string, place: number): choice.View => {
    looks++;
    const k = h.heard.get(id) ?? nothing();
    const waitMs = new Array<number>(10).fill(k.waitMs);
    return fixtures.view(id, {
      endpoint: endpoints[Number(id.slice(1))] ?? fixtures.endpoint(id, id),
      state: {
        ...fixtures.STATE,
        instance: id,
        waitMs,
        msPerToken: MS_PER_TOKEN,
        firstMs: FIRST_MS,
        slotMs: k.slotMs,
      },
      holdings: { models: ["m"], resident: k.resident, warm: k.warm },
      ownTokens: k.tokens,
      place,
      ageMs: policy === "search" ? now - k.at : 0,
    });
  };
  const best = (h: Host, key: string, leftMs: number, n: number): string => {
    const need: choice.Need = {
      model: "m",
      key,
      promptTokens: PROMPT_TOKENS,
      rank: 1,
      domain: `d${n % 5}`,
      tried: new Set(),
      targetMs: leftMs,
    };
    const view = (e: { readonly id: string }, place: number): choice.View => viewOf(h, e.id, place);
    const all = fleet.of(arranged, h.having, view, random);
    const found =
      policy === "search"
        ? search.find(all, need, key)
        : choice.engines(all.inOrder(key, Infinity), need);
    return found[0]?.view.endpoint.id ?? "e0";
  };
  /** The engine takes a request; Infinity while it has no place for its adapter. */
  const take = (e: Engine, key: string): number => {
    const at = e.slots.get(key);
    let readyAt = at ? Math.max(now, at.readyAt) : now;
    if (!at) {
      if (e.slots.size >= SLOTS) {
        const idle = [...e.slots].filter(([, s]) => s.busyUntil <= now);
        const [victim] = idle.sort(([, a], [, b]) => a.busyUntil - b.busyUntil);
        if (!victim) return Infinity;
        e.slots.delete(victim[0]);
        e.memory.delete(victim[0]);
        e.memory.set(victim[0], true);
        const [oldest] = e.memory.keys();
        if (e.memory.size > MEMORY && oldest !== undefined) e.memory.delete(oldest);
      }
      const warm = e.memory.delete(key);
      if (!warm) loads++;
      readyAt = now + (warm ? WARM_MS : COLD_MS);
    }
    const begun = Math.max(now, e.readFreeAt, readyAt);
    // What is at hand is read while an adapter loads.
    e.readFreeAt = Math.max(now, e.readFreeAt) + PROMPT_TOKENS * MS_PER_TOKEN;
    const first = begun + PROMPT_TOKENS * MS_PER_TOKEN + FIRST_MS;
    const busyUntil = Math.max(
      at?.busyUntil ?? 0,
      first + (random() < LONG_PART ? LONG_MS : SHORT_MS),
    );
    e.slots.delete(key);
    e.slots.set(key, { readyAt, busyUntil });
    return first;
  };
  const send = (h: Host, key: string, dueAt: number, n: number, diverted: number): void => {
    const id = best(h, key, dueAt - now, n);
    const k = h.heard.get(id);
    if (k) k.tokens += PROMPT_TOKENS;
    const e = engines[Number(id.slice(1))];
    if (!e) return;
    after(WAY_MS, () => {
      const standing = {
        waitMs: Math.max(waitOf(e), e.slots.has(key) ? 0 : slotMsOf(e)),
        ownMs: PROMPT_TOKENS * MS_PER_TOKEN + FIRST_MS,
        targetMs: dueAt - now,
      };
      if (policy === "search" && diverted < 2 && diversion.isDiverted(standing)) {
        tell(e, h);
        after(WAY_MS, () => {
          send(h, key, dueAt, n, diverted + 1);
        });
        return;
      }
      serve(e, key, dueAt);
      after(20, () => {
        tell(e, h);
      });
    });
  };
  const serve = (e: Engine, key: string, dueAt: number): void => {
    const first = take(e, key);
    if (first === Infinity) {
      if (now < dueAt)
        after(10, () => {
          serve(e, key, dueAt);
        });
      return;
    }
    if (first <= dueAt) onTime++;
  };

  for (const e of engines) {
    for (const h of hosts) {
      const again = (): void => {
        tell(e, h);
        after(size.paceMs, again);
      };
      after(random() * size.paceMs, again);
    }
  }
  const arrive = (): void => {
    const key = `m/a${popular()}`;
    const host = hosts[Math.floor(random() * hosts.length)];
    asked++;
    different.add(key);
    if (host) send(host, key, now + TARGET_MS, asked, 0);
    after((-Math.log(1 - random()) * 1000) / size.perS, arrive);
  };
  arrive();
  for (let next = events.pop(); next && next.at <= PLAYED_MS; next = events.pop()) {
    now = next.at;
    next.run();
  }
  return { onTime: onTime / asked, loadsEach: loads / different.size, looks: looks / asked };
}

function nothing(): Heard {
  return { at: 0, waitMs: 0, slotMs: 0, resident: [], warm: [], keys: new Set(), tokens: 0 };
}

/** Draws a number from 1 to `n`, small ones far more often. */
function zipf(n: number, random: () => number): () => number {
  const sums = new Float64Array(n + 1);
  for (let k = 1; k <= n; k++) sums[k] = (sums[k - 1] ?? 0) + k ** -SKEW;
  return () => {
    const at = random() * (sums[n] ?? 0);
    let low = 1;
    let high = n;
    while (low < high) {
      const mid = (low + high) >>> 1;
      if ((sums[mid] ?? 0) < at) low = mid + 1;
      else high = mid;
    }
    return low;
  };
}
