/**
 * A dispatcher in front of one engine that announces how long requests wait, and grants no seat.
 * @module
 */
import type * as catalog from "../../../src/serving/catalog.js";
import * as dispatcherFixture from "../dispatcher-fixture.js";
import * as fakeEndpointDaemon from "../fake-endpoint-daemon.js";
import * as fixtures from "../fixtures.js";
import * as managedEngines from "../managed-engines.js";

/** Longest pauses of a route, in ms: streams with events of 7 tokens must be steady with the first one. */
export const STEADY_GAP_MS = 300;
export const OTHER_GAP_MS = 400;

/** Opens one whose engine announces a wait of `waitMs`; the route's longest admitted wait is 520 ms. */
export async function open(waitMs: number, gapMs: number) {
  const engine = await fakeEndpointDaemon.open(
    { ...fakeEndpointDaemon.state("i1"), waitMs: new Array<number>(10).fill(waitMs) },
    fakeEndpointDaemon.holdings(),
  );
  const { at, service } = managedEngines.catalogOf([fixtures.endpoint("i1", engine.address)]);
  const batch = { requests: 32, cacheTokens: 100_000, eventTokens: 7 };
  const full = service.engine ? { ...service, engine: { ...service.engine, batch } } : service;
  const route: catalog.Route = { ...fixtures.ROUTE, kind: "stream", gapMs, timeoutMs: 9000 };
  const services = new Map([[full.name, full]]);
  const made = dispatcherFixture.create({
    ...at,
    config: { ...fixtures.CONFIG, routes: [route], services },
  });
  made.known.refresh();
  await managedEngines.eventually(() => made.known.views(full).every((v) => v.state));
  return {
    /** Kinds of the messages that the engine's daemon received. */
    heard: engine.heard,
    /** The ms after which a refused request should be retried. */
    refusedAfterMs: async (waitMs: number): Promise<number | undefined> => {
      let told: number | undefined;
      await made.dispatcher.serve(dispatcherFixture.streamRequest(full, route, waitMs), {
        ...dispatcherFixture.recorded().response,
        refuse: (_status, _why, retryAfterMs) => {
          told = retryAfterMs;
        },
      });
      return told;
    },
    close: (): void => {
      made.close();
      engine.close();
    },
  };
}
