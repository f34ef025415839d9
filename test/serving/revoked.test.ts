import * as chai from "chai";
import type * as authentication from "../../src/serving/authentication.js";
import * as clock from "../../src/host/clock.js";
import type * as catalog from "../../src/serving/catalog.js";
import * as dispatching from "./dispatching.js";
import * as engines from "./engines.js";
import * as fixtures from "./fixtures.js";
import * as telling from "./telling.js";

const { expect } = chai;

const ADAPTER = "m/a";
const WAIT_MS = 1500;

/** What ends the parts of the test at hand, also when it fails. */
const ends: (() => void)[] = [];

/** Serves a request whose key comes to stand as `later` says while it waits for a seat; what its caller is told. */
async function waiting(later: authentication.Verdict) {
  let runs = 0;
  const worker = await fixtures.worker((_req, res) => {
    runs++;
    res.writeHead(200, fixtures.good());
    res.end("id: 1\ndata: x\n\n");
  });
  const daemon = await telling.open(telling.state("i1"), telling.holdings(ADAPTER));
  const { at, service } = engines.known([fixtures.endpoint("i1", worker.address)]);
  let verdict: authentication.Verdict = { kind: "team", team: { name: "news" } };
  const made = dispatching.open(
    at,
    () => daemon.address,
    clock.system,
    fixtures.WIRE,
    () => verdict,
  );
  ends.push(made.close, worker.close, daemon.close);
  made.known.refresh();
  await engines.until(() => made.known.views(service).every((v) => v.holdings !== undefined));
  const route: catalog.Route = { ...fixtures.ROUTE, kind: "stream", timeoutMs: WAIT_MS };
  const { outlet, seen } = dispatching.recorded();
  const served = made.dispatcher.serve(dispatching.streamed(service, route, WAIT_MS), outlet);
  await engines.until(() => daemon.heard.includes("ask"));
  verdict = later;
  daemon.tell({ kind: "grant", seat: 0, instance: "i1" });
  const ran = await served;
  return { ran, runs, seen };
}

describe("a request that waits for a seat", () => {
  afterEach(() => {
    for (const end of ends.splice(0)) end();
  });

  it("is not sent once its key is taken away", async () => {
    const { ran, runs, seen } = await waiting({ kind: "unknown", why: "the key is unknown" });
    expect({ ran, runs, seen }).deep.equal({ ran: false, runs: 0, seen: ["refuse 401"] });
  });

  it("is not sent once its host has not heard from the store for too long", async () => {
    const { ran, runs, seen } = await waiting({ kind: "unsure", why: "not heard for long" });
    expect({ ran, runs, seen }).deep.equal({ ran: false, runs: 0, seen: ["refuse 503"] });
  });

  it("is sent while its key stands", async () => {
    const { ran, runs } = await waiting({ kind: "team", team: { name: "news" } });
    expect({ ran, runs }).deep.equal({ ran: true, runs: 1 });
  });
});
