/**
 * What the choice of an engine for one request costs an entry daemon.
 * @module
 */
import * as adapterIndex from "../../src/serving/adapter-index.js";
import type * as catalog from "../../src/serving/catalog.js";
import type * as choice from "../../src/serving/choice.js";
import * as fleet from "../../src/serving/fleet.js";
import * as search from "../../src/serving/search.js";
import type * as seatMessages from "../../src/serving/seat-messages.js";
import * as workload from "../measure/workload.js";
import * as decision from "./decision.js";

const ADAPTERS = 1000;
/** Adapters that each engine holds, and that its host keeps in memory. */
const RESIDENT = 18;
const WARM = 100;
const RANKS = 10;
const DOMAINS = 4;
const TEAMS = 16;
const CHOICES = 5000;

const keyOf = (n: number): string => `m/a${n}`;

/** Engines of which each announces about the given crowding; undefined if they announce none. */
function viewsOf(engines: number, crowding: number | undefined): readonly choice.View[] {
  const random = workload.randomOf(5);
  const draw = (n: number): readonly string[] =>
    Array.from({ length: n }, () => keyOf(Math.floor(random() ** 2 * ADAPTERS)));
  return Array.from({ length: engines }, (_, n): choice.View => {
    const id = `e${n}`;
    const speed = n % 3 === 2 ? 1.7 : 0.7;
    const endpoint: catalog.Endpoint = {
      id,
      address: `10.0.0.${n}:1`,
      domain: `d${n % DOMAINS}`,
      labels: {},
      seats: 48,
      leaving: false,
    };
    const state: seatMessages.State = {
      kind: "state",
      instance: id,
      waitMs: Array.from({ length: RANKS }, (_, rank) => Math.round(20 * rank * random())),
      msPerToken: 0.026 / speed,
      firstMs: 40 / speed,
      slotMs: 0,
      eachSlotMs: 100,
      coldMs: 288,
      warmMs: 29,
      seats: 20,
      failing: 0,
      entries: 26,
      silenceMs: 1000,
      ...(crowding !== undefined && {
        crowding: crowding * (0.95 + 0.1 * random()),
        lateStreams: 0.2 * random(),
        overTeams: ["team-0"],
        fairWaitMs: new Array<number>(RANKS).fill(0),
        fairSlotMs: 0,
        contended: true,
      }),
    };
    return {
      endpoint,
      state,
      holdings: { models: ["m"], resident: draw(RESIDENT), warm: draw(WARM) },
      inFlight: 1,
      pendingTokens: 100,
      pendingSlots: 0,
      failureRate: 0,
      latencyMs: 0,
      isStarting: false,
      orderIndex: 0,
      stateAgeMs: 20 + 180 * random(),
      idleMs: 20 * random(),
      limitWaitMs: 0,
      availableInMs: 0,
    };
  });
}

/** Ranks engines for requests; `choose` makes the choice for the request of the given number. */
export function chooser(
  engines: number,
  crowding: number | undefined,
): (n: number) => readonly choice.Estimate[] {
  const views = viewsOf(engines, crowding);
  const byId = new Map(views.map((v) => [v.endpoint.id, v]));
  const layout = fleet.buildLayout(
    views.map((v) => v.endpoint),
    (e) => e.address,
    [],
  );
  const index = new adapterIndex.AdapterIndex();
  for (const { endpoint, holdings } of views) {
    const keys = [...(holdings?.resident ?? []), ...(holdings?.warm ?? [])];
    index.update(endpoint.address, new Set(), new Set(keys));
  }
  const random = workload.randomOf(9);
  const keys = Array.from({ length: 4096 }, () => keyOf(Math.floor(random() ** 2 * ADAPTERS)));
  const tried = new Set<string>();
  const viewOf = (endpoint: catalog.Endpoint, orderIndex: number): choice.View => {
    const known = byId.get(endpoint.id);
    if (!known) throw new Error(`there is no engine ${endpoint.id}`);
    return { ...known, orderIndex };
  };
  return (n) => {
    const key = keys[n % keys.length] ?? "";
    const need: choice.Need = {
      model: "m",
      key,
      promptTokens: 826,
      rank: n % 3,
      team: `team-${n % TEAMS}`,
      domain: "d0",
      tried,
      targetMs: 1000,
    };
    return search.find(fleet.viewsFor(layout, index, viewOf, random), need, key);
  };
}

/** Cost of one choice among so many engines. */
export function choosing(engines: number, crowding: number | undefined): decision.Cost {
  const choose = chooser(engines, crowding);
  return decision.measure(CHOICES, (n) => {
    choose(n);
  });
}
