/**
 * Sets the limits of a listener by the daemon's settings, and logs and counts what they do.
 * @module
 */
import * as episode from "../host/reading/episode.js";
import type * as earlyListener from "./early-listener.js";
import type * as metrics from "./metrics.js";

export interface Deps extends episode.Deps {
  readonly metrics: Pick<metrics.Metrics, "recordClosedConnection">;
}

/** Limits a listener to `maxConnections`, and reports connections that are closed from now on. */
export function install(
  { reader, limit }: Pick<earlyListener.EarlyListener, "reader" | "limit">,
  maxConnections: number,
  deps: Deps,
): void {
  const overLimit = new episode.Episode(
    {
      begins: "Callers have too many connections open; some are closed for new ones.",
      ends: "Callers no longer have too many connections open.",
      fields: { maxConnections },
    },
    deps,
  );
  const waiting = new episode.Episode(
    {
      begins: "Too many connections wait to be read; some are closed.",
      ends: "No more connections are closed that wait to be read.",
    },
    deps,
  );
  limit.max = maxConnections;
  limit.onClosed = () => {
    overLimit.record();
    deps.metrics.recordClosedConnection("connections");
  };
  reader.onClosed = () => {
    waiting.record();
    deps.metrics.recordClosedConnection("waiting");
  };
}
