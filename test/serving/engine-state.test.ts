import * as chai from "chai";
import * as structuredLog from "../../src/host/structured-log.js";
import type * as catalog from "../../src/serving/catalog.js";
import * as engineState from "../../src/serving/engine-state.js";
import * as residency from "../../src/serving/residency.js";
import * as seatQueue from "../../src/serving/seat-queue.js";
import * as seatTable from "../../src/serving/seat-table.js";
import type * as seatMessages from "../../src/serving/seat-messages.js";
import * as time from "../../bench/measure/time.js";
import * as fixtures from "./fixtures.js";
import * as managedEngines from "./managed-engines.js";

const { expect } = chai;

/** Longest pause on time of the streams. */
const GAP_MS = 300;
const CLIENT = { host: "h", send: () => undefined, sendLine: () => undefined };
const TEAMS: catalog.Teams = { all: [], byDigest: new Map(), malformedCount: 0 };

/** A configuration whose engines run two requests at once, with teams, and with steady streams or not. */
function configOf(gapMs: number): catalog.Config {
  const config = managedEngines.configOf(2);
  const { service } = managedEngines.catalogOf([]);
  const batch = { requests: 2, cacheTokens: 100_000, eventTokens: 7 };
  const engine = service.engine && { ...service.engine, batch };
  const route = { ...fixtures.ROUTE, kind: "stream", gapMs } as const;
  const services = new Map([[service.name, { ...service, engine }]]);
  return { ...config, routes: [route], services, teams: TEAMS };
}

function setup() {
  const clk = new time.Time();
  let config = configOf(GAP_MS);
  const state = new engineState.EngineState({
    clock: clk,
    log: structuredLog.silent,
    config: () => config,
    service: fixtures.SERVICE.name,
    versionMs: 5000,
    weights: new Map(),
    onGrant: () => undefined,
  });
  const ask = (id: string, team: string): void => {
    const m: seatMessages.Ask = {
      ...{ kind: "ask", seat: 0, request: id, model: "m", version: 0, firm: true, gapMs: GAP_MS },
      ...{ promptTokens: 4000, answerTokens: 100, rank: 1, targetMs: 1000, leftMs: 4000, team },
    };
    const now = clk.mono();
    const waiter = seatQueue.waiterFor(id, "m", m, 200, now);
    state.seats.add(id, seatTable.newSeat(CLIENT, "m", m, now), m.promptTokens, m.rank);
    state.admission?.add(id, m, m.rank);
    state.set({ held: residency.addWaiter(state.held, waiter, now) });
  };
  const grant = (id: string): void => {
    const w = state.held.waiting.find((x) => x.seat === id);
    state.seats.grant(id, clk.mono());
    state.admission?.grant(id, clk.mono());
    if (w) state.shares.recordGrant(w, clk.mono());
    state.set({ held: residency.removeWaiter(state.held, id) });
  };
  return {
    clk,
    state,
    ask,
    grant,
    configure: (next: catalog.Config) => {
      config = next;
    },
  };
}

describe("a snapshot of an engine's state", () => {
  // Guards against decisions by an outdated state.
  it("is replaced by any change, a new configuration, or after 1 ms", async () => {
    const { clk, state, ask, grant, configure } = setup();
    let last = state.snapshot();
    const expectNew = (isNew: boolean): void => {
      const next = state.snapshot();
      expect(next !== last).equal(isNew);
      expect(state.isLatest(next)).equal(true);
      last = next;
    };
    expectNew(false);
    ask("a", "small");
    expectNew(true);
    grant("a");
    expectNew(true);
    state.changed();
    expectNew(true);
    expectNew(false);
    configure(configOf(400));
    expectNew(true);
    clk.after(2, () => undefined);
    await clk.runUntil(2);
    expectNew(true);
  });

  // Guards against repeated computation in one step, and against estimates that miss a change.
  it("computes its values once, and anew after a change", () => {
    const { state, ask, grant } = setup();
    ask("a", "hot");
    ask("b", "hot");
    grant("a");
    grant("b");
    ask("c", "hot");
    ask("d", "small");
    const at = state.snapshot();
    expect([...(at.standing?.over ?? [])]).deep.equal(["hot"]);
    expect(at.options.overTeams).equal(at.standing?.over);
    expect(at.options).equal(at.options);
    expect(at.steady?.waitsByRank).equal(at.steady?.waitsByRank);
    expect(at.steady?.fairWaitsByRank[1]).below(at.steady?.waitsByRank[1] ?? 0);
    expect(at.steady?.crowding).equal(1);
    state.admission?.remove("a");
    state.changed();
    expect(state.snapshot().steady?.crowding).equal(0.5);
  });

  it("has one estimate for all teams where none exceeds its share", () => {
    const { state, ask } = setup();
    ask("a", "small");
    const { steady, standing } = state.snapshot();
    expect(standing?.over.size).equal(0);
    expect(steady?.fairWaitsByRank).equal(steady?.waitsByRank);
  });

  // Guards against seats beyond the batch, and against streams without a pace, after a change of the configuration.
  it("counts the seats that are open when streams become steady, and forgets them when they no longer are", async () => {
    const changed = setup();
    changed.configure(configOf(400));
    const always = setup();
    for (const { clk, state, ask, grant } of [changed, always]) {
      ask("a", "small");
      ask("b", "small");
      ask("c", "small");
      grant("a");
      state.seats.recordFirstEvent("a", 100, 0);
      state.admission?.recordFirstEvent("a", 0);
      state.changed();
      // A prompt that was read counts against the pace for as long as an event may take.
      clk.after(GAP_MS, () => undefined);
      await clk.runUntil(GAP_MS);
      grant("b");
    }
    expect(changed.state.admission).equal(undefined);
    changed.configure(configOf(GAP_MS));
    const waiting = always.state.held.waiting[0];
    const seen = [changed, always].map(({ state }) => {
      const at = state.snapshot();
      const hindrance = waiting && at.admission?.check(waiting);
      const { waitsByRank, crowding } = at.steady ?? {};
      return { hindrance, waitsByRank, crowding };
    });
    expect(seen[0]).deep.equal(seen[1]);
    expect(seen[0]?.hindrance?.why).equal("room");
    changed.state.seats.remove("b");
    changed.state.admission?.remove("b");
    changed.state.changed();
    expect(waiting && changed.state.snapshot().admission?.check(waiting)?.why).equal(undefined);
    changed.configure(configOf(400));
    expect(changed.state.admission).equal(undefined);
  });

  it("tells nothing of room, pace or shares without steady streams", () => {
    const { state, ask, configure } = setup();
    configure(configOf(400));
    ask("a", "small");
    const at = state.snapshot();
    expect(at.steady ?? at.standing ?? at.admission ?? at.options.overTeams).equal(undefined);
    expect(at.prefill.unstarted).equal(0);
  });
});
