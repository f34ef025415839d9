import * as chai from "chai";
import * as fc from "fast-check";
import * as uniform from "pure-rand/distribution/uniformFloat64";
import * as generators from "pure-rand/generator/xoroshiro128plus";
import * as time from "../../bench/measure/time.js";
import * as catalog from "../../src/serving/catalog.js";
import * as choice from "../../src/serving/choice.js";
import * as notices from "../../src/serving/notices.js";
import * as callLatency from "../../src/serving/spread/call-latency.js";
import * as dispatcherFixture from "./dispatcher-fixture.js";
import * as fixtures from "./fixtures.js";

const { expect } = chai;

/** Milliseconds that a worker's calls take as a rule, and those of a worker in need. */
const CALL_MS = 17;
const SLOW_CALL_MS = 90;
/** Milliseconds between two requests at the host: it has at most one in flight. */
const EVERY_MS = 100;
const NEEDY = "w1";
/** Milliseconds for which the needy worker is in need. */
const NEED_MS = 3000;
/** Milliseconds from then on after which it gets its share again, and over which that is counted. */
const RECOVERY_MS = 5000;
const COUNTED_MS = 5000;

/** What a worker does in the requests that it gets at one moment. */
interface Behavior {
  readonly tookMs: number;
  readonly limitPerS: number | undefined;
}

type Needy = (inNeed: boolean) => Behavior;

const HEALTHY: Behavior = { tookMs: CALL_MS, limitPerS: undefined };

/**
 * Runs one host in virtual time, with a worker in need at first and one that is well. Returns the needy worker's share of the
 * counted requests, and its limit as the host knows it then.
 */
async function run(needy: Needy) {
  const clk = new time.Time();
  const list = [NEEDY, "w2"].map((id) => fixtures.endpoint(id, `10.0.0.1:${id.slice(1)}`));
  const config: catalog.Update = { kind: "config", config: fixtures.CONFIG };
  const entries = list.map((endpoint) => ({ kind: "endpoint", endpoint }) as const);
  const current = catalog.applyUpdates(catalog.EMPTY, [config, ...entries]).updated;
  const host = dispatcherFixture.create(current, (e) => e.address, clk);
  const rng = generators.xoroshiro128plus(1);
  const random = (): number => uniform.uniformFloat64(rng);
  const counted = { needy: 0, all: 0 };

  const send = async (e: catalog.Endpoint): Promise<void> => {
    const sentAt = clk.steady();
    const { tookMs, limitPerS } = e.id === NEEDY ? needy(sentAt < NEED_MS) : HEALTHY;
    if (sentAt >= NEED_MS + RECOVERY_MS) {
      counted.all++;
      if (e.id === NEEDY) counted.needy++;
    }
    host.known.requestStarted(e.id);
    await clk.wait(tookMs);
    const limit =
      limitPerS === undefined ? notices.ABSENT : ({ kind: "said", value: limitPerS } as const);
    const notice = { ...notices.EMPTY, limit };
    host.notices.observe(e, { request: "r", notice, sentAt, ran: true });
    host.known.requestEnded(e.id, true, tookMs);
  };

  const serve = async (): Promise<void> => {
    const need = { domain: "d1", tried: new Set<string>() };
    for (;;) {
      const [best] = choice.rankPlain(host.known.views(fixtures.SERVICE), need, random);
      if (!best) return;
      const permit = await host.notices.admit(best.view.endpoint);
      // A refusal sets the limit's wait, so the worker is not the best one again.
      if (permit.kind === "out") continue;
      await clk.wait(permit.delayMs);
      await send(best.view.endpoint);
      return;
    }
  };

  const endMs = NEED_MS + RECOVERY_MS + COUNTED_MS;
  for (let at = 0; at < endMs; at += EVERY_MS) clk.after(at, () => void serve());
  await clk.runUntil(endMs);
  host.close();
  return { share: counted.needy / counted.all, limitPerS: host.notices.of(NEEDY) };
}

/** A host calls an endpoint again though it was slow; else nothing could show that it is well again. */
describe("a plain worker that was in need", () => {
  // Guards against a limit that stays in force for ever, since only an answer withdraws it and no host sends a request.
  it("has its limit withdrawn and gets its share again, if it was slow while it announced one", async () => {
    const { share, limitPerS } = await run((inNeed) =>
      inNeed ? { tookMs: SLOW_CALL_MS, limitPerS: 1.4 } : HEALTHY,
    );
    expect(limitPerS).equal(undefined);
    expect(share).above(0.25);
  });

  // Guards against a mean latency that keeps all requests away, and with them the answers that would change it.
  it("gets its share again, if it was slow for some time", async () => {
    const { share } = await run((inNeed) => ({
      ...HEALTHY,
      tookMs: inNeed ? SLOW_CALL_MS : CALL_MS,
    }));
    expect(share).above(0.25);
  });

  // Guards against sending much to a worker that is still slow, in order to find out.
  it("gets few requests for as long as it is slow", async () => {
    const { share } = await run(() => ({ ...HEALTHY, tookMs: SLOW_CALL_MS }));
    expect(share).below(0.1);
  });
});

describe("the expected latency of a plain service's endpoints", () => {
  const at = (latencyMs: number, latencyAgeMs: number) => ({ latencyMs, latencyAgeMs });

  it("is the mean where all were called at the same time, also if that is long ago", () => {
    const views = [at(20, 60_000), at(80, 60_000)];
    expect(views.map(callLatency.expectation(views))).deep.equal([20, 80]);
  });

  it("decays towards that of the peers which are called", () => {
    const views = [at(20, 0), at(80, 60_000), at(50, 60_000)];
    const [first, ...others] = views.map(callLatency.expectation(views));
    expect(first).equal(20);
    for (const ms of others) expect(ms).closeTo(20, 0.1);
  });

  it("lies between those measured, whatever their ages", () => {
    const measured = fc.record({
      latencyMs: fc.double({ min: 0.1, max: 10_000, noNaN: true }),
      latencyAgeMs: fc.double({ min: 0, max: 1e9, noNaN: true }),
    });
    fc.assert(
      fc.property(fc.array(measured, { minLength: 1, maxLength: 6 }), (views) => {
        const all = views.map((v) => v.latencyMs);
        const [least, most] = [Math.min(...all), Math.max(...all)];
        for (const ms of views.map(callLatency.expectation(views)))
          expect(ms).within(least * (1 - 1e-9), most * (1 + 1e-9));
      }),
    );
  });

  it("is that of the peers for an endpoint that was not called", () => {
    const unknown = { latencyMs: 0 };
    expect(callLatency.expectation([at(20, 0), at(40, 0), unknown])(unknown)).equal(30);
  });

  it("follows the latest call after a time without calls, and the mean of many calls otherwise", () => {
    expect(callLatency.meanAfter(80, 10_000, 20)).closeTo(20, 0.1);
    expect(callLatency.meanAfter(80, 10, 20)).closeTo(72.5, 0.5);
  });
});
