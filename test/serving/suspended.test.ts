import * as chai from "chai";
import * as clock from "../../src/host/clock.js";
import * as catalog from "../../src/serving/catalog.js";
import * as dispatcherFixture from "./dispatcher-fixture.js";
import * as managedEngines from "./managed-engines.js";
import * as fixtures from "./fixtures.js";
import * as fakeEndpointDaemon from "./fake-endpoint-daemon.js";

const { expect } = chai;

const ADAPTER = "m/a";
const WAIT_MS = 5000;
const SUSPENDED_MS = 3000;

/** Clock of a host that may be suspended: the steady clock stops during suspension, the time of day goes on. */
function suspendable() {
  let suspendedMs = 0;
  const clk: clock.Clock = {
    ...clock.system,
    now: () => new Date(Date.now() + suspendedMs),
  };
  return {
    clk,
    suspend: (ms: number): void => {
      suspendedMs += ms;
    },
  };
}

/** Closes what the current test has opened, even if it fails. */
const cleanups: (() => void)[] = [];

describe("an entry host that was suspended", () => {
  afterEach(() => {
    for (const cleanup of cleanups.splice(0)) cleanup();
  });

  /*
   * Guards against a deadline that ignores suspension: a request waits for a seat while its host is suspended for three of
   * the request's five seconds. The steady clock does not count them, so the engine would be told that almost five seconds
   * are left (4,9xx ms) and would work in vain for a caller who gives up two seconds later.
   */
  it("tells the engine no more time than the request has left", async () => {
    const reportedLeftMs: number[] = [];
    const worker = await fixtures.worker((req, res) => {
      reportedLeftMs.push(Number(req.headers["test-left"]));
      res.writeHead(200, fixtures.good());
      res.end("id: 1\ndata: x\n\n");
    });
    const daemon = await fakeEndpointDaemon.open(
      fakeEndpointDaemon.state("i1"),
      fakeEndpointDaemon.holdings(ADAPTER),
    );
    const endpoint = fixtures.endpoint("i1", worker.address);
    const { at, service } = managedEngines.catalogOf([endpoint]);
    const host = suspendable();
    const setup = dispatcherFixture.create(at, () => daemon.address, host.clk);
    cleanups.push(setup.close, worker.close, daemon.close);
    setup.known.refresh();
    await managedEngines.eventually(() =>
      setup.known.views(service).every((v) => v.holdings !== undefined),
    );
    const route: catalog.Route = { ...fixtures.ROUTE, kind: "stream", timeoutMs: WAIT_MS };
    const { response } = dispatcherFixture.recorded();
    const served = setup.dispatcher.serve(
      dispatcherFixture.streamRequest(service, route, WAIT_MS),
      response,
    );
    await managedEngines.eventually(() => daemon.heard.includes("ask"));
    host.suspend(SUSPENDED_MS);
    daemon.tell({ kind: "grant", seat: 0, instance: "i1" });
    await served;
    expect(reportedLeftMs).length(1);
    expect(reportedLeftMs[0]).most(WAIT_MS - SUSPENDED_MS);
  });
});
