import * as chai from "chai";
import * as fc from "fast-check";
import * as polling from "../../src/serving/polling.js";
import * as residency from "../../src/serving/residency.js";
import * as slotOrders from "../../src/serving/slot-orders.js";
import * as slotReports from "../../src/serving/slot-reports.js";
import type * as seatQueue from "../../src/serving/seat-queue.js";
import * as loadHistory from "../../src/serving/load-history.js";
import * as fixtures from "./fixtures.js";

const { expect } = chai;

const OPTS = fixtures.residencyOf(3);
const MODEL = "base";

function waiter(seat: string, adapter: string | undefined, askedAt: number): seatQueue.Waiter {
  return {
    seat,
    key: adapter === undefined ? MODEL : `${MODEL}/${adapter}`,
    model: MODEL,
    adapter,
    rank: 1,
    askedAt,
    serviceMs: 100,
    targetAt: askedAt + 1000,
    expiresAt: askedAt + 5000,
  };
}

function slot(adapter: string, over: Partial<residency.Slot> = {}): residency.Slot {
  return {
    key: `${MODEL}/${adapter}`,
    model: MODEL,
    adapter,
    version: 1,
    phase: "resident",
    pins: 0,
    phaseSince: 0,
    ...over,
  };
}

function holding(...slots: readonly residency.Slot[]): residency.State {
  const start: residency.State = { ...residency.empty(), models: [MODEL] };
  return slots.reduce(residency.putSlot, start);
}

/** A simulated engine and its seats. */
interface Simulation {
  state: residency.State;
  now: number;
  /** Number of seats asked for so far. */
  next: number;
  /** Adapter keys of granted seats that have not ended, by seat. */
  readonly running: Map<string, string>;
  readonly granted: Set<string>;
  readonly expired: Set<string>;
}

/** Grants and denies seats as the state allows. */
function settleSeats(sim: Simulation): void {
  for (const a of residency.seatActions(sim.state, sim.now, OPTS)) {
    if (a.kind === "grant") {
      const s = sim.state.slots.get(a.waiter.key);
      expect(a.waiter.adapter === undefined || s?.phase === "resident").equal(true);
      sim.state = residency.addPin(
        residency.removeWaiter(sim.state, a.waiter.seat),
        a.waiter.key,
        1,
      );
      sim.running.set(a.waiter.seat, a.waiter.key);
      sim.granted.add(a.waiter.seat);
    } else if (a.kind === "expire") {
      sim.state = residency.removeWaiter(sim.state, a.waiter.seat);
      sim.expired.add(a.waiter.seat);
    }
  }
}

/** Carries out the next order; returns false if there is none. */
function carryOutOrder(sim: Simulation): boolean {
  const a = slotOrders.nextOrder(sim.state, sim.now, OPTS);
  if (!a) return false;
  switch (a.kind) {
    case "load":
      sim.state = residency.putSlot(
        sim.state,
        slot(a.adapter, { phase: "loading", phaseSince: sim.now }),
      );
      break;
    case "unload":
      expect(a.slot.pins).equal(0);
      sim.state = residency.removeSlot(sim.state, a.slot.key);
      break;
    case "close":
      sim.state = residency.putSlot(sim.state, {
        ...a.slot,
        phase: "closing",
        phaseSince: sim.now,
      });
      break;
    case "grant":
    case "expire":
    case "wait":
      throw new Error("a seat action is not an order");
  }
  expect(sim.state.slots.size).most(OPTS.slots);
  return true;
}

/** Finishes all loads in progress. */
function finishLoads(sim: Simulation): void {
  for (const s of sim.state.slots.values()) {
    if (s.phase === "loading")
      sim.state = residency.putSlot(sim.state, { ...s, phase: "resident" });
  }
}

/** Ends the seat that was granted first. */
function endSeat(sim: Simulation): void {
  const [first] = sim.running;
  if (!first) return;
  sim.running.delete(first[0]);
  sim.state = residency.addPin(sim.state, first[1], -1);
}

/** Simulates one step, and the decisions after it. */
function simulateStep(sim: Simulation, step: string): void {
  sim.now += 20;
  if (step.startsWith("ask")) {
    const seat = `s${sim.next++}`;
    sim.state = residency.addWaiter(sim.state, waiter(seat, step.slice(4), sim.now), sim.now);
  }
  if (step === "end") endSeat(sim);
  if (step === "loaded") finishLoads(sim);
  settleSeats(sim);
  while (carryOutOrder(sim)) settleSeats(sim);
}

const step = fc.constantFrom("ask a", "ask b", "ask c", "ask d", "ask e", "end", "loaded");

describe("residency", () => {
  it("never overfills the slots, grants a seat on a missing adapter, or unloads an adapter in use", () => {
    fc.assert(
      fc.property(fc.array(step, { maxLength: 80 }), (steps) => {
        const sim: Simulation = {
          state: holding(),
          now: 0,
          next: 0,
          running: new Map(),
          granted: new Set(),
          expired: new Set(),
        };
        for (const s of steps) simulateStep(sim, s);
        for (let i = 0; i < 200 && sim.state.waiting.length > 0; i++) {
          simulateStep(sim, "loaded");
          simulateStep(sim, "end");
        }
        expect(sim.state.waiting).deep.equal([]);
        expect(sim.granted.size + sim.expired.size).equal(sim.next);
        expect(sim.expired.size).equal(0);
      }),
    );
  });

  it("grants a seat for the base model without a slot", () => {
    const s = residency.addWaiter(holding(), waiter("s", undefined, 0), 0);
    expect(residency.seatActions(s, 0, OPTS).map((a) => a.kind)).deep.equal(["grant"]);
  });

  it("loads adapters first for requests that can still be on time", () => {
    const late = { ...waiter("late", "a", 0), targetAt: 10 };
    const early = waiter("early", "b", 50);
    let s = residency.addWaiter(holding(slot("x", { phase: "loading" })), late, 0);
    s = residency.addWaiter(s, early, 50);
    const a = slotOrders.nextOrder(s, 60, OPTS);
    expect(a).include({ kind: "load", adapter: "b" });
  });

  it("unloads the adapter that was asked for least lately", () => {
    let s = holding(slot("a"), slot("b"), slot("c"));
    for (const adapter of ["a", "c"]) {
      s = residency.removeWaiter(residency.addWaiter(s, waiter("s", adapter, 0), 0), "s");
    }
    s = residency.addWaiter(s, waiter("w", "d", 10), 10);
    expect(slotOrders.nextOrder(s, 10, OPTS)).deep.include({ kind: "unload", slot: slot("b") });
  });

  it("closes a slot in use only for a request that has waited long enough", () => {
    const used = [slot("a", { pins: 1 }), slot("b", { pins: 1 }), slot("c", { pins: 1 })];
    const s = residency.addWaiter(holding(...used), waiter("w", "d", 0), 0);
    expect(slotOrders.nextOrder(s, 50, OPTS)).equal(undefined);
    expect(slotOrders.nextOrder(s, 150, OPTS)?.kind).equal("close");
  });

  it("grants seats on an outdated version for a limited time, then waits for the new one", () => {
    const old = slot("a", { pins: 1 });
    const s = residency.addWaiter(
      residency.declareVersion(holding(old), old.key, 2, 0),
      waiter("w", "a", 10),
      10,
    );
    expect(residency.seatActions(s, 100, OPTS).map((a) => a.kind)).deep.equal(["grant"]);
    expect(residency.seatActions(s, 600, OPTS)).deep.equal([]);
    const idle = residency.addPin(s, old.key, -1);
    expect(slotOrders.nextOrder(idle, 100, OPTS)).include({
      kind: "load",
      adapter: "a",
      version: 2,
    });
  });

  it("grants no seat on an outdated version to a host that will not send on it, however late the daemon heard", () => {
    const old = slot("a", { pins: 1 });
    const known = residency.declareVersion(holding(old), old.key, 2, 1000);
    const granted = (w: Partial<seatQueue.Waiter>, now: number): number =>
      residency.seatActions(
        residency.addWaiter(known, { ...waiter("w", "a", 1000), version: 2, ...w }, 1000),
        now,
        OPTS,
      ).length;
    expect(granted({}, 1001)).equal(0);
    expect(granted({ older: { version: 1, until: 1200 } }, 1100)).equal(1);
    expect(granted({ older: { version: 1, until: 1200 } }, 1200)).equal(0);
  });

  it("replaces no more outdated adapters at the same time than may be loaded", () => {
    const opts = { ...OPTS, slots: 6, maxLoads: 4, maxColdLoads: 3 };
    let s = holding(...["a", "b", "c", "d", "e", "f"].map((adapter) => slot(adapter)));
    for (const key of s.slots.keys()) s = residency.declareVersion(s, key, 2, 0);
    for (let a = slotOrders.nextOrder(s, 10, opts); a?.kind === "load";)
      a = slotOrders.nextOrder((s = residency.startLoad(s, a, 10)), 10, opts);
    expect([...s.slots.values()].filter((p) => p.phase === "loading").length).equal(3);
  });

  // Guards against an endpoint daemon that blocks for a minute when it reads tens of thousands of versions at its start.
  it("records many declared versions at once, of which outdated ones change nothing", () => {
    const declared = Array.from({ length: 28_000 }, (_, i) => [`m/a${i}`, { version: 2 }] as const);
    const known = residency.declareVersion(residency.empty(), "m/a1", 3, 0);
    const s = residency.declareVersions(known, declared, 10);
    expect(s.newest.size).equal(28_000);
    expect(s.newest.get("m/a0")).deep.equal({ version: 2, at: 10 });
    expect(s.newest.get("m/a1")).deep.equal({ version: 3, at: 0 });
    expect(known.newest.size).equal(1);
    expect(residency.declareVersions(s, declared, 20)).equal(s);
  }).timeout(2000);

  it("keeps slots that changed after a report was requested", () => {
    const s = holding(
      slot("a", { phase: "loading", phaseSince: 100 }),
      slot("b", { phaseSince: 0 }),
    );
    const at = slotReports.reconcile(s, [MODEL], [], 50);
    expect([...at.slots.keys()]).deep.equal([`${MODEL}/a`]);
  });

  it("counts a loading slot as taken", () => {
    const s = holding(slot("a", { phase: "loading" }), slot("b", { pins: 1 }), slot("c"));
    expect(residency.slotDemand(s, 3)).deep.equal({ free: 1, wanted: 0 });
  });
});

describe("polling", () => {
  it("happens when a load may be finished, and rarely while nothing changes", () => {
    const idle = polling.nextPollAt(holding(slot("a")), loadHistory.INITIAL, 1000);
    const state = holding(slot("a"), slot("b", { phase: "loading", phaseSince: 990 }));
    const w = { ...loadHistory.INITIAL, coldMs: 200, warmMs: 20 };
    expect(polling.nextPollAt(state, w, 1000)).within(1120, 1190);
    expect(polling.nextPollAt(state, loadHistory.recordHeld(w, `${MODEL}/b`), 1000)).within(
      1005,
      1030,
    );
    expect(polling.nextPollAt(state, w, 1180)).within(1185, 1200);
    expect(idle).above(1200);
  });

  it("is frequent while the engine has no base model, as after a power failure, when all requests wait for it", () => {
    expect(polling.nextPollAt(residency.empty(), loadHistory.INITIAL, 1000)).within(1010, 1050);
  });
});
