/**
 * A catalog feed of an entry daemon that follows the stand-in store.
 * @module
 */
import type * as stores from "../../bench/platform/store.js";
import * as documents from "../../platform/documents.js";
import * as client from "../../platform/store.js";
import * as clock from "../../src/host/clock.js";
import * as structuredLog from "../../src/host/structured-log.js";
import * as registerDecoder from "../../src/serving/continuation/register-decoder.js";
import * as feed from "../../src/serving/feed.js";
import * as quarantine from "../../src/serving/quarantine.js";
import * as watchPace from "../../src/serving/watch-pace.js";

/** Milliseconds within which a change must be in force. */
export const IN_FORCE_MS = 2000;

/** A feed with its client of the store. */
export interface FollowedStore {
  readonly feed: feed.Feed;
  readonly source: client.Store;
  readonly close: () => void;
}

/** What an entry daemon reads, and what an endpoint daemon does. */
const ENTRY_PREFIXES = [documents.OPERATOR_PREFIX, documents.WORKERS_PREFIX];
export const ENDPOINT_PREFIXES = [documents.OPERATOR_PREFIX];

/** Starts a feed that follows `store`. */
export function follow(store: stores.Store, prefixes = ENTRY_PREFIXES): FollowedStore {
  const source = new client.Store(store.address);
  const started = new feed.Feed({
    clock: clock.system,
    log: structuredLog.silent,
    source,
    decoder: quarantine.wrapDecoder(
      registerDecoder.wrapDecoder({
        written: documents.updateOf,
        deleted: documents.deletionUpdateOf,
        prefixes,
        common: "",
      }),
    ),
    pace: watchPace.promptPace(IN_FORCE_MS),
    onChange: () => undefined,
    onRestored: () => undefined,
    random: () => 0.5,
  });
  void started.run();
  return {
    feed: started,
    source,
    close: () => {
      started.stop();
      source.close();
    },
  };
}

/** Waits until a condition holds; throws after 8 s. */
export async function until(condition: () => boolean): Promise<void> {
  for (let i = 0; i < 800; i++) {
    if (condition()) return;
    await clock.sleep(clock.system, 10);
  }
  throw new Error("the condition was not met within 8 s");
}
