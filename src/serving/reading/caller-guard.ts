/**
 * Logs and counts what the limits of a listener do.
 * @module
 */
import type * as earlyListener from "../early-listener.js";
import type * as metrics from "../metrics.js";
import * as episode from "./episode.js";

export interface Deps extends episode.Deps {
  readonly metrics: Pick<metrics.Metrics, "recordClosedConnection">;
}

/** Reports connections of a listener that are closed from now on. */
export function install({ reader }: Pick<earlyListener.EarlyListener, "reader">, deps: Deps): void {
  const waiting = new episode.Episode(
    {
      begins: "Too many connections wait to be read; some are closed.",
      ends: "No more connections are closed that wait to be read.",
    },
    deps,
  );
  reader.onClosed = () => {
    waiting.record();
    deps.metrics.recordClosedConnection("waiting");
  };
}
