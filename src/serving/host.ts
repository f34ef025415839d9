/**
 * What entry and endpoint daemons are both given and both start.
 * @module
 */
import type * as clock from "../host/clock.js";
import type * as record from "../host/record.js";
import type * as source from "../store/source.js";
import type * as catalog from "./catalog.js";
import * as feed from "./feed.js";

export interface Deps {
  readonly clock: clock.Clock;
  readonly log: record.Open;
  readonly source: source.Source;
  readonly decoder: feed.Decoder;
  /** `ip:port` for the figures. */
  readonly metricsAddress: string;
  readonly random: () => number;
}

/** A feed for a daemon; it follows the store once it is run. */
export function openFeed(
  deps: Deps,
  pace: feed.Pace,
  changed: (at: catalog.Catalog) => void,
): feed.Feed {
  const { clock, source, decoder, random } = deps;
  return new feed.Feed({ clock, log: deps.log("feed"), source, decoder, pace, random, changed });
}
