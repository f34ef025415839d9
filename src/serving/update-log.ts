/**
 * Log lines of the updates of a host's catalog.
 * @module
 */
import type * as structuredLog from "../host/structured-log.js";
import * as catalog from "./catalog.js";
import * as register from "./continuation/register.js";

/** Logs an update that came with an answer of this revision, at the monotonic ms `now`. */
export function write(
  log: structuredLog.Log,
  s: catalog.Update,
  revision: number,
  now: number,
): void {
  switch (s.kind) {
    case "config":
      log.info("A configuration is in force.", {
        version: s.config.version,
        revision,
        routes: s.config.routes.length,
        teams: s.config.teams?.all.length,
        keys: s.config.teams?.byDigest.size,
        malformedTeams: s.config.teams?.malformedCount,
      });
      break;
    case "version":
      log.info("A version was declared.", {
        adapter: s.key,
        version: s.version,
        notBeforeMs: s.notBefore === undefined ? undefined : Math.round(now - s.notBefore),
        revision,
      });
      break;
    case "endpoint":
      log.info("An endpoint is registered.", {
        endpoint: s.endpoint.id,
        address: s.endpoint.address,
        software: catalog.softwareOf(s.endpoint),
        leaving: s.endpoint.leaving,
        revision,
      });
      break;
    case "endpoint_gone":
      log.info("An endpoint is gone.", { endpoint: s.worker, revision });
      break;
    case "quarantine":
      log.warn("A request is in quarantine.", { identity: s.identity });
      break;
    case "release":
      log.info("A request was released from quarantine.", { identity: s.identity });
      break;
    case "origins":
      log.info("The register of origins has changed.", {
        ...register.fields(s.register),
        revision,
      });
      break;
  }
}
