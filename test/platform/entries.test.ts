import * as v8 from "node:v8";
import * as vm from "node:vm";
import * as chai from "chai";
import * as fc from "fast-check";
import * as standin from "../../bench/platform/documents.js";
import * as platform from "../../platform/documents.js";
import * as clock from "../../src/host/clock.js";
import type * as structuredLog from "../../src/host/structured-log.js";
import * as catalog from "../../src/serving/catalog.js";
import * as feed from "../../src/serving/feed.js";
import * as watchPace from "../../src/serving/watch-pace.js";
import * as eras from "../../src/store/era.js";
import * as position from "../../src/store/position.js";
import type * as source from "../../src/store/source.js";

const { expect } = chai;

v8.setFlagsFromString("--expose-gc");

const GOOD = standin.workerEntry("llm", "10.0.0.1:80") as Readonly<Record<string, unknown>>;
const GOOD_KEY = `${platform.WORKERS_PREFIX}good`;
const BAD_KEY = `${platform.WORKERS_PREFIX}bad`;

/** Invalid worker entries, by what is wrong with them. */
const BAD: Readonly<Record<string, string>> = {
  "no JSON": "{",
  "no UTF-8": Buffer.from([0xff, 0xfe, 0x00]).toString(),
  "no object": "[]",
  null: "null",
  "deeply nested": "[".repeat(100_000),
  "very long": JSON.stringify({ ...GOOD, service: 1, more: "x".repeat(900_000) }),
  "a software version that fits in no message between daemons": JSON.stringify({
    ...GOOD,
    version: "v".repeat(600_000),
  }),
  "a service of a thousand characters and one": JSON.stringify({
    ...GOOD,
    service: "s".repeat(1001),
  }),
  "a missing field": JSON.stringify({ ...GOOD, address: undefined }),
  "another type": JSON.stringify({ ...GOOD, slots: "8" }),
  "a number out of range": JSON.stringify({ ...GOOD }).replace('"slots":8', '"slots":1e999'),
  "no places": JSON.stringify({ ...GOOD, slots: -1 }),
  "an unknown state": JSON.stringify({ ...GOOD, state: "resting" }),
  "an address without a port": JSON.stringify({ ...GOOD, address: "10.0.0.1" }),
  "an address out of range": JSON.stringify({ ...GOOD, address: "10.0.0.1:99999" }),
  "a name for an address": JSON.stringify({ ...GOOD, address: "worker:80" }),
  "a start as text": JSON.stringify({ ...GOOD, born: "1700000000000" }),
  "a start with a fraction": JSON.stringify({ ...GOOD, born: 1.5 }),
  "a negative start": JSON.stringify({ ...GOOD, born: -1 }),
  "a start that is null": JSON.stringify({ ...GOOD, born: null }),
};

/** A store that answers each watch with the next batch of changes. */
class Scripted implements source.Source {
  private revision = 1;
  constructor(private readonly batches: (readonly (readonly [string, string])[])[]) {}

  list = (prefix: string) => {
    const document = { key: GOOD_KEY, text: JSON.stringify(GOOD) };
    const documents = GOOD_KEY.startsWith(prefix) ? [document] : [];
    return Promise.resolve({ documents, position: position.Position.at(eras.FIRST, 1) });
  };

  waitForChanges = async (): Promise<source.ChangesResult> => {
    await clock.sleep(clock.system, 1);
    const batch = this.batches.shift() ?? [];
    const changes = batch.map(([key, text]): source.Change => {
      this.revision++;
      return { kind: "written", document: { key, text } };
    });
    return { kind: "changes", changes, position: position.Position.at(eras.FIRST, this.revision) };
  };

  readonly era = eras.FIRST;

  replaceConnections = (): void => undefined;
  claim = (): Promise<boolean> => Promise.resolve(true);
}

/** The catalog after the batches, and the log lines and count of documents that could not be decoded. */
async function follow(batches: (readonly (readonly [string, string])[])[]) {
  const lines: string[] = [];
  const told = (sentence: string): void => {
    if (sentence.startsWith("A document")) lines.push(sentence);
  };
  const log: structuredLog.Log = { info: told, warn: told, error: told };
  let lastChange = catalog.EMPTY;
  const f = new feed.Feed({
    clock: clock.system,
    log,
    source: new Scripted(batches),
    decoder: {
      written: platform.updateOf,
      deleted: platform.deletionUpdateOf,
      prefixes: [platform.WORKERS_PREFIX],
      common: platform.WORKERS_PREFIX,
    },
    pace: { ...watchPace.promptPace(2000), minIntervalMs: 1 },
    onChange: (at) => {
      lastChange = at;
    },
    onRestored: () => undefined,
    random: () => 0,
  });
  const running = f.run();
  for (let i = 0; i < 200 && batches.length > 0; i++) await clock.sleep(clock.system, 2);
  await clock.sleep(clock.system, 10);
  f.stop();
  await running;
  expect(lastChange.endpoints).equal(f.catalog.endpoints);
  return { at: f.catalog, lines, unreadable: f.unreadableCount, feed: f };
}

describe("an entry by another writer", () => {
  for (const [wrong, text] of Object.entries(BAD)) {
    it(`registers no worker, and leaves the others registered: ${wrong}`, async () => {
      const { at, lines, unreadable } = await follow([
        [[BAD_KEY, JSON.stringify({ ...GOOD, address: "10.0.0.2:80" })]],
        [[BAD_KEY, text]],
        [[BAD_KEY, text]],
      ]);
      expect([...at.endpoints.keys()]).deep.equal(["good"]);
      expect(lines.length).equal(1);
      expect(unreadable).equal(1);
    });
  }

  it("does not take up memory once it was found to be unreadable", async () => {
    const collect = vm.runInNewContext("gc") as () => void;
    const entries = (): (readonly [string, string])[] =>
      Array.from({ length: 60 }, (_, i) => [`${BAD_KEY}-${i}`, `${"x".repeat(500_000)}${i}`]);
    collect();
    const before = process.memoryUsage().heapUsed;
    const followed = await follow([entries()]);
    collect();
    const keptBytes = process.memoryUsage().heapUsed - before;
    expect(followed.feed.unreadableCount).equal(60);
    expect(keptBytes).below(5_000_000);
  });

  it("is replaced by the next valid one", async () => {
    const { at } = await follow([[[BAD_KEY, "{"]], [[BAD_KEY, JSON.stringify(GOOD)]]]);
    expect([...at.endpoints.keys()]).deep.equal(["good", "bad"]);
  });

  it("is either decoded as a valid worker or rejected, whatever it holds", () => {
    const entry = fc.record(
      {
        service: fc.oneof(fc.string(), fc.anything()),
        address: fc.oneof(fc.constant("10.0.0.1:80"), fc.string(), fc.anything()),
        zone: fc.oneof(fc.string(), fc.anything()),
        slots: fc.oneof(fc.integer(), fc.double(), fc.anything()),
        state: fc.oneof(fc.constantFrom("ready", "draining"), fc.anything()),
        born: fc.oneof(fc.nat(), fc.double(), fc.anything()),
      },
      { requiredKeys: [] },
    );
    fc.assert(
      fc.property(fc.oneof(fc.json(), entry.map(textOf), fc.string()), (text) => {
        let step: catalog.Update | undefined;
        try {
          step = platform.updateOf(BAD_KEY, text);
        } catch {
          return;
        }
        if (step?.kind !== "endpoint") throw new Error(`decoded as ${step?.kind ?? "nothing"}`);
        expect(step.endpoint.address).match(/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/);
        expect(step.endpoint.seats).above(0);
      }),
    );
  });

  it("leaves the previous configuration in force if the operator's cannot be decoded", () => {
    expect(platform.deletionUpdateOf(`${platform.OPERATOR_PREFIX}config`)).equal(undefined);
  });
});

/** A value as JSON, or a text that is not JSON if it cannot be serialized. */
function textOf(value: unknown): string {
  try {
    return JSON.stringify(value);
  } catch {
    return "not JSON";
  }
}
