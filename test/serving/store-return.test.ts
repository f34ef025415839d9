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
/** Milliseconds after a return by which everything that was lost is written again in these tests. */
const REWRITTEN_MS = 1500;
/** Milliseconds after a return within which a worker registers again. */
const REREGISTERED_MS = 2000;
/** Milliseconds after a return by which what is known from before no longer matters. */
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

/** Moments, in ms, of the copy and of the store's return in most tests. */
const [COPIED_AT, RETURNED_AT] = [2000, 4000];

/** A host that has seen what `lost` writes after the copy, from which the store then comes back. */
async function followReturn(
  before: (store: fakeSource.FakeSource) => void,
  lost: (store: fakeSource.FakeSource) => void,
) {
  const host = follow();
  before(host.store);
  await host.time.runUntil(COPIED_AT);
  const copy = host.store.copy();
  lost(host.store);
  await host.time.runUntil(RETURNED_AT);
  host.store.comeBackFrom(copy);
  return { ...host, copy };
}

describe("what a host knew before the store came back from a copy", () => {
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
    host: Awaited<ReturnType<typeof followReturn>>,
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

  it("keeps a worker in use that registered after the copy, until it registers again", async () => {
    const others = (store: fakeSource.FakeSource): void => {
      for (const worker of ["b", "c", "d"]) store.put(`e/${worker}`, "ready");
    };
    const host = await followReturn(others, register);
    let registered = false;
    await expectUsable(host, true, RETURNED_AT + SETTLED_MS, (at) => {
      if (registered || at < RETURNED_AT + REREGISTERED_MS) return;
      registered = true;
      register(host.store);
    });
    expect(registered).equal(true);
  });

  it("drops such a worker if it does not register again", async () => {
    const { time, feed: f } = await followReturn(nothing, register);
    await time.runUntil(RETURNED_AT + SETTLED_MS);
    expect(f.catalog.endpoints.size).equal(0);
    f.stop();
  });

  it("keeps a worker out of use that had said that it leaves, though its older entry is back", async () => {
    const host = await followReturn(register, leave);
    register(host.store);
    await expectUsable(host, false, RETURNED_AT + SETTLED_MS);
  });

  it("keeps it out of use if it was missing from the copy and registers again as ready", async () => {
    const host = await followReturn(nothing, registerAndLeave);
    await host.time.runUntil(RETURNED_AT + IN_FORCE_MS);
    register(host.store);
    await expectUsable(host, false, RETURNED_AT + IN_FORCE_MS + SETTLED_MS);
  });

  it("keeps a worker out of use whose entry was deleted after the copy, until it is deleted again", async () => {
    const host = await followReturn(register, remove);
    let removed = false;
    await expectUsable(host, false, RETURNED_AT + SETTLED_MS, (at) => {
      if (removed || at < RETURNED_AT + REWRITTEN_MS) return;
      removed = true;
      remove(host.store);
    });
    expect(removed).equal(true);
  });

  it("keeps it out of use too if its deletion was seen by its absence alone", async () => {
    const host = await followReturn(register, (store) => {
      remove(store);
      store.compact();
    });
    await expectUsable(host, false, RETURNED_AT + REREGISTERED_MS);
  });

  it("uses a worker again that registers again after its entry had been deleted", async () => {
    const { time, store, feed: f, isUsable } = await followReturn(register, remove);
    await time.runUntil(6000);
    expect(isUsable("a")).equal(false);
    register(store);
    await time.runUntil(6500);
    expect(isUsable("a")).equal(true);
    f.stop();
  });

  it("stays known if the store comes back while a snapshot is due anyway", async () => {
    const { time, store, feed: f, isUsable } = follow();
    for (const worker of ["b", "c", "d"]) store.put(`e/${worker}`, "ready");
    await time.runUntil(COPIED_AT);
    const copy = store.copy();
    register(store);
    await time.runUntil(RETURNED_AT);
    store.listingFails = true;
    store.put("other", "1");
    store.compact();
    await time.runUntil(RETURNED_AT + IN_FORCE_MS);
    store.comeBackFrom(copy);
    store.listingFails = false;
    await time.runUntil(RETURNED_AT + IN_FORCE_MS + REWRITTEN_MS);
    expect(f.catalog.position.era).equal(2);
    expect(isUsable("a")).equal(true);
    f.stop();
  });

  it("stays known if the store comes back twice in a row", async () => {
    const change = (store: fakeSource.FakeSource): void => {
      register(store);
      store.put("c", "2");
    };
    const { time, store, feed: f, copy, isUsable, versions } = await followReturn(nothing, change);
    await time.runUntil(5800);
    register(store);
    await time.runUntil(5900);
    store.comeBackFrom(copy);
    await time.runUntil(5900 + REWRITTEN_MS);
    expect(isUsable("a")).equal(true);
    change(store);
    await time.runUntil(5900 + SETTLED_MS);
    expect(isUsable("a")).equal(true);
    expect(versions).deep.equal([...versions].sort((a, b) => a - b));
    f.stop();
  });
});

describe("a change that the store lost by coming back from a copy", () => {
  /** Milliseconds from the change until the store comes back, and until the change is made again. */
  const [AWAY_MS, AGAIN_MS] = [700, 2400];
  /** The latest moment of the change that is tried, in ms after another one, and the step between these moments. */
  const [LATEST_MS, STEP_MS] = [1600, 50];

  it("puts a lost change in force in time that is written again, whenever it was made", async () => {
    for (let at = 0; at <= LATEST_MS; at += STEP_MS) {
      const { time, store, feed: f } = follow();
      await time.runUntil(4000);
      const copy = store.copy();
      for (let i = 0; i < 9; i++) store.put("other", String(i));
      await time.runUntil(4000 + at);
      store.put("c", "2");
      store.unavailable = true;
      await time.runUntil(4000 + at + AWAY_MS);
      store.comeBackFrom(copy);
      store.unavailable = false;
      for (let ms = AWAY_MS; ms < IN_FORCE_MS; ms += 20) {
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
  | { readonly kind: "copy" | "compact" | "outage"; readonly ms: number }
  /** Comes back from the last copy, and writes again what was lost after `ms`. */
  | { readonly kind: "return"; readonly ms: number };

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
    kind: fc.constantFrom("copy" as const, "compact" as const, "outage" as const),
    ms: MS,
  }),
  fc.record({ kind: fc.constant("return" as const), ms: fc.nat({ max: REWRITTEN_MS }) }),
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
  let copy = store.copy();
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
      case "copy":
        copy = store.copy();
        break;
      case "compact":
        store.compact();
        copy = store.copy();
        break;
      case "outage":
        store.unavailable = true;
        await wait(s.ms);
        store.unavailable = false;
        break;
      case "return":
        store.unavailable = true;
        await wait(s.ms % 400);
        store.comeBackFrom(copy);
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

describe("a host that follows a store with returns, outages and late answers", () => {
  it("holds what the store holds once all is written again, and never goes back", async () => {
    const history = fc.array(STEP, { minLength: 3, maxLength: 14 });
    const delays = fc.array(fc.constantFrom(0, 4, 40, 300, 900), { minLength: 1, maxLength: 7 });
    await fc.assert(
      fc.asyncProperty(history, delays, async (steps, ms) => {
        const { feed: f, versions, usedAgain, wanted } = await play(steps, ms);
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
      }),
      { numRuns: 400 },
    );
  }).timeout(60_000);
});
