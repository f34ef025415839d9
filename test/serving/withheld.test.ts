import * as timers from "node:timers/promises";
import * as chai from "chai";
import type * as ask from "../../src/serving/ask.js";
import type * as authentication from "../../src/serving/authentication.js";
import * as catalog from "../../src/serving/catalog.js";
import * as dispatching from "./dispatching.js";
import * as fixtures from "./fixtures.js";

const { expect } = chai;

/** A service to whose workers each host keeps two connections. */
const SERVICE: catalog.Service = { ...fixtures.SERVICE, connections: 16 };
const CONNECTIONS = 2;
/** Milliseconds that a worker takes. */
const WORK_MS = 300;
/** Milliseconds after which a request waits for a connection. */
const BY_NOW_MS = 50;

/** What ends the parts of the test at hand, also when it fails. */
const ends: (() => void)[] = [];

/** A worker that takes its time, and counts what arrives. */
async function slow(id: string) {
  const seen = { arrivals: 0 };
  const worker = await fixtures.worker((req, res) => {
    seen.arrivals++;
    setTimeout(() => {
      res.writeHead(200, fixtures.good(String(req.headers["test-id"])));
      res.end("whole");
    }, WORK_MS);
  });
  ends.push(worker.close);
  return { seen, endpoint: fixtures.endpoint(id, worker.address) };
}

/** A worker to which all connections are in use, and one more request that waits for one. */
async function waiting() {
  const first = await slow("w1");
  let at = catalog.steps(catalog.EMPTY, [
    {
      kind: "config",
      config: { ...fixtures.CONFIG, services: new Map([[SERVICE.name, SERVICE]]) },
    },
    { kind: "endpoint", endpoint: first.endpoint },
  ]).at;
  let verdict: authentication.Verdict = { kind: "open" };
  const made = dispatching.open(
    () => at,
    undefined,
    undefined,
    undefined,
    () => verdict,
  );
  ends.push(made.close);
  const serve = (id: string, over: Partial<ask.Ask> = {}): Promise<readonly string[]> => {
    const { outlet, seen } = dispatching.recorded();
    const meta: ask.Meta = { id, waitMs: 1000, promptTokens: 0, answerTokens: 0, parts: [] };
    const headers = { "test-id": id };
    const a = fixtures.request({ service: SERVICE, meta, headers, ...over });
    return made.dispatcher.serve(a, outlet).then(() => seen);
  };
  const before = Array.from({ length: CONNECTIONS }, (_, n) => serve(`before${n}`));
  await timers.setTimeout(BY_NOW_MS);
  return {
    first,
    serve,
    /** Serves one that waits by now. */
    wait: async (id: string, over: Partial<ask.Ask> = {}) => {
      const end = serve(id, over);
      await timers.setTimeout(BY_NOW_MS);
      return { end };
    },
    step: (change: catalog.Step) => {
      at = catalog.step(at, change);
    },
    judge: (v: authentication.Verdict) => {
      verdict = v;
    },
    settled: () => Promise.all(before),
  };
}

describe("a request that waits for a connection", () => {
  afterEach(() => {
    for (const end of ends.splice(0)) end();
  });

  it("goes to another worker when the one that it waits for begins to leave", async () => {
    const site = await waiting();
    const { end } = await site.wait("r");
    const second = await slow("w2");
    site.step({ kind: "endpoint", endpoint: second.endpoint });
    site.step({ kind: "endpoint", endpoint: { ...site.first.endpoint, leaving: true } });
    expect(await end).deep.equal(["answer 200"]);
    expect([site.first.seen.arrivals, second.seen.arrivals]).deep.equal([CONNECTIONS, 1]);
  });

  it("is not sent once its key is taken away", async () => {
    const site = await waiting();
    const { end } = await site.wait("r");
    site.judge({ kind: "unknown", why: "the key is unknown" });
    expect(await end).deep.equal(["refuse 401"]);
    await site.settled();
    expect(site.first.seen.arrivals).equal(CONNECTIONS);
  });

  it("was not run where its time is over before there is one", async () => {
    const site = await waiting();
    const { end } = await site.wait("r", { dueAt: performance.now() + 100 });
    expect(await end).deep.equal(["refuse 503"]);
    await site.settled();
    expect(site.first.seen.arrivals).equal(CONNECTIONS);
  });

  it("leaves its connection to the next request where it is not sent", async () => {
    const site = await waiting();
    const { end } = await site.wait("r");
    site.judge({ kind: "unknown", why: "the key is unknown" });
    await end;
    site.judge({ kind: "open" });
    expect(await site.serve("next")).deep.equal(["answer 200"]);
    expect(site.first.seen.arrivals).equal(CONNECTIONS + 1);
  });
});
