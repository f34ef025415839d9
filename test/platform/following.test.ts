import * as chai from "chai";
import * as documents from "../../bench/platform/documents.js";
import * as stores from "../../bench/platform/store.js";
import * as platform from "../../platform/documents.js";
import * as followedStore from "./followed-store.js";

const { expect } = chai;
const { until } = followedStore;

/** Of the milliseconds within which a change must be in force, those reserved for a daemon to apply a change to its requests. */
const SPARE_MS = 100;

/** Maximum number of calls to the store that a daemon has in flight. */
const CALLS_AT_ONCE = 3;

const ENDPOINT = "i-1";
const KEY = `${platform.WORKERS_PREFIX}${ENDPOINT}`;

describe("following the platform's store", () => {
  const store = new stores.Store();
  let followed: followedStore.FollowedStore;

  beforeEach(async () => {
    await store.start();
    store.faults.mode = "well";
    store.unanswered = 0;
    store.put(KEY, documents.workerEntry("llm", "127.0.0.1:1"));
    followed = followedStore.follow(store);
    await until(() => followed.feed.catalog.endpoints.has(ENDPOINT));
  });

  afterEach(() => {
    followed.close();
    store.stop();
  });

  const leaving = (): boolean => followed.feed.catalog.endpoints.get(ENDPOINT)?.leaving === true;

  /** Milliseconds from the change in the store, that the endpoint leaves, until it is in the catalog. */
  async function propagationMs(): Promise<number> {
    const from = performance.now();
    store.put(KEY, documents.workerEntry("llm", "127.0.0.1:1", "draining"));
    await until(leaving);
    return performance.now() - from;
  }

  /*
   * Guards against sending a request to an engine that announced that it leaves, longer ago than the time allowed for
   * a change: 4,047 ms instead of 3,000 ms. A store that refuses a host may leave its calls unanswered. Without hedging,
   * each such call hangs for its wait of 2,500 ms and 700 ms more, and a pause of up to 600 ms follows. A call that
   * still hangs when the store is available again then hides all changes for longer than allowed.
   */
  it("learns in time that an endpoint leaves, though a call hangs", async () => {
    store.faults.mode = "silent";
    // The watch call in flight began before the fault, so a change ends it. The next call hangs.
    store.put("other", {});
    await until(() => store.unanswered > 0);
    store.faults.mode = "well";
    expect(await propagationMs()).below(followedStore.IN_FORCE_MS - SPARE_MS);
  }).timeout(12_000);

  it("learns it in time though the change comes right after a response and the next call hangs", async () => {
    const { position } = followed.feed.catalog;
    store.put("other", {});
    await until(() => followed.feed.catalog.position.isAfter(position));
    const from = performance.now();
    store.faults.mode = "silent";
    store.put(KEY, documents.workerEntry("llm", "127.0.0.1:1", "draining"));
    await until(() => store.unanswered > 0);
    store.faults.mode = "well";
    await until(leaving);
    expect(performance.now() - from).below(followedStore.IN_FORCE_MS - SPARE_MS);
  }).timeout(12_000);

  it("learns it in time after an outage in which all calls hung", async () => {
    store.faults.mode = "silent";
    store.put("other", {});
    await until(() => store.unanswered >= CALLS_AT_ONCE);
    // All calls that may be in flight hang now, so that only their timeouts let the daemon go on.
    store.faults.mode = "well";
    expect(await propagationMs()).below(followedStore.IN_FORCE_MS - SPARE_MS);
  }).timeout(12_000);
});
