/**
 * Simulates a large fleet under load in virtual time: entry hosts whose state of each engine is some time old, engines
 * that process prompts one after the other and keep adapters in their hosts' memory, and callers that request adapters
 * of very different popularity.
 * @module
 */
import * as queues from "tinyqueue";
import * as generators from "pure-rand/generator/xoroshiro128plus";
import * as uniform from "pure-rand/distribution/uniformFloat64";
import * as choice from "../../src/serving/choice.js";
import * as diversion from "../../src/serving/diversion.js";
import * as fleet from "../../src/serving/fleet.js";
import * as adapterIndex from "../../src/serving/adapter-index.js";
import * as search from "../../src/serving/search.js";
import * as fixtures from "./fixtures.js";

/** The fleet and its load. */
export interface FleetOptions {
  readonly engines: number;
  /** Number of entry hosts. */
  readonly entries: number;
  /** Requests per second, over all entry hosts. */
  readonly perS: number;
  readonly adapters: number;
  /** Milliseconds between two states that an engine sends to an entry host that requests nothing from it. */
  readonly paceMs: number;
}

/** How entry hosts choose: the best of all engines by their last states, or with the search of the product. */
export type Policy = "best of last states" | "search";

/** The results of a simulation. */
export interface Outcome {
  /** Fraction of the requests whose first event came on time. */
  readonly onTime: number;
  /** Loads from the weight store per distinct adapter requested. */
  readonly loadsEach: number;
  /** Views read per request. */
  readonly looks: number;
}

/** Simulated time. */
const DURATION_MS = 12_000;
const TARGET_MS = 1000;
const PROMPT_TOKENS = 2300;
const MS_PER_TOKEN = 0.052;
const FIRST_MS = 80;
/** Milliseconds that short and long answers take after their first event, and the fraction of answers that are long. */
const SHORT_MS = 450;
const LONG_MS = 3400;
const LONG_RATIO = 0.2;
const COLD_MS = 250;
const WARM_MS = 25;
const SLOTS = 6;
/** Adapters that fit into a host's memory, from where they load fast. */
const MEMORY_ADAPTERS = 36;
/** One-way delay of a message. */
const ONE_WAY_MS = 2;
/** Exponent of the Zipf distribution of the adapters' popularity. */
const SKEW = 1.2;

interface Engine {
  readonly id: string;
  /** When all prompts received so far will have been processed. */
  prefillFreeAt: number;
  /** Adapters in slots, the most recently used last, with the times at which each is loaded and free to be replaced. */
  readonly slots: Map<string, { readyAt: number; busyUntil: number }>;
  /** Adapters in the host's memory, the most recently added last. */
  readonly memory: Map<string, true>;
}

/** What an entry host knows of an engine. */
interface KnownEngine {
  /** When the state was received. */
  at: number;
  waitMs: number;
  slotMs: number;
  resident: readonly string[];
  warm: readonly string[];
  keys: ReadonlySet<string>;
  /** Prompt tokens sent since the state was received. */
  tokens: number;
}

interface Event {
  readonly at: number;
  readonly run: () => void;
}

/** Runs a simulation; the same seed gives the same results. */
export function simulate(size: FleetOptions, policy: Policy, seed: number): Outcome {
  const rng = generators.xoroshiro128plus(seed);
  const random = (): number => uniform.uniformFloat64(rng);
  const events = new queues.default<Event>([], (a, b) => a.at - b.at);
  let now = 0;
  const after = (ms: number, run: () => void): void => {
    events.push({ at: now + ms, run });
  };
  const engines = Array.from({ length: size.engines }, (_, i): Engine => {
    return { id: `e${i}`, prefillFreeAt: 0, slots: new Map(), memory: new Map() };
  });
  const endpoints = engines.map((e, i) => {
    return { ...fixtures.endpoint(e.id, e.id), domain: `d${i % 5}` };
  });
  const arranged = fleet.buildLayout(endpoints, (e) => e.address, []);
  let requests = 0;
  let onTime = 0;
  let loads = 0;
  let reads = 0;
  const distinct = new Set<string>();
  const drawAdapter = zipf(size.adapters, random);

  const hosts = Array.from({ length: size.entries }, () => {
    const known = new Map(engines.map((e) => [e.id, nothingKnown()]));
    return { known, index: new adapterIndex.AdapterIndex() };
  });
  type Host = (typeof hosts)[number];

  const waitMsOf = (e: Engine): number => Math.max(0, e.prefillFreeAt - now);
  const slotMsOf = (e: Engine): number => {
    if (e.slots.size < SLOTS) return 0;
    return Math.max(0, Math.min(...[...e.slots.values()].map((s) => s.busyUntil)) - now);
  };
  const sendState = (e: Engine, h: Host): void => {
    const resident = [...e.slots.keys()];
    const keys = new Set([...resident, ...e.memory.keys()]);
    h.index.update(e.id, h.known.get(e.id)?.keys ?? new Set(), keys);
    const warm = [...e.memory.keys()];
    const slotMs = slotMsOf(e);
    h.known.set(e.id, { at: now, waitMs: waitMsOf(e), slotMs, resident, warm, keys, tokens: 0 });
  };
  const viewOf = (h: Host, id: string, orderIndex: number): choice.View => {
    reads++;
    const state = h.known.get(id) ?? nothingKnown();
    const waitMs = new Array<number>(10).fill(state.waitMs);
    return fixtures.view(id, {
      endpoint: endpoints[Number(id.slice(1))] ?? fixtures.endpoint(id, id),
      state: {
        ...fixtures.STATE,
        instance: id,
        waitMs,
        msPerToken: MS_PER_TOKEN,
        firstMs: FIRST_MS,
        slotMs: state.slotMs,
      },
      holdings: { models: ["m"], resident: state.resident, warm: state.warm },
      pendingTokens: state.tokens,
      orderIndex,
      stateAgeMs: policy === "search" ? now - state.at : 0,
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
    const all = fleet.viewsFor(arranged, h.index, view, random);
    const found =
      policy === "search"
        ? search.find(all, need, key)
        : choice.rankEngines(all.inOrder(key, Infinity), need);
    return found[0]?.view.endpoint.id ?? "e0";
  };
  /** Adds a request to an engine and returns the time of its first event; Infinity while there is no slot for it. */
  const addRequest = (e: Engine, key: string): number => {
    const slot = e.slots.get(key);
    let readyAt = slot ? Math.max(now, slot.readyAt) : now;
    if (!slot) {
      if (e.slots.size >= SLOTS) {
        const idle = [...e.slots].filter(([, s]) => s.busyUntil <= now);
        const [victim] = idle.sort(([, a], [, b]) => a.busyUntil - b.busyUntil);
        if (!victim) return Infinity;
        e.slots.delete(victim[0]);
        e.memory.delete(victim[0]);
        e.memory.set(victim[0], true);
        const [oldest] = e.memory.keys();
        if (e.memory.size > MEMORY_ADAPTERS && oldest !== undefined) e.memory.delete(oldest);
      }
      const warm = e.memory.delete(key);
      if (!warm) loads++;
      readyAt = now + (warm ? WARM_MS : COLD_MS);
    }
    const startAt = Math.max(now, e.prefillFreeAt, readyAt);
    // Prompts whose adapters are loaded are processed while another adapter loads.
    e.prefillFreeAt = Math.max(now, e.prefillFreeAt) + PROMPT_TOKENS * MS_PER_TOKEN;
    const first = startAt + PROMPT_TOKENS * MS_PER_TOKEN + FIRST_MS;
    const busyUntil = Math.max(
      slot?.busyUntil ?? 0,
      first + (random() < LONG_RATIO ? LONG_MS : SHORT_MS),
    );
    e.slots.delete(key);
    e.slots.set(key, { readyAt, busyUntil });
    return first;
  };
  const send = (h: Host, key: string, dueAt: number, n: number, diverted: number): void => {
    const id = best(h, key, dueAt - now, n);
    const state = h.known.get(id);
    if (state) state.tokens += PROMPT_TOKENS;
    const e = engines[Number(id.slice(1))];
    if (!e) return;
    after(ONE_WAY_MS, () => {
      const standing = {
        waitMs: Math.max(waitMsOf(e), e.slots.has(key) ? 0 : slotMsOf(e)),
        ownMs: PROMPT_TOKENS * MS_PER_TOKEN + FIRST_MS,
        targetMs: dueAt - now,
      };
      if (policy === "search" && diverted < 2 && diversion.isDiverted(standing)) {
        sendState(e, h);
        after(ONE_WAY_MS, () => {
          send(h, key, dueAt, n, diverted + 1);
        });
        return;
      }
      serve(e, key, dueAt);
      after(20, () => {
        sendState(e, h);
      });
    });
  };
  const serve = (e: Engine, key: string, dueAt: number): void => {
    const first = addRequest(e, key);
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
        sendState(e, h);
        after(size.paceMs, again);
      };
      after(random() * size.paceMs, again);
    }
  }
  const arrive = (): void => {
    const key = `m/a${drawAdapter()}`;
    const host = hosts[Math.floor(random() * hosts.length)];
    requests++;
    distinct.add(key);
    if (host) send(host, key, now + TARGET_MS, requests, 0);
    after((-Math.log(1 - random()) * 1000) / size.perS, arrive);
  };
  arrive();
  for (let next = events.pop(); next && next.at <= DURATION_MS; next = events.pop()) {
    now = next.at;
    next.run();
  }
  return { onTime: onTime / requests, loadsEach: loads / distinct.size, looks: reads / requests };
}

function nothingKnown(): KnownEngine {
  return { at: 0, waitMs: 0, slotMs: 0, resident: [], warm: [], keys: new Set(), tokens: 0 };
}

/** Draws numbers from 1 to `n` by a Zipf distribution, in which small ones are far likelier. */
export function zipf(n: number, random: () => number): () => number {
  const sums = new Float64Array(n + 1);
  for (let k = 1; k <= n; k++) sums[k] = (sums[k - 1] ?? 0) + k ** -SKEW;
  return () => {
    const target = random() * (sums[n] ?? 0);
    let low = 1;
    let high = n;
    while (low < high) {
      const mid = (low + high) >>> 1;
      if ((sums[mid] ?? 0) < target) low = mid + 1;
      else high = mid;
    }
    return low;
  };
}
