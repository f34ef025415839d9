/**
 * A dispatcher with its connections, over endpoints that a test gives.
 * @module
 */
import * as clock from "../../src/host/clock.js";
import * as record from "../../src/host/record.js";
import type * as catalog from "../../src/serving/catalog.js";
import * as dispatch from "../../src/serving/dispatch.js";
import * as endpoints from "../../src/serving/endpoints.js";
import * as meters from "../../src/serving/meters.js";
import * as upstream from "../../src/serving/upstream.js";
import * as fixtures from "./fixtures.js";

/**
 * Makes it, over a catalog or what reads the one in force; `daemonOf` tells where an engine's endpoint
 * daemon listens.
 */
export function open(
  at: catalog.Catalog | (() => catalog.Catalog),
  daemonOf: (e: catalog.Endpoint) => string = (e) => e.address,
) {
  const inForce = typeof at === "function" ? at : () => at;
  const known = new endpoints.Endpoints(
    {
      clock: clock.system,
      log: record.silent,
      host: "entry",
      catalog: inForce,
      daemonOf,
      random: () => 0,
    },
    clock.system,
  );
  const up = new upstream.Upstream(fixtures.WIRE);
  const dispatcher = new dispatch.Dispatch(
    { domain: "d1", retries: { ratio: 0.2, slack: 58, windowMs: 10_000 } },
    {
      clock: clock.system,
      log: record.silent,
      meters: meters.open(),
      endpoints: known,
      upstream: up,
      catalog: inForce,
      newsAgeMs: () => 0,
      random: () => 0,
    },
  );
  return {
    known,
    dispatcher,
    close: (): void => {
      up.close();
      known.close();
    },
  };
}
