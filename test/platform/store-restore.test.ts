import * as chai from "chai";
import * as documents from "../../bench/platform/documents.js";
import * as stores from "../../bench/platform/store.js";
import * as platform from "../../platform/documents.js";
import * as clock from "../../src/host/clock.js";
import * as followedStore from "./followed-store.js";

const { expect } = chai;
const { until, IN_FORCE_MS } = followedStore;

/** Milliseconds for which the store is unavailable. */
const DOWN_MS = 300;
/** Milliseconds after the first write until the operator or a worker repeats it. */
const WRITTEN_AGAIN_MS = 1300;
/** Number of other changes between the backup and the restore. */
const LOST_CHANGES = 20;

/** A key that no other test writes. */
const CLAIMED_KEY = "sumacfield/claimed";
const KEY = `${platform.WORKERS_PREFIX}i-1`;

/** How the store's revision passes the last one from before the restore, once the lost change is written again. */
const PASSES: Readonly<Record<string, number | undefined>> = {
  "not passed": undefined,
  "passed at once": 0,
  "passed one by one": 60,
};

describe("a store that is restored from a backup", () => {
  const store = new stores.Store();
  let followed: followedStore.FollowedStore;
  let version = 0;

  function configure(prefixes: readonly string[]): void {
    const routes = prefixes.map((prefix): documents.Route => ({
      name: prefix,
      prefix,
      kind: "idempotent",
      service: "guide",
    }));
    store.put("op/config", documents.config(version, routes, [documents.plainService("guide")]));
  }

  function register(state: "ready" | "draining", key = KEY): void {
    store.put(key, documents.workerEntry("guide", "127.0.0.1:1", state));
  }

  const hasRoute = (prefix: string): boolean =>
    followed.feed.catalog.config?.routes.some((r) => r.prefix === prefix) === true;
  const isLeaving = (): boolean => followed.feed.catalog.endpoints.get("i-1")?.leaving === true;

  /** The store is unavailable for a moment and is restored from `backup`. */
  async function restoreFrom(backup: stores.Backup): Promise<void> {
    store.faults.mode = "busy";
    await clock.sleep(clock.system, DOWN_MS);
    store.restore(backup);
    store.faults.mode = "well";
  }

  async function passRevisions(intervalMs: number): Promise<void> {
    for (let i = 0; i < 2 * LOST_CHANGES; i++) {
      store.put("sumacfield/other", { i });
      if (intervalMs > 0) await clock.sleep(clock.system, intervalMs);
    }
  }

  /**
   * Makes a change that the store loses and that is made again after the restore; resolves with the milliseconds from
   * its first acknowledgement until `inForce`.
   */
  async function loseAndRepeat(
    change: () => void,
    inForce: () => boolean,
    intervalMs: number | undefined,
  ): Promise<number> {
    const backup = store.backup();
    await writeLost();
    change();
    const acknowledgedAt = performance.now();
    await restoreFrom(backup);
    await clock.sleep(clock.system, acknowledgedAt + WRITTEN_AGAIN_MS - performance.now());
    change();
    if (intervalMs !== undefined) void passRevisions(intervalMs);
    await until(inForce);
    return performance.now() - acknowledgedAt;
  }

  /** Writes that the store loses, of which the feed has seen at least the first ones. */
  async function writeLost(): Promise<void> {
    for (let i = 0; i < LOST_CHANGES; i++) store.put("sumacfield/other", { i });
    const { position } = followed.feed.catalog;
    await until(() => followed.feed.catalog.position.isAfter(position));
  }

  beforeEach(async () => {
    await store.start();
    Object.assign(store.faults, { mode: "well", delayMs: 0 });
    store.era = 1;
    store.grantedLeases = 0;
    store.pageSize = 500;
    version = 1;
    configure(["/a/"]);
    register("ready");
    followed = followedStore.follow(store);
    await until(() => hasRoute("/a/") && followed.feed.catalog.endpoints.has("i-1"));
  });

  afterEach(() => {
    followed.close();
    store.stop();
  });

  for (const [how, intervalMs] of Object.entries(PASSES)) {
    it(`delays no new route, the last revision being ${how}`, async () => {
      const addRoute = (): void => {
        version = 2;
        configure(["/a/", "/b/"]);
      };
      const inForceMs = await loseAndRepeat(addRoute, () => hasRoute("/b/"), intervalMs);
      expect(inForceMs).below(IN_FORCE_MS);
    }).timeout(12_000);

    it(`hides no worker's leaving, the last revision being ${how}`, async () => {
      const leave = (): void => {
        register("draining");
      };
      expect(await loseAndRepeat(leave, isLeaving, intervalMs)).below(IN_FORCE_MS);
    }).timeout(12_000);
  }

  it("is not read as one snapshot if it is restored between two pages", async () => {
    store.pageSize = 1;
    register("ready", `${KEY}0`);
    const backup = store.backup();
    store.answeredPages = 0;
    store.faults.delayMs = 100;
    const pages = followed.source.list(platform.WORKERS_PREFIX);
    await until(() => store.answeredPages === 1);
    store.restore(backup);
    const outcome = await pages.then(
      () => "read",
      (err: unknown) => String(err),
    );
    expect(outcome).include("era changed");
  });

  it("holds no key that was claimed under a lease of an era that is over", async () => {
    store.faults.delayMs = 100;
    const backup = store.backup();
    const claim = followed.source.claim(CLAIMED_KEY, 1000).then(
      () => "claimed",
      (err: unknown) => String(err),
    );
    await until(() => store.grantedLeases === 1);
    store.restore(backup);
    expect(await claim).include("era changed");
    expect(store.items.has(CLAIMED_KEY)).equal(false);
  });

  it("is read again, and then served, after an answer of an era that is over", async () => {
    const backup = store.backup();
    store.restore(backup);
    await until(() => followed.source.era === store.era);
    store.era = 1;
    const outcome = await followed.source.list(platform.WORKERS_PREFIX).then(
      () => "read",
      (err: unknown) => String(err),
    );
    expect(outcome).include("before 2");
    store.era = 2;
    version = 2;
    configure(["/a/", "/b/"]);
    await until(() => hasRoute("/b/"));
  });
});
