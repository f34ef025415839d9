import * as chai from "chai";
import * as fc from "fast-check";
import * as partSets from "../../../src/serving/crashes/part-sets.js";
import * as probePause from "../../../src/serving/crashes/probe-pause.js";
import * as records from "../../../src/serving/crashes/records.js";

const { expect } = chai;

const NOW = 100_000;
const usual = { underWayMs: 100, answeringMs: 0, peers: 13 };
let count = 0;

/** A crash of a worker under a request with some parts, `ageMs` ago. */
function crash(
  worker: number,
  parts: readonly string[],
  ageMs = 10_000,
  answeringMs = 0,
  identity = String(count++).padStart(22, "x"),
): records.News {
  return { kind: "ended", ...usual, identity, worker: `w${worker}`, parts, ageMs, answeringMs };
}

function cleared(parts: readonly string[], ageMs = 5000): records.News {
  return { kind: "cleared", parts, ageMs };
}

function findings(news: readonly records.News[], ranLately: readonly string[] = [], now = NOW) {
  const known = news.reduce((r, n) => records.apply(r, n, NOW), records.EMPTY);
  return partSets.find(known, (part) => ranLately.includes(part), now);
}

function setsOf(...args: Parameters<typeof findings>): readonly string[] {
  return findings(...args).sets.map((s) => s.parts.join("+"));
}

describe("a set of prompt parts that crashes workers", () => {
  const three = [1, 2, 3].map((w) => crash(w, ["a", "f", `b${w}`]));

  it("is proved by three workers, and by no fewer", () => {
    expect(setsOf(three.slice(0, 2))).deep.equal([]);
    expect(setsOf([...three.slice(0, 2), crash(2, ["a", "f", "b9"])])).deep.equal([]);
    expect(setsOf(three)).deep.equal(["a+f"]);
  });

  it("leaves out the parts of requests that ran to their end since", () => {
    expect(setsOf([...three, cleared(["a", "b1"])])).deep.equal(["f"]);
    expect(setsOf([cleared(["a"], 20_000), ...three])).deep.equal(["a+f"]);
  });

  it("does not hold requests without one of its parts, which are served as long as nothing tells them apart", () => {
    const [set] = findings(three).sets;
    expect(set && partSets.holds(["a", "b1"], set)).equal(false);
    expect(set && partSets.holds(["x", "a", "f"], set)).equal(true);
  });

  it("is not a part that many requests on the same workers hold", () => {
    const others = [1, 2, 3].flatMap((w) => [crash(w, ["a", "c"]), crash(w, ["a", "c"])]);
    expect(setsOf([...others, ...three, cleared(["a"])])).deep.equal(["f"]);
  });

  it("is not a part of requests whose answers had begun before", () => {
    const others = [1, 2, 3, 4].map((w) => crash(w, ["c"], 10_000, 900));
    expect(setsOf([...others, ...three])).deep.equal(["a+f"]);
    expect(setsOf(others)).deep.equal(["c"]);
  });

  it("is found for each of two parts at once", () => {
    const more = [4, 5, 6].map((w) => crash(w, ["a", "g", `b${w}`]));
    expect(setsOf([...three, ...more, cleared(["a"])])).deep.equal(["f", "g"]);
    expect(setsOf([...three, ...more])).deep.equal(["a"]);
    expect(findings([...three, ...more]).sets[0]?.isCertain).equal(false);
  });

  it("is not a part of requests beside one request that crashed the workers", () => {
    const fatal = [1, 2, 3].map((w) => crash(w, [], 10_000, 0, "fatal"));
    const others = [1, 2, 3].flatMap((w) => [crash(w, ["a", "b1"]), crash(w, ["a", `b${w + 1}`])]);
    expect(setsOf([...fatal, ...others, cleared(["a"], 20_000)])).deep.equal([]);
    expect(setsOf([...fatal, ...others, cleared(["a"])])).deep.equal([]);
  });

  it("is not a part of one request that crashed all of the workers", () => {
    expect(setsOf([1, 2, 3].map((w) => crash(w, ["a", "b1"], 10_000, 0, "fatal")))).deep.equal([]);
  });

  it("is found though one request with it is in quarantine and explains some of its crashes", () => {
    const same = [1, 2, 3].map((w) => crash(w, ["a", "f", "b1"], 10_000, 0, "same"));
    expect(setsOf([...same, crash(4, ["a", "f", "b2"]), cleared(["a"])])).deep.equal(["f"]);
  });

  it("is no part that ran on this host lately while it may still run to its end", () => {
    const young = [1, 2, 3].map((w) => crash(w, ["a"], 100));
    expect(setsOf(young, ["a"])).deep.equal([]);
    expect(setsOf(young)).deep.equal(["a"]);
    const { recheckAt } = findings(young, ["a"]);
    expect(recheckAt).above(NOW);
    expect(setsOf(young, ["a"], recheckAt)).deep.equal(["a"]);
  });

  it("is found in whatever order news arrives, and twice", () => {
    const part = fc.constantFrom("a", "b", "c", "d");
    const age = fc.nat(9).map((n) => n * 1000);
    const anyNews = fc.oneof(
      fc
        .record({ w: fc.nat(5), parts: fc.uniqueArray(part), age })
        .map(({ w, parts, age }) => crash(w, parts, age)),
      fc
        .record({ parts: fc.uniqueArray(part, { minLength: 1 }), age })
        .map(({ parts, age }) => cleared(parts, age)),
    );
    const lists = fc
      .array(anyNews, { maxLength: 20 })
      .chain((all) =>
        fc.tuple(
          fc.constant(all),
          fc.shuffledSubarray([...all, ...all], { minLength: 2 * all.length }),
        ),
      );
    fc.assert(
      fc.property(lists, ([all, shuffled]) => {
        expect(setsOf(shuffled)).deep.equal(setsOf(all));
      }),
    );
  });

  it("outlasts requests that name a thousand other parts", () => {
    const hostile = Array.from({ length: 500 }, (_, n) =>
      crash(
        100,
        Array.from({ length: 64 }, (_, i) => `h${n}-${i}`),
        5000,
      ),
    );
    const found = setsOf([...three, cleared(["a"]), ...hostile]);
    expect(found).deep.equal(["f"]);
  });

  it("is probed at once if sound requests may hold it, and at growing intervals", () => {
    const pause = (furtherCrashes: number, isCertain: boolean): number =>
      probePause.pauseMs({ furtherCrashes, isCertain }) / 1000;
    expect([0, 1, 2, 3].map((n) => pause(n, false))).deep.equal([2, 8, 32, 128]);
    expect([0, 1, 2, 3].map((n) => pause(n, true))).deep.equal([60, 240, 600, 600]);
  });
});
