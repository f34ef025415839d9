import * as chai from "chai";
import * as catalog from "../../src/serving/catalog.js";
import type * as link from "../../src/serving/link.js";
import * as dispatcherFixture from "./dispatcher-fixture.js";
import * as managedEngines from "./managed-engines.js";
import * as fixtures from "./fixtures.js";
import * as links from "./links.js";
import * as fakeEndpointDaemon from "./fake-endpoint-daemon.js";

const { expect } = chai;

const ROUTE: catalog.Route = { ...fixtures.ROUTE, kind: "stream", targetMs: 2000, timeoutMs: 4000 };

describe("a waiting request", () => {
  afterEach(managedEngines.endAll);

  it("moves to an engine that would take it sooner", async () => {
    const sites = [await managedEngines.start("i1", 1), await managedEngines.start("i2", 1)];
    const workers = await Promise.all(
      sites.map(() =>
        fixtures.worker((_req, res) => {
          res.writeHead(200, fixtures.good());
          res.end("id: 1\ndata: x\n\n");
        }),
      ),
    );
    const list = workers.map((w, i) => fixtures.endpoint(`i${i + 1}`, w.address));
    const { at, service } = managedEngines.catalogOf(list);
    // Requests of another host occupy the only slot of each engine.
    const others = sites.map((s) => s.link.ask(managedEngines.seatRequest("other")));
    await Promise.all(others.map((o) => o.answer));
    const made = dispatcherFixture.create(at, (e) => sites[list.indexOf(e)]?.address ?? "");
    made.known.refresh();
    await managedEngines.eventually(() =>
      made.known.views(service).every((v) => v.state !== undefined),
    );
    const { response, seen } = dispatcherFixture.recorded();
    const served = made.dispatcher.serve(
      dispatcherFixture.streamRequest(service, ROUTE, 4000),
      response,
    );
    await managedEngines.eventually(() => sites.some((s) => s.engineManager.seatCount() === 2));
    // The slot of the engine where the request does not wait becomes free.
    const freeIndex = sites.findIndex((s) => s.engineManager.seatCount() === 1);
    others[freeIndex]?.release("whole");
    await served;
    expect(seen).deep.equal(["begin 200", "end"]);
    expect([...(sites[freeIndex]?.engine.held.keys() ?? [])]).deep.equal(["a"]);
    made.close();
    for (const w of workers) w.close();
  });
});

describe("a request that has waited too long for a seat", () => {
  afterEach(managedEngines.endAll);

  it("is refused once, and asks no further engines", async () => {
    const sites = await Promise.all(
      ["i1", "i2", "i3", "i4", "i5"].map((i) => managedEngines.start(i, 1)),
    );
    const list = sites.map((s, i) => fixtures.endpoint(`i${i + 1}`, s.address));
    const { at, service } = managedEngines.catalogOf(list);
    const others = sites.map((s) => s.link.ask(managedEngines.seatRequest("other")));
    await Promise.all(others.map((o) => o.answer));
    let asks = 0;
    for (const { engineManager } of sites) {
      const ask = engineManager.ask.bind(engineManager);
      engineManager.ask = (...args) => {
        asks++;
        ask(...args);
      };
    }
    const made = dispatcherFixture.create(at);
    made.known.refresh();
    await managedEngines.eventually(() =>
      made.known.views(service).every((v) => v.state !== undefined),
    );
    const refused: (number | undefined)[] = [];
    const began = performance.now();
    await made.dispatcher.serve(
      fixtures.request({
        route: { ...ROUTE, targetMs: 800, timeoutMs: 1000 },
        service,
        meta: {
          id: "r1",
          waitMs: 1000,
          target: { model: "m", adapter: "a" },
          promptTokens: 100,
          answerTokens: 10,
          parts: [],
        },
      }),
      {
        disconnected: new AbortController().signal,
        writeHead: () => undefined,
        write: () => undefined,
        end: () => undefined,
        abort: () => undefined,
        sendWhole: () => undefined,
        refuse: (status) => refused.push(status),
      },
    );
    const tookMs = performance.now() - began;
    made.close();
    expect(refused).deep.equal([503]);
    expect(tookMs).below(900);
    // Two engines may turn it away, one queues it, and a comparison with other engines may move it once.
    expect(asks).most(4);
  });
});

describe("a link", () => {
  afterEach(managedEngines.endAll);

  it("drops the state but keeps the holdings of a daemon that is disconnected", async () => {
    const s = await managedEngines.start("i1", 2);
    const seat: link.PendingSeat = s.link.ask(managedEngines.seatRequest("a"));
    await seat.answer;
    await managedEngines.eventually(() => s.link.holdings?.resident.includes("m/a") ?? false);
    s.closeDoor();
    await managedEngines.eventually(() => s.link.state === undefined);
    expect(s.link.holdings?.resident).deep.equal(["m/a"]);
  });

  /*
   * Guards against seats that are never released. An endpoint daemon is suspended (for 0.45 s, say) while seat requests
   * are pending. The entry daemon times out and sends the requests without seats. When the endpoint daemon resumes, it
   * grants the seats, which nobody uses or releases. The adapter's slot then counts as in use for good: the adapter can
   * be neither unloaded nor given out, and requests for it are denied as "full" until the daemons restart.
   */
  it("withdraws a seat request that the endpoint daemon did not answer in time", async () => {
    const daemon = await fakeEndpointDaemon.open(
      fakeEndpointDaemon.state("i1"),
      fakeEndpointDaemon.holdings(),
    );
    const { made } = links.open(daemon.address);
    try {
      await managedEngines.eventually(() => made.state !== undefined);
      const asked = made.ask(managedEngines.seatRequest("a"));
      expect(await asked.answer).deep.equal({ kind: "unreachable" });
      await managedEngines.eventually(() => daemon.heard.includes("over"));
      expect(daemon.heard).deep.equal(["hello", "ask", "over"]);
    } finally {
      made.close();
      daemon.close();
    }
  });
});
