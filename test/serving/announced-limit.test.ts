import * as chai from "chai";
import * as fc from "fast-check";
import * as limits from "../../src/serving/announced-limit.js";
import type * as notices from "../../src/serving/notices.js";

const { expect } = chai;

type Said = notices.Announced<number>;

const saying = (value: number): Said => ({ kind: "said", value });
const NONE: Said = { kind: "unsaid" };

const answer = (said: Said, sentAt: number, at: number, ran = true): limits.Answer => ({
  said,
  sentAt,
  at,
  ran,
});

const KNOWN: limits.Limit = { perS: 2, version: 3, at: 100 };

describe("a limit that a worker announces", () => {
  it("is known from the first answer that announces it", () => {
    const known = limits.observe(undefined, answer(saying(1.4), 0, 10));
    expect(known).deep.equal({ perS: 1.4, version: 1, at: 10 });
    expect(limits.observe(undefined, answer(NONE, 0, 10))).equal(undefined);
  });

  it("stays in force while it is announced, without a new version", () => {
    expect(limits.observe(KNOWN, answer(saying(2), 90, 200))).deep.equal({ ...KNOWN, at: 200 });
  });

  it("falls with any answer, and rises only with one whose request was sent after it was announced", () => {
    const lower = limits.observe(KNOWN, answer(saying(1), 50, 200));
    expect(lower).deep.equal({ perS: 1, version: 4, at: 200 });
    expect(limits.observe(KNOWN, answer(saying(5), 99, 200))).equal(KNOWN);
    expect(limits.observe(KNOWN, answer(saying(5), 100, 200))?.perS).equal(5);
  });

  it("is withdrawn by an answer without it whose request was sent after it was announced", () => {
    const withdrawn = { perS: undefined, version: 4, at: 200 };
    expect(limits.observe(KNOWN, answer(NONE, 100, 200))).deep.equal(withdrawn);
    expect(limits.observe(KNOWN, answer(NONE, 99, 200))).equal(KNOWN);
  });

  it("is not withdrawn by a refusal, nor by a value that cannot be parsed", () => {
    expect(limits.observe(KNOWN, answer(NONE, 150, 200, false))).equal(KNOWN);
    const unreadable: Said = { kind: "unreadable", text: "some" };
    expect(limits.observe(KNOWN, answer(unreadable, 150, 200))).equal(KNOWN);
    expect(limits.observe(undefined, answer(unreadable, 150, 200))).equal(undefined);
  });

  it("can be announced again after it was withdrawn", () => {
    const withdrawn = { perS: undefined, version: 4, at: 200 };
    expect(limits.observe(withdrawn, answer(saying(2), 210, 220))).deep.equal({
      perS: 2,
      version: 5,
      at: 220,
    });
  });

  it("is merged from other hosts' updates: the newer version, or the lower limit of equal versions", () => {
    expect(limits.merge(undefined, { perS: 1, version: 7 }, 5)).deep.equal({
      perS: 1,
      version: 7,
      at: 5,
    });
    expect(limits.merge(KNOWN, { version: 4 }, 200).perS).equal(undefined);
    expect(limits.merge(KNOWN, { perS: 9, version: 2 }, 200)).equal(KNOWN);
    expect(limits.merge(KNOWN, { perS: 1, version: 3 }, 200).perS).equal(1);
    expect(limits.merge(KNOWN, { perS: 9, version: 3 }, 200)).equal(KNOWN);
  });

  it("is the same at hosts that received the same updates, in whatever order", () => {
    const news = fc.record({
      perS: fc.option(fc.constantFrom(0, 1, 2.5), { nil: undefined }),
      version: fc.integer({ min: 1, max: 4 }),
    });
    fc.assert(
      fc.property(fc.array(news, { minLength: 1, maxLength: 6 }), (all) => {
        const heard = (list: readonly limits.Update[]): limits.Limit | undefined =>
          list.reduce<limits.Limit | undefined>((k, n) => limits.merge(k, n, 0), undefined);
        expect(heard(all)?.perS).equal(heard([...all].reverse())?.perS);
      }),
    );
  });
});
