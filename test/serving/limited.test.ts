import * as timers from "node:timers/promises";
import * as chai from "chai";
import * as wire from "../../platform/wire.js";
import * as admission from "../../src/serving/admission.js";
import type * as callerRequest from "../../src/serving/caller-request.js";
import * as catalog from "../../src/serving/catalog.js";
import * as choice from "../../src/serving/choice.js";
import type * as notices from "../../src/serving/notices.js";
import type * as progress from "../../src/serving/progress.js";
import * as dispatcherFixture from "./dispatcher-fixture.js";
import * as fixtures from "./fixtures.js";

const { expect } = chai;

/** Cleanup functions of the current test, run even when it fails. */
const cleanups: (() => void)[] = [];

/**
 * A plain worker that announces a limit (the header's text) and counts the requests it receives.
 */
async function limited(id: string, limit: string | undefined) {
  const seen = { limit, arrivals: 0, down: false };
  const worker = await fixtures.worker((req, res) => {
    seen.arrivals++;
    const said = seen.limit === undefined ? {} : { "test-limit": seen.limit };
    res.writeHead(200, { ...fixtures.good(String(req.headers["test-id"])), ...said });
    res.end("whole");
  });
  cleanups.push(worker.close);
  return { seen, endpoint: fixtures.endpoint(id, worker.address) };
}

function open(...list: readonly catalog.Endpoint[]) {
  const config: catalog.Update = { kind: "config", config: fixtures.CONFIG };
  const entries = list.map((endpoint) => ({ kind: "endpoint", endpoint }) as const);
  const made = dispatcherFixture.create(
    catalog.applyUpdates(catalog.EMPTY, [config, ...entries]).updated,
  );
  cleanups.push(made.close);
  return made;
}

interface End {
  readonly status: number;
  readonly retryAfterMs: number | undefined;
  readonly tookMs: number;
}

let count = 0;

/** Serves one request and returns how it ended. */
async function serve(made: ReturnType<typeof open>): Promise<End> {
  const id = `r${count++}`;
  const meta: callerRequest.Meta = {
    id,
    waitMs: 1000,
    promptTokens: 0,
    answerTokens: 0,
    parts: [],
  };
  const sentAt = performance.now();
  let end: End | undefined;
  const finish = (status: number, retryAfterMs?: number): void => {
    end = { status, retryAfterMs, tookMs: performance.now() - sentAt };
  };
  const response: progress.CallerResponse = {
    ...dispatcherFixture.recorded().response,
    sendWhole: (status) => {
      finish(status);
    },
    refuse: (status, _why, retryAfterMs) => {
      finish(status, retryAfterMs);
    },
  };
  await made.dispatcher.serve(fixtures.request({ meta, headers: { "test-id": id } }), response);
  return end ?? { status: 0, retryAfterMs: undefined, tookMs: 0 };
}

describe("requests to workers that announce limits", () => {
  afterEach(() => {
    for (const cleanup of cleanups.splice(0)) cleanup();
  });

  it("go to another worker at once when the limit is exhausted", async () => {
    const [a, b] = [await limited("w1", "1"), await limited("w2", undefined)];
    const made = open(a.endpoint, b.endpoint);
    while (made.notices.size === 0) await serve(made);
    const before = a.seen.arrivals;
    for (let n = 0; n < 60; n++) {
      expect((await serve(made)).status).equal(200);
      await timers.setTimeout(10);
    }
    expect(a.seen.arrivals - before).most(2);
  });

  it("are refused at once if all workers' limits are exhausted, with the time until they can be served", async () => {
    const a = await limited("w1", "2");
    const made = open(a.endpoint);
    expect((await serve(made)).status).equal(200);
    const all = await Promise.all(Array.from({ length: 8 }, () => serve(made)));
    const refused = all.filter((e) => e.status === 503);
    expect(refused.length).least(6);
    expect(Math.max(...refused.map((e) => e.tookMs))).below(200);
    const [first] = refused;
    expect(first?.retryAfterMs).within(120, 1000);
    await timers.setTimeout((first?.retryAfterMs ?? 0) + admission.MAX_LIMIT_WAIT_MS);
    expect((await serve(made)).status).equal(200);
  });

  it("wait for their turn if it comes soon, and are then served", async () => {
    const a = await limited("w1", "5");
    const made = open(a.endpoint);
    expect((await serve(made)).status).equal(200);
    await timers.setTimeout(100);
    const end = await serve(made);
    expect(end.status).equal(200);
    expect(end.tookMs).within(50, admission.MAX_LIMIT_WAIT_MS);
  });

  it("fill the worker again once it announces no limit", async () => {
    const a = await limited("w1", "4");
    const made = open(a.endpoint);
    await serve(made);
    a.seen.limit = undefined;
    await timers.setTimeout(400);
    expect((await serve(made)).status).equal(200);
    expect(made.notices.size).equal(0);
    const all = await Promise.all(Array.from({ length: 20 }, () => serve(made)));
    expect(all.map((e) => e.status)).deep.equal(new Array<number>(20).fill(200));
  });

  it("are not held back by a limit that cannot be parsed", async () => {
    const a = await limited("w1", "some");
    const made = open(a.endpoint);
    const all = await Promise.all(Array.from({ length: 20 }, () => serve(made)));
    expect(all.every((e) => e.status === 200)).equal(true);
  });

  it("still reach a worker whose limit is 0 now and then, so that its withdrawal is noticed", async () => {
    const a = await limited("w1", "0");
    const made = open(a.endpoint);
    await serve(made);
    expect(made.notices.of("w1")).equal(0);
    expect(made.notices.totals()[0]?.perS).above(0);
  });
});

describe("the choice of an engine under limits", () => {
  const need: choice.Need = {
    model: "m",
    key: "m/a",
    promptTokens: 100,
    rank: 1,
    domain: "d1",
    tried: new Set(),
    targetMs: 1000,
  };
  const holding = { models: ["m"], resident: ["m/a"], warm: [] };

  it("passes over one whose next turn is far off, and has its adapter loaded elsewhere at no extra cost", () => {
    const full = fixtures.view("1", {
      holdings: holding,
      limitWaitMs: admission.MAX_LIMIT_WAIT_MS + 1,
    });
    const [best, ...rest] = choice.rankEngines([full, fixtures.view("2")], need);
    expect(best?.view.endpoint.id).equal("2");
    expect(best?.penaltyMs).equal(0);
    expect(rest).length(0);
  });

  it("counts a turn that comes soon as waiting time", () => {
    const soon = fixtures.view("1", { holdings: holding, limitWaitMs: 100 });
    const [best] = choice.rankEngines([soon, fixtures.view("2")], need);
    expect(best?.view.endpoint.id).equal("1");
    expect(best && best.firstMs - best.serviceMs).equal(100);
  });

  it("keeps a request at the engine where it waits for its turn", () => {
    const full = fixtures.view("1", { holdings: holding, limitWaitMs: 5000 });
    const [best] = choice.rankEngines([full, fixtures.view("2")], { ...need, waitsAt: "1" });
    expect(best?.view.endpoint.id).equal("1");
  });
});

describe("the header that announces a limit", () => {
  const read = (headers: Readonly<Record<string, string>>): notices.Announced<number> =>
    wire.PROTOCOL.notice(200, headers).limit;

  it("is a decimal number, with and without the platform's prefix", () => {
    for (const [text, perS] of [
      ["1.4", 1.4],
      ["0", 0],
      [" 12 ", 12],
      ["0.25", 0.25],
    ] as const) {
      const said = { kind: "said", value: perS };
      expect(read({ "server-limit": text })).deep.equal(said);
      expect(read({ "x-sumacfield-server-limit": text })).deep.equal(said);
    }
    expect(read({})).deep.equal({ kind: "unsaid" });
  });

  it("is reported as unreadable if it cannot be parsed", () => {
    for (const text of ["", "-1", "1e3", "some", "1,4", "NaN", "Infinity", "1.4 2"]) {
      expect(read({ "server-limit": text })).deep.equal({
        kind: "unreadable",
        text,
      });
    }
  });
});
