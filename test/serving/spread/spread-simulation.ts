/**
 * Simulates engines of uneven speed in virtual time, and entry hosts that choose among them by states some time old.
 * @module
 */
import * as queues from "tinyqueue";
import * as generators from "pure-rand/generator/xoroshiro128plus";
import * as uniform from "pure-rand/distribution/uniformFloat64";
import * as adapterIndex from "../../../src/serving/adapter-index.js";
import type * as choice from "../../../src/serving/choice.js";
import * as fleet from "../../../src/serving/fleet.js";
import * as search from "../../../src/serving/search.js";
import * as fixtures from "../fixtures.js";
import * as fleetSimulation from "../fleet-simulation.js";

/** `announces`: whether engines announce their crowding. `perS`: requests per second outside of bursts. */
export interface Options {
  readonly announces: boolean;
  readonly perS: number;
  readonly seed: number;
}

const [DURATION_MS, BURST_EVERY_MS, BURST_MS, BURST] = [40_000, 10_000, 3000, 2.5];
const [HOSTS, MIN_AGE_MS, MAX_AGE_MS, ONE_WAY_MS] = [26, 20, 200, 2];
const [ENGINES, SPEEDS, SLOTS, MEMORY] = [32, [0.7, 0.7, 1.7], 22, 130] as const;
const [TOKENS, TOKENS_PER_MS, FIRST_MS, STREAM_MS] = [826, 38.7, 40, 2000];
const [TARGET_MS, COLD_MS, WARM_MS] = [1000, 288, 28.8];
/** Milliseconds of reading in a second that the running streams allow. */
const ALLOWED_MS = 550;
/** A waiting request is first compared after this time, and moves for this gain, as in the product. */
const [COMPARE_MS, GAIN_MS] = [60, 200];

class Engine {
  freeAt = 0;
  seats = 0;
  readonly slots = new Map<string, { readyAt: number; busyUntil: number }>();
  readonly memory = new Set<string>();
  waiting: readonly object[] = [];
  granted: readonly { readonly at: number; readonly ms: number }[] = [];
  holdings: choice.Holdings = { models: ["m"], resident: [], warm: [] };
  keys: ReadonlySet<string> = new Set();
  readonly readMs: number;
  constructor(
    readonly id: string,
    readonly speed: number,
  ) {
    this.readMs = TOKENS / TOKENS_PER_MS / speed;
  }
  crowding(now: number): number {
    this.granted = this.granted.filter((g) => g.at > now - 1000);
    return this.granted.reduce((sum, g) => sum + g.ms, 0) / ALLOWED_MS;
  }
  idleSlot(now: number): string | undefined {
    return [...this.slots].find(([, s]) => s.busyUntil <= now)?.[0];
  }
  /** Whether the first waiter has room, or a newcomer where none waits. */
  hasRoom(key: string, now: number, waiter?: object): boolean {
    if (this.slots.has(key)) return true;
    const isFree = this.slots.size < SLOTS || this.idleSlot(now) !== undefined;
    return this.waiting[0] === waiter && isFree;
  }
  state(now: number, announces: boolean): NonNullable<choice.View["state"]> {
    const idle = [...this.slots.values()].filter((s) => s.busyUntil <= now).length;
    const missing = this.waiting.length - (SLOTS - this.slots.size + idle) + 1;
    return {
      ...fixtures.STATE,
      instance: this.id,
      waitMs: new Array<number>(10).fill(Math.max(0, this.freeAt - now)),
      msPerToken: 1 / TOKENS_PER_MS / this.speed,
      firstMs: FIRST_MS / this.speed,
      slotMs: (Math.max(0, missing) * STREAM_MS) / SLOTS,
      eachSlotMs: STREAM_MS / SLOTS,
      coldMs: COLD_MS,
      warmMs: WARM_MS,
      ...(announces && { crowding: this.crowding(now) }),
    };
  }
}

/** Runs a simulation; the same options give the same results. */
export function simulate(o: Options) {
  const rng = generators.xoroshiro128plus(o.seed);
  const random = (): number => uniform.uniformFloat64(rng);
  const events = new queues.default<{ at: number; run: () => void }>([], (a, b) => a.at - b.at);
  let now = 0;
  const after = (ms: number, run: () => void): void => {
    events.push({ at: now + ms, run });
  };
  const engines = Array.from(
    { length: ENGINES },
    (_, i) => new Engine(`e${i}`, SPEEDS[i % 3] ?? 1),
  );
  const ends = new Map(engines.map((e) => [e.id, fixtures.endpoint(e.id, e.id)]));
  const layout = fleet.buildLayout([...ends.values()], (e) => e.address, []);
  const drawAdapter = fleetSimulation.zipf(10_000, random);
  const distinct = new Set<string>();
  const n = {
    requests: 0,
    seats: 0,
    full: 0,
    refused: 0,
    inVain: 0,
    store: 0,
    memory: 0,
    looks: 0,
  };

  const knownOf = (e: Engine) => {
    const { holdings, keys } = e;
    return { at: now, state: e.state(now, o.announces), holdings, keys, tokens: 0, slots: 0 };
  };
  const hosts = Array.from({ length: HOSTS }, () => {
    return {
      index: new adapterIndex.AdapterIndex(),
      known: new Map<Engine, ReturnType<typeof knownOf>>(),
    };
  });
  type Host = (typeof hosts)[number];
  const sendState = (e: Engine, h: Host): void => {
    const before = h.known.get(e)?.keys ?? new Set();
    if (before !== e.keys) h.index.update(e.id, before, e.keys);
    h.known.set(e, knownOf(e));
  };
  const byId = new Map(engines.map((e) => [e.id, e]));
  const find = (h: Host, key: string, targetMs: number, waitsAt?: string) => {
    const viewOf = (endpoint: choice.View["endpoint"], orderIndex: number): choice.View => {
      n.looks++;
      const e = byId.get(endpoint.id);
      const k = e && h.known.get(e);
      const known = { state: k?.state, holdings: k?.holdings, stateAgeMs: now - (k?.at ?? 0) };
      const pending = { pendingTokens: k?.tokens ?? 0, pendingSlots: k?.slots ?? 0 };
      return fixtures.view(endpoint.id, { endpoint, orderIndex, ...known, ...pending });
    };
    const fixed = {
      model: "m",
      promptTokens: TOKENS,
      rank: 1,
      domain: "d1",
      tried: new Set<string>(),
    };
    const views = fleet.viewsFor(layout, h.index, viewOf, random);
    return search.find(views, { ...fixed, key, targetMs, waitsAt }, key);
  };
  const run = (e: Engine, key: string): void => {
    let slot = e.slots.get(key);
    if (!slot) {
      const victim = e.slots.size < SLOTS ? undefined : e.idleSlot(now);
      if (victim !== undefined) e.slots.delete(victim);
      const isWarm = e.memory.delete(key);
      n[isWarm ? "memory" : "store"]++;
      e.memory.add(key);
      if (e.memory.size > MEMORY)
        for (const oldest of e.memory) {
          e.memory.delete(oldest);
          break;
        }
      slot = { readyAt: now + (isWarm ? WARM_MS : COLD_MS), busyUntil: 0 };
    }
    e.freeAt = Math.max(now, e.freeAt) + e.readMs;
    const firstAt = Math.max(e.freeAt, slot.readyAt + e.readMs) + FIRST_MS / e.speed;
    slot.busyUntil = Math.max(slot.busyUntil, firstAt + STREAM_MS);
    e.slots.delete(key);
    e.slots.set(key, slot);
    e.granted = [...e.granted, { at: now, ms: e.readMs }];
    e.holdings = { models: ["m"], resident: [...e.slots.keys()], warm: [...e.memory] };
    e.keys = new Set([...e.slots.keys(), ...e.memory]);
    e.seats++;
    n.seats++;
    if (e.crowding(now) > 1) n.full++;
  };
  const refuse = (key: string): void => {
    n.refused++;
    const couldServe = (e: Engine): boolean =>
      e.hasRoom(key, now) && e.freeAt - now + COLD_MS + e.readMs + FIRST_MS / e.speed < TARGET_MS;
    if (engines.some(couldServe)) n.inVain++;
  };
  const ask = (h: Host, key: string, dueAt: number): void => {
    const [best] = find(h, key, dueAt - now);
    const e = byId.get(best?.view.endpoint.id ?? "");
    const k = e && h.known.get(e);
    if (!best || !k) return;
    if (best.firstMs - best.serviceMs > 1.3 * TARGET_MS) {
      refuse(key);
      return;
    }
    k.tokens += TOKENS;
    if (!k.holdings.resident.includes(key)) k.slots++;
    after(ONE_WAY_MS + MIN_AGE_MS, () => {
      sendState(e, h);
    });
    after(ONE_WAY_MS, () => {
      if (e.hasRoom(key, now)) run(e, key);
      else wait(h, e, key, dueAt);
    });
  };
  /** Waits for a slot until it is found, another engine is sooner, or the caller has left. */
  const wait = (h: Host, e: Engine, key: string, dueAt: number): void => {
    const waiter = {};
    let [compareAt, intervalMs] = [now + COMPARE_MS, COMPARE_MS];
    const isSoonerElsewhere = (): boolean => {
      compareAt += intervalMs *= 2;
      const list = find(h, key, dueAt - now, e.id);
      const costs = [list.find((x) => x.view.endpoint.id === e.id), list[0]].map((x) =>
        x ? x.firstMs + x.penaltyMs : Infinity,
      );
      return (costs[0] ?? 0) - (costs[1] ?? 0) > GAIN_MS;
    };
    const step = (): void => {
      const hasRoom = e.hasRoom(key, now, waiter);
      const moves = !hasRoom && now >= compareAt && isSoonerElsewhere();
      if (!hasRoom && !moves && now < dueAt + TARGET_MS) {
        after(10, step);
        return;
      }
      e.waiting = e.waiting.filter((w) => w !== waiter);
      if (hasRoom) run(e, key);
      else if (moves) ask(h, key, dueAt);
      else refuse(key);
    };
    e.waiting = [...e.waiting, waiter];
    step();
  };
  for (const e of engines)
    for (const h of hosts) {
      const again = (): void => {
        sendState(e, h);
        after(MIN_AGE_MS + random() * (MAX_AGE_MS - MIN_AGE_MS), again);
      };
      after(0, again);
    }
  const arrive = (): void => {
    const key = `m/a${drawAdapter()}`;
    const h = hosts[Math.floor(random() * HOSTS)];
    n.requests++;
    distinct.add(key);
    if (h) ask(h, key, now + TARGET_MS);
    const factor = now % BURST_EVERY_MS < BURST_EVERY_MS - BURST_MS ? 1 : BURST;
    after((-Math.log(1 - random()) * 1000) / (o.perS * factor), arrive);
  };
  after(1, arrive);
  for (let e = events.pop(); e && e.at <= DURATION_MS; e = events.pop()) {
    now = e.at;
    e.run();
  }
  const rates = engines.map((e) => e.seats / e.speed).sort((a, b) => a - b);
  const meanSeats = (speed: number): number => {
    const list = engines.filter((e) => e.speed === speed);
    return list.reduce((sum, e) => sum + e.seats, 0) / list.length;
  };
  return {
    /** Seats by engine over its speed, busiest to median, and the seats of a fast engine over those of a slow one. */
    spread: (rates.at(-1) ?? 0) / (rates[rates.length >> 1] ?? 1),
    fastToSlow: meanSeats(1.7) / meanSeats(0.7),
    /** Fraction of the seats granted on an engine beyond its crowding of 1. */
    full: n.full / n.seats,
    refused: n.refused,
    /** Refused while another engine had room and could be on time. */
    refusedInVain: n.inVain,
    /** Loads from the weight store, and from host memory, per distinct adapter; views read per request. */
    storeLoads: n.store / distinct.size,
    memoryLoads: n.memory / distinct.size,
    looks: n.looks / n.requests,
  };
}
