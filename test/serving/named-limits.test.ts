import * as chai from "chai";
import * as fc from "fast-check";
import * as named from "../../src/serving/named-limits.js";
import type * as notices from "../../src/serving/notices.js";

const { expect } = chai;

type Said = notices.Said<number>;

const saying = (value: number): Said => ({ kind: "said", value });
const NONE: Said = { kind: "unsaid" };

const answer = (said: Said, sentAt: number, at: number, ran = true): named.Answer => ({
  said,
  sentAt,
  at,
  ran,
});

const KNOWN: named.Limit = { perS: 2, version: 3, at: 100 };

describe("a limit that a worker names", () => {
  it("is known from the first answer that names it", () => {
    const known = named.observe(undefined, answer(saying(1.4), 0, 10));
    expect(known).deep.equal({ perS: 1.4, version: 1, at: 10 });
    expect(named.observe(undefined, answer(NONE, 0, 10))).equal(undefined);
  });

  it("holds for as long as it is named, and is no news then", () => {
    expect(named.observe(KNOWN, answer(saying(2), 90, 200))).deep.equal({ ...KNOWN, at: 200 });
  });

  it("falls with any answer, and rises with one whose request was sent after it was named", () => {
    const lower = named.observe(KNOWN, answer(saying(1), 50, 200));
    expect(lower).deep.equal({ perS: 1, version: 4, at: 200 });
    expect(named.observe(KNOWN, answer(saying(5), 99, 200))).equal(KNOWN);
    expect(named.observe(KNOWN, answer(saying(5), 100, 200))?.perS).equal(5);
  });

  it("is withdrawn by an answer without it whose request was sent after it was named", () => {
    const over = { perS: undefined, version: 4, at: 200 };
    expect(named.observe(KNOWN, answer(NONE, 100, 200))).deep.equal(over);
    expect(named.observe(KNOWN, answer(NONE, 99, 200))).equal(KNOWN);
  });

  it("is not withdrawn by a refusal, nor by a value that cannot be read", () => {
    expect(named.observe(KNOWN, answer(NONE, 150, 200, false))).equal(KNOWN);
    const unread: Said = { kind: "unreadable", text: "some" };
    expect(named.observe(KNOWN, answer(unread, 150, 200))).equal(KNOWN);
    expect(named.observe(undefined, answer(unread, 150, 200))).equal(undefined);
  });

  it("is named again after it was withdrawn", () => {
    const over = { perS: undefined, version: 4, at: 200 };
    expect(named.observe(over, answer(saying(2), 210, 220))).deep.equal({
      perS: 2,
      version: 5,
      at: 220,
    });
  });

  it("comes by other hosts' news: the newer one, of two alike the lower one", () => {
    expect(named.learn(undefined, { perS: 1, version: 7 }, 5)).deep.equal({
      perS: 1,
      version: 7,
      at: 5,
    });
    expect(named.learn(KNOWN, { version: 4 }, 200).perS).equal(undefined);
    expect(named.learn(KNOWN, { perS: 9, version: 2 }, 200)).equal(KNOWN);
    expect(named.learn(KNOWN, { perS: 1, version: 3 }, 200).perS).equal(1);
    expect(named.learn(KNOWN, { perS: 9, version: 3 }, 200)).equal(KNOWN);
  });

  it("is the same at hosts that have heard the same news, in whatever order", () => {
    const news = fc.record({
      perS: fc.option(fc.constantFrom(0, 1, 2.5), { nil: undefined }),
      version: fc.integer({ min: 1, max: 4 }),
    });
    fc.assert(
      fc.property(fc.array(news, { minLength: 1, maxLength: 6 }), (all) => {
        const heard = (list: readonly named.News[]): named.Limit | undefined =>
          list.reduce<named.Limit | undefined>((k, n) => named.learn(k, n, 0), undefined);
        expect(heard(all)?.perS).equal(heard([...all].reverse())?.perS);
      }),
    );
  });
});
