import * as chai from "chai";
import * as fc from "fast-check";
import * as generators from "pure-rand/generator/xoroshiro128plus";
import * as uniform from "pure-rand/distribution/uniformFloat64";
import * as backlog from "../../src/serving/backlog.js";
import * as catalog from "../../src/serving/catalog.js";
import * as choice from "../../src/serving/choice.js";
import * as eventSplitter from "../../src/serving/answers/event-splitter.js";
import * as retryBudget from "../../src/serving/retry-budget.js";
import * as loadHistory from "../../src/serving/load-history.js";
import * as prefillSpeed from "../../src/serving/prefill-speed.js";
import * as fixtures from "./fixtures.js";
import * as retrySimulation from "./retry-simulation.js";

const { expect } = chai;

const BUDGET: retryBudget.Options = { ratio: 0.2, slack: 40, windowMs: 10_000 };

describe("retries", () => {
  it("stay within ratio and slack in any window, over all hosts together", () => {
    const host = fc.integer({ min: 0, max: 3 });
    const tries = fc.array(fc.tuple(host, fc.boolean(), fc.integer({ min: 0, max: 200 })), {
      maxLength: 600,
    });
    fc.assert(
      fc.property(tries, (steps) => {
        let now = 0;
        const clk = new retrySimulation.ProcessClock(() => now);
        const hosts = Array.from({ length: 4 }, () => new retryBudget.Budget(BUDGET, clk));
        const asked: number[] = [];
        const taken: number[] = [];
        for (const [h, isRequest, ms] of steps) {
          now += ms;
          clk.run();
          if (isRequest) {
            asked.push(now);
            hosts[h]?.recordRequest("s");
            continue;
          }
          if (hosts[h]?.takeRetry("s", 4).from) taken.push(now);
        }
        for (const end of taken) {
          const within = (t: number): boolean => t > end - BUDGET.windowMs && t <= end;
          // A retry is allowed by requests of the window before it, so requests of two windows may count.
          const requests = asked.filter((t) => t > end - 2 * BUDGET.windowMs && t <= end).length;
          const limit = BUDGET.ratio * requests + BUDGET.slack;
          expect(taken.filter(within).length).most(limit);
        }
      }),
    );
  });
});

describe("events", () => {
  it("arrive whole and in order however the stream is split", () => {
    const line = fc.stringMatching(/^[a-z0-9 ]{0,20}$/);
    const one = fc.record({ id: fc.nat(), data: line, crlf: fc.boolean() });
    fc.assert(
      fc.property(
        fc.array(one, { maxLength: 12 }),
        fc.array(fc.integer({ min: 1, max: 9 }), { minLength: 1 }),
        (list, cuts) => {
          const texts = list.map(({ id, data, crlf }) => {
            const end = crlf ? "\r\n" : "\n";
            return `id: ${id}${end}data: ${data}${end}${end}`;
          });
          const whole = Buffer.from(texts.join(""));
          const cutter = new eventSplitter.EventSplitter();
          const got: eventSplitter.Event[] = [];
          for (let at = 0, i = 0; at < whole.length; i++) {
            const next = at + (cuts[i % cuts.length] ?? 1);
            got.push(...cutter.push(whole.subarray(at, next)));
            at = next;
          }
          expect(got.map((e) => e.bytes.toString())).deep.equal(texts);
          expect(got.map((e) => e.id)).deep.equal(list.map((l) => String(l.id)));
          expect(cutter.remainder().length).equal(0);
        },
      ),
    );
  });

  it("tell comments from the rest of an event that was passed on in parts", () => {
    const isComment = (text: string): readonly boolean[] =>
      new eventSplitter.EventSplitter().push(Buffer.from(text)).map((e) => e.isComment);
    expect(isComment(": ping\n\ndata: x\n\nid: 1\n\n")).deep.equal([true, false, false]);
    const cutter = new eventSplitter.EventSplitter();
    const parts = [...cutter.push(Buffer.from(`data: ${"x".repeat(1_100_000)}\n: c`))];
    parts.push(...cutter.push(Buffer.from("\n\n")));
    expect(parts.map((e) => e.isComment)).deep.equal(parts.map(() => false));
    expect(parts.at(-1)?.isPartial).equal(false);
  });

  it("are inside an event at every cut but those between two, in any line ends", () => {
    const line = fc.stringMatching(/^[a-z0-9 ]{0,9}$/);
    const one = fc.record({ id: fc.nat(), data: line });
    const lineEnd = fc.constantFrom("\n", "\r\n", "\r");
    fc.assert(
      fc.property(
        fc.array(one, { minLength: 1, maxLength: 5 }),
        lineEnd,
        fc.nat(),
        (list, end, at) => {
          const texts = list.map(({ id, data }) => `id: ${id}${end}data: ${data}${end}${end}`);
          const whole = texts.join("");
          const cutAt = at % (whole.length + 1);
          const cutter = new eventSplitter.EventSplitter();
          const got = [...Buffer.from(whole.slice(0, cutAt))].flatMap((b) => [
            ...cutter.push(Buffer.from([b])),
          ]);
          const lengths = texts.map((_, i) => texts.slice(0, i).join("").length);
          const isBetween = [...lengths, whole.length].includes(cutAt);
          expect(cutter.isInsideEvent()).equal(!isBetween);
          expect(got.map((e) => e.bytes.toString()).join("")).equal(
            isBetween ? whole.slice(0, cutAt) : texts.slice(0, got.length).join(""),
          );
        },
      ),
    );
  });

  it("are held back until they are complete", () => {
    const cutter = new eventSplitter.EventSplitter();
    expect(cutter.push(Buffer.from("id: 1\ndata: a\n\nid: 2\nda"))).length(1);
    expect(cutter.remainder().toString()).equal("id: 2\nda");
  });
});

describe("catalog", () => {
  it("never goes back to an older configuration or version", () => {
    const newer: catalog.Config = { ...fixtures.CONFIG, version: 5 };
    let at = catalog.applyUpdate(catalog.EMPTY, { kind: "config", config: newer });
    at = catalog.applyUpdate(at, { kind: "config", config: fixtures.CONFIG });
    at = catalog.applyUpdate(at, { kind: "version", key: "m/a", version: 3 });
    at = catalog.applyUpdate(at, { kind: "version", key: "m/a", version: 2 });
    expect(at.config?.version).equal(5);
    expect(at.versions.get("m/a")?.version).equal(3);
  });

  it("finds the route of the host with the longest matching prefix", () => {
    const routes = ["/", "/c/", "/c/d/"].map((prefix) => ({ ...fixtures.ROUTE, prefix }));
    const config = { ...fixtures.CONFIG, routes };
    expect(catalog.findRoute(config, "a.example", "/c/d/e")?.prefix).equal("/c/d/");
    expect(catalog.findRoute(config, "a.example", "/c/de")?.prefix).equal("/c/");
    expect(catalog.findRoute(config, "b.example", "/c/d/e")).equal(undefined);
  });

  it("spreads a route over its services by weight", () => {
    const other = { ...fixtures.SERVICE, name: "other" };
    const services = new Map([...fixtures.CONFIG.services, [other.name, other]]);
    const shares = [
      { service: "guide", weight: 90 },
      { service: "other", weight: 10 },
    ];
    const route = { ...fixtures.ROUTE, shares };
    const config = { ...fixtures.CONFIG, services };
    expect(catalog.pickService(config, route, () => 0.89)?.name).equal("guide");
    expect(catalog.pickService(config, route, () => 0.91)?.name).equal("other");
  });
});

describe("backlog", () => {
  const perToken = prefillSpeed.msPerToken(prefillSpeed.INITIAL);

  it("counts the prompts of the same or a more urgent rank that have not begun", () => {
    let b = backlog.EMPTY;
    b = backlog.addSeat(b, "a", 2000, 0);
    b = backlog.addSeat(b, "b", 2000, 2);
    const one = Math.round(2000 * perToken);
    expect(backlog.waitsByRank(b, 0).slice(0, 3)).deep.equal([one, one, 2 * one]);
    b = backlog.recordFirstEvent(backlog.grantSeat(b, "a", 0), "a", 150, 150);
    expect(backlog.waitsByRank(b, 150)[0]).equal(0);
  });

  it("deducts what was read of a prompt since its seat was granted", () => {
    let b = backlog.grantSeat(backlog.addSeat(backlog.EMPTY, "a", 2000, 0), "a", 0);
    const all = 2000 * perToken;
    expect(backlog.waitsByRank(b, all / 2)[0]).equal(Math.round(all / 2));
    // Prompts with a seat are read before waiting ones, however urgent those are.
    b = backlog.grantSeat(backlog.addSeat(b, "b", 2000, 2), "b", 0);
    expect(backlog.waitsByRank(b, 0)[0]).equal(Math.round(2 * all));
    b = backlog.removeSeat(b, "a");
    expect(backlog.waitsByRank(b, 0)[0]).equal(Math.round(all));
  });
});

describe("prompts that have a seat but are never sent", () => {
  it("do not block an engine for other hosts permanently", () => {
    let b = backlog.EMPTY;
    for (let i = 0; i < 20; i++) {
      b = backlog.grantSeat(backlog.addSeat(b, `s${i}`, 2000, 1), `s${i}`, 0);
    }
    expect(backlog.unstarted(b, 100)).equal(20);
    expect(backlog.unstarted(b, 3000)).equal(0);
    b = backlog.grantSeat(backlog.addSeat(b, "good", 2000, 1), "good", 3000);
    b = backlog.recordFirstEvent(b, "good", 160, 3160);
    expect(backlog.prefillMs(b, 3160)).equal(0);
  });
});

describe("prefill speed", () => {
  it("learns any engine's speed from a few runs, despite outliers", () => {
    const perMs = fc.double({ min: 4, max: 200, noNaN: true });
    const first = fc.double({ min: 5, max: 300, noNaN: true });
    const prompts = fc.array(fc.integer({ min: 50, max: 20_000 }), {
      minLength: 60,
      maxLength: 60,
    });
    fc.assert(
      fc.property(
        perMs,
        first,
        prompts,
        fc.integer({ min: 0, max: 9 }),
        (speed, fixed, list, odd) => {
          let r = prefillSpeed.INITIAL;
          for (const [i, tokens] of list.entries()) {
            const ms = fixed + tokens / speed;
            r = prefillSpeed.withRun(r, tokens, i % 10 === odd && i < 20 ? 20 * ms : ms);
          }
          const expected = fixed + 8000 / speed;
          expect(prefillSpeed.firstEventMs(r, 8000)).within(0.6 * expected, 1.8 * expected);
        },
      ),
    );
  });

  it("learns that an engine has become slow", () => {
    let r = prefillSpeed.INITIAL;
    const run = (ms: number): void => {
      for (const tokens of [800, 9000, 2000, 12_000])
        r = prefillSpeed.withRun(r, tokens, ms + tokens / 40);
    };
    for (let i = 0; i < 10; i++) run(50);
    const before = prefillSpeed.firstEventMs(r, 9000);
    for (let i = 0; i < 6; i++) run(600);
    expect(prefillSpeed.firstEventMs(r, 9000)).above(before * 1.8);
  });

  it("stays finite when all runs are identical", () => {
    let r = prefillSpeed.INITIAL;
    for (let i = 0; i < 500; i++) r = prefillSpeed.withRun(r, 1000, 100);
    expect(prefillSpeed.firstEventMs(r, 1000)).closeTo(100, 5);
    expect(prefillSpeed.msPerToken(r)).above(0);
  });
});

describe("load history", () => {
  it("learns how many adapters load fast, also where it first assumes too many or too few", () => {
    for (const memory of [20, 60, 150]) {
      let w = loadHistory.INITIAL;
      let inMemory: readonly string[] = [];
      // Some adapters are requested again while they are in memory, and some only after they were evicted.
      const rng = generators.xoroshiro128plus(memory);
      for (let i = 0; i < 3000; i++) {
        const key = `a${Math.floor(uniform.uniformFloat64(rng) * 211)}`;
        w = loadHistory.recordLoad(w, key, inMemory.includes(key) ? 25 : 250);
        inMemory = [key, ...inMemory.filter((k) => k !== key)].slice(0, memory);
      }
      expect(w.reach).within(memory * 0.75, memory * 1.3);
    }
  });

  it("learns how long loads take, whatever the weight store's speed", () => {
    for (const coldMs of [60, 250, 2000]) {
      let w = loadHistory.INITIAL;
      for (let i = 0; i < 40; i++) w = loadHistory.recordLoad(w, `a${i}`, coldMs);
      for (let i = 0; i < 10; i++) w = loadHistory.recordLoad(w, `a${39 - i}`, coldMs / 10);
      expect(w.coldMs).closeTo(coldMs, coldMs * 0.1);
      expect(w.warmMs).below(coldMs / 4);
    }
  });
});

const NEED: choice.Need = {
  model: "m",
  key: "m/a",
  promptTokens: 1920,
  rank: 1,
  domain: "d1",
  tried: new Set(),
  targetMs: 3000,
};

function withAdapter(id: string, over: Partial<choice.View> = {}): choice.View {
  const holdings = { models: ["m"], resident: ["m/a"], warm: [] };
  return fixtures.view(id, { holdings, ...over });
}

describe("choice", () => {
  it("gives a reported waiting time less weight the older it is", () => {
    const reported = (id: string, ms: number, stateAgeMs: number): choice.View =>
      withAdapter(id, {
        state: { ...fixtures.STATE, instance: id, waitMs: new Array<number>(10).fill(ms) },
        stateAgeMs,
      });
    const firstMs = (ageMs: number): number | undefined =>
      choice
        .rankEngines([reported("1", 0, ageMs), reported("2", 400, 0)], NEED)
        .find((e) => e.view.endpoint.id === "1")?.firstMs;
    const freshMs = firstMs(0) ?? 0;
    expect((firstMs(500) ?? 0) - freshMs).closeTo(100, 1);
    expect((firstMs(5000) ?? 0) - freshMs).closeTo(200, 1);
  });

  it("prefers the engine where the adapter is resident", () => {
    const best = choice.rankEngines(
      [fixtures.view("1"), withAdapter("2"), fixtures.view("3")],
      NEED,
    )[0];
    expect(best?.view.endpoint.id).equal("2");
  });

  it("is not usable with an outdated version while its daemon is away", () => {
    const holdings = {
      models: ["m"],
      resident: ["m/a"],
      versions: new Map([["m/a", 1]]),
      warm: [],
    };
    const usable = (oldestVersion: number): number =>
      choice.rankEngines([withAdapter("1", { holdings, state: undefined })], {
        ...NEED,
        oldestVersion,
      }).length;
    expect([0, 1, 2].map(usable)).deep.equal([1, 1, 0]);
  });

  it("prefers the newest version to an outdated one that is in use", () => {
    const at = (id: string, version: number, orderIndex: number): choice.View => {
      const versions = new Map([["m/a", version]]);
      const holdings = { models: ["m"], resident: ["m/a"], versions, warm: [] };
      const state = { ...fixtures.STATE, instance: id, eachSlotMs: 100 };
      return withAdapter(id, { holdings, state, orderIndex });
    };
    const views = [at("1", 1, 0), at("2", 2, 1)];
    const best = (oldestVersion: number): string | undefined =>
      choice.rankEngines(views, { ...NEED, oldestVersion })[0]?.view.endpoint.id;
    expect([1, 2].map(best)).deep.equal(["1", "2"]);
  });

  it("loads a second copy only if the queue of the engine with the first is long", () => {
    const queued = (ms: number): choice.View =>
      withAdapter("2", {
        state: { ...fixtures.STATE, instance: "2", waitMs: new Array<number>(10).fill(ms) },
      });
    expect(choice.rankEngines([fixtures.view("1"), queued(500)], NEED)[0]?.view.endpoint.id).equal(
      "2",
    );
    expect(choice.rankEngines([fixtures.view("1"), queued(1500)], NEED)[0]?.view.endpoint.id).equal(
      "1",
    );
  });

  it("excludes engines that are leaving, down, or were tried", () => {
    const leaving = fixtures.view("1", {
      endpoint: { ...fixtures.endpoint("1", "10.0.0.1:1"), leaving: true },
    });
    const down = fixtures.view("2", { state: { ...fixtures.STATE, instance: "" } });
    const need = { ...NEED, tried: new Set(["3"]) };
    expect(choice.rankEngines([leaving, down, fixtures.view("3")], need)).deep.equal([]);
  });

  it("uses an engine of unknown state only for the adapters that it held", () => {
    expect(choice.rankEngines([fixtures.view("1", { state: undefined })], NEED)).deep.equal([]);
    expect(choice.rankEngines([withAdapter("1", { state: undefined })], NEED)).length(1);
  });

  it("prefers a plain service's endpoint with fewer requests and fewer failures", () => {
    const need = { domain: "d1", tried: new Set<string>() };
    const busy = fixtures.view("1", { inFlight: 4 });
    const failing = fixtures.view("2", { failureRate: 0.5 });
    const best = choice.rankPlain([busy, failing, fixtures.view("3")], need, () => 0)[0];
    expect(best?.view.endpoint.id).equal("3");
  });
});
