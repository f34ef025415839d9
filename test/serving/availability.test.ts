import * as chai from "chai";
import * as fc from "fast-check";
import * as wire from "../../platform/wire.js";
import * as availability from "../../src/serving/availability.js";
import * as notices from "../../src/serving/notices.js";

const { expect } = chai;

/** An answer that arrived at `at`, 10 ms after its request was sent. */
function answer(at: number, said: Partial<notices.Notice>): availability.Answer {
  return { notice: { ...notices.EMPTY, ...said }, sentAt: at - 10, at, ran: true };
}

const LEAVING: Partial<notices.Notice> = { leaving: { kind: "said", value: true } };

const pausing = (value: number): Partial<notices.Notice> => ({
  retryAfterMs: { kind: "said", value },
});

function after(...answers: readonly availability.Answer[]): availability.Availability {
  return answers.reduce(availability.observe, availability.UNKNOWN);
}

describe("a worker's availability", () => {
  it("is the same object after an answer that changes nothing", () => {
    const known = after(answer(10, LEAVING));
    expect(availability.observe(known, answer(20, {}))).equal(known);
    expect(availability.observe(known, answer(20, LEAVING))).equal(known);
  });

  it("stays leaving, whatever later answers say", () => {
    expect(after(answer(10, LEAVING), answer(20, {})).leavingAt).equal(10);
  });

  it("keeps the pause that ends last", () => {
    const until = after(answer(10, pausing(3000))).pause?.until ?? 0;
    expect(until).within(3010, 3060);
    expect(after(answer(10, pausing(3000)), answer(500, pausing(800))).pause?.until).equal(until);
    const later = after(answer(10, pausing(3000)), answer(500, pausing(3000))).pause?.until;
    expect(later).equal(until + 490);
  });

  it("ignores a pause of 0 ms", () => {
    expect(after(answer(10, pausing(0)))).equal(availability.UNKNOWN);
  });

  it("is closed once it is leaving, and until its pause is over", () => {
    expect(availability.opensInMs(after(answer(10, LEAVING)), 1e9)).equal(Infinity);
    const known = after(answer(10, pausing(3000)));
    const until = known.pause?.until ?? 0;
    expect(availability.opensInMs(known, 10)).equal(until - 10);
    expect(availability.opensInMs(known, until)).equal(0);
  });

  it("opens for one request at a time after a pause, until one is answered without asking for another", () => {
    const known = after(answer(10, pausing(1000)));
    const until = known.pause?.until ?? 0;
    const tried = availability.recordSend(known, until + 5);
    expect(availability.opensInMs(tried, until + 5)).within(100, 500);
    expect(availability.opensInMs(tried, until + 505)).equal(0);
    const again = availability.observe(tried, answer(until + 20, pausing(1000)));
    expect(availability.opensInMs(again, until + 20)).least(1000);
    const well = availability.observe(tried, answer(until + 20, {}));
    expect(availability.opensInMs(well, until + 20)).equal(0);
  });

  it("does not end a pause by an answer to a request that was sent before the pause was over", () => {
    const known = after(answer(10, pausing(1000)));
    expect(availability.observe(known, answer(1035, {}))).equal(known);
  });

  it("is never open before the end of any pause that the worker asked for", () => {
    const heard = fc.record({ at: fc.nat(5000), ms: fc.option(fc.nat(3000), { nil: undefined }) });
    fc.assert(
      fc.property(fc.array(heard, { minLength: 1, maxLength: 8 }), fc.nat(9000), (all, now) => {
        const past = all.filter((h) => h.at <= now).sort((a, b) => a.at - b.at);
        const known = after(
          ...past.map((h) => answer(h.at, h.ms === undefined ? {} : pausing(h.ms))),
        );
        const asked = past.some((h) => h.ms !== undefined && h.ms > 0 && h.at + h.ms > now);
        if (asked) expect(availability.opensInMs(known, now)).above(0);
      }),
    );
  });
});

describe("the updates that hosts send each other about a worker", () => {
  const news = fc.record({
    limit: fc.option(
      fc.record({ perS: fc.constantFrom(1, 2), version: fc.integer({ min: 1, max: 3 }) }),
      {
        nil: undefined,
      },
    ),
    leaving: fc.boolean(),
  });

  it("lead to the same state in whatever order and however often they arrive", () => {
    fc.assert(
      fc.property(fc.array(news, { minLength: 1, maxLength: 6 }), (all) => {
        const heard = (list: readonly availability.Update[]): unknown => {
          const start = availability.UNKNOWN;
          const at = list.reduce((known, n) => availability.merge(known, n, 5), start);
          return [at.limit?.perS, at.limit?.version, at.leavingAt];
        };
        expect(heard([...all, ...all].reverse())).deep.equal(heard(all));
      }),
    );
  });

  it("are not sent again to a host that knows the whole state", () => {
    fc.assert(
      fc.property(news, news, (a, b) => {
        const known = availability.merge(availability.merge(availability.UNKNOWN, a, 1), b, 2);
        const { limit, leavingAt } = known;
        const told: availability.Update = { limit, leaving: leavingAt !== undefined };
        expect(availability.hasMoreThan(known, told)).equal(false);
        expect(availability.merge(known, told, 3)).equal(known);
      }),
    );
  });
});

describe("the headers by which workers announce their state", () => {
  it("announce that a worker is leaving, with and without the platform's prefix", () => {
    for (const name of ["server-leaving", "x-sumacfield-server-leaving"]) {
      const { leaving } = wire.PROTOCOL.notice(200, { [name]: "1" });
      expect(leaving).deep.equal({ kind: "said", value: true });
    }
    expect(wire.PROTOCOL.notice(200, { "server-leaving": "0" }).leaving.kind).equal("unsaid");
    expect(wire.PROTOCOL.notice(200, { "server-leaving": "soon" }).leaving.kind).equal(
      "unreadable",
    );
  });

  it("ask for a pause in seconds, only with status 503", () => {
    const { retryAfterMs } = wire.PROTOCOL.notice(503, { "retry-after": "1.5" });
    expect(retryAfterMs).deep.equal({ kind: "said", value: 1500 });
    for (const status of [200, 429, 500]) {
      const { retryAfterMs } = wire.PROTOCOL.notice(status, { "retry-after": "3" });
      expect(retryAfterMs.kind).equal("unsaid");
    }
  });

  it("ask for no pause if they cannot be parsed", () => {
    for (const text of ["", "-1", "soon", "1e3", "Thu, 03 Dec 2026 12:00:00 GMT"]) {
      const { retryAfterMs } = wire.PROTOCOL.notice(503, { "retry-after": text });
      expect(retryAfterMs).deep.equal({ kind: "unreadable", text });
    }
  });
});
