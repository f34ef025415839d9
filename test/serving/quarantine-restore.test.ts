import * as chai from "chai";
import * as virtual from "../../bench/measure/time.js";
import * as structuredLog from "../../src/host/structured-log.js";
import type * as catalog from "../../src/serving/catalog.js";
import * as feed from "../../src/serving/feed.js";
import * as quarantine from "../../src/serving/quarantine.js";
import * as quarantineRestorer from "../../src/serving/quarantine-restorer.js";
import * as watchPace from "../../src/serving/watch-pace.js";
import * as fakeSource from "./fake-source.js";

const { expect } = chai;

const IDENTITY = "some-identity";
const KEY = quarantine.keyOf(IDENTITY);
const IN_FORCE_MS = 3000;
/** Most claims, of two calls each: a tenth of the calls that the store takes in a second. */
const MAX_CLAIMS = 100;
const DECODER = quarantine.wrapDecoder({
  prefixes: [],
  common: "",
  written: () => undefined,
  deleted: () => undefined,
});

/** Entry hosts that follow one store in virtual time and write lost quarantines again. */
function start(hosts: number) {
  const time = new virtual.Time();
  const store = new fakeSource.FakeSource(time);
  let draws = 0;
  const random = (): number => (draws++ * 0.618) % 1;
  const evidence = quarantine.encode({ workers: ["i-1"], at: time.now() });
  const feeds = Array.from({ length: hosts }, () => {
    const restorer = new quarantineRestorer.QuarantineRestorer({
      clock: time,
      log: structuredLog.silent,
      lost: () => f.lostQuarantines,
      hostCount: () => hosts,
      claim: store.claim,
      random,
    });
    const f: feed.Feed = new feed.Feed({
      clock: time,
      log: structuredLog.silent,
      source: store,
      decoder: DECODER,
      pace: watchPace.promptPace(IN_FORCE_MS),
      onChange: () => undefined,
      onRestored: () => {
        restorer.restore();
      },
      random,
    });
    void f.run();
    return f;
  });
  const quarantinedAt = (at: catalog.Catalog): boolean => at.quarantined.has(IDENTITY);
  return {
    time,
    store,
    evidence,
    held: () => feeds.filter((f) => quarantinedAt(f.catalog)).length,
    stop: () => {
      for (const f of feeds) f.stop();
    },
  };
}

/** Hosts that hold a quarantine which the store then loses. */
async function startAndLose(hosts: number) {
  const s = start(hosts);
  await s.time.runUntil(2000);
  const backup = s.store.backup();
  s.store.put(KEY, s.evidence);
  await s.time.runUntil(5000);
  expect(s.held()).equal(hosts);
  s.store.restore(backup);
  return { ...s, backup };
}

describe("a quarantine that the store loses by being restored from a backup", () => {
  for (const hosts of [4, 29, 360]) {
    it(`stays in force and is written again, with few calls, by ${hosts} hosts`, async () => {
      const s = await startAndLose(hosts);
      for (let at = 5000; at < 13_000; at += 250) {
        await s.time.runUntil(at);
        expect(s.held(), `${at} ms`).equal(hosts);
      }
      expect(s.store.documents.get(KEY)?.text).equal(s.evidence);
      expect(s.store.claims).most(MAX_CLAIMS);
      s.stop();
    }).timeout(30_000);
  }

  it("is written again if it is lost twice, and while the store fails", async () => {
    const s = await startAndLose(4);
    await s.time.runUntil(7000);
    s.store.restore(s.backup);
    await s.time.runUntil(8500);
    s.store.unavailable = true;
    await s.time.runUntil(10_000);
    s.store.unavailable = false;
    await s.time.runUntil(16_000);
    expect(s.held()).equal(4);
    expect(s.store.documents.has(KEY)).equal(true);
    s.stop();
  });

  it("is released at all hosts when an operator releases it after that", async () => {
    const s = await startAndLose(4);
    await s.time.runUntil(10_000);
    s.store.remove(KEY);
    await s.time.runUntil(13_000);
    expect(s.held()).equal(0);
    expect(s.store.documents.has(KEY)).equal(false);
    s.stop();
  });

  it("does not come back at once if it had been released after the backup", async () => {
    const s = start(4);
    s.store.put(KEY, s.evidence);
    await s.time.runUntil(2000);
    const backup = s.store.backup();
    s.store.remove(KEY);
    await s.time.runUntil(5000);
    s.store.restore(backup);
    await s.time.runUntil(6500);
    expect(s.held()).equal(0);
    s.store.remove(KEY);
    await s.time.runUntil(12_000);
    expect(s.held()).equal(0);
    s.stop();
  });
});
