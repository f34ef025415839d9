/**
 * A streaming request that waits for a seat while a test changes what its host knows.
 * @module
 */
import * as clock from "../../src/host/clock.js";
import type * as callerRequest from "../../src/serving/caller-request.js";
import type * as authentication from "../../src/serving/authentication.js";
import * as catalog from "../../src/serving/catalog.js";
import * as dispatcherFixture from "./dispatcher-fixture.js";
import * as managedEngines from "./managed-engines.js";
import * as fixtures from "./fixtures.js";
import * as fakeEndpointDaemon from "./fake-endpoint-daemon.js";

/** Adapter of the request, which its engine has loaded. */
const ADAPTER = "m/a";

/** Closes what the current test has opened, even if it fails. */
const cleanups: (() => void)[] = [];

/** Closes everything; to be called after each test. */
export function closeAll(): void {
  for (const cleanup of cleanups.splice(0)) cleanup();
}

/** Options of the request. */
export interface Setup {
  /** Fields of the request's route, which is a streaming one. */
  readonly route: Partial<catalog.Route> & Pick<catalog.Route, "timeoutMs">;
  readonly authenticate?: (req: callerRequest.CallerRequest) => authentication.Verdict;
}

/** Starts the request; resolves when it has asked for a seat. */
export async function begin({ route, authenticate }: Setup) {
  let runs = 0;
  const worker = await fixtures.worker((_req, res) => {
    runs++;
    res.writeHead(200, fixtures.good());
    res.end("id: 1\ndata: x\n\n");
  });
  cleanups.push(worker.close);
  const daemon = await fakeEndpointDaemon.open(
    fakeEndpointDaemon.state("i1"),
    fakeEndpointDaemon.holdings(ADAPTER),
  );
  cleanups.push(daemon.close);
  const endpoint = fixtures.endpoint("i1", worker.address);
  const { at: initial, service } = managedEngines.catalogOf([endpoint]);
  let current = initial;
  const setup = dispatcherFixture.create(
    () => current,
    () => daemon.address,
    clock.system,
    fixtures.WIRE,
    authenticate,
  );
  cleanups.push(setup.close);
  setup.known.refresh();
  await managedEngines.eventually(() =>
    setup.known.views(service).every((v) => v.holdings !== undefined),
  );
  const { response, seen } = dispatcherFixture.recorded();
  const streamed: catalog.Route = { ...fixtures.ROUTE, kind: "stream", ...route };
  const req = dispatcherFixture.streamRequest(service, streamed, route.timeoutMs);
  const served = setup.dispatcher.serve(req, response);
  await managedEngines.eventually(() => daemon.heard.includes("ask"));
  return {
    daemon,
    endpoint,
    notices: setup.notices,
    change: (step: catalog.Update): void => {
      current = catalog.applyUpdate(current, step);
    },
    /** Resolves when the request has ended: whether it ran, how often its worker ran it, and what its caller received. */
    ended: async () => ({ ran: await served, runs, seen }),
  };
}
