/**
 * Dependencies that entry and endpoint daemons share, and the catalog feed that both open.
 * @module
 */
import type * as clock from "../host/clock.js";
import type * as structuredLog from "../host/structured-log.js";
import type * as source from "../store/source.js";
import * as feed from "./feed.js";
import type * as watchPace from "./watch-pace.js";

/** What every daemon needs. */
export interface Deps {
  readonly clock: clock.Clock;
  readonly log: structuredLog.LogFactory;
  readonly source: source.Source;
  readonly decoder: feed.Decoder;
  /** `ip:port` at which the metrics are served. */
  readonly metricsAddress: string;
  readonly random: () => number;
}

/** Creates a catalog feed for a daemon. It reads the store once {@link feed.Feed.run} is called. */
export function openFeed(
  deps: Deps,
  pace: watchPace.WatchPace,
  listeners: feed.Listeners,
): feed.Feed {
  const { clock, source, decoder, random } = deps;
  return new feed.Feed({
    clock,
    log: deps.log("feed"),
    source,
    decoder,
    pace,
    random,
    ...listeners,
  });
}
