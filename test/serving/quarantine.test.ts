import type * as http from "node:http";
import * as chai from "chai";
import type * as callerRequest from "../../src/serving/caller-request.js";
import * as catalog from "../../src/serving/catalog.js";
import * as suspicionState from "../../src/serving/suspicion-state.js";
import * as identity from "../../src/serving/identity.js";
import * as quarantine from "../../src/serving/quarantine.js";
import * as crashRecords from "../../src/serving/crashes/records.js";
import * as dispatcherFixture from "./dispatcher-fixture.js";
import * as fixtures from "./fixtures.js";

const { expect } = chai;

type Served = (res: http.ServerResponse, end: () => void) => void;

const CALL: catalog.Route = { ...fixtures.ROUTE, kind: "idempotent", attempts: 4 };
const ONCE: catalog.Route = { ...CALL, kind: "once" };
const WHOLE: Served = (res) => res.writeHead(200, fixtures.good()).end("x");
const FAIL: Served = (res) => res.writeHead(500, fixtures.good()).end("x");
const RESET: Served = (res) => res.socket?.resetAndDestroy();
const CRASH: Served = (_res, end) => {
  end();
};

/** Cleanup functions of the current test, run even when it fails. */
const cleanups: (() => void)[] = [];

/** A dispatcher over workers that serve as given. */
async function site(...workers: readonly Served[]) {
  let runs = 0;
  const made = await Promise.all(
    workers.map(async (serve) => {
      const at = await fixtures.worker((_req, res) => {
        runs++;
        serve(res, at.close);
      });
      return at;
    }),
  );
  const list = made.map((w, i) => fixtures.endpoint(`e${i}`, w.address));
  let at: catalog.Catalog = {
    ...catalog.EMPTY,
    config: fixtures.CONFIG,
    endpoints: new Map(list.map((e) => [e.id, e])),
  };
  const open = dispatcherFixture.create(() => at);
  cleanups.push(open.close, ...made.map((w) => w.close));
  return {
    suspects: open.suspects,
    runs: () => runs,
    leave: (id: string): void => {
      const e = at.endpoints.get(id);
      if (e) at = catalog.applyUpdate(at, { kind: "endpoint", endpoint: { ...e, leaving: true } });
    },
    /**
     * Serves one request; returns what its caller was answered, and the milliseconds after which to
     * retry.
     */
    ask: async (over: Parameters<typeof fixtures.request>[0] = {}) => {
      const { response, seen } = dispatcherFixture.recorded();
      let retryAfterMs: number | undefined;
      const refuse: typeof response.refuse = (status, why, ms) => {
        retryAfterMs = ms;
        response.refuse(status, why, ms);
      };
      await open.dispatcher.serve(fixtures.request({ route: CALL, ...over }), {
        ...response,
        refuse,
      });
      return { seen, retryAfterMs };
    },
  };
}

/** A message of another host that workers crashed under a request. */
function told(workers: readonly string[]): suspicionState.Message {
  const id = identity.of(fixtures.request({ route: CALL }));
  const news = workers.map((worker): crashRecords.News => {
    return {
      kind: "ended",
      identity: id,
      worker,
      underWayMs: 100,
      answeringMs: 0,
      peers: 13,
      parts: [],
      ageMs: 0,
    };
  });
  return { kind: "suspicion", news };
}

/** The same under requests that are not alike, but for one part of their prompts. */
function toldOfPart(part: string, workers: readonly string[]): suspicionState.Message {
  const measured = { underWayMs: 100, answeringMs: 0, peers: 13 };
  const news = workers.map((worker, n): crashRecords.News => {
    const id = identity.of(fixtures.request({ route: CALL, path: `/c/${n}` }));
    return { kind: "ended", identity: id, worker, ...measured, parts: [part], ageMs: 0 };
  });
  return { kind: "suspicion", news };
}

function metaOf(...parts: readonly string[]): callerRequest.Meta {
  const all = parts.map((id) => ({ id, tokens: 1 }));
  return { id: "r1", waitMs: 1000, promptTokens: 0, answerTokens: 0, parts: all };
}

describe("a request in quarantine", () => {
  const inner = {
    prefixes: ["op/"],
    common: "op/",
    written: () => undefined,
    deleted: () => undefined,
  };
  const decoder = quarantine.wrapDecoder(inner);
  const key = quarantine.keyOf("some-identity");

  it("is in force while its key is in the store, whatever the value, and released with it", () => {
    for (const text of ["", "{}", "no JSON"]) {
      const step = decoder.written(key, text);
      const at = step ? catalog.applyUpdate(catalog.EMPTY, step) : catalog.EMPTY;
      expect([...at.quarantined.keys()]).deep.equal(["some-identity"]);
      const over = decoder.deleted(key);
      expect(over && catalog.applyUpdate(at, over).quarantined.size).equal(0);
    }
    expect(decoder.prefixes).deep.equal(["op/", quarantine.PREFIX]);
    expect(key.startsWith(decoder.common)).equal(true);
    expect(decoder.written("op/x", "")).equal(undefined);
  });
});

describe("a request under which workers crashed", () => {
  afterEach(() => {
    for (const cleanup of cleanups.splice(0)) cleanup();
  });

  it("is refused at once after the third crash, as not run, until the crashes expire", async () => {
    const s = await site(WHOLE);
    s.suspects.receive(told(["a", "b"]), "peer");
    s.suspects.receive(told(["c"]), "another");
    const { seen, retryAfterMs } = await s.ask();
    expect(seen).deep.equal(["refuse 503"]);
    expect(retryAfterMs).within(crashRecords.EXPIRY_MS - 1000, crashRecords.EXPIRY_MS);
    expect(s.runs()).equal(0);
    // Another request of the same caller is served.
    expect((await s.ask({ path: "/c/other" })).seen).deep.equal(["answer 200"]);
  });

  it("is resent after the first crash, and no longer suspected once it ran to its end", async () => {
    const s = await site(CRASH, WHOLE);
    expect((await s.ask()).seen).deep.equal(["answer 200"]);
    expect([s.runs(), s.suspects.size]).deep.equal([2, 0]);
  });

  it("crashes three workers at most, even if it may be sent to more", async () => {
    const s = await site(CRASH, CRASH, CRASH, CRASH);
    expect((await s.ask()).seen).deep.equal(["refuse 502"]);
    expect([s.runs(), s.suspects.size]).deep.equal([3, 1]);
  });

  it("is not suspected if only its connection was cut", async () => {
    const s = await site(RESET, RESET, RESET);
    expect((await s.ask()).seen).deep.equal(["refuse 502"]);
    expect([s.runs(), s.suspects.size]).deep.equal([CALL.attempts, 0]);
  });

  it("is not suspected if its worker had announced that it is leaving", async () => {
    const s = await site((_res, end) => {
      s.leave("e0");
      end();
    });
    expect((await s.ask()).seen).deep.equal(["refuse 502"]);
    expect([s.runs(), s.suspects.size]).deep.equal([1, 0]);
  });

  it("stays under suspicion if a worker only failed it", async () => {
    const s = await site(FAIL);
    s.suspects.receive(told(["a", "b"]), "peer");
    expect((await s.ask({ route: ONCE })).seen).deep.equal(["answer 500"]);
    s.suspects.receive(told(["c"]), "peer");
    expect((await s.ask()).seen).deep.equal(["refuse 503"]);
  });

  it("leaves the parts of its prompt under suspicion if a worker only failed it", async () => {
    const s = await site(FAIL);
    const failed = { route: ONCE, meta: metaOf("f", "own"), path: "/c/y" };
    s.suspects.receive(toldOfPart("f", ["a", "b"]), "peer");
    expect((await s.ask(failed)).seen).deep.equal(["answer 500"]);
    s.suspects.receive(toldOfPart("f", ["c"]), "peer");
    expect((await s.ask(failed)).seen).deep.equal(["refuse 503"]);
  });

  it("is refused at once by all hosts that hear of three crashes under a part", async () => {
    const s = await site(WHOLE);
    s.suspects.receive(toldOfPart("f", ["a", "b", "c"]), "peer");
    const { seen, retryAfterMs } = await s.ask({ meta: metaOf("x", "f", "own") });
    expect(seen).deep.equal(["refuse 503"]);
    expect(retryAfterMs).within(59_000, 60_000);
    expect(s.runs()).equal(0);
    // The part is the last one of this prompt, and so not the same.
    expect((await s.ask({ meta: metaOf("x", "f") })).seen).deep.equal(["answer 200"]);
  });
});
