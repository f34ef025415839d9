import * as chai from "chai";
import * as fc from "fast-check";
import * as origin from "../../../src/serving/continuation/origin.js";
import * as origins from "../../../src/serving/continuation/origins.js";
import * as register from "../../../src/serving/continuation/register.js";
import * as fleets from "./fleet-of-origins.js";

const { expect } = chai;

const of = (software: string): origin.Origin => ({ service: "s", software });
/** Milliseconds after which all hosts know a change of the store. */
const KNOWN_MS = 2500;
/** Milliseconds after which a host drops an entry of the register that it has not seen in use, and between two of its reviews. */
const UNUSED_MS = 120_000;
const REVIEW_MS = 5000;

describe("records of an origin", () => {
  it("tell the one on which all of them agree", () => {
    expect(origin.agreedOrigin([of("a"), of("a")])).deep.equal(of("a"));
    expect(origin.agreedOrigin([of("a"), of("b")])).equal(undefined);
    expect(origin.agreedOrigin([])).equal(undefined);
  });
});

/** What may happen in a history. */
const KINDS = [
  "begin",
  "resume",
  "host",
  "hosts",
  "keeper",
  "keepers",
  "all",
  "cut",
  "heal",
  "store cut",
  "store heal",
  "watch fails",
  "watch heals",
  "store down",
  "store up",
  "compact",
  "back up",
  "restore",
  "add",
  "remove",
] as const;
/** One event of a history; the numbers choose among hosts, keepers, versions and streams. */
type Step = readonly [(typeof KINDS)[number], number, number];

/** What may happen while versions change and hosts are out of step. */
const RELEASE_KINDS = [
  "begin",
  "resume",
  "store cut",
  "store heal",
  "watch fails",
  "watch heals",
  "add",
  "remove",
] as const;

const VERSIONS = ["v1", "v2", "v3"];

const steps: fc.Arbitrary<readonly Step[]> = fc.array(
  fc.tuple(fc.constantFrom("begin", "begin", "resume", "resume", ...KINDS), fc.nat(), fc.nat()),
  { minLength: 30, maxLength: 120 },
);

/** Numbers that look random, from 0 up to, not including, 1. */
function numbers(seed: number): () => number {
  let n = seed;
  return () => (n = (n + 0.618034) % 1);
}

/** Plays a history; returns how many streams were to be resumed, and how many of these went on, and wrongly. */
async function play(
  list: readonly Step[],
  maxPauseMs: number,
  { hosts = 3, seed = 0.1, storeMs = 20, upMs = KNOWN_MS } = {},
) {
  const fleet = new fleets.Fleet(hosts, numbers(seed), storeMs);
  let [tried, wentOn, wrong] = [0, 0, 0];
  await fleet.pass(upMs);
  for (const [kind, a, b] of list) {
    const host = fleet.hosts[a % fleet.hosts.length];
    if (!host) break;
    switch (kind) {
      case "begin":
        fleet.begin(host, b);
        break;
      case "resume": {
        const open = fleet.streams.filter((s) => fleet.time.mono() - s.at < fleets.WAIT_MS);
        const s = open[b % Math.max(1, open.length)];
        if (!s) break;
        tried++;
        const software = await fleet.resume(host, s, b % 4 > 0);
        if (software !== undefined) wentOn++;
        if (software !== undefined && software !== s.software) wrong++;
        break;
      }
      case "host":
        await fleet.restartHost(host);
        break;
      case "hosts":
        for (const h of fleet.hosts) await fleet.restartHost(h);
        break;
      case "keeper":
        fleet.restartKeeper(b);
        break;
      case "keepers":
        for (let n = 0; n < origins.KEEPERS; n++) fleet.restartKeeper(n);
        break;
      case "all":
        await fleet.killAll(b % 1500);
        break;
      case "cut":
      case "heal":
        host.isCutOff = kind === "cut";
        break;
      case "store cut":
      case "store heal":
        fleet.cutFromStore(host, kind === "store cut");
        break;
      case "watch fails":
      case "watch heals":
        fleet.blindToStore(host, kind === "watch fails");
        break;
      case "store down":
      case "store up":
        fleet.store.unavailable = kind === "store down";
        break;
      case "compact":
        fleet.store.compact();
        break;
      case "back up":
        fleet.backUp();
        break;
      case "restore":
        await fleet.restore();
        break;
      case "add":
        fleet.register({ add: VERSIONS[b % VERSIONS.length] ?? "" });
        break;
      case "remove":
        if (fleet.running.size > 1) fleet.register({ remove: VERSIONS[b % VERSIONS.length] ?? "" });
        break;
    }
    await fleet.pass(b % maxPauseMs);
  }
  return { tried, wentOn, wrong };
}

describe("origins of streams", () => {
  it("are never wrong, whatever restarts, is cut off or changes its version", async () => {
    await fc.assert(
      fc.asyncProperty(
        steps,
        fc.constantFrom(100, 400, 1500),
        fc.double({ min: 0, max: 0.99, noNaN: true }),
        fc.constantFrom(5, 300),
        async (list, maxPauseMs, seed, storeMs) => {
          const { wrong } = await play(list, maxPauseMs, { seed, storeMs });
          expect(wrong).equal(0);
        },
      ),
      { numRuns: 500 },
    );
  }).timeout(120_000);

  it("are never wrong at hosts that have run for long and are out of step while versions come and go", async () => {
    const kinds = fc.constantFrom("begin", "begin", "resume", "resume", ...RELEASE_KINDS);
    const release = fc.array(fc.tuple(kinds, fc.nat(), fc.nat()), {
      minLength: 30,
      maxLength: 90,
    });
    await fc.assert(
      fc.asyncProperty(
        release,
        fc.constantFrom(100, 400, 1500),
        fc.double({ min: 0, max: 0.99, noNaN: true }),
        async (list, maxPauseMs, seed) => {
          const { wrong } = await play(list, maxPauseMs, { seed, upMs: UNUSED_MS });
          expect(wrong).equal(0);
        },
      ),
      { numRuns: 150, endOnFailure: true },
    );
  }).timeout(60_000);

  /** A fleet whose hosts know the versions, and two of the hosts. */
  async function start(versions: readonly string[], storeMs = 20) {
    const fleet = new fleets.Fleet(3, numbers(0.1), storeMs);
    for (const add of versions) fleet.register({ add });
    await fleet.pass(KNOWN_MS);
    const [first, second] = fleet.hosts;
    if (!first || !second) throw new Error("no hosts");
    const begin = (choice: number): fleets.Begun => {
      const s = fleet.begin(first, choice);
      if (!s) throw new Error("no stream has begun");
      return s;
    };
    return { fleet, first, second, begin };
  }

  it("are known beside one version after all daemons were killed at once", async () => {
    const { fleet, second, begin } = await start([]);
    const s = begin(0);
    await fleet.killAll(400);
    await fleet.pass(100);
    expect(await fleet.resume(second, s)).equal("v1");
    expect(await fleet.resume(second, s, false)).equal("v1");
  });

  it("are known beside two versions after all daemons were killed at once, once they are in the log", async () => {
    const { fleet, second, begin } = await start(["v2"]);
    const logged = begin(1);
    await fleet.pass(400);
    const late = begin(1);
    await fleet.killAll(400);
    await fleet.pass(100);
    expect(await fleet.resume(second, logged)).equal("v2");
    expect(await fleet.resume(second, late)).equal(undefined);
  });

  it("are known of all but the last few streams before all daemons were killed at once", async () => {
    const { fleet, second } = await start(["v2"]);
    for (let n = 0; n < 36; n++) {
      const host = fleet.hosts[n % fleet.hosts.length];
      if (host) fleet.begin(host, n);
      await fleet.pass(55);
    }
    await fleet.killAll(400);
    await fleet.pass(100);
    const refused: fleets.Begun[] = [];
    for (const s of fleet.streams) {
      const software = await fleet.resume(second, s);
      if (software === undefined) refused.push(s);
      else expect(software).equal(s.software);
    }
    expect(refused.map((s) => s.attempt)).lengthOf.most(1);
  });

  it("are known after their host was killed and each keeper restarted", async () => {
    const { fleet, first, second, begin } = await start(["v2"]);
    const s = begin(1);
    await fleet.pass(400);
    await fleet.restartHost(first);
    for (let n = 0; n < origins.KEEPERS; n++) fleet.restartKeeper(n);
    expect(await fleet.resume(second, s)).equal("v2");
  });

  it("are known of a stream that its host had not logged, after its keepers restarted", async () => {
    const { fleet, first, second, begin } = await start(["v2"]);
    const s = begin(1);
    for (let n = 0; n < origins.KEEPERS; n++) fleet.restartKeeper(n);
    await fleet.restartHost(first);
    expect(await fleet.resume(second, s)).equal("v2");
  });

  it("are known of a stream that went on at another host, after its keepers and that host ended", async () => {
    const { fleet, first, second, begin } = await start(["v2"]);
    const s = begin(1);
    await fleet.restartHost(first);
    expect(await fleet.resume(second, s)).equal("v2");
    fleet.goOn(second, s);
    for (let n = 0; n < origins.KEEPERS; n++) fleet.restartKeeper(n);
    await fleet.restartHost(second);
    expect(await fleet.resume(first, s)).equal("v2");
  });

  it("are known of streams that had begun when a second version appeared", async () => {
    const { fleet, first, second, begin } = await start([]);
    const s = begin(0);
    fleet.register({ add: "v2" });
    await fleet.pass(KNOWN_MS);
    await fleet.restartHost(first);
    expect(await fleet.resume(second, s)).equal("v1");
  });

  it("are known of streams that were open when the store went away", async () => {
    const { fleet, first, second, begin } = await start([]);
    const s = begin(0);
    fleet.store.unavailable = true;
    await fleet.pass(4500);
    await fleet.restartHost(first);
    expect(await fleet.resume(second, s)).equal("v1");
    expect(await fleet.resume(second, s, false)).equal(undefined);
  });

  it("leave no rejection unhandled if the store fails while keepers are asked", async () => {
    const { fleet, first, second, begin } = await start(["v2"]);
    const s = begin(1);
    await fleet.restartHost(first);
    fleet.store.unavailable = true;
    const unhandled: unknown[] = [];
    const listener = (err: unknown): void => {
      unhandled.push(err);
    };
    process.on("unhandledRejection", listener);
    expect(await fleet.resume(second, s)).equal("v2");
    process.off("unhandledRejection", listener);
    expect(unhandled).deep.equal([]);
  });

  it("are not taken for the only version known here while another host uses a second one", async () => {
    const { fleet, first, second } = await start([]);
    fleet.cutFromStore(second, true);
    fleet.register({ add: "v2" });
    await fleet.pass(KNOWN_MS);
    const s = fleet.begin(first, 1);
    if (s?.software !== "v2") throw new Error("no stream has begun on the second version");
    second.isCutOff = true;
    expect(await fleet.resume(second, s)).equal(undefined);
    expect(await fleet.resume(second, s, false)).equal(undefined);
  });

  it("are not taken for the only version of an older register while the store is restored", async () => {
    const { fleet, second, begin } = await start([]);
    fleet.backUp();
    fleet.register({ add: "v2" });
    await fleet.pass(KNOWN_MS);
    const s = begin(1);
    fleet.register({ remove: "v2" });
    for (const h of fleet.hosts) fleet.cutFromStore(h, true);
    await fleet.restore();
    await fleet.killAll(400);
    for (const h of fleet.hosts) fleet.cutFromStore(h, false);
    await fleet.pass(500);
    expect(await fleet.resume(second, s, false)).equal(undefined);
  });

  it("are not taken for the only version known to a host that was cut off before the store was restored", async () => {
    const { fleet, second, begin } = await start([]);
    await fleet.pass(fleets.WAIT_MS * 3);
    fleet.backUp();
    fleet.cutFromStore(second, true);
    fleet.register({ add: "v2" });
    await fleet.pass(1000);
    const s = begin(1);
    expect(s.software).equal("v2");
    fleet.register({ remove: "v2" });
    for (const h of fleet.hosts) fleet.cutFromStore(h, true);
    await fleet.restore();
    fleet.cutFromStore(second, false);
    await fleet.pass(500);
    expect(await fleet.resume(second, s, false)).equal(undefined);
  });

  it("are inferred again soon after a restore of the store that changed nothing", async () => {
    const { fleet, second, begin } = await start([]);
    await fleet.pass(fleets.WAIT_MS * 3);
    fleet.backUp();
    await fleet.restore();
    await fleet.pass(2 * REVIEW_MS + KNOWN_MS);
    expect(await fleet.resume(second, begin(0), false)).equal("v1");
  });

  it("are listed before streams begin at them", async () => {
    const { fleet, first } = await start([], 600);
    const began = new Set<string | undefined>();
    fleet.register({ add: "v2" });
    while (!fleet.store.documents.get(register.KEY)?.text.includes("v2")) {
      began.add(fleet.begin(first, 1)?.software);
      await fleet.pass(20);
    }
    expect([...began]).deep.equal(["v1"]);
    await fleet.pass(KNOWN_MS);
    expect(fleet.begin(first, 1)?.software).equal("v2");
  });

  it("are dropped once no stream that has them can go on", async () => {
    const { fleet, second, begin } = await start(["v2"]);
    fleet.register({ remove: "v1" });
    await fleet.pass(KNOWN_MS);
    expect(await fleet.resume(second, begin(0), false)).equal(undefined);
    await fleet.pass(180_000);
    expect(await fleet.resume(second, begin(0), false)).equal("v2");
  });

  it("are not taken for the only version known to a host whose watch is late", async () => {
    const { fleet, second, begin } = await start([]);
    await fleet.pass(UNUSED_MS);
    fleet.blindToStore(second, true);
    fleet.register({ add: "v2" });
    await fleet.pass(KNOWN_MS);
    const s = begin(1);
    expect(s.software).equal("v2");
    const wentOnAt = new Set<string | undefined>();
    for (let n = 0; n < 40; n++) {
      wentOnAt.add(await fleet.resume(second, s, false));
      await fleet.pass(REVIEW_MS / 20);
    }
    expect([...wentOnAt]).deep.equal([undefined]);
  });

  it("stay listed when a host whose watch is late drops another version", async () => {
    const { fleet, second } = await start(["v3"]);
    fleet.register({ remove: "v3" });
    await fleet.pass(UNUSED_MS - KNOWN_MS);
    fleet.blindToStore(second, true);
    fleet.register({ add: "v2" });
    await fleet.pass(KNOWN_MS);
    const lacks = new Set<string>();
    for (let n = 0; n < 2 * REVIEW_MS; n += 20) {
      const { software } = register.parse(fleet.store.documents.get(register.KEY)?.text ?? "");
      for (const v of ["v1", "v2"]) if (!software.get("guide")?.has(v)) lacks.add(v);
      await fleet.pass(20);
    }
    expect([...lacks]).deep.equal([]);
  });

  it("are not forgotten by a host that was cut off while a version came and went", async () => {
    const { fleet, second, begin } = await start([]);
    await fleet.pass(UNUSED_MS);
    fleet.cutFromStore(second, true);
    fleet.register({ add: "v2" });
    await fleet.pass(KNOWN_MS);
    const s = begin(1);
    expect(s.software).equal("v2");
    fleet.register({ remove: "v2" });
    await fleet.pass(100);
    fleet.cutFromStore(second, false);
    await fleet.pass(REVIEW_MS + KNOWN_MS);
    expect(await fleet.resume(second, s, false)).equal(undefined);
  });

  it("are mostly known while hosts restart beside two versions", async () => {
    const list: Step[] = [["add", 0, 1]];
    for (let n = 0; n < 40; n++) {
      list.push(
        ["begin", n, n],
        ["begin", n, n + 1],
        ["host", n, 0],
        ["resume", n + 1, 4 * n + 1],
        ["resume", n, 4 * n + 2],
      );
    }
    const { tried, wentOn, wrong } = await play(list, 200);
    expect(wrong).equal(0);
    expect(wentOn / tried).greaterThan(0.9);
  });

  it("are mostly known while all daemons are killed again and again beside two versions", async () => {
    const list: Step[] = [["add", 0, 1]];
    for (let n = 0; n < 40; n++) {
      list.push(
        ["begin", n, n],
        ["begin", n + 1, 399],
        ["all", 0, 400],
        ["resume", n, 4 * n + 1],
        ["resume", n, 4 * n + 2],
      );
    }
    const { tried, wentOn, wrong } = await play(list, 400);
    expect(wrong).equal(0);
    expect(wentOn / tried).greaterThan(0.8);
  });
});
