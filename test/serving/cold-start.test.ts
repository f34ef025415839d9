import * as chai from "chai";
import * as residency from "../../src/serving/residency.js";
import * as slotOrders from "../../src/serving/slot-orders.js";
import * as seatQueue from "../../src/serving/seat-queue.js";
import * as loadHistory from "../../src/serving/load-history.js";

const { expect } = chai;

const MODEL = "base";
const SLOTS = 6;
const STEP_MS = 5;
/** Milliseconds of simulated time. */
const SIMULATED_MS = 4000;
/** Milliseconds that one load takes while the weight store serves it at full speed. */
const LOAD_MS = 250;

interface Engine {
  state: residency.State;
  history: loadHistory.LoadHistory;
  /** Loads in progress: the ms at full speed that each still takes, and the time of its order. */
  readonly loads: Map<string, { leftMs: number; readonly since: number }>;
}

/** The history of an engine whose loads were all at full speed. */
const GROWN = Array.from({ length: 8 }, (_, i) => `old${i}`).reduce(
  (w, key) => loadHistory.recordLoad(w, key, LOAD_MS),
  loadHistory.INITIAL,
);

/** Creates engine `n`, with `wanted` requests that each wait for another adapter. */
function engine(n: number, wanted: number, history: loadHistory.LoadHistory): Engine {
  let state: residency.State = { ...residency.empty(), models: [MODEL] };
  for (let i = 0; i < wanted; i++) {
    const adapter = `e${n}a${i}`;
    const key = `${MODEL}/${adapter}`;
    const times = { askedAt: 0, serviceMs: 200, targetAt: 1000 + i, expiresAt: 5000 };
    const waiter: seatQueue.Waiter = { seat: key, key, model: MODEL, adapter, rank: 1, ...times };
    state = residency.addWaiter(state, waiter, 0);
  }
  return { state, history, loads: new Map() };
}

/** Starts all loads that the engine should order now. */
function startLoads(e: Engine, now: number, maxColdLoads: number): void {
  const opts: residency.Options = {
    slots: SLOTS,
    maxLoads: 4,
    maxColdLoads,
    isWarm: () => false,
    closeAfterMs: 100,
    outdatedUseMs: 500,
  };
  for (;;) {
    const a = slotOrders.nextOrder(e.state, now, opts);
    if (a?.kind !== "load") return;
    e.state = residency.startLoad(e.state, a, now);
    e.loads.set(a.key, { leftMs: LOAD_MS, since: now });
  }
}

/**
 * Simulates engines that all load at once, on a weight store that serves `atOnce` loads at full speed and slows all of them
 * down beyond that. They have just started unless `history` is given. Returns the times at which the adapters were loaded.
 */
function simulate(
  engines: number,
  atOnce: number,
  coldLoads: (w: loadHistory.LoadHistory) => number,
  history = loadHistory.INITIAL,
): readonly number[] {
  const all = Array.from({ length: engines }, (_, i) => engine(i, SLOTS, history));
  const loadedAt: number[] = [];
  for (let now = 0; now < SIMULATED_MS; now += STEP_MS) {
    for (const e of all) startLoads(e, now, coldLoads(e.history));
    const inProgress = all.reduce((sum, e) => sum + e.loads.size, 0);
    const speed = Math.min(1, atOnce / Math.max(1, inProgress));
    for (const e of all) {
      for (const [key, l] of e.loads) {
        l.leftMs -= STEP_MS * speed;
        if (l.leftMs > 0) continue;
        e.loads.delete(key);
        const slot = e.state.slots.get(key);
        if (slot) e.state = residency.putSlot(e.state, { ...slot, phase: "resident" });
        e.history = loadHistory.recordLoad(e.history, key, now - l.since);
        loadedAt.push(now);
      }
    }
  }
  return loadedAt;
}

const within = (list: readonly number[], ms: number): number =>
  list.filter((at) => at <= ms).length;
const mean = (list: readonly number[]): number => list.reduce((a, b) => a + b, 0) / list.length;

describe("engines that all load at once", () => {
  // Mean time until an adapter is loaded, with a fixed and with the adaptive limit: 2.04 and 1.68 s, 2.00 and
  // 1.64 s, 1.16 and 0.95 s.
  for (const [engines, atOnce] of [
    [14, 8],
    [55, 32],
    [8, 8],
  ] as const) {
    it(`have adapters sooner than with as many loads as fit (${engines}, store ${atOnce})`, () => {
      const fixed = simulate(engines, atOnce, () => 4);
      const adaptive = simulate(engines, atOnce, loadHistory.coldLoadLimit);
      expect(adaptive.length).equal(fixed.length);
      expect(within(adaptive, 500)).least(engines);
      expect(within(fixed, 500)).equal(0);
      expect(mean(adaptive)).below(mean(fixed) * 0.9);
      expect(Math.max(...adaptive)).below(Math.max(...fixed) * 1.05);
    });
  }

  for (const [engines, atOnce] of [
    [18, 8],
    [55, 24],
  ] as const) {
    it(`have rare adapters in a burst no later than with as many loads as fit (${engines}, store ${atOnce})`, () => {
      const fixed = simulate(engines, atOnce, () => 4);
      const adaptive = simulate(engines, atOnce, loadHistory.coldLoadLimit, GROWN);
      expect(adaptive.length).equal(engines * SLOTS);
      expect(mean(adaptive)).most(mean(fixed));
      expect(Math.max(...adaptive)).below(Math.max(...fixed) * 1.05);
    });
  }

  it("have rare adapters in a burst as soon as without a limit while the store serves all at full speed", () => {
    const fixed = simulate(4, 32, () => 4);
    expect(simulate(4, 32, loadHistory.coldLoadLimit, GROWN)).deep.equal(fixed);
  });

  it("do not take a load from memory after a daemon's start for a load from a faster store", () => {
    for (const warmMs of [LOAD_MS / 10, LOAD_MS / 3]) {
      let w = loadHistory.recordLoad(loadHistory.INITIAL, "kept", warmMs);
      for (let i = 0; i < 9; i++) w = loadHistory.recordLoad(w, `a${i}`, LOAD_MS);
      w = loadHistory.recordLoad(w, "kept too", warmMs);
      for (let i = 0; i < 4; i++) w = loadHistory.recordLoad(w, `b${i}`, LOAD_MS);
      expect(loadHistory.coldLoadLimit(w)).equal(4);
    }
  });

  it("raise their limit on a store that serves all loads at full speed", () => {
    let w = loadHistory.INITIAL;
    for (let i = 0; i < 8; i++) w = loadHistory.recordLoad(w, `a${i}`, LOAD_MS);
    expect(loadHistory.coldLoadLimit(w)).equal(4);
    // Until the limit has grown, the first few adapters load one after the other: 0.62 s instead of 0.33 s in the mean.
    const fixed = simulate(4, 32, () => 4);
    const adaptive = simulate(4, 32, loadHistory.coldLoadLimit);
    expect(mean(adaptive)).below(mean(fixed) + 320);
  });
});
