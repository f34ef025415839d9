import * as chai from "chai";
import * as clock from "../../src/host/clock.js";
import * as structuredLog from "../../src/host/structured-log.js";
import * as lineSink from "../../src/host/line-sink.js";
import type * as catalog from "../../src/serving/catalog.js";
import * as feed from "../../src/serving/feed.js";
import * as watchPace from "../../src/serving/watch-pace.js";
import * as fakeSource from "./fake-source.js";
import * as fixtures from "./fixtures.js";

const { expect } = chai;

/** Prefix of the text of an endpoint that is leaving. Its address follows. */
const LEAVING = "leaving ";

/** Decodes documents `e/ID` as endpoints, and `c` as the version of the configuration. */
const DECODER: feed.Decoder = {
  prefixes: ["e/", "c"],
  common: "",
  written: (key, text): catalog.Update | undefined => {
    if (text === "torn") throw new Error("not readable");
    if (key.startsWith("c/")) return { kind: "version", key, version: Number(text) };
    if (key === "c") {
      return { kind: "config", config: { ...fixtures.CONFIG, version: Number(text) } };
    }
    const leaving = text.startsWith(LEAVING);
    const endpoint = fixtures.endpoint(key.slice(2), leaving ? text.slice(LEAVING.length) : text);
    return { kind: "endpoint", endpoint: { ...endpoint, leaving } };
  },
  deleted: (key) => ({ kind: "endpoint_gone", worker: key.slice(2) }),
};

const running: feed.Feed[] = [];

function follow(
  from: fakeSource.FakeSource,
  pace: watchPace.WatchPace = watchPace.promptPace(2000),
): feed.Feed {
  const f = new feed.Feed({
    clock: clock.system,
    log: structuredLog.silent,
    source: from,
    decoder: DECODER,
    pace,
    onChange: () => undefined,
    onRestored: () => undefined,
    random: () => 0,
  });
  running.push(f);
  void f.run();
  return f;
}

async function until(condition: () => boolean): Promise<void> {
  for (let i = 0; i < 400; i++) {
    if (condition()) return;
    await clock.sleep(clock.system, 10);
  }
  throw new Error("the condition was not met within 4 s");
}

describe("feed", () => {
  afterEach(() => {
    for (const f of running.splice(0)) f.stop();
  });

  it("reads a snapshot, and watches for changes", async () => {
    const s = new fakeSource.FakeSource();
    s.put("c", "1");
    s.put("e/a", "10.0.0.1:1");
    const f = follow(s);
    await until(() => f.catalog.endpoints.has("a"));
    s.put("c", "2");
    s.remove("e/a");
    await until(() => f.catalog.config?.version === 2);
    expect(f.catalog.endpoints.size).equal(0);
  });

  it("dates a declared version by the last answer that did not have it", async () => {
    const s = new fakeSource.FakeSource();
    s.put("c", "1");
    s.put("c/1", "1");
    const f = follow(s);
    await until(() => f.catalog.versions.has("c/1"));
    const before = clock.system.mono() - f.catalogAgeMs;
    s.put("c/2", "2");
    const putAt = clock.system.mono();
    await until(() => f.catalog.versions.has("c/2"));
    expect(f.catalog.versions.get("c/1")?.notBefore).equal(-Infinity);
    expect(f.catalog.versions.get("c/2")?.notBefore).within(
      before - watchPace.SILENT_WATCH_MS,
      putAt,
    );
  });

  it("leaves the catalog as it is when an endpoint's entry is rewritten unchanged", async () => {
    const s = new fakeSource.FakeSource();
    s.put("e/a", "10.0.0.1:1");
    const f = follow(s);
    await until(() => f.catalog.endpoints.has("a"));
    const before = f.catalog.endpoints;
    const { position } = f.catalog;
    s.put("e/a", "10.0.0.1:1");
    await until(() => f.catalog.position.isAfter(position));
    expect(f.catalog.endpoints).equal(before);
  });

  /*
   * Guards against accepting revoked keys. The store answers a watch with "compacted", which says nothing about what
   * changed, and then a full snapshot fails for a while. If the answer counted as an update, the catalog would be taken
   * for fresh although it still holds keys that have been revoked.
   */
  it("does not count a compacted history as an update of the catalog", async () => {
    const s = new fakeSource.FakeSource();
    s.put("c", "1");
    const f = follow(s, { ...watchPace.promptPace(2000), minIntervalMs: 20 });
    await until(() => f.catalog.config !== undefined);
    s.unavailable = true;
    const unavailableSince = performance.now();
    await clock.sleep(clock.system, 200);
    s.put("c", "2");
    s.compact();
    s.listingFails = true;
    s.unavailable = false;
    await clock.sleep(clock.system, 400);
    expect(f.catalog.config?.version).equal(1);
    expect(f.catalogAgeMs).least(performance.now() - unavailableSince - 1);
  });

  it("makes few calls while changes are frequent", async () => {
    const s = new fakeSource.FakeSource();
    const f = follow(s);
    for (let i = 1; i <= 50; i++) {
      s.put("c", String(i));
      await clock.sleep(clock.system, 20);
    }
    await until(() => f.catalog.config?.version === 50);
    expect(s.calls).most(8);
  });

  it("makes even fewer calls at the relaxed pace", async () => {
    const s = new fakeSource.FakeSource();
    const f = follow(s, watchPace.RELAXED_PACE);
    for (let i = 1; i <= 50; i++) {
      s.put("c", String(i));
      await clock.sleep(clock.system, 40);
    }
    await until(() => f.catalog.config?.version === 50);
    expect(s.calls).most(8);
  });

  it("reads a new snapshot when the store has compacted its history", async () => {
    const s = new fakeSource.FakeSource();
    s.put("e/a", "10.0.0.1:1");
    const f = follow(s);
    await until(() => f.catalog.endpoints.has("a"));
    s.remove("e/a");
    s.put("e/b", "10.0.0.2:1");
    s.compact();
    await until(() => f.catalog.endpoints.has("b"));
    expect(f.catalog.endpoints.has("a")).equal(false);
  });

  it("keeps the catalog while the store is unavailable", async () => {
    const s = new fakeSource.FakeSource();
    s.put("c", "1");
    const f = follow(s);
    await until(() => f.catalog.config?.version === 1);
    s.unavailable = true;
    await clock.sleep(clock.system, 100);
    expect(f.catalog.config?.version).equal(1);
    s.unavailable = false;
    s.put("c", "2");
    await until(() => f.catalog.config?.version === 2);
  });

  it("keeps endpoints for a while whose entries expired during an outage of the store", async () => {
    const s = new fakeSource.FakeSource();
    s.put("e/back", "10.0.0.1:1");
    s.put("e/gone", "10.0.0.2:1");
    const f = follow(s);
    await until(() => f.catalog.endpoints.size === 2);
    s.unavailable = true;
    await clock.sleep(clock.system, 800);
    s.remove("e/back");
    s.remove("e/gone");
    s.unavailable = false;
    await clock.sleep(clock.system, 1000);
    expect(f.catalog.endpoints.size).equal(2);
    s.put("e/back", "10.0.0.1:1");
    await until(() => f.catalog.endpoints.size === 1);
    expect(f.catalog.endpoints.has("back")).equal(true);
  }).timeout(10_000);

  it("removes an endpoint in time when it leaves soon after an outage", async () => {
    const s = new fakeSource.FakeSource();
    for (const id of ["a", "b", "c"]) s.put(`e/${id}`, "10.0.0.1:1");
    const f = follow(s);
    await until(() => f.catalog.endpoints.size === 3);
    s.unavailable = true;
    await clock.sleep(clock.system, 800);
    s.unavailable = false;
    await clock.sleep(clock.system, 200);
    const from = performance.now();
    s.remove("e/a");
    await until(() => f.catalog.endpoints.size === 2);
    expect(performance.now() - from).below(1900);
  }).timeout(10_000);

  /*
   * Guards against sending requests to an engine that has announced that it leaves. The engine writes so, and its entry
   * is deleted, while the store refuses the entry host. Both changes then arrive in one response. If only the last
   * change of the key counts, the host sees a deletion alone, takes it for an entry that expired in the outage, and
   * keeps the engine as one that stays.
   */
  it("removes an endpoint at once that announced during an outage that it leaves", async () => {
    const s = new fakeSource.FakeSource();
    for (const id of ["a", "b", "c"]) s.put(`e/${id}`, "10.0.0.1:1");
    const f = follow(s);
    await until(() => f.catalog.endpoints.size === 3);
    const { position } = f.catalog;
    s.unavailable = true;
    await clock.sleep(clock.system, 800);
    s.put("e/a", `${LEAVING}10.0.0.1:1`);
    s.remove("e/a");
    s.unavailable = false;
    await until(() => f.catalog.position.isAfter(position));
    expect(f.catalog.endpoints.get("a")?.leaving ?? true).equal(true);
  });

  it("keeps the configuration in force when the next one cannot be decoded", async () => {
    const s = new fakeSource.FakeSource();
    s.put("c", "1");
    const f = follow(s);
    await until(() => f.catalog.config?.version === 1);
    s.put("c", "torn");
    s.put("e/a", "10.0.0.1:1");
    await until(() => f.catalog.endpoints.has("a"));
    expect(f.catalog.config?.version).equal(1);
  });
});

describe("sink", () => {
  it("never blocks, and reports how many lines it dropped", () => {
    const writes: string[] = [];
    let finishWrite: (() => void) | undefined;
    const s = new lineSink.LineSink(
      (text, written) => {
        writes.push(text);
        finishWrite = () => {
          written(null);
        };
      },
      (n) => `dropped ${n}`,
    );
    s.writeLine("first");
    s.flush();
    for (let i = 0; i < 10_000; i++) s.writeLine("x".repeat(100));
    expect(writes).deep.equal(["first\n"]);
    expect(s.droppedLines()).above(7000);
    finishWrite?.();
    expect(writes[1]?.endsWith(`dropped ${s.droppedLines()}\n`)).equal(true);
    finishWrite?.();
  });
});
