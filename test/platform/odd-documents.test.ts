import * as chai from "chai";
import * as standin from "../../bench/platform/documents.js";
import * as stores from "../../bench/platform/store.js";
import * as documents from "../../platform/documents.js";
import * as register from "../../src/serving/continuation/register.js";
import * as registerDecoder from "../../src/serving/continuation/register-decoder.js";
import * as quarantine from "../../src/serving/quarantine.js";
import * as followedStore from "./followed-store.js";

const { expect } = chai;

/** The decoder of an entry daemon. */
const decoder = quarantine.wrapDecoder(
  registerDecoder.wrapDecoder({
    prefixes: [documents.OPERATOR_PREFIX, documents.WORKERS_PREFIX],
    common: "",
    written: documents.updateOf,
    deleted: documents.deletionUpdateOf,
  }),
);

/** JSON of a list of invalid elements. */
const LIST = `[${"1,".repeat(20_000)}1]`;
const MANY_KEYS = `{${Array.from({ length: 20_000 }, (_, i) => `"k${i}":1`).join(",")}}`;
/** Most characters of the reason why a document cannot be decoded. */
const MAX_REASON = 2000;

it("a host that starts reads the list of workers though entries too long to hold lie in it", async () => {
  const store = new stores.Store();
  await store.start();
  store.put("servers/good", standin.workerEntry("llm", "10.0.0.1:80"));
  const value = Buffer.from("x".repeat(750_000)).toString("base64");
  for (let i = 0; i < 140; i++) {
    const key = `servers/odd-${i}`;
    store.items.set(key, { key, value, revision: 1, created: 1, lease: 0 });
  }
  store.pageSize = 1;
  const followed = followedStore.follow(store);
  try {
    await followedStore.until(() => followed.feed.catalog.endpoints.has("good"));
    expect(followed.feed.unreadableCount).equal(140);
  } finally {
    followed.close();
    store.stop();
  }
}).timeout(20_000);

describe("a document with many invalid elements gives one short error, and no error for each that uses up the memory", () => {
  const table: Readonly<Record<string, readonly [string, string]>> = {
    routes: ["op/config", `{"routes":${LIST}}`],
    services: ["op/config", `{"services":${LIST}}`],
    "shares of a route": ["op/config", `{"routes":[{"trafficSplit":${LIST}}]}`],
    "models of an engine": ["op/config", `{"services":[{"engine":{"models":${LIST}}}]}`],
    "software versions": [register.KEY, `{"service":{},"software":{"a":${LIST}}}`],
    "services in the register": [register.KEY, `{"service":${MANY_KEYS},"software":{}}`],
  };
  for (const [what, [key, text]] of Object.entries(table)) {
    it(what, () => {
      let why = "";
      try {
        decoder.written(key, text);
      } catch (err) {
        why = (err as Error).message;
      }
      expect(why.length).within(1, MAX_REASON);
    });
  }

  it("teams are counted", () => {
    const limits = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };
    const tenants = [1, { name: "a", apiKeys: ["k"] }, { name: "b", apiKeys: [1] }];
    const text = JSON.stringify({ version: 1, routes: [], services: [], limits, tenants });
    const update = decoder.written("op/config", text);
    const teams = update?.kind === "config" ? update.config.teams : undefined;
    expect([teams?.all.map((t) => t.name), teams?.malformedCount]).deep.equal([["a"], 2]);
  });
});

describe("a number that no daemon can use is not decoded, and does not end connections between daemons or the process", () => {
  const version = (n: string): string => `{"model":"m","adapter":"a1","version":${n}}`;
  const config = (more: string): string => {
    const limits =
      '"limits":{"maxHeaderBytes":1,"maxBodyBytes":1,"headerTimeoutMs":1,"idleTimeoutMs":1}';
    return `{"version":1,"routes":[],"services":[],${limits},${more}}`;
  };
  const table: Readonly<Record<string, readonly [string, string]>> = {
    "an adapter version with a fraction": ["op/version/m.a1", version("1.5")],
    "an adapter version of 2^53": ["op/version/m.a1", version("9007199254740992")],
    "an adapter version of 1e300": ["op/version/m.a1", version("1e300")],
    "an adapter version of 1e400": ["op/version/m.a1", version("1e400")],
    "a configuration's version with a fraction": ["op/config", config('"version":1.5')],
    "a configuration's version of 1e300": ["op/config", config('"version":1e300')],
    "a negative idle time": [
      "op/config",
      config(
        '"limits":{"maxHeaderBytes":1,"maxBodyBytes":1,"headerTimeoutMs":1,"idleTimeoutMs":-5000}',
      ),
    ],
  };
  for (const [what, [key, text]] of Object.entries(table)) {
    it(what, () => {
      expect(() => decoder.written(key, text)).throw();
    });
  }

  it("a team's burst of 1e308", () => {
    const team = '{"name":"a","apiKeys":["k"],"ratePerS":1e308,"burst":1e308}';
    const update = decoder.written("op/config", config(`"tenants":[${team}]`));
    expect(update?.kind === "config" && update.config.teams?.malformedCount).equal(1);
  });
});

it("a name that JavaScript reserves is not lost from the register of origins, which would be written without end", () => {
  const text =
    '{"service":{"__proto__":["a"],"constructor":["b"]},"software":{"__proto__":["v1"]}}';
  expect(register.format(register.parse(text))).equal(text);
});
