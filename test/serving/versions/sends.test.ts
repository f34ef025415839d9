import type * as http from "node:http";
import * as timers from "node:timers/promises";
import * as chai from "chai";
import * as clock from "../../../src/host/clock.js";
import type * as catalog from "../../../src/serving/catalog.js";
import type * as dispatch from "../../../src/serving/dispatch.js";
import type * as presence from "../../../src/serving/overload/presence.js";
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

interface Setup {
  /** Id of the engine. */
  readonly id: string;
  readonly route: Partial<catalog.Route>;
  readonly origins: dispatch.Deps["origins"];
}

/** A host before one engine; `held` is the version in it by its endpoint daemon. */
async function openHost(
  answer: (res: http.ServerResponse) => void,
  held: number,
  declaredFirst: declared.Declared | undefined,
  { id = "i1", route: over, origins }: Partial<Setup> = {},
) {
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
  const holdings = { ...fakeEndpointDaemon.holdings("m/a"), versions: [held] };
  const daemon = await fakeEndpointDaemon.open(fakeEndpointDaemon.state(id), holdings);
  const { at, service } = managedEngines.catalogOf([fixtures.endpoint(id, worker.address)]);
  let current: catalog.Catalog = at;
  const declare = (known: declared.Declared | undefined): void => {
    current = { ...at, versions: new Map(known && [["m/a", known]]) };
  };
  declare(declaredFirst);
  const setup = dispatcherFixture.create(
    () => current,
    () => daemon.address,
    clock.system,
    fixtures.WIRE,
    () => ({ kind: "open" }),
    NO_RETRIES,
    { versionLimits: VERSION_LIMITS, ...(origins && { origins }) },
  );
  const isSeen = (view: "holdings" | "state", is: boolean): Promise<void> =>
    managedEngines.eventually(() =>
      setup.known.views(service).every((v) => (v[view] !== undefined) === is),
    );
  setup.known.refresh();
  await isSeen("holdings", true);
  const { response, seen } = dispatcherFixture.recorded();
  const route: catalog.Route = { ...fixtures.ROUTE, kind: "stream", attempts: 1, ...over };
  return {
    daemon,
    declare,
    seen,
    /** Ends the endpoint daemon, and resolves once the host knows. */
    endDaemon: (): Promise<void> => {
      daemon.close();
      return isSeen("state", false);
    },
    serve: (presence?: presence.Presence): Promise<boolean> =>
      setup.dispatcher.serve(dispatcherFixture.streamRequest(service, route, WAIT_MS), {
        ...response,
        presence,
      }),
    /** Versions that the engine was told to expect. */
    versions: (): readonly unknown[] => received.map((h) => h["test-version"]),
    /** Milliseconds from the arrival at the engine to the close of its connection. */
    closedMs: (): number => closedMs,
    close: (): void => {
      setup.close();
      daemon.close();
      worker.close();
    },
  };
}

/** Serves a stream without a seat at an engine with version 1, while `late` is declared. */
async function serveWithoutSeat(
  answer: (res: http.ServerResponse) => void,
  known?: declared.Declared,
  late?: number,
) {
  const host = await openHost(answer, 1, known);
  try {
    await host.endDaemon();
    const served = host.serve();
    await timers.setTimeout(100);
    if (late !== undefined) host.declare(declared.declare(known, late, clock.system.mono()));
    await served;
    await timers.setTimeout(50);
    return { seen: host.seen, versions: host.versions(), closedMs: host.closedMs() };
  } finally {
    host.close();
  }
}

describe("a request without a seat", () => {
  const end = (res: http.ServerResponse): unknown => res.end(EVENT);

  it("names the version of the engine where its daemon is away", async () => {
    expect((await serveWithoutSeat(end)).versions).deep.equal(["1"]);
  });

  it("is refused where that version is outdated", async () => {
    const known = declared.declare(undefined, 2, clock.system.mono() - 10_000);
    const { seen, versions } = await serveWithoutSeat(end, known);
    expect(versions).deep.equal([]);
    expect(seen[0]).match(/503/);
  });
});

describe("a resumable stream that waits to be sent", () => {
  const end = (res: http.ServerResponse): unknown => res.end(EVENT);

  /** Serves one without a seat at an engine that keeps its name, while `change` changes what its host knows of the software. */
  async function serveWhile(change: (known: { isOnlyOne: boolean; mayBegin: boolean }) => void) {
    const known = { isOnlyOne: true, mayBegin: true };
    const origins: dispatch.Deps["origins"] = {
      isOnlyOne: () => known.isOnlyOne,
      mayBegin: () => known.mayBegin,
      begun: () => undefined,
      ended: () => undefined,
      find: () => Promise.resolve(fixtures.UNKNOWN_ORIGIN),
    };
    const setup = { id: "i1#7", route: { resumable: true }, origins };
    const host = await openHost(end, 1, undefined, setup);
    let waits = true;
    const caller: presence.Presence = {
      hasLeft: () => false,
      isBehind: () => false,
      isStale: () => waits,
      confirm: () => {
        waits = false;
        change(known);
        return Promise.resolve();
      },
    };
    try {
      await host.endDaemon();
      await host.serve(caller);
      return { runs: host.versions().length, seen: host.seen };
    } finally {
      host.close();
    }
  }

  it("is not sent on a software version that is no longer listed", async () => {
    const { runs, seen } = await serveWhile((known) => (known.mayBegin = false));
    expect(runs).equal(0);
    expect(seen).deep.equal(["refuse 503"]);
  });

  it("is not sent without a seat where another software version may run by now", async () => {
    const { runs, seen } = await serveWhile((known) => (known.isOnlyOne = false));
    expect(runs).equal(0);
    expect(seen).deep.equal(["refuse 503"]);
  });

  it("is sent if nothing has changed", async () => {
    expect((await serveWhile(() => undefined)).runs).equal(1);
  });
});

describe("a request with a seat on an outdated version", () => {
  it("is not sent, whatever its endpoint daemon granted", async () => {
    const known = declared.declare(undefined, 2, -Infinity);
    const host = await openHost((res) => res.end(EVENT), 1, known);
    try {
      const served = host.serve();
      await managedEngines.eventually(() => host.daemon.heard.includes("ask"));
      host.daemon.tell({ kind: "grant", seat: 0, instance: "i1", version: 1 });
      await served;
      expect(host.versions()).deep.equal([]);
      expect(host.seen[0]).match(/503/);
    } finally {
      host.close();
    }
  }).timeout(5000);
});

describe("a request that was sent before a newer version was declared", () => {
  it("is broken off if nothing but the head and a comment has come in time", async () => {
    for (const comment of ["", ": waiting\n\n"]) {
      const write = (res: http.ServerResponse): unknown => comment && res.write(comment);
      expect((await serveWithoutSeat(write, undefined, 2)).closedMs).within(600, 1500);
    }
  }).timeout(10_000);

  it("is left alone once it has begun", async () => {
    const begin = (res: http.ServerResponse): void => {
      res.write(EVENT);
      setTimeout(() => res.end(EVENT), 1500);
    };
    expect((await serveWithoutSeat(begin, undefined, 2)).seen.at(-1)).equal("end");
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
