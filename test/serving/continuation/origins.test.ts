import * as chai from "chai";
import * as fc from "fast-check";
import * as origin from "../../../src/serving/continuation/origin.js";
import * as origins from "../../../src/serving/continuation/origins.js";
import * as fleets from "./fleet-of-origins.js";

const { expect } = chai;

const of = (software: string): origin.Origin => ({ service: "s", software });
const MEMORY_MS = 10_000;
/** Milliseconds that the origin of a stream is waited for at most. */
const MAX_WAIT_MS = 1600;

describe("the only origin of a stream", () => {
  const rows: readonly (readonly [string, readonly origin.Witness[], string | undefined])[] = [
    ["one version, watched long", [{ possible: [of("a")], watchedMs: 11_000, ageMs: 0 }], "a"],
    ["watched too short", [{ possible: [of("a")], watchedMs: 9000, ageMs: 0 }], undefined],
    [
      "watched long, but long ago",
      [{ possible: [of("a")], watchedMs: 11_000, ageMs: 2000 }],
      undefined,
    ],
    ["two versions", [{ possible: [of("a"), of("b")], watchedMs: 11_000, ageMs: 0 }], undefined],
    [
      "another witness has watched long",
      [
        { possible: [of("a")], watchedMs: 10, ageMs: 0 },
        { possible: [of("a")], watchedMs: 60_000, ageMs: 20_000 },
      ],
      "a",
    ],
    [
      "a witness that has just started has seen another version",
      [
        { possible: [of("a")], watchedMs: 60_000, ageMs: 0 },
        { possible: [of("b")], watchedMs: 10, ageMs: 0 },
      ],
      undefined,
    ],
    ["nothing seen", [{ possible: [], watchedMs: 11_000, ageMs: 0 }], undefined],
  ];
  for (const [name, witnesses, expected] of rows) {
    it(name, () => {
      expect(origin.onlyOrigin(witnesses, MEMORY_MS)?.software).equal(expected);
    });
  }

  it("is that on which all records agree", () => {
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
  "cut",
  "heal",
  "add",
  "remove",
] as const;
/** One event of a history; the numbers choose among hosts, keepers, versions and streams. */
type Step = readonly [(typeof KINDS)[number], number, number];

const VERSIONS = ["v1", "v2", "v3"];

const steps: fc.Arbitrary<readonly Step[]> = fc.array(
  fc.tuple(fc.constantFrom("begin", "begin", "resume", "resume", ...KINDS), fc.nat(), fc.nat()),
  { minLength: 30, maxLength: 120 },
);
/** Milliseconds after which each entry host learns of a change. */
const lagsMs = fc.array(fc.integer({ min: 0, max: 1000 }), { minLength: 2, maxLength: 4 });

/** Plays a history; returns how many streams were to be resumed, and how many of these went on, and wrongly. */
async function play(lags: readonly number[], list: readonly Step[], maxPauseMs: number) {
  const fleet = new fleets.Fleet(lags, [200, 900, 1900]);
  let [tried, wentOn, wrong] = [0, 0, 0];
  await fleet.pass(25_000);
  for (const [kind, a, b] of list) {
    const host = fleet.hosts[a % fleet.hosts.length];
    if (!host) break;
    switch (kind) {
      case "begin":
        fleet.begin(host, b);
        break;
      case "resume": {
        const open = fleet.streams.filter((s) => fleet.now - s.at < fleets.WAIT_MS - MAX_WAIT_MS);
        const s = open[b % Math.max(1, open.length)];
        if (!s) break;
        tried++;
        const software = await fleet.resume(host, s, b % 4 > 0);
        if (software !== undefined) wentOn++;
        if (software !== undefined && software !== s.software) wrong++;
        break;
      }
      case "host":
        fleet.restartHost(host);
        break;
      case "hosts":
        for (const h of fleet.hosts) fleet.restartHost(h);
        break;
      case "keeper":
        fleet.restartKeeper(b);
        break;
      case "keepers":
        for (let n = 0; n < origins.KEEPERS; n++) fleet.restartKeeper(n);
        break;
      case "cut":
      case "heal":
        host.isCutOff = kind === "cut";
        break;
      case "add":
        fleet.register({ add: VERSIONS[b % VERSIONS.length] ?? "" });
        break;
      case "remove":
        fleet.register({ remove: VERSIONS[b % VERSIONS.length] ?? "" });
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
        lagsMs,
        steps,
        fc.constantFrom(100, 400, 1500),
        async (lags, list, maxPauseMs) => {
          const { wrong } = await play(lags, list, maxPauseMs);
          expect(wrong).equal(0);
        },
      ),
      { numRuns: 400 },
    );
  }).timeout(60_000);

  it("are not taken for the only version known here while a host that is ahead knows another", async () => {
    const fleet = new fleets.Fleet([0, 1000], [200, 900, 1900]);
    const [ahead, behind] = fleet.hosts;
    if (!ahead || !behind) throw new Error("no hosts");
    await fleet.pass(25_000);
    fleet.register({ add: "v2" });
    await fleet.pass(40);
    fleet.begin(ahead, 1);
    behind.isCutOff = true;
    expect(await fleet.resume(behind, fleet.stream(0))).equal(undefined);
  });

  it("are known after all keepers have started again", async () => {
    const fleet = new fleets.Fleet([100, 1000], [200, 900, 1900]);
    const [first, second] = fleet.hosts;
    if (!first || !second) throw new Error("no hosts");
    fleet.register({ add: "v2" });
    await fleet.pass(25_000);
    fleet.begin(first, 1);
    for (let n = 0; n < origins.KEEPERS; n++) fleet.restartKeeper(n);
    fleet.restartHost(first);
    expect(await fleet.resume(second, fleet.stream(0))).equal("v2");
  });

  it("are known of streams that had begun when a second version appeared", async () => {
    const fleet = new fleets.Fleet([100, 1000], [200, 900, 1900]);
    const [first, second] = fleet.hosts;
    if (!first || !second) throw new Error("no hosts");
    await fleet.pass(25_000);
    fleet.begin(first, 0);
    fleet.register({ add: "v2" });
    await fleet.pass(1500);
    fleet.restartHost(first);
    expect(await fleet.resume(second, fleet.stream(0))).equal("v1");
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
    const { tried, wentOn, wrong } = await play([50, 300, 900], list, 200);
    expect(wrong).equal(0);
    expect(wentOn / tried).greaterThan(0.9);
  });

  it("are known of streams whose callers name no attempt, soon after all daemons started beside one version", async () => {
    const fleet = new fleets.Fleet([100, 900], [200, 900, 1900]);
    const [first, second] = fleet.hosts;
    if (!first || !second) throw new Error("no hosts");
    await fleet.pass(4000);
    fleet.begin(first, 0);
    await fleet.pass(500);
    expect(await fleet.resume(second, fleet.stream(0), false)).equal("v1");
    fleet.register({ add: "v2" });
    await fleet.pass(1000);
    expect(await fleet.resume(second, fleet.stream(0), false)).equal(undefined);
  });

  it("are mostly known while hosts and keepers restart beside one version", async () => {
    const list: Step[] = [];
    for (let n = 0; n < 40; n++) {
      list.push(["begin", n, n], ["host", n, 0], ["resume", n + 1, n], ["resume", n, n]);
      if (n % 10 === 9) list.push(["keeper", 0, n]);
    }
    const { tried, wentOn, wrong } = await play([50, 300, 900], list, 200);
    expect(wrong).equal(0);
    expect(wentOn / tried).greaterThan(0.9);
  });
});
