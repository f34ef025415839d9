import type * as http from "node:http";
import * as chai from "chai";
import * as fc from "fast-check";
import * as clock from "../../../src/host/clock.js";
import * as catalog from "../../../src/serving/catalog.js";
import type * as choice from "../../../src/serving/choice.js";
import * as notices from "../../../src/serving/notices.js";
import * as hedgedCalls from "../../../src/serving/overload/hedged-calls.js";
import * as progress from "../../../src/serving/progress.js";
import type * as sendState from "../../../src/serving/send-state.js";
import * as dispatcherFixture from "../dispatcher-fixture.js";
import * as fixtures from "../fixtures.js";
import * as plainWorkers from "./plain-workers.js";

const { expect } = chai;

/** Response time of the first calls; with targets of 150 ms a hedge is due after 150 - 50 ms. */
const USUAL_MS = 50;
const HEDGE_MS = 100;

type Treat = (nth: number, request: string) => plainWorkers.Treatment;

/** A rig whose sends of the call "x" are treated by `treat`, by their number from 0 on. */
async function rigOf(treat: Treat, over: Partial<plainWorkers.Options> = {}) {
  let sends = 0;
  const rig = new plainWorkers.Rig({
    treat: (_worker, request) => (request === "x" ? treat(sends++, request) : { ms: USUAL_MS }),
    ...over,
  });
  await rig.warmUp();
  return rig;
}

/** The sends of the call "x": which worker, after how many ms, and how it ended. */
function sendsOf(rig: plainWorkers.Rig, from: number): readonly string[] {
  return rig.arrivals
    .filter((a) => a.request === "x")
    .map((a) => `${a.worker} ${a.at - from} ${a.end ?? "open"}`);
}

describe("a call whose answer is late", () => {
  it("is sent once more to another worker, and the first complete answer is passed on", async () => {
    const rig = await rigOf((nth) => ({ ms: nth === 0 ? 300 : 40 }));
    const from = rig.now;
    const call = rig.call("x");
    await rig.pass(700);
    const [first = "", second = ""] = rig.arrivals.map((a) => a.worker);
    expect(call.seen).deep.equal([`200 ${second} ${second}`]);
    expect(call.endedAt - from).equal(HEDGE_MS + 40);
    expect(first).not.equal(second);
    // The other one is read to its end: closing its connection would make the worker abort.
    expect(sendsOf(rig, from)).deep.equal([`${first} 0 answered`, `${second} 100 answered`]);
    const sent = rig.lines.find((l) => l.msg === "A hedge is sent.");
    expect(sent).deep.include({ endpoint: second, first, delayMs: 100, responseMs: 50 });
    expect(rig.lastLine).deep.include({ hedge: "won", endpoint: second, sends: 2, runs: 2 });
    expect(await rig.metrics.text()).contain('service="guide",outcome="won"} 1');
  });

  it("gets the answer of the first worker if that is the first to be complete", async () => {
    const rig = await rigOf((nth) => ({ ms: nth === 0 ? 120 : 300 }));
    const call = rig.call("x");
    await rig.pass(700);
    const [first = ""] = rig.arrivals.map((a) => a.worker);
    expect(call.seen).deep.equal([`200 ${first} ${first}`]);
    expect(rig.arrivals.map((a) => a.end)).deep.equal(["answered", "answered"]);
    expect(rig.lastLine).deep.include({ hedge: "lost", endpoint: first });
  });

  /* Guards against a failure that is passed on while the other worker would have answered, or that ends the call. */
  const failures: readonly (readonly [string, plainWorkers.Treatment, plainWorkers.Treatment])[] = [
    ["the first answers with a failure", { ms: 110, status: 500 }, { ms: 80 }],
    ["the first breaks off", { ms: 110, status: 0 }, { ms: 80 }],
    ["the first was not run", { ms: 110, status: 421 }, { ms: 80 }],
    ["the hedge answers with a failure", { ms: 180 }, { ms: 30, status: 500 }],
    ["the hedge breaks off", { ms: 180 }, { ms: 30, status: 0 }],
    ["the hedge was not run", { ms: 180 }, { ms: 30, status: 421 }],
  ];
  for (const [what, first, hedge] of failures) {
    it(`gets the good answer where ${what}`, async () => {
      const rig = await rigOf((nth) => (nth === 0 ? first : hedge));
      const call = rig.call("x");
      await rig.pass(700);
      const good = rig.arrivals[(first.status ?? 200) === 200 ? 0 : 1]?.worker ?? "";
      expect(call.seen).deep.equal([`200 ${good} ${good}`]);
      expect(rig.arrivals.length).equal(2);
    });
  }

  it("gets one failure if both fail, and runs no third time", async () => {
    for (const statuses of [
      [500, 500],
      [500, 0],
      [0, 500],
      [0, 0],
    ]) {
      const rig = await rigOf((nth) => ({ ms: 120, status: statuses[nth] ?? 200 }));
      const call = rig.call("x");
      await rig.pass(700);
      expect(call.seen.length).equal(1);
      expect(call.seen[0]).match(statuses.includes(500) ? /^500 w/ : /^refuse 502/);
      expect(rig.arrivals.length).equal(2);
      expect(rig.lastLine).deep.include({ hedge: "failed", runs: 2 });
    }
  });

  it("runs again elsewhere if one of the two failed and the other was not run", async () => {
    const treatments = [
      { ms: 120, status: 500 },
      { ms: 30, status: 421 },
    ];
    const rig = await rigOf((nth) => treatments[nth] ?? { ms: 20 }, { workers: 3 });
    const call = rig.call("x");
    await rig.pass(700);
    expect(call.seen[0]).match(/^200/);
    expect(rig.arrivals.length).equal(3);
  });

  it("ends both sends at its deadline, and sends nothing more", async () => {
    const rig = await rigOf(() => ({ ms: 2000 }));
    const call = rig.call("x");
    await rig.pass(3000);
    expect(call.seen).deep.equal(["refuse 504"]);
    expect(rig.arrivals.map((a) => a.end)).deep.equal(["aborted", "aborted"]);
  });

  it("ends the send that is still open at the deadline, and counts its worker as failing", async () => {
    const rig = await rigOf((nth) => ({ ms: nth === 0 ? 5000 : 20 }));
    const call = rig.call("x");
    await rig.pass(799);
    expect(call.seen[0]).match(/^200/);
    expect(rig.arrivals.map((a) => a.end)).deep.equal([undefined, "answered"]);
    // Its connections may be dead, so that other calls need new ones; a hedged call is not sent a third time.
    expect(rig.replaced).deep.equal([rig.arrivals[0]?.worker]);
    await rig.pass(2);
    expect(rig.arrivals[0]?.end).equal("aborted");
    const rates = rig.setup.known.views(fixtures.SERVICE);
    const dead = rates.find((v) => v.endpoint.id === rig.arrivals[0]?.worker);
    expect(dead?.failureRate).above(0.2);
  });

  /* Guards against a hedge that is written after its caller has left, or after the call was answered. */
  it("is not written to a connection that is ready only when the call has ended", async () => {
    for (const isLeft of [true, false]) {
      const gone = new AbortController();
      const rig = await rigOf((nth) => (nth === 0 ? { ms: 130 } : { connectMs: 60, ms: 20 }));
      rig.call("x", {}, { gone: gone.signal });
      await rig.pass(110);
      if (isLeft) gone.abort();
      await rig.pass(500);
      expect(rig.arrivals.length).equal(1);
      expect(rig.arrivals[0]?.end).equal(isLeft ? "aborted" : "answered");
    }
  });

  it("ends both sends when the caller leaves", async () => {
    const gone = new AbortController();
    const rig = await rigOf(() => ({ ms: 400 }));
    const call = rig.call("x", {}, { gone: gone.signal });
    await rig.pass(200);
    gone.abort();
    await rig.pass(500);
    expect(call.seen).deep.equal([]);
    expect(rig.arrivals.map((a) => a.end)).deep.equal(["aborted", "aborted"]);
    expect(rig.lastLine).deep.include({ ending: "left" });
  });
});

describe("a late call is not hedged", () => {
  // Later than a hedge is due, and earlier than a silent worker is given up.
  const late: Treat = () => ({ ms: 190 });
  const routes: readonly (readonly [string, Partial<catalog.Route>])[] = [
    ["may not run twice", { kind: "once" }],
    ["is a stream", { kind: "stream", resumable: true }],
    ["may run on one worker only", { attempts: 1 }],
  ];
  for (const [what, over] of routes) {
    it(`if its route ${what}`, async () => {
      const rig = await rigOf(late);
      rig.call("x", { route: { ...plainWorkers.CALL, ...over } });
      await rig.pass(700);
      expect(rig.arrivals.length).equal(1);
    });
  }

  /* Guards against a system that decides differently where nothing asks for it. */
  it("if no streams must be steady", async () => {
    const rig = await rigOf(late, { isDemanding: false });
    rig.call("x");
    await rig.pass(700);
    expect(rig.arrivals.length).equal(1);
    expect(rig.lastLine?.hedge).equal(undefined);
  });

  it("if the retry budget is used up, and gets the late answer", async () => {
    const rig = await rigOf(late, { budget: { ratio: 0, slack: 0, windowMs: 10_000 } });
    const call = rig.call("x");
    await rig.pass(700);
    expect([rig.arrivals.length, call.seen[0]?.slice(0, 3)]).deep.equal([1, "200"]);
    expect(await rig.metrics.text()).contain('service="guide",outcome="unsent"} 1');
  });

  it("if the host's event loop is behind, or its caller has left", async () => {
    for (const [isBehind, hasLeft] of [
      [true, false],
      [false, true],
    ] as const) {
      const rig = await rigOf(late);
      const from = rig.now;
      const isDue = (): boolean => rig.now - from >= HEDGE_MS;
      const presence = {
        hasLeft: () => hasLeft && isDue(),
        isBehind: () => isBehind && isDue(),
        isStale: () => false,
        confirm: () => Promise.resolve(),
      };
      rig.call("x", {}, { presence });
      await rig.pass(120);
      expect(rig.arrivals.length).equal(1);
    }
  });

  it("if the other worker has asked for a pause, leaves, or is at its limit", async () => {
    const said = { kind: "said" } as const;
    for (const over of [
      { retryAfterMs: { ...said, value: 5000 } },
      { leaving: { ...said, value: true } },
      { limit: { ...said, value: 1 } },
    ] as const) {
      const rig = await rigOf(late);
      rig.call("x");
      await rig.pass(50);
      const isOther = (v: choice.View): boolean => v.endpoint.id !== rig.arrivals[0]?.worker;
      const other = rig.setup.known.views(fixtures.SERVICE).find(isOther);
      if (!other) throw new Error("there is no other worker");
      const notice = { ...notices.EMPTY, ...over };
      const answer = { request: "y", sentAt: rig.now, ran: false, notice };
      rig.setup.notices.observe(other.endpoint, answer);
      if ("limit" in over) await rig.setup.notices.admit(other.endpoint);
      await rig.pass(600);
      expect([Object.keys(over), rig.arrivals.length]).deep.equal([Object.keys(over), 1]);
    }
  });
});

describe("a call under demanding load, whatever its workers do", () => {
  const treatment = fc.record({
    connectMs: fc.constantFrom(0, 0, 30, 150),
    ms: fc.integer({ min: 1, max: 900 }),
    status: fc.constantFrom(200, 200, 500, 0, 421),
  });
  const cases = fc.record({
    treatments: fc.array(treatment, { minLength: 4, maxLength: 4 }),
    leavesAfterMs: fc.option(fc.integer({ min: 1, max: 800 }), { nil: Infinity }),
    kind: fc.constantFrom("idempotent", "idempotent", "once"),
  });

  it("gets one whole answer, a good one if there is any, and keeps to its attempts", async () => {
    const property = fc.asyncProperty(cases, async ({ treatments, leavesAfterMs, kind }) => {
      const rig = await rigOf((nth) => treatments[nth] ?? { ms: 1 }, { workers: 3 });
      const gone = new AbortController();
      const call = rig.call("x", { route: { ...plainWorkers.CALL, kind } }, { gone: gone.signal });
      const from = rig.now;
      await rig.pass(Math.min(leavesAfterMs, 2000));
      gone.abort();
      await rig.pass(2000);
      const sends = rig.arrivals.filter((a) => a.request === "x");
      const mayHaveRun = sends.filter((a) => a.status !== 421);
      expect(mayHaveRun.length).at.most(kind === "once" ? 1 : 2);
      expect(sends.every((a) => a.at <= from + Math.min(leavesAfterMs, 800))).equal(true);
      const good = sends
        .filter((a) => a.status === 200 && (a.endAt ?? Infinity) < from + leavesAfterMs)
        .filter((a) => a.end === "answered" && (a.endAt ?? Infinity) < from + 800)
        .sort((a, b) => (a.endAt ?? 0) - (b.endAt ?? 0));
      const [first] = good;
      if (first) {
        const winners = good.filter((a) => a.endAt === first.endAt).map((a) => a.worker);
        expect(winners.map((w) => `200 ${w} ${w}`)).contain(call.seen[0]);
      }
      if (leavesAfterMs > 800) expect(call.seen.length).equal(1);
      else expect(call.seen.length).at.most(1);
    });
    await fc.assert(property, { numRuns: 150 });
  });
});

describe("a hedged call over connections", () => {
  /* Guards against an answer whose connection is closed, or whose bytes get into the other answer. */
  it("is answered by the hedge, and the other answer is read to its end", async () => {
    const size = 300_000;
    let arrivals = 0;
    const finished: string[] = [];
    const answer = (name: string) => (_req: http.IncomingMessage, res: http.ServerResponse) => {
      const end = (): void => {
        res.writeHead(200, fixtures.good()).end(name.repeat(size));
      };
      res.once("finish", () => finished.push(name));
      setTimeout(end, ++arrivals === 7 ? 250 : 40);
    };
    const workers = await Promise.all(["a", "b"].map((n) => fixtures.worker(answer(n))));
    const endpoints = workers.map((w, i) => fixtures.endpoint(`w${i}`, w.address));
    const { config } = new plainWorkers.Rig({ treat: () => ({ ms: 1 }) }).catalog;
    const byId = new Map(endpoints.map((e) => [e.id, e]));
    const setup = dispatcherFixture.create({ ...catalog.EMPTY, config, endpoints: byId });
    const answers: string[] = [];
    const { response } = dispatcherFixture.recorded();
    for (let i = 0; i < 12; i++) {
      const req = fixtures.request({ route: plainWorkers.CALL });
      await setup.dispatcher.serve(req, {
        ...response,
        sendWhole: (_status, _headers, body) => answers.push(body.toString()),
      });
    }
    await clock.sleep(clock.system, 300);
    setup.close();
    for (const w of workers) w.close();
    expect(answers.every((text) => text === "a".repeat(size) || text === "b".repeat(size))).equal(
      true,
    );
    expect([answers.length, arrivals, finished.length]).deep.equal([12, 13, 13]);
  });
});

describe("a request that is no call to a plain service under demanding load", () => {
  /* Guards against a system that decides differently where nothing asks for it. */
  it("is sent as if there were no hedges", async () => {
    const rig = new plainWorkers.Rig({ treat: () => ({ ms: 1 }) });
    const demanding = rig.catalog;
    const other = new plainWorkers.Rig({ isDemanding: false, treat: () => ({ ms: 1 }) }).catalog;
    const plain = fixtures.request();
    const stream = fixtures.request({ route: { ...plain.route, kind: "stream" } });
    const ofEngine = fixtures.request({ service: plainWorkers.ENGINES });
    for (const [req, current] of [
      [plain, other],
      [plain, catalog.EMPTY],
      [stream, demanding],
      [ofEngine, demanding],
    ] as const) {
      const sent: unknown[] = [];
      const unused = {} as hedgedCalls.Deps;
      const calls = new hedgedCalls.HedgedCalls({
        ...unused,
        catalog: () => current,
        sender: {
          send: (...args) => {
            sent.push(...args);
            return Promise.resolve("late");
          },
        },
      });
      const [best, grants] = [{} as choice.Estimate, {} as sendState.SendGrants];
      const { response } = dispatcherFixture.recorded();
      const args = [
        req,
        response,
        progress.start(req),
        best,
        grants,
        response.disconnected,
      ] as const;
      expect(await calls.send(...args)).equal("late");
      expect(sent.every((arg, i) => arg === args[i])).equal(true);
    }
  });
});

describe("what a hedged call holds in memory", () => {
  /* Guards against bytes of two answers that are counted as one, or of an answer that is given up and still counted. */
  it("is the sum of both answers, until one of them is passed on or given up", async () => {
    const counted: number[] = [];
    const rig = await rigOf((nth) => ({ ms: nth === 0 ? 110 : 40, status: nth === 0 ? 500 : 200 }));
    rig.call("x", {}, { readAnswer: (bytes) => void counted.push(bytes) });
    await rig.pass(500);
    expect(counted).deep.equal([2, 4]);
  });
});
