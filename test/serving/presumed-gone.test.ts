import * as chai from "chai";
import * as clock from "../../src/host/clock.js";
import type * as catalog from "../../src/serving/catalog.js";
import type * as retryBudget from "../../src/serving/retry-budget.js";
import * as dispatcherFixture from "./dispatcher-fixture.js";
import * as managedEngines from "./managed-engines.js";
import * as fixtures from "./fixtures.js";
import * as fakeEndpointDaemon from "./fake-endpoint-daemon.js";

const { expect } = chai;

const NO_RETRIES: retryBudget.Options = { ratio: 0, slack: 0, windowMs: 10_000 };
const SOME_RETRIES: retryBudget.Options = { ratio: 16, slack: 0, windowMs: 10_000 };

/** What the caller of a stream receives if the engine is wrongly presumed gone after the first event. */
async function callerEvents(
  budget: retryBudget.Options,
  attempts: number,
): Promise<readonly string[]> {
  let finishStream = (): void => undefined;
  const worker = await fixtures.worker((_req, res) => {
    res.writeHead(200, fixtures.good());
    res.write("id: 1\ndata: x\n\n");
    finishStream = () => res.end("id: 2\ndata: x\n\n");
  });
  const daemon = await fakeEndpointDaemon.open(
    fakeEndpointDaemon.state("i1"),
    fakeEndpointDaemon.holdings("m/a"),
  );
  const { at, service } = managedEngines.catalogOf([fixtures.endpoint("i1", worker.address)]);
  const args = [() => daemon.address, clock.system, fixtures.WIRE] as const;
  const setup = dispatcherFixture.create(at, ...args, () => ({ kind: "open" }), budget);
  try {
    setup.known.refresh();
    await managedEngines.eventually(() =>
      setup.known.views(service).every((v) => v.holdings !== undefined),
    );
    const { response, seen } = dispatcherFixture.recorded();
    const kind = { kind: "stream", resumable: true, timeoutMs: 2000, attempts } as const;
    const route: catalog.Route = { ...fixtures.ROUTE, ...kind };
    const served = setup.dispatcher.serve(
      dispatcherFixture.streamRequest(service, route, 2000),
      response,
    );
    await managedEngines.eventually(() => daemon.heard.includes("ask"));
    daemon.tell({ kind: "grant", seat: 0, instance: "i1", version: 1 });
    await managedEngines.eventually(() => seen.length > 0);
    daemon.tell(fakeEndpointDaemon.state(""));
    await managedEngines.eventually(() =>
      setup.known.views(service).every((v) => v.state?.instance === ""),
    );
    finishStream();
    await served;
    return seen;
  } finally {
    setup.close();
    daemon.close();
    worker.close();
  }
}

describe("a stream whose engine is wrongly presumed gone", () => {
  it("is not broken off where the retry budget is used up", async () => {
    expect(await callerEvents(NO_RETRIES, 2)).deep.equal(["begin 200", "end"]);
  });

  it("is not broken off where its route allows no further attempt", async () => {
    expect(await callerEvents(SOME_RETRIES, 1)).deep.equal(["begin 200", "end"]);
  });
});
