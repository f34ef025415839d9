import * as chai from "chai";
import * as fc from "fast-check";
import * as standin from "../../bench/platform/documents.js";
import * as http from "../../bench/platform/http.js";
import * as stores from "../../bench/platform/store.js";
import * as client from "../../platform/store.js";
import * as documents from "../../platform/documents.js";
import * as register from "../../src/serving/continuation/register.js";
import * as quarantine from "../../src/serving/quarantine.js";
import * as eras from "../../src/store/era.js";
import * as position from "../../src/store/position.js";
import * as followedStore from "./followed-store.js";

const { expect } = chai;
const { until } = followedStore;

const entry = (address: string, more = ""): string =>
  `{"service":"llm","address":${address},"zone":"a","slots":8,"state":"ready"${more}}`;
const GOOD = '"10.0.0.1:80"';

/** Values that other writers left under keys that daemons read. */
const ODD: Readonly<Record<string, string | Buffer>> = {
  "servers/nested": `${"[".repeat(100_000)}${"]".repeat(100_000)}`,
  "servers/nested-field": entry(GOOD, `,"more":${'{"a":'.repeat(90_000)}1${"}".repeat(90_000)}`),
  "servers/1e400": entry(GOOD, ',"born":1e400'),
  "servers/2^53": entry(GOOD, ',"born":9007199254740992'),
  "servers/port-out-of-range": entry('"10.0.0.1:65536"'),
  "servers/negative-port": entry('"10.0.0.1:-1"'),
  "servers/no-port": entry('"10.0.0.1"'),
  "servers/port-0": entry('"10.0.0.1:0"'),
  "servers/__proto__": entry('"10.0.0.2:80"', ',"__proto__":{"slots":-1}'),
  "servers/of-proto": entry('"10.0.0.3:80"').replace("llm", "__proto__"),
  "servers/line\nend\u2028": entry('"10.0.0.4:80"', ',"version":"v\\n\\u2028"'),
  "servers/": entry('"10.0.0.5:80"'),
  "servers/#": entry('"10.0.0.6:80"', ',"born":1'),
  [`servers/${"w".repeat(192)}`]: entry('"10.0.0.7:80"'),
  "servers/huge": entry(GOOD, `,"more":"${"x".repeat(700_000)}"`),
  "servers/no-json": "{",
  "servers/no-utf-8": Buffer.from([0xff, 0xfe, 0x00, 0xc3]),
  "servers/empty": "",
  "op/version/m.a1": '{"model":"m","adapter":"a1","version":1e400}',
  "op/version/": "[]",
  "op/version/__proto__": '{"model":"__proto__","adapter":"__proto__","version":1}',
  "op/other": "{",
  [register.KEY]: '{"service":{},"software":{"a":[1]},"completeIn":1e400}',
  [`${quarantine.PREFIX}x`]: Buffer.from([0xff, 0x00]),
  [quarantine.PREFIX]: "[".repeat(50_000),
};

const config = (version: number): object =>
  standin.config(version, [], [standin.engineService("llm", 2)]);

it("odd documents keep no daemon, running or starting, from what is written after them", async () => {
  const store = new stores.Store();
  await store.start();
  store.put("op/config", config(1));
  const running = followedStore.follow(store);
  await until(() => running.feed.catalog.config?.version === 1);
  store.write("op/config", Buffer.from('{"version":2,"routes":[null').toString("base64"));
  for (const [key, value] of Object.entries(ODD)) {
    expect(Buffer.byteLength(key)).most(200);
    store.write(key, Buffer.from(value).toString("base64"));
  }
  const starting = followedStore.follow(store);
  const entries = [running, starting];
  const all = [...entries, followedStore.follow(store, followedStore.ENDPOINT_PREFIXES)];
  try {
    await until(() => all.every((f) => f.feed.unreadableCount > 0));
    store.put("servers/new", standin.workerEntry("llm", "10.0.0.9:80"));
    store.put("op/config", config(3));
    await until(() => all.every((f) => f.feed.catalog.config?.version === 3));
    await until(() => entries.every((f) => f.feed.catalog.endpoints.has("new")));
    const listed = entries.map((f) => [...f.feed.catalog.endpoints.values()].map((e) => e.address));
    for (const addresses of listed) {
      const ports = ["2", "3", "4", "5", "6", "7", "9"].map((n) => `10.0.0.${n}:80`);
      expect([...addresses].sort()).deep.equal(ports);
    }
  } finally {
    for (const f of all) f.close();
    store.stop();
  }
}).timeout(20_000);

describe("an answer of the store that cannot be read fails the call alone", () => {
  const answers: Readonly<Record<string, string>> = {
    "no items": '{"truncated":false,"currentRev":1}',
    "a revision of 1e400": '{"items":[],"events":[],"truncated":false,"currentRev":1e400}',
    "a revision with a fraction": '{"items":[],"events":[],"truncated":false,"currentRev":1.5}',
    "a negative revision": '{"items":[],"events":[],"truncated":false,"currentRev":-1}',
    "items of another kind": `{"items":[${"1,".repeat(100_000)}1],"events":[1],"truncated":false,"currentRev":1}`,
    "no JSON": "<html>",
    "nested deeply": "[".repeat(100_000),
    null: "null",
  };
  for (const [what, body] of Object.entries(answers)) {
    it(what, async () => {
      const listener = new http.Listener((_req, res) => {
        res.end(body);
        return Promise.resolve();
      });
      await listener.start();
      const source = new client.Store(listener.address);
      const at = position.Position.at(eras.FIRST, 1);
      const calls = [
        source.list("servers/"),
        source.waitForChanges("", at, 10),
        source.read("op/config"),
        source.lease(1000),
      ];
      for (const { status } of await Promise.allSettled(calls)) expect(status).equal("rejected");
      source.close();
      listener.stop();
    });
  }
});

it("a document under any key is decoded or rejected with a short reason, whatever it holds", () => {
  const prefixes = ["op/config", "op/version/x", "op/x", "servers/", "servers/a#1#"];
  const text = fc.oneof(fc.json(), fc.string(), fc.json({ maxDepth: 6 }));
  fc.assert(
    fc.property(fc.constantFrom(...prefixes), fc.string({ maxLength: 40 }), text, (p, rest, t) => {
      try {
        documents.updateOf(p + rest, t);
      } catch (err) {
        expect((err as Error).message.length).below(3000);
      }
    }),
  );
});
