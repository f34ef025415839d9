import * as chai from "chai";
import * as fc from "fast-check";
import * as clock from "../../../src/host/clock.js";
import * as structuredLog from "../../../src/host/structured-log.js";
import type * as catalog from "../../../src/serving/catalog.js";
import * as choice from "../../../src/serving/choice.js";
import * as admission from "../../../src/serving/admission.js";
import * as engineView from "../../../src/serving/engine-view.js";
import * as loadHistory from "../../../src/serving/load-history.js";
import * as residency from "../../../src/serving/residency.js";
import * as slotOrders from "../../../src/serving/slot-orders.js";
import * as seatQueue from "../../../src/serving/seat-queue.js";
import * as seatTable from "../../../src/serving/seat-table.js";
import * as announcedShares from "../../../src/serving/sharing/announced-shares.js";
import * as fairShares from "../../../src/serving/sharing/fair-shares.js";
import * as teamShares from "../../../src/serving/sharing/team-shares.js";
import * as fixtures from "../fixtures.js";
import * as managedEngines from "../managed-engines.js";

const { expect } = chai;

const EQUAL: fairShares.Weights = new Map();
const OVER = new Set(["hot"]);
const TEAMS = { all: [], byDigest: new Map(), malformedCount: 0 };

function waiter(n: number, over: Partial<seatQueue.Waiter> = {}): seatQueue.Waiter {
  const times = { askedAt: 0, serviceMs: 100, targetAt: 800, expiresAt: 1200 };
  return { seat: String(n), key: "m", model: "m", rank: 1, tokens: 1000, ...times, ...over };
}

function grantsOf(tokens: Readonly<Record<string, number>>): fairShares.Grants {
  return Object.entries(tokens).reduce(
    (g, [team, n]) => fairShares.recordGrant(g, team, n, 0),
    fairShares.NO_GRANTS,
  );
}

/** Six requests of one team that wait. */
function queueOf(team: string): readonly seatQueue.Waiter[] {
  return Array.from({ length: 6 }, (_, n) => waiter(n, { team }));
}

const waiters = fc.array(
  fc
    .record({
      rank: fc.nat(3),
      serviceMs: fc.nat(500),
      targetAt: fc.nat(1000),
      expiresAt: fc.nat(2000),
      team: fc.constantFrom("a", "b", undefined),
    })
    .map((w) => waiter(0, w)),
);

describe("the order of seats", () => {
  it("is as before shares where no team exceeds its share", () => {
    fc.assert(
      fc.property(waiters, fc.nat(1000), (list, now) => {
        const late = (w: seatQueue.Waiter): number => (now > w.targetAt - w.serviceMs ? 1 : 0);
        const key = (w: seatQueue.Waiter): number =>
          late(w) ? w.expiresAt : w.targetAt - w.serviceMs + w.rank * 100;
        const before = [...list].sort((a, b) => late(a) - late(b) || key(a) - key(b));
        expect(seatQueue.servingOrder(list, now)).deep.equal(before);
        expect(seatQueue.slotOrder(list, now)).deep.equal(before);
      }),
    );
  });

  it("defers the least urgent of a team beyond its share, only where another team's would be late", () => {
    const hot = [0, 1, 2].map((n) => waiter(n, { team: "hot", rank: n % 2, targetAt: 500 }));
    const order = (serviceMs: number): readonly string[] =>
      seatQueue
        .servingOrder([...hot.map((w) => ({ ...w, serviceMs })), waiter(3)], 0, OVER)
        .map((w) => w.seat);
    expect(order(100)).deep.equal(["0", "2", "1", "3"]);
    expect(order(200)).deep.equal(["0", "2", "3", "1"]);
  });
});

describe("a team's share", () => {
  it("is never exceeded by a team that wants less than an equal part", () => {
    const teams = fc.array(fc.record({ granted: fc.nat(9000), waits: fc.nat(4) }), {
      minLength: 1,
    });
    fc.assert(
      fc.property(teams, (list) => {
        const grants = grantsOf(Object.fromEntries(list.map((t, i) => [`t${i}`, t.granted])));
        const waiting = list.flatMap(
          (t, i) => new Array(t.waits).fill(waiter(0, { team: `t${i}` })) as seatQueue.Waiter[],
        );
        const { over } = fairShares.standing(grants, waiting, EQUAL, 0);
        const equal = (0.95 * list.reduce((sum, t) => sum + t.granted, 0)) / list.length;
        list.forEach((t, i) => {
          if (t.granted + t.waits * 1000 <= equal) expect(over.has(`t${i}`)).equal(false);
        });
      }),
    );
  });

  it("is weighted, bounded in time, and of no account without a queue or other teams", () => {
    const grants = grantsOf({ hot: 9000, big: 6000, small: 500 });
    const at = (
      weights: fairShares.Weights,
      now = 0,
      waiting = queueOf("small"),
    ): fairShares.Standing => fairShares.standing(grants, waiting, weights, now);
    expect(at(EQUAL)).deep.equal({ over: new Set(["hot", "big"]), isContended: true });
    expect([...at(new Map([["hot", 4]])).over]).deep.equal(["big"]);
    expect(at(EQUAL, 0, [])).deep.equal(fairShares.CALM);
    const lone = fairShares.standing(grantsOf({ hot: 9000 }), queueOf("hot"), EQUAL, 0);
    expect(lone).deep.equal({ over: OVER, isContended: false });
    expect(() => fairShares.checkWeights(new Map([["a", 0]]))).throw(/team a is 0.*0.01 to 100/);
  });

  it("decides which slot is freed: a team beyond its share keeps none that another waits for", () => {
    const slot = { model: "m", version: 1, phase: "resident", pins: 0, phaseSince: 0 } as const;
    const slots = ["x", "y"].map(
      (a) => [`m/${a}`, { ...slot, key: `m/${a}`, adapter: a }] as const,
    );
    const ask = (a: string, team: string) => waiter(0, { key: `m/${a}`, adapter: a, team });
    const waiting = [ask("x", "hot"), ask("y", "other"), ask("w", "hot"), ask("z", "other")];
    const s = { ...residency.empty(), models: ["m"], slots: new Map(slots), waiting };
    const opts = fixtures.residencyOf(2);
    expect(slotOrders.nextOrder(s, 0, opts)).equal(undefined);
    const freed = slotOrders.nextOrder(s, 0, { ...opts, overTeams: OVER });
    expect(freed).deep.include({ kind: "unload", slot: slots[0]?.[1] });
    expect(residency.slotDemand(s, 2, OVER)).deep.equal({ free: 1, wanted: 1 });
  });
});

describe("an engine's announced shares", () => {
  const seats = new seatTable.SeatTable();
  for (const w of queueOf("hot")) {
    const client = { host: "h", send: () => undefined, sendLine: () => undefined };
    const seat = {
      client,
      seatNumber: 0,
      request: w.seat,
      key: "m",
      askedAt: 0,
      grantedAt: undefined,
      team: "hot",
    };
    seats.add(w.seat, seat, 4000, 1);
  }
  const standing = { over: OVER, isContended: true };
  const view = {
    instance: "1",
    seats,
    held: residency.empty(),
    loadHistory: loadHistory.INITIAL,
    slots: 2,
    now: 0,
  };

  it("make other teams' requests wait for nothing, and refuse those of a team beyond its share first", () => {
    const state = engineView.stateMessage({ ...view, standing }, 1, 1000);
    expect(engineView.waitMs({ ...view, standing }, 1, true, "small")).equal(0);
    const waits = ["hot", "small", undefined].map((team) => {
      const need = {
        model: "m",
        key: undefined,
        promptTokens: 0,
        rank: 1,
        team,
        domain: "d1",
        tried: new Set<string>(),
        targetMs: 800,
      };
      const [e] = choice.rankEngines([fixtures.view("1", { state })], need);
      return e ? e.firstMs - e.serviceMs : undefined;
    });
    expect(waits).deep.equal([state.waitMs[1], 0, 0]);
    const best = { view: fixtures.view("1"), firstMs: 1000, serviceMs: 100, penaltyMs: 0 };
    const times = { rank: 1, targetMs: 800, gapMs: 250, leftMs: 5000 };
    const kinds = ["hot", "small"].map(
      (team) => admission.decide(times, best, announcedShares.givesWay(state, team)).kind,
    );
    expect(kinds).deep.equal(["refuse", "serve"]);
    expect(announcedShares.givesWay({ ...state, contended: false }, "hot")).equal(false);
  });

  it("are left out where the configuration has no teams, and where none exceeds its share", () => {
    for (const calm of [undefined, fairShares.CALM]) {
      const state = engineView.stateMessage({ ...view, standing: calm }, 1, 1000);
      expect(state).not.have.any.keys("fairWaitMs", "fairSlotMs", "overTeams", "contended");
    }
  });
});

describe("the log of shares", () => {
  it("has one line when a team goes beyond its share and one when it is back", () => {
    const lines: string[] = [];
    const log = { ...structuredLog.silent, info: (msg: string) => lines.push(msg) };
    const config = { ...fixtures.CONFIG, teams: TEAMS };
    const shares = new teamShares.TeamShares({
      log,
      config: () => config,
      weights: EQUAL,
      onGrant: () => undefined,
    });
    for (let now = 0; now < 6000; now += 20) {
      if (now < 3000) shares.recordGrant({ team: "hot", tokens: 2000, serviceMs: 100 }, now);
      const waiting = now < 3000 && now % 40 === 0 ? queueOf("small") : [];
      shares.logChanges(shares.standing(waiting, now), now);
      expect(shares.overCount).equal(lines.length === 1 ? 1 : 0);
    }
    expect(lines).deep.equal([
      "A team exceeds its share of the engine.",
      "A team is within its share of the engine again.",
    ]);
  });
});

/** The configuration of an engine with one slot and teams, whose streams must be steady, or not. */
function configWithTeams(isSteady: boolean): catalog.Config {
  const config = managedEngines.configOf(1);
  const { service } = managedEngines.catalogOf([]);
  const batch = { requests: 100, cacheTokens: 1_000_000, eventTokens: 7 };
  const engine = service.engine && { ...service.engine, batch };
  const gapMs = isSteady ? 300 : 400;
  const route: catalog.Route = { ...fixtures.ROUTE, kind: "stream", gapMs };
  const services = new Map([[service.name, { ...service, engine }]]);
  return { ...config, teams: TEAMS, routes: [route], services };
}

describe("an endpoint daemon of an engine with one slot", () => {
  afterEach(managedEngines.endAll);

  it("grants a team within its share a seat although another team's queue never ends", async () => {
    const s = await managedEngines.start("i1", 1, configWithTeams(true));
    const ask = (team: string) =>
      s.link.ask({ ...managedEngines.seatRequest(team), promptTokens: 4000, team });
    let isOver = false;
    const keepAsking = async (): Promise<void> => {
      while (!isOver) {
        const seat = ask("hot");
        await seat.answer;
        await clock.sleep(clock.system, 20);
        seat.release("whole");
      }
    };
    const queue = Promise.all(Array.from({ length: 8 }, keepAsking));
    try {
      await managedEngines.eventually(() => s.link.state?.overTeams?.includes("hot") ?? false);
      const small = ask("small");
      expect((await small.answer).kind).equal("grant");
      small.release("whole");
    } finally {
      isOver = true;
    }
    await queue;
  });

  // Guards against shares where the configuration does not ask for steady streams, and so for limited room.
  it("tells no team's standing where streams need not be steady", async () => {
    const s = await managedEngines.start("i1", 1, configWithTeams(false));
    const seats = Array.from({ length: 8 }, () =>
      s.link.ask({ ...managedEngines.seatRequest("hot"), promptTokens: 9000, team: "hot" }),
    );
    await seats[0]?.answer;
    await clock.sleep(clock.system, 300);
    expect(s.link.state?.instance).equal("i1");
    expect(s.link.state?.overTeams).equal(undefined);
    for (const seat of seats) seat.release("left");
  });
});
