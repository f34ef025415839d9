import * as chai from "chai";
import * as fc from "fast-check";
import * as clock from "../../src/host/clock.js";
import * as catalog from "../../src/serving/catalog.js";
import * as incarnation from "../../src/serving/incarnation.js";
import * as choice from "../../src/serving/choice.js";
import * as dispatcherFixture from "./dispatcher-fixture.js";
import * as managedEngines from "./managed-engines.js";
import * as fixtures from "./fixtures.js";
import * as fakeEndpointDaemon from "./fake-endpoint-daemon.js";

const { expect } = chai;

const name = fc.string({ minLength: 1 });
const startTime = fc.option(fc.nat(), { nil: undefined });

/** A catalog entry of the worker `w` that started at `start`. */
function entry(start: number, leaving = false): catalog.Update {
  const endpoint = fixtures.endpoint(incarnation.idOf("w", start), "10.0.0.1:1");
  return { kind: "endpoint", endpoint: { ...endpoint, leaving } };
}

/** Entries of two incarnations of one worker: each ready, then leaving. */
const UPDATES = [entry(1), entry(1, true), entry(2), entry(2, true)];

describe("an incarnation", () => {
  it("has an id that gives its worker's name and start time, whatever the name is", () => {
    fc.assert(
      fc.property(name, startTime, (worker, start) => {
        const id = incarnation.idOf(worker, start);
        expect(incarnation.workerOf(id)).equal(worker);
        expect(incarnation.startOf(id)).equal(start);
      }),
    );
  });

  it("does not take the entry of a later incarnation for the announcement that a worker leaves", () => {
    const later = catalog.applyUpdate(catalog.EMPTY, entry(2));
    expect(catalog.isLeaving(later, fixtures.endpoint("w#1", "10.0.0.1:1"))).equal(false);
    expect(catalog.isLeaving(catalog.EMPTY, fixtures.endpoint("w#1", "10.0.0.1:1"))).equal(true);
  });

  it("differs by start time, and may be the same where a start time is not reported", () => {
    const [old, next] = [incarnation.idOf("w", 1), incarnation.idOf("w", 2)];
    expect(incarnation.mayBeSame(old, next)).equal(false);
    expect(incarnation.mayBeSame(old, "w")).equal(true);
    expect(incarnation.mayBeSame(old, incarnation.idOf("v", 1))).equal(false);
    expect(incarnation.isOlder(old, next)).equal(true);
    expect(incarnation.isOlder(next, old)).equal(false);
    expect(incarnation.isOlder("w", next)).equal(false);
  });
});

describe("a catalog", () => {
  it("never goes back to an older incarnation, in whatever order entries arrive, late or repeated", () => {
    fc.assert(
      fc.property(fc.array(fc.nat(UPDATES.length - 1), { minLength: 1 }), (order) => {
        let at = catalog.EMPTY;
        let newest = 0;
        for (const n of order) {
          const update = UPDATES[n];
          if (update?.kind !== "endpoint") continue;
          at = catalog.applyUpdate(at, update);
          newest = Math.max(newest, incarnation.startOf(update.endpoint.id) ?? 0);
          expect(at.endpoints.size).equal(1);
          expect(at.endpoints.get("w")?.id).equal(incarnation.idOf("w", newest));
        }
      }),
    );
  });

  it("uses a new incarnation of a leaving worker once its entry says that it is ready", () => {
    const left = catalog.applyUpdates(catalog.EMPTY, [entry(1), entry(1, true)]).updated;
    const old = left.endpoints.get("w");
    const { updated } = catalog.applyUpdates(left, [entry(2)]);
    const next = updated.endpoints.get("w");
    expect(old && catalog.isUsable(updated, old)).equal(false);
    expect(next && catalog.isUsable(updated, next)).equal(true);
    expect(catalog.applyUpdate(updated, entry(1, true))).equal(updated);
  });

  it("does not use a worker that is registered under the same id with other software", () => {
    const registered = (software: string): catalog.Update => {
      const endpoint = fixtures.endpoint("w", "10.0.0.1:1");
      const labels = { ...endpoint.labels, [catalog.SOFTWARE_LABEL]: software };
      return { kind: "endpoint", endpoint: { ...endpoint, labels } };
    };
    const before = catalog.applyUpdate(catalog.EMPTY, registered("v1"));
    const old = before.endpoints.get("w");
    const at = catalog.applyUpdate(before, registered("v2"));
    expect(old && catalog.isUsable(before, old)).equal(true);
    expect(old && catalog.isUsable(at, old)).equal(false);
  });

  it("does not use an incarnation whose entry was removed", () => {
    const there = catalog.applyUpdate(catalog.EMPTY, entry(1));
    const old = there.endpoints.get("w");
    const at = catalog.applyUpdate(there, { kind: "endpoint_gone", worker: "w" });
    expect(old && catalog.isUsable(at, old)).equal(false);
  });
});

describe("an engine that restarts under its old name", () => {
  afterEach(managedEngines.endAll);

  it("is recognized as new though its order sequence has not decreased, and holds what it then reports", async () => {
    const s = await managedEngines.start("i1", 2);
    s.engine.startedAt = 1;
    await managedEngines.eventually(() => s.link.state?.instance === incarnation.idOf("i1", 1));
    const first = s.link.ask(managedEngines.seatRequest("a"));
    expect(await first.answer).include({ kind: "grant" });
    first.release("whole");
    // The new incarnation has taken as many orders as the old one, and holds another adapter.
    s.engine.held.clear();
    s.engine.held.set("b", { version: 1, ready: true });
    s.engine.startedAt = 2;
    await managedEngines.eventually(() => s.link.state?.instance === incarnation.idOf("i1", 2));
    expect(s.lost).include(incarnation.idOf("i1", 1));
    await managedEngines.eventually(() => s.link.holdings?.resident.includes("m/b") ?? false);
    expect(s.link.holdings?.resident).not.include("m/a");
    await clock.sleep(clock.system, 50);
    expect(await s.link.ask(managedEngines.seatRequest("a")).answer).include({ kind: "grant" });
    expect(s.engine.peakHeld).most(2);
  });

  it("is recognized as new when it begins to report its start time", async () => {
    const s = await managedEngines.start("i1", 2);
    s.engine.startedAt = 7;
    await managedEngines.eventually(() => s.link.state?.instance === incarnation.idOf("i1", 7));
    expect(await s.link.ask(managedEngines.seatRequest("a")).answer).include({ kind: "grant" });
  });
});

describe("an entry daemon", () => {
  it("uses a restarted worker once its entry and its endpoint daemon name the same start time", async () => {
    const [old, next] = [incarnation.idOf("w", 1), incarnation.idOf("w", 2)];
    const daemon = await fakeEndpointDaemon.open(
      fakeEndpointDaemon.state(old),
      fakeEndpointDaemon.holdings("m/a"),
    );
    let at: catalog.Catalog = { ...catalog.EMPTY, config: managedEngines.configOf(2) };
    const made = dispatcherFixture.create(
      () => at,
      () => daemon.address,
    );
    const service = at.config?.services.get(fixtures.SERVICE.name) ?? fixtures.SERVICE;
    const need = { model: "m", key: "m/a", promptTokens: 100, rank: 1, domain: "d1" };
    const usable = (): readonly string[] =>
      choice
        .rankEngines(made.known.views(service), { ...need, tried: new Set(), targetMs: 1000 })
        .map((e) => `${e.view.endpoint.id} ${choice.adapterState(e.view, need.key)}`);
    let lost = 0;
    try {
      at = catalog.applyUpdate(at, entry(1));
      made.known.refresh();
      made.known.watch(old, () => lost++);
      await managedEngines.eventually(() => usable().includes(`${old} resident`));
      // The endpoint daemon reports the new incarnation before the store does.
      daemon.tell(fakeEndpointDaemon.state(next), fakeEndpointDaemon.holdings());
      await managedEngines.eventually(() => lost === 1);
      expect(usable()).deep.equal([]);
      at = catalog.applyUpdate(at, entry(2));
      expect(usable()).deep.equal([`${next} absent`]);
      // Late updates of the old incarnation, from the store and from its endpoint daemon.
      at = catalog.applyUpdate(at, entry(1, true));
      expect(usable()).deep.equal([`${next} absent`]);
      daemon.tell(fakeEndpointDaemon.state(old));
      await managedEngines.eventually(() => usable().length === 0);
      daemon.tell(fakeEndpointDaemon.state(next), fakeEndpointDaemon.holdings());
      await managedEngines.eventually(() => usable().includes(`${next} absent`));
    } finally {
      made.close();
      daemon.close();
    }
  });

  /** Serves a stream by a worker whose daemon gives `reply` to a request for a seat; returns how many requests reached it. */
  async function runsAfter(reply: (daemon: FakeDaemon) => void): Promise<number> {
    let runs = 0;
    const worker = await fixtures.worker((_req, res) => {
      runs++;
      res.writeHead(200, fixtures.good());
      res.end("id: 1\ndata: x\n\n");
    });
    const id = incarnation.idOf("i1", 1);
    const daemon = await fakeEndpointDaemon.open(
      fakeEndpointDaemon.state(id),
      fakeEndpointDaemon.holdings("m/a"),
    );
    const { at, service } = managedEngines.catalogOf([fixtures.endpoint(id, worker.address)]);
    const origins = {
      isOnlyOne: () => false,
      mayBegin: () => true,
      begun: () => undefined,
      ended: () => undefined,
      find: () => Promise.resolve(fixtures.UNKNOWN_ORIGIN),
    };
    const made = dispatcherFixture.create(
      at,
      () => daemon.address,
      undefined,
      undefined,
      undefined,
      undefined,
      { origins },
    );
    try {
      made.known.refresh();
      await managedEngines.eventually(() =>
        made.known.views(service).every((v) => v.holdings !== undefined),
      );
      const route = { ...fixtures.ROUTE, kind: "stream", resumable: true } as const;
      const served = made.dispatcher.serve(
        dispatcherFixture.streamRequest(service, route, 3000),
        dispatcherFixture.recorded().response,
      );
      await managedEngines.eventually(() => daemon.heard.includes("ask"));
      reply(daemon);
      await served;
    } finally {
      made.close();
      daemon.close();
      worker.close();
    }
    return runs;
  }

  it("sends nothing to a worker whose seat another start gave", async () => {
    const grant = (instance: string) => (d: FakeDaemon) => {
      d.tell({ kind: "grant", seat: 0, instance });
    };
    expect(await runsAfter(grant(incarnation.idOf("i1", 1)))).equal(1);
    expect(await runsAfter(grant(incarnation.idOf("i1", 2)))).equal(0);
  });

  it("sends no stream without a seat where the worker may have started again with other software", async () => {
    expect(
      await runsAfter((d) => {
        d.close();
      }),
    ).equal(0);
  });
});

type FakeDaemon = Awaited<ReturnType<typeof fakeEndpointDaemon.open>>;
