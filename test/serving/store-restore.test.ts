import * as chai from "chai";
import * as fc from "fast-check";
import * as virtual from "../../bench/measure/time.js";
import * as structuredLog from "../../src/host/structured-log.js";
import * as catalog from "../../src/serving/catalog.js";
import * as feed from "../../src/serving/feed.js";
import * as watchPace from "../../src/serving/watch-pace.js";
import * as fakeSource from "./fake-source.js";
import * as fixtures from "./fixtures.js";

const { expect } = chai;

/** Milliseconds within which a change must be in force. */
const IN_FORCE_MS = 3000;
/** Milliseconds after a restore by which everything that was lost is written again in these tests. */
const REWRITTEN_MS = 1500;
/** Milliseconds after a restore within which a worker registers again. */
const REREGISTERED_MS = 2000;
/** Milliseconds after a restore by which what is known from before no longer matters. */
const SETTLED_MS = 6000;
const LEAVING = "leaving";

/** Decodes `c` as the version of the configuration, and `e/WORKER` as the state of a worker. */
const DECODER: feed.Decoder = {
  prefixes: ["e/", "c"],
  common: "",
  written: (key, text): catalog.Update | undefined => {
    if (key === "other") return undefined;
    if (key === "c") {
      return { kind: "config", config: { ...fixtures.CONFIG, version: Number(text) } };
    }
    const endpoint = fixtures.endpoint(key.slice(2), "10.0.0.1:1");
    return { kind: "endpoint", endpoint: { ...endpoint, leaving: text === LEAVING } };
  },
  deleted: (key) => (key === "c" ? undefined : { kind: "endpoint_gone", worker: key.slice(2) }),
};

/** A feed that follows a fake store in virtual time. */
function follow(draw: () => number = () => 0.5) {
  const time = new virtual.Time();
  const store = new fakeSource.FakeSource(time);
  const versions: number[] = [];
  const seenLeaving = new Set<string>();
  /** Workers that were used again after this host had seen that they leave. */
  const usedAgain: string[] = [];
  const f = new feed.Feed({
    clock: time,
    log: structuredLog.silent,
    source: store,
    decoder: DECODER,
    pace: watchPace.promptPace(IN_FORCE_MS),
    onChange: (at) => {
      versions.push(at.config?.version ?? 0);
      for (const e of at.endpoints.values()) {
        if (e.leaving) seenLeaving.add(e.id);
        else if (seenLeaving.has(e.id)) usedAgain.push(e.id);
      }
    },
    onRestored: () => undefined,
    random: draw,
  });
  store.put("c", "1");
  void f.run();
  const isUsable = (worker: string): boolean => f.catalog.endpoints.get(worker)?.leaving === false;
  return { time, store, feed: f, versions, usedAgain, isUsable };
}

/** Moments, in ms, of the backup and of the restore in most tests. */
const [BACKED_UP_AT, RESTORED_AT] = [2000, 4000];

/** A host that has seen what `lost` writes after the backup, from which the store is then restored. */
async function followRestore(
  before: (store: fakeSource.FakeSource) => void,
  lost: (store: fakeSource.FakeSource) => void,
) {
  const host = follow();
  before(host.store);
  await host.time.runUntil(BACKED_UP_AT);
  const backup = host.store.backup();
  lost(host.store);
  await host.time.runUntil(RESTORED_AT);
  host.store.restore(backup);
  return { ...host, backup };
}

describe("what a host knew before the store was restored from a backup", () => {
  const nothing = (): undefined => undefined;
  const register = (store: fakeSource.FakeSource): void => {
    store.put("e/a", "ready");
  };
  const leave = (store: fakeSource.FakeSource): void => {
    store.put("e/a", LEAVING);
  };
  const remove = (store: fakeSource.FakeSource): void => {
    store.remove("e/a");
  };
  const registerAndLeave = (store: fakeSource.FakeSource): void => {
    register(store);
    leave(store);
  };

  /** Checks whether worker `a` is usable until `untilMs`; `act` is called first at each time. */
  async function expectUsable(
    host: Awaited<ReturnType<typeof followRestore>>,
    usable: boolean,
    untilMs: number,
    act: (at: number) => void = nothing,
  ): Promise<void> {
    for (let at = host.time.mono(); at < untilMs; at += 50) {
      act(at);
      await host.time.runUntil(at);
      expect(host.isUsable("a"), `${at} ms`).equal(usable);
    }
    host.feed.stop();
  }

  it("keeps a worker in use that registered after the backup, until it registers again", async () => {
    const others = (store: fakeSource.FakeSource): void => {
      for (const worker of ["b", "c", "d"]) store.put(`e/${worker}`, "ready");
    };
    const host = await followRestore(others, register);
    let registered = false;
    await expectUsable(host, true, RESTORED_AT + SETTLED_MS, (at) => {
      if (registered || at < RESTORED_AT + REREGISTERED_MS) return;
      registered = true;
      register(host.store);
    });
    expect(registered).equal(true);
  });

  it("drops such a worker if it does not register again", async () => {
    const { time, feed: f } = await followRestore(nothing, register);
    await time.runUntil(RESTORED_AT + SETTLED_MS);
    expect(f.catalog.endpoints.size).equal(0);
    f.stop();
  });

  it("keeps a worker out of use that had said that it leaves, though its older entry is back", async () => {
    const host = await followRestore(register, leave);
    register(host.store);
    await expectUsable(host, false, RESTORED_AT + SETTLED_MS);
  });

  it("keeps it out of use if it was missing from the backup and registers again as ready", async () => {
    const host = await followRestore(nothing, registerAndLeave);
    await host.time.runUntil(RESTORED_AT + IN_FORCE_MS);
    register(host.store);
    await expectUsable(host, false, RESTORED_AT + IN_FORCE_MS + SETTLED_MS);
  });

  it("keeps a worker out of use whose entry was deleted after the backup, until it is deleted again", async () => {
    const host = await followRestore(register, remove);
    let removed = false;
    await expectUsable(host, false, RESTORED_AT + SETTLED_MS, (at) => {
      if (removed || at < RESTORED_AT + REWRITTEN_MS) return;
      removed = true;
      remove(host.store);
    });
    expect(removed).equal(true);
  });

  it("keeps it out of use too if its deletion was seen by its absence alone", async () => {
    const host = await followRestore(register, (store) => {
      remove(store);
      store.compact();
    });
    await expectUsable(host, false, RESTORED_AT + REREGISTERED_MS);
  });

  it("uses a worker again that registers again after its entry had been deleted", async () => {
    const { time, store, feed: f, isUsable } = await followRestore(register, remove);
    await time.runUntil(6000);
    expect(isUsable("a")).equal(false);
    register(store);
    await time.runUntil(6500);
    expect(isUsable("a")).equal(true);
    f.stop();
  });

  it("stays known if the store is restored while a snapshot is due anyway", async () => {
    const { time, store, feed: f, isUsable } = follow();
    for (const worker of ["b", "c", "d"]) store.put(`e/${worker}`, "ready");
    await time.runUntil(BACKED_UP_AT);
    const backup = store.backup();
    register(store);
    await time.runUntil(RESTORED_AT);
    store.listingFails = true;
    store.put("other", "1");
    store.compact();
    await time.runUntil(RESTORED_AT + IN_FORCE_MS);
    store.restore(backup);
    store.listingFails = false;
    await time.runUntil(RESTORED_AT + IN_FORCE_MS + REWRITTEN_MS);
    expect(f.catalog.position.era).equal(2);
    expect(isUsable("a")).equal(true);
    f.stop();
  });

  it("stays known if the store is restored twice in a row", async () => {
    const change = (store: fakeSource.FakeSource): void => {
      register(store);
      store.put("c", "2");
    };
    const {
      time,
      store,
      feed: f,
      backup,
      isUsable,
      versions,
    } = await followRestore(nothing, change);
    await time.runUntil(5800);
    register(store);
    await time.runUntil(5900);
    store.restore(backup);
    await time.runUntil(5900 + REWRITTEN_MS);
    expect(isUsable("a")).equal(true);
    change(store);
    await time.runUntil(5900 + SETTLED_MS);
    expect(isUsable("a")).equal(true);
    expect(versions).deep.equal([...versions].sort((a, b) => a - b));
    f.stop();
  });
});

describe("a change that the store lost by being restored from a backup", () => {
  /** Milliseconds from the change until the store is restored, and until the change is made again. */
  const [DOWN_MS, AGAIN_MS] = [700, 2400];
  /** The latest moment of the change that is tried, in ms after another one, and the step between these moments. */
  const [LATEST_MS, STEP_MS] = [1600, 50];

  it("puts a lost change in force in time that is written again, whenever it was made", async () => {
    for (let at = 0; at <= LATEST_MS; at += STEP_MS) {
      const { time, store, feed: f } = follow();
      await time.runUntil(4000);
      const backup = store.backup();
      for (let i = 0; i < 9; i++) store.put("other", String(i));
      await time.runUntil(4000 + at);
      store.put("c", "2");
      store.unavailable = true;
      await time.runUntil(4000 + at + DOWN_MS);
      store.restore(backup);
      store.unavailable = false;
      for (let ms = DOWN_MS; ms < IN_FORCE_MS; ms += 20) {
        if (ms === AGAIN_MS) store.put("c", "2");
        else if (ms % 100 === 0) store.put("other", String(ms));
        await time.runUntil(4000 + at + ms);
      }
      expect(f.catalog.config?.version, `made after ${at} ms`).equal(2);
      f.stop();
    }
  });
});

/** A step of a random history. */
type Step =
  | { readonly kind: "configure"; readonly ms: number }
  | {
      readonly kind: "register" | "leave" | "remove";
      readonly worker: string;
      readonly ms: number;
    }
  | { readonly kind: "backup" | "compact" | "outage"; readonly ms: number }
  /** Restores the store from the last backup, and writes again what was lost after `ms`. */
  | { readonly kind: "restore"; readonly ms: number };

const MS = fc.nat({ max: 1200 });
const WORKER = fc.constantFrom("a", "b", "c");
const STEP: fc.Arbitrary<Step> = fc.oneof(
  fc.record({ kind: fc.constant("configure" as const), ms: MS }),
  fc.record({
    kind: fc.constantFrom("register" as const, "leave" as const, "remove" as const),
    worker: WORKER,
    ms: MS,
  }),
  fc.record({
    kind: fc.constantFrom("backup" as const, "compact" as const, "outage" as const),
    ms: MS,
  }),
  fc.record({ kind: fc.constant("restore" as const), ms: fc.nat({ max: REWRITTEN_MS }) }),
);

/** Plays a history; resolves once everything lost has been written again and had its time to be in force. */
async function play(steps: readonly Step[], delays: readonly number[]) {
  const host = follow(() => 0.5);
  const { time, store } = host;
  let calls = 0;
  store.delayMs = () => delays[calls++ % delays.length] ?? 0;
  /** What the operator and the workers hold to be written. */
  const wanted = new Map([["c", "1"]]);
  const left = new Set<string>();
  let backup = store.backup();
  let now = 0;
  const wait = async (ms: number): Promise<void> => {
    now += ms;
    await time.runUntil(now);
  };
  const write = (key: string, text: string): void => {
    wanted.set(key, text);
    store.put(key, text);
  };
  const writeAgain = (): void => {
    for (const key of store.documents.keys()) if (!wanted.has(key)) store.remove(key);
    for (const [key, text] of wanted) {
      if (store.documents.get(key)?.text !== text) store.put(key, text);
    }
  };
  for (const s of steps) {
    switch (s.kind) {
      case "configure":
        write("c", String(Number(wanted.get("c")) + 1));
        break;
      case "register":
        // A worker that has left starts anew under another name.
        if (left.has(s.worker)) break;
        write(`e/${s.worker}`, "ready");
        break;
      case "leave":
        if (!wanted.has(`e/${s.worker}`)) break;
        left.add(s.worker);
        write(`e/${s.worker}`, LEAVING);
        break;
      case "remove":
        wanted.delete(`e/${s.worker}`);
        store.remove(`e/${s.worker}`);
        break;
      case "backup":
        backup = store.backup();
        break;
      case "compact":
        store.compact();
        backup = store.backup();
        break;
      case "outage":
        store.unavailable = true;
        await wait(s.ms);
        store.unavailable = false;
        break;
      case "restore":
        store.unavailable = true;
        await wait(s.ms % 400);
        store.restore(backup);
        store.unavailable = false;
        await wait(s.ms);
        writeAgain();
        break;
    }
    await wait(s.ms);
  }
  writeAgain();
  await wait(SETTLED_MS);
  host.feed.stop();
  return { ...host, wanted };
}

describe("a host that follows a store with restores, outages and late answers", () => {
  /** Plays a history, and checks what the host holds at its end and that it never went back. */
  async function check(steps: readonly Step[], delays: readonly number[]): Promise<void> {
    const { feed: f, versions, usedAgain, wanted } = await play(steps, delays);
    expect(String(f.catalog.config?.version)).equal(wanted.get("c"));
    const entries = [...f.catalog.endpoints.values()].map((e) => [
      e.id,
      e.leaving ? LEAVING : "ready",
    ]);
    const expected = [...wanted].filter(([key]) => key !== "c");
    expect(new Map(entries as [string, string][])).deep.equal(
      new Map(expected.map(([key, text]) => [key.slice(2), text])),
    );
    expect(versions).deep.equal([...versions].sort((a, b) => a - b));
    expect(usedAgain).deep.equal([]);
  }

  it("holds what the store holds once all is written again, and never goes back", async () => {
    const history = fc.array(STEP, { minLength: 3, maxLength: 14 });
    const delays = fc.array(fc.constantFrom(0, 4, 40, 300, 900), { minLength: 1, maxLength: 7 });
    await fc.assert(fc.asyncProperty(history, delays, check), { numRuns: 400 });
  }).timeout(60_000);

  it("does not use a deleted entry that a restore brought back and a compaction hides the deletion of", async () => {
    const steps: readonly Step[] = [
      { kind: "configure", ms: 339 },
      { kind: "configure", ms: 250 },
      { kind: "register", worker: "b", ms: 1127 },
      { kind: "compact", ms: 864 },
      { kind: "register", worker: "a", ms: 53 },
      { kind: "configure", ms: 676 },
      { kind: "register", worker: "a", ms: 516 },
      { kind: "remove", worker: "b", ms: 323 },
      { kind: "register", worker: "a", ms: 780 },
      { kind: "restore", ms: 358 },
      { kind: "configure", ms: 1102 },
      { kind: "configure", ms: 1178 },
      { kind: "restore", ms: 69 },
      { kind: "compact", ms: 0 },
    ];
    await check(steps, [300, 300, 0, 900]);
  });
});
