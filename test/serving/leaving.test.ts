import * as timers from "node:timers/promises";
import * as chai from "chai";
import type * as callerRequest from "../../src/serving/caller-request.js";
import * as catalog from "../../src/serving/catalog.js";
import * as incarnation from "../../src/serving/incarnation.js";
import type * as noticeMessages from "../../src/serving/notice-messages.js";
import * as dispatcherFixture from "./dispatcher-fixture.js";
import * as managedEngines from "./managed-engines.js";
import * as fixtures from "./fixtures.js";
import * as waitingStream from "./waiting-stream.js";

const { expect } = chai;

/** Cleanup functions of the current test, run even when it fails. */
const cleanups: (() => void)[] = [];

/**
 * A plain worker that announces that it is leaving while a test wants it to, and counts the
 * requests it receives.
 */
async function worker() {
  const seen = { leaving: false, arrivals: 0 };
  const made = await fixtures.worker((req, res) => {
    seen.arrivals++;
    const said = seen.leaving ? { "test-leaving": "1" } : {};
    res.writeHead(200, { ...fixtures.good(String(req.headers["test-id"])), ...said });
    res.end("whole");
  });
  cleanups.push(made.close);
  return { seen, address: made.address };
}

/** A dispatcher over the plain workers given. */
function open(list: readonly catalog.Endpoint[]) {
  const config: catalog.Update = { kind: "config", config: fixtures.CONFIG };
  const entries = list.map((endpoint) => ({ kind: "endpoint", endpoint }) as const);
  let at = catalog.applyUpdates(catalog.EMPTY, [config, ...entries]).updated;
  const made = dispatcherFixture.create(() => at);
  cleanups.push(made.close);
  let count = 0;
  const serve = async (): Promise<readonly string[]> => {
    const id = `r${count++}`;
    const { response, seen } = dispatcherFixture.recorded();
    const meta: callerRequest.Meta = {
      id,
      waitMs: 1000,
      promptTokens: 0,
      answerTokens: 0,
      parts: [],
    };
    await made.dispatcher.serve(fixtures.request({ meta, headers: { "test-id": id } }), response);
    return seen;
  };
  return {
    ...made,
    serve,
    register: (endpoint: catalog.Endpoint) => {
      at = catalog.applyUpdate(at, { kind: "endpoint", endpoint });
    },
  };
}

const leaving = (id: string): noticeMessages.Notice => ({
  kind: "notice",
  worker: id,
  leaving: true,
});

describe("a leaving endpoint", () => {
  afterEach(() => {
    waitingStream.closeAll();
    managedEngines.endAll();
    for (const cleanup of cleanups.splice(0)) cleanup();
  });

  /*
   * A request was sent to an engine that had announced that it is leaving: the request waits for a
   * seat; the engine announces that it is leaving, and its endpoint daemon, which ends with it,
   * falls silent. A request is sent without a seat to an engine that held its adapter when its
   * daemon was last heard; that path alone did not check whether the engine is leaving.
   */
  it("gets no request that waited for a seat while its daemon fell silent", async () => {
    const waits = await waitingStream.begin({ route: { targetMs: 1000, timeoutMs: 1500 } });
    waits.change({ kind: "endpoint", endpoint: { ...waits.endpoint, leaving: true } });
    const { runs, seen } = await waits.ended();
    expect(runs).equal(0);
    expect(seen).deep.equal(["refuse 503"]);
  });

  it("gets nothing more once an answer has announced it, whatever later answers and the store say", async () => {
    const [a, b] = [await worker(), await worker()];
    const first = fixtures.endpoint(incarnation.idOf("w1", 1), a.address);
    const made = open([first, fixtures.endpoint("w2", b.address)]);
    a.seen.leaving = true;
    while (a.seen.arrivals === 0) await made.serve();
    a.seen.leaving = false;
    made.register({ ...first, seats: 8 });
    for (let n = 0; n < 30; n++) expect(await made.serve()).deep.equal(["answer 200"]);
    expect(a.seen.arrivals).equal(1);
  });

  it("is used at once when it has restarted under the same name", async () => {
    const a = await worker();
    const first = fixtures.endpoint(incarnation.idOf("w1", 1), a.address);
    const made = open([first]);
    a.seen.leaving = true;
    await made.serve();
    expect(await made.serve()).deep.equal(["refuse 503"]);
    a.seen.leaving = false;
    made.register({ ...first, id: incarnation.idOf("w1", 2) });
    expect(await made.serve()).deep.equal(["answer 200"]);
  });

  it("gets nothing once another host has reported that it leaves, even before it is registered", async () => {
    const [a, b] = [await worker(), await worker()];
    const made = open([fixtures.endpoint("w2", b.address)]);
    made.notices.merge(leaving("w1"), "10.0.0.9:1");
    made.register(fixtures.endpoint("w1", a.address));
    for (let n = 0; n < 20; n++) await made.serve();
    expect([a.seen.arrivals, b.seen.arrivals]).deep.equal([0, 20]);
  });

  it("is abandoned at once by a request that waits for a seat there", async () => {
    const waits = await waitingStream.begin({ route: { targetMs: 1000, timeoutMs: 1500 } });
    const began = performance.now();
    waits.notices.merge(leaving(waits.endpoint.id), "10.0.0.9:1");
    await managedEngines.eventually(() => waits.daemon.heard.includes("over"));
    expect(performance.now() - began).below(100);
    expect(await waits.ended()).include({ runs: 0 });
  });

  it("finishes the requests that it is running", async () => {
    const slow = await fixtures.worker((req, res) => {
      setTimeout(() => {
        res.writeHead(200, fixtures.good(String(req.headers["test-id"])));
        res.end("whole");
      }, 200);
    });
    cleanups.push(slow.close);
    const made = open([fixtures.endpoint("w1", slow.address)]);
    const served = made.serve();
    await timers.setTimeout(50);
    made.notices.merge(leaving("w1"), "10.0.0.9:1");
    expect(await served).deep.equal(["answer 200"]);
  });
});

describe("an endpoint daemon whose engine leaves", () => {
  afterEach(managedEngines.endAll);

  it("grants no more seats, sends no more orders, and tells entry daemons", async () => {
    const s = await managedEngines.start("i1", 1);
    const held = s.link.ask(managedEngines.seatRequest("a"));
    await held.answer;
    const waits = s.link.ask(managedEngines.seatRequest("b"));
    s.engine.notice = { ...s.engine.notice, leaving: { kind: "said", value: true } };
    expect(await waits.answer).deep.equal({ kind: "deny", reason: "leaving" });
    const late = s.link.ask(managedEngines.seatRequest("c"));
    expect(await late.answer).deep.equal({ kind: "deny", reason: "leaving" });
    held.release("whole");
    await timers.setTimeout(100);
    expect(s.engine.orders).deep.equal(["load a"]);
    expect(s.told).deep.equal([leaving("i1")]);
  });

  it("learns so from entry daemons as well", async () => {
    const s = await managedEngines.start("i1", 1);
    s.link.send(leaving("i1"));
    await managedEngines.eventually(() => s.notices.isLeaving("i1"));
    expect(await s.link.ask(managedEngines.seatRequest("a")).answer).deep.equal({
      kind: "deny",
      reason: "leaving",
    });
    expect(s.engine.orders).deep.equal([]);
  });
});
