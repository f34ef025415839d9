import * as net from "node:net";
import * as chai from "chai";
import * as addresses from "../../src/host/address.js";
import * as catalog from "../../src/serving/catalog.js";
import type * as seat from "../../src/serving/seat.js";
import * as dispatching from "./dispatching.js";
import * as engines from "./engines.js";
import * as fixtures from "./fixtures.js";

const { expect } = chai;

const ADAPTER = "m/a";

/** An endpoint daemon that tells of its engine once, and answers no question. */
async function mute(instance: string) {
  let asked = 0;
  const sockets = new Set<net.Socket>();
  const state = { ...fixtures.STATE, instance, silenceMs: 10_000 };
  const holdings: seat.Holdings = {
    kind: "holdings",
    models: ["m"],
    resident: [ADAPTER],
    gone: [],
    reach: 0,
  };
  const server = net.createServer((socket) => {
    sockets.add(socket);
    socket.on("data", (part: Buffer) => {
      if (part.toString().includes('"kind":"ask"')) asked++;
    });
    socket.on("error", () => socket.destroy());
    socket.write(`${JSON.stringify(state)}\n${JSON.stringify(holdings)}\n`);
  });
  const address = await addresses.listen(server, "127.0.0.1:0");
  const close = (): void => {
    server.close();
    for (const s of sockets) s.destroy();
  };
  return { address, asked: () => asked, close };
}

/** What ends the parts of the test at hand, also when it fails. */
const ends: (() => void)[] = [];

describe("a leaving endpoint", () => {
  afterEach(() => {
    for (const end of ends.splice(0)) end();
  });

  /*
   * What users saw: a request was sent to an engine that had said that it leaves. A request waits for a seat;
   * the engine says that it leaves, and its endpoint daemon, which goes with it, falls silent. A request is
   * sent without a seat to an engine that held its adapter when its daemon was last heard, and there alone
   * nobody asked whether the engine leaves meanwhile. Evidence: this test, in which the engine got it.
   */
  it("gets no request that waited for a seat while its daemon fell silent", async () => {
    let runs = 0;
    const worker = await fixtures.worker((_req, res) => {
      runs++;
      res.writeHead(200, fixtures.good());
      res.end("id: 1\ndata: x\n\n");
    });
    const daemon = await mute("i1");
    const endpoint = fixtures.endpoint("i1", worker.address);
    let at: catalog.Catalog = {
      ...catalog.EMPTY,
      config: engines.configOf(1),
      endpoints: new Map([[endpoint.id, endpoint]]),
    };
    const made = dispatching.open(
      () => at,
      () => daemon.address,
    );
    ends.push(made.close, worker.close, daemon.close);
    made.known.refresh();
    const service = at.config?.services.get(fixtures.SERVICE.name) ?? fixtures.SERVICE;
    await engines.until(() => made.known.views(service).every((v) => v.holdings !== undefined));
    const route: catalog.Route = {
      ...fixtures.ROUTE,
      kind: "stream",
      targetMs: 1000,
      timeoutMs: 1500,
    };
    const { outlet, seen } = dispatching.recorded();
    const served = made.dispatcher.serve(dispatching.streamed(service, route, 1500), outlet);
    await engines.until(() => daemon.asked() > 0);
    at = catalog.step(at, { kind: "endpoint", endpoint: { ...endpoint, leaving: true } });
    await served;
    expect(runs).equal(0);
    expect(seen).deep.equal(["refuse 503"]);
  });
});
