import * as chai from "chai";
import type * as source from "../../src/store/source.js";
import * as watchScope from "../../src/serving/watching/watch-scope.js";
import * as fakeSource from "./fake-source.js";

const { expect } = chai;

const PREFIXES = ["op/", "servers/"];
const written = (key: string, bytes: number): source.Change => ({
  kind: "written",
  document: { key, text: "x".repeat(bytes) },
});

describe("what a host watches in the store", () => {
  it("is the common prefix until changes of no interest are many, and then each prefix for a while", () => {
    const scope = new watchScope.WatchScope(PREFIXES, "");
    scope.received([written("servers/a", 50_000), written("other/a", 5000)], 1000, 1000);
    expect(scope.at(1000)).deep.equal([""]);
    scope.received([written("other/a", 9000)], 1000, 2000);
    expect(scope.at(2000)).deep.equal(PREFIXES);
    expect(scope.at(62_000)).deep.equal([""]);
  });

  it("brings the changes of all prefixes, and again what is after the earliest of their positions", async () => {
    const from = new fakeSource.FakeSource();
    const start = from.store.position();
    for (const key of ["op/a", "other/a", "servers/a"]) from.put(key, "");
    const first = await watchScope.waitForChanges(from, PREFIXES, start, 10);
    if (first.kind !== "changes") throw new Error(first.kind);
    expect(first.changes.map((c) => c.kind === "written" && c.document.key)).deep.equal([
      "op/a",
      "servers/a",
    ]);
    from.compact();
    from.put("op/b", "");
    expect((await watchScope.waitForChanges(from, PREFIXES, start, 10)).kind).equal("compacted");
  });
});
