import type * as http from "node:http";
import * as timers from "node:timers/promises";
import * as chai from "chai";
import * as clock from "../../../src/host/clock.js";
import type * as catalog from "../../../src/serving/catalog.js";
import * as declared from "../../../src/serving/versions/declared.js";
import * as dispatcherFixture from "../dispatcher-fixture.js";
import * as fakeEndpointDaemon from "../fake-endpoint-daemon.js";
import * as fixtures from "../fixtures.js";
import * as managedEngines from "../managed-engines.js";

const { expect } = chai;

const NO_RETRIES = { ratio: 0, slack: 0, windowMs: 10_000 };
const WAIT_MS = 2500;
const VERSION_LIMITS = { sendMs: 500, beginMs: 800 };
const EVENT = "id: 1\ndata: x\n\n";

/** What a stream met that was sent without a seat to an engine with version 1, whose daemon is away. */
interface Result {
  readonly seen: readonly string[];
  /** Versions that the engine was told to expect. */
  readonly versions: readonly unknown[];
  /** Milliseconds from the arrival at the engine to the close of its connection. */
  readonly closedMs: number;
}

/** Serves a stream of which the engine sends `answer`; `late` is a version that is declared meanwhile. */
async function serve(
  answer: (res: http.ServerResponse) => void,
  versions: readonly declared.Declared[],
  late?: number,
): Promise<Result> {
  const received: http.IncomingHttpHeaders[] = [];
  let closedMs = Infinity;
  const worker = await fixtures.worker((req, res) => {
    const at = performance.now();
    received.push(req.headers);
    res.once("close", () => (closedMs = performance.now() - at));
    res.writeHead(200, fixtures.good());
    res.flushHeaders();
    answer(res);
  });
  const held = { ...fakeEndpointDaemon.holdings("m/a"), versions: [1] };
  const daemon = await fakeEndpointDaemon.open(fakeEndpointDaemon.state("i1"), held);
  const { at, service } = managedEngines.catalogOf([fixtures.endpoint("i1", worker.address)]);
  let current = { ...at, versions: new Map(versions.map((v) => ["m/a", v])) };
  const setup = dispatcherFixture.create(
    () => current,
    () => daemon.address,
    clock.system,
    fixtures.WIRE,
    () => ({ kind: "open" }),
    NO_RETRIES,
    { versionLimits: VERSION_LIMITS },
  );
  const isSeen = (view: "holdings" | "state", is: boolean): Promise<void> =>
    managedEngines.eventually(() =>
      setup.known.views(service).every((v) => (v[view] !== undefined) === is),
    );
  try {
    setup.known.refresh();
    await isSeen("holdings", true);
    daemon.close();
    await isSeen("state", false);
    const { response, seen } = dispatcherFixture.recorded();
    const route: catalog.Route = { ...fixtures.ROUTE, kind: "stream", attempts: 1 };
    const req = dispatcherFixture.streamRequest(service, route, WAIT_MS);
    const served = setup.dispatcher.serve(req, response);
    await timers.setTimeout(100);
    const newer = late && declared.declare(undefined, late, clock.system.mono());
    if (newer) current = { ...current, versions: new Map([["m/a", newer]]) };
    await served;
    await timers.setTimeout(50);
    return { seen, versions: received.map((h) => h["test-version"]), closedMs };
  } finally {
    setup.close();
    worker.close();
  }
}

describe("a request without a seat", () => {
  const end = (res: http.ServerResponse): unknown => res.end(EVENT);

  it("names the version of the engine where its daemon is away", async () => {
    expect((await serve(end, [])).versions).deep.equal(["1"]);
  });

  it("is refused where that version is outdated", async () => {
    const known = declared.declare(undefined, 2, clock.system.mono() - 10_000);
    const { seen, versions } = await serve(end, known ? [known] : []);
    expect(versions).deep.equal([]);
    expect(seen[0]).match(/503/);
  });
});

describe("a request with a seat on an outdated version", () => {
  it("is not sent, whatever its endpoint daemon granted", async () => {
    let arrivals = 0;
    const worker = await fixtures.worker((_req, res) => {
      arrivals++;
      res.writeHead(200, fixtures.good());
      res.end(EVENT);
    });
    const held = { ...fakeEndpointDaemon.holdings("m/a"), versions: [1] };
    const daemon = await fakeEndpointDaemon.open(fakeEndpointDaemon.state("i1"), held);
    const { at, service } = managedEngines.catalogOf([fixtures.endpoint("i1", worker.address)]);
    const known = declared.declare(undefined, 2, -Infinity);
    const setup = dispatcherFixture.create(
      { ...at, versions: new Map(known ? [["m/a", known]] : []) },
      () => daemon.address,
    );
    const { response, seen } = dispatcherFixture.recorded();
    const route: catalog.Route = { ...fixtures.ROUTE, kind: "stream" };
    setup.known.refresh();
    await managedEngines.eventually(() =>
      setup.known.views(service).every((v) => v.state !== undefined),
    );
    const served = setup.dispatcher.serve(
      dispatcherFixture.streamRequest(service, route, 1000),
      response,
    );
    await managedEngines.eventually(() => daemon.heard.includes("ask"));
    daemon.tell({ kind: "grant", seat: 0, instance: "i1", version: 1 });
    await served;
    setup.close();
    daemon.close();
    worker.close();
    expect(arrivals).equal(0);
    expect(seen[0]).match(/503/);
  });
});

describe("a request that was sent before a newer version was declared", () => {
  it("is broken off if nothing but the head and a comment has come in time", async () => {
    for (const comment of ["", ": waiting\n\n"]) {
      const write = (res: http.ServerResponse): unknown => comment && res.write(comment);
      expect((await serve(write, [], 2)).closedMs).within(600, 1500);
    }
  }).timeout(10_000);

  it("is left alone once it has begun", async () => {
    const begin = (res: http.ServerResponse): void => {
      res.write(EVENT);
      setTimeout(() => res.end(EVENT), 1500);
    };
    expect((await serve(begin, [], 2)).seen.at(-1)).equal("end");
  });
});

describe("a call to a plain service", () => {
  it("is sent where its headers name an outdated adapter", async () => {
    const worker = await fixtures.worker((_req, res) => {
      res.writeHead(200, fixtures.good());
      res.end("whole");
    });
    const known = declared.declare(undefined, 2, -Infinity);
    const { at } = managedEngines.catalogOf([fixtures.endpoint("i1", worker.address)]);
    const setup = dispatcherFixture.create({
      ...at,
      versions: new Map(known ? [["m/a", known]] : []),
    });
    const { response, seen } = dispatcherFixture.recorded();
    const req = dispatcherFixture.streamRequest(fixtures.SERVICE, fixtures.ROUTE, WAIT_MS);
    await setup.dispatcher.serve(req, response);
    setup.close();
    worker.close();
    expect(seen).deep.equal(["answer 200"]);
  });
});
