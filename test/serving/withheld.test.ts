import * as timers from "node:timers/promises";
import * as chai from "chai";
import * as clock from "../../src/host/clock.js";
import type * as callerRequest from "../../src/serving/caller-request.js";
import type * as authentication from "../../src/serving/authentication.js";
import * as catalog from "../../src/serving/catalog.js";
import type * as protocol from "../../src/serving/protocol.js";
import * as dispatcherFixture from "./dispatcher-fixture.js";
import * as fixtures from "./fixtures.js";

const { expect } = chai;

/** A service whose `connections` let each host open two connections to a worker. */
const SERVICE: catalog.Service = { ...fixtures.SERVICE, connections: 16 };
const CONNECTIONS = 2;
/** Milliseconds that a worker takes to answer. */
const WORK_MS = 300;
/** Milliseconds after which a request is certain to be waiting for a connection. */
const SETTLE_MS = 50;

/** Closes what the current test has opened, even if it fails. */
const cleanups: (() => void)[] = [];

/** A worker that answers after a delay and counts the requests that arrive. */
async function slowWorker(id: string) {
  const seen = { arrivals: 0, toldMs: [] as number[], answeredAt: [] as number[] };
  const worker = await fixtures.worker((req, res) => {
    seen.arrivals++;
    seen.toldMs.push(Number(req.headers["test-left"]));
    setTimeout(() => {
      res.writeHead(200, fixtures.good(String(req.headers["test-id"])));
      res.end("whole");
      seen.answeredAt.push(performance.now());
    }, WORK_MS);
  });
  cleanups.push(worker.close);
  return { seen, endpoint: fixtures.endpoint(id, worker.address) };
}

/** Opens a dispatcher over a worker all of whose connections are in use, so that further requests wait for one. */
async function openWithBusyConnections() {
  const first = await slowWorker("w1");
  let current = catalog.applyUpdates(catalog.EMPTY, [
    {
      kind: "config",
      config: { ...fixtures.CONFIG, services: new Map([[SERVICE.name, SERVICE]]) },
    },
    { kind: "endpoint", endpoint: first.endpoint },
  ]).updated;
  let verdict: authentication.Verdict = { kind: "open" };
  const setup = dispatcherFixture.create(
    () => current,
    undefined,
    undefined,
    undefined,
    () => verdict,
  );
  cleanups.push(setup.close);
  const serve = (
    id: string,
    overrides: Partial<callerRequest.CallerRequest> = {},
  ): Promise<readonly string[]> => {
    const { response, seen } = dispatcherFixture.recorded();
    const meta: callerRequest.Meta = {
      id,
      waitMs: 1000,
      promptTokens: 0,
      answerTokens: 0,
      parts: [],
    };
    const headers = { "test-id": id };
    const req = fixtures.request({ service: SERVICE, meta, headers, ...overrides });
    return setup.dispatcher.serve(req, response).then(() => seen);
  };
  const occupying = Array.from({ length: CONNECTIONS }, (_, n) => serve(`before${n}`));
  await timers.setTimeout(SETTLE_MS);
  return {
    first,
    serve,
    /** Serves a request; resolves when it waits for a connection. */
    wait: async (id: string, overrides: Partial<callerRequest.CallerRequest> = {}) => {
      const end = serve(id, overrides);
      await timers.setTimeout(SETTLE_MS);
      return { end };
    },
    step: (change: catalog.Update) => {
      current = catalog.applyUpdate(current, change);
    },
    judge: (v: authentication.Verdict) => {
      verdict = v;
    },
    settled: () => Promise.all(occupying),
  };
}

describe("a request that waits for a connection", () => {
  afterEach(() => {
    for (const cleanup of cleanups.splice(0)) cleanup();
  });

  it("goes to another worker when the one that it waits for begins to leave", async () => {
    const setup = await openWithBusyConnections();
    const { end } = await setup.wait("r");
    const second = await slowWorker("w2");
    setup.step({ kind: "endpoint", endpoint: second.endpoint });
    setup.step({ kind: "endpoint", endpoint: { ...setup.first.endpoint, leaving: true } });
    expect(await end).deep.equal(["answer 200"]);
    expect([setup.first.seen.arrivals, second.seen.arrivals]).deep.equal([CONNECTIONS, 1]);
  });

  it("is not sent once its key is revoked", async () => {
    const setup = await openWithBusyConnections();
    const { end } = await setup.wait("r");
    setup.judge({ kind: "unknown", why: "the key is unknown" });
    expect(await end).deep.equal(["refuse 401"]);
    await setup.settled();
    expect(setup.first.seen.arrivals).equal(CONNECTIONS);
  });

  it("counts as not run if its deadline passes before there is one", async () => {
    const setup = await openWithBusyConnections();
    const { end } = await setup.wait("r", { dueAt: performance.now() + 100 });
    expect(await end).deep.equal(["refuse 503"]);
    await setup.settled();
    expect(setup.first.seen.arrivals).equal(CONNECTIONS);
  });

  it("is told the time left when it gets one, not when it began to wait", async () => {
    const setup = await openWithBusyConnections();
    const dueAt = performance.now() + 1000;
    const { end } = await setup.wait("r", { dueAt });
    expect(await end).deep.equal(["answer 200"]);
    const { toldMs, answeredAt } = setup.first.seen;
    expect(toldMs.at(-1)).within(1, dueAt - (answeredAt[0] ?? Infinity));
  });

  it("is told the time left again after a connection that was set up slowly", async () => {
    const worker = await slowWorker("w1");
    let connectMs = 0;
    const clk: clock.Clock = {
      ...clock.system,
      mono: () => clock.system.mono() + connectMs,
    };
    const wire: protocol.Protocol = {
      ...fixtures.WIRE,
      sendHeaders: (m) => {
        const told = fixtures.WIRE.sendHeaders(m);
        connectMs = 600;
        return told;
      },
    };
    const cfg = { ...fixtures.CONFIG, services: new Map([[SERVICE.name, SERVICE]]) };
    const current = catalog.applyUpdates(catalog.EMPTY, [
      { kind: "config", config: cfg },
      { kind: "endpoint", endpoint: worker.endpoint },
    ]).updated;
    const setup = dispatcherFixture.create(() => current, undefined, clk, wire);
    cleanups.push(setup.close);
    const { response, seen } = dispatcherFixture.recorded();
    const req = fixtures.request({ service: SERVICE, dueAt: clk.mono() + 1000 });
    await setup.dispatcher.serve(req, response);
    expect(seen).deep.equal(["answer 200"]);
    expect(worker.seen.toldMs).lengthOf(1);
    expect(worker.seen.toldMs[0]).within(1, 400);
  });

  it("leaves its connection to the next request if it is not sent", async () => {
    const setup = await openWithBusyConnections();
    const { end } = await setup.wait("r");
    setup.judge({ kind: "unknown", why: "the key is unknown" });
    await end;
    setup.judge({ kind: "open" });
    expect(await setup.serve("next")).deep.equal(["answer 200"]);
    expect(setup.first.seen.arrivals).equal(CONNECTIONS + 1);
  });
});
