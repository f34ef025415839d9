import * as chai from "chai";
import * as fc from "fast-check";
import * as record from "../../src/host/record.js";
import type * as clock from "../../src/host/clock.js";
import * as hearsay from "../../src/serving/hearsay.js";
import * as relay from "../../src/serving/relay.js";
import type * as seat from "../../src/serving/seat.js";
import * as suspicion from "../../src/serving/suspicion.js";

const { expect } = chai;

/** Identities and workers by number; the first three are as long as real ones. */
const id = (n: number): string => String(n).padStart(22, "x");
const worker = (n: number): string => `i-${n}`;
/** An end under a request of 100 ms, on a fleet of 13 workers. */
function ended(identity: number, w: number, over: Partial<Ended> = {}): Ended {
  const usual = { underWayMs: 100, peers: 13, ageMs: 0 };
  return { kind: "ended", identity: id(identity), worker: worker(w), ...usual, ...over };
}

type Ended = Extract<suspicion.News, { kind: "ended" }>;

function ran(identity: number, workers: readonly number[]): suspicion.News {
  return { kind: "ran", identity: id(identity), workers: workers.map(worker), ageMs: 0 };
}

function bookOf(all: readonly suspicion.News[], now = 0): suspicion.Book {
  return all.reduce((book, n) => suspicion.take(book, n, now), suspicion.EMPTY);
}

const kindOf = (book: suspicion.Book, identity: number, now = 0): string =>
  suspicion.judge(book, id(identity), now).kind;

/** What a book says, whatever the order in which it was told. */
function said(book: suspicion.Book): unknown {
  const ends = [...book.ends].map(([i, own]) => [
    i,
    [...own.values()].map((e) => [e.worker, e.underWayMs]).sort(),
  ]);
  return { ends: ends.sort(), voided: [...book.voided.keys()].sort() };
}

const anyNews = fc.oneof(
  fc
    .record({ i: fc.nat(3), w: fc.nat(5), c: fc.constantFrom(50, 100, 500) })
    .map(({ i, w, c }) => ended(i, w, { underWayMs: c })),
  fc
    .record({ i: fc.nat(3), ws: fc.array(fc.nat(5), { maxLength: 4 }) })
    .map(({ i, ws }) => ran(i, ws)),
);

/** A clock that stands still until it is moved. */
function still(): clock.Clock & { at: number } {
  return {
    at: 0,
    now: () => new Date(0),
    mono() {
      return this.at;
    },
    steady() {
      return this.at;
    },
    after: () => ({ cancel: () => undefined }),
  };
}

describe("suspicion", () => {
  it("knows the same at the end in whatever order news comes, late, twice or in pieces", () => {
    fc.assert(
      fc.property(
        fc
          .array(anyNews)
          .chain((all) =>
            fc.tuple(
              fc.constant(all),
              fc.shuffledSubarray([...all, ...all], { minLength: 2 * all.length }),
            ),
          ),
        ([all, shuffled]) => {
          expect(said(bookOf(shuffled))).deep.equal(said(bookOf(all)));
        },
      ),
    );
  });

  it("is proved by three ends on a calm fleet, and by no fewer", () => {
    const ends = [ended(1, 1), ended(1, 2), ended(1, 3)];
    expect(kindOf(bookOf(ends.slice(0, 1)), 1)).equal("suspected");
    expect(kindOf(bookOf(ends.slice(0, 2)), 1)).equal("suspected");
    expect(kindOf(bookOf(ends), 1)).equal("quarantined");
    expect(kindOf(bookOf(ends), 2)).equal("free");
    // One end told twice, by two hosts, is one.
    expect(kindOf(bookOf([...ends.slice(0, 2), ended(1, 2, { underWayMs: 200 })]), 1)).equal(
      "suspected",
    );
  });

  it("is proved by three ends on a service of one worker, or of four", () => {
    for (const peers of [1, 4]) {
      expect(kindOf(bookOf([1, 2, 3].map((w) => ended(1, w, { peers }))), 1)).equal("quarantined");
    }
  });

  it("leaves those in peace that died in company", () => {
    const together = [1, 2, 3].flatMap((w) => [ended(1, w), ended(10 + w, w), ended(20 + w, w)]);
    const book = bookOf([...together, ended(11, 2)]);
    expect(kindOf(book, 1)).equal("quarantined");
    for (const innocent of [11, 12, 13, 21, 22, 23]) expect(kindOf(book, innocent)).equal("free");
  });

  it("asks for more where workers end by themselves as well", () => {
    // Of 13 workers one ends each second, before and after.
    const others = Array.from({ length: 20 }, (_, n) =>
      ended(100 + n, 100 + n, { ageMs: n * 1000 }),
    );
    const ends = [1, 2, 3, 4, 5].map((w) => ended(1, w, { ageMs: 5000 + w * 1000 }));
    const kinds = [3, 4, 5, 6].map((n) => {
      const more = ended(1, 6, { ageMs: 5000 });
      return kindOf(bookOf([...others, ...[...ends, more].slice(0, n)], 30_000), 1, 30_000);
    });
    expect(kinds).deep.equal(["suspected", "suspected", "suspected", "quarantined"]);
  });

  it("asks for more where many workers end at once, whenever that becomes known", () => {
    const ends = [ended(1, 1), ended(1, 2), ended(1, 3)];
    const crowd = Array.from({ length: 5 }, (_, n) => ended(100 + n, 100 + n));
    expect(kindOf(bookOf(ends), 1)).equal("quarantined");
    expect(kindOf(bookOf([...ends, ...crowd]), 1)).equal("suspected");
    expect(kindOf(bookOf([...crowd, ...ends]), 1)).equal("suspected");
  });

  it("is over when the request ran, also where news of its ends comes later", () => {
    const ends = [ended(1, 1), ended(1, 2), ended(1, 3)];
    expect(kindOf(bookOf([...ends, ran(1, [1, 2, 3])]), 1)).equal("free");
    expect(kindOf(bookOf([ran(1, [1, 2, 3]), ...ends]), 1)).equal("free");
    // An end that nobody knew of when it ran counts.
    expect(kindOf(bookOf([...ends, ran(1, [1, 2, 3]), ended(1, 4)]), 1)).equal("suspected");
  });

  it("lapses, by the age of its ends and not by when they were told", () => {
    const book = bookOf([ended(1, 1), ended(1, 2), ended(1, 3, { ageMs: 1000 })], 1000);
    const verdict = suspicion.judge(book, id(1), 1000);
    expect(verdict).include({ kind: "quarantined", releaseMs: suspicion.LAPSE_MS - 1000 });
    expect(kindOf(book, 1, suspicion.LAPSE_MS)).equal("suspected");
    expect(suspicion.lapse(book, 1000 + suspicion.LAPSE_MS).ends.size).equal(0);
    const late = ended(1, 4, { ageMs: suspicion.LAPSE_MS });
    expect(suspicion.take(book, late, 1000)).equal(book);
  });

  it("keeps no more than a bounded number of requests, and the worst of them last", () => {
    const [before, now] = [400_000, 500_000];
    const worst = [1, 2, 3].map((w) => ended(1, w, { ageMs: before }));
    const many = Array.from({ length: 3000 }, (_, n) => ended(1000 + n, 1000 + n));
    const book = bookOf([...worst, ...many], now);
    expect(book.ends.size).most(1024);
    expect(kindOf(book, 1, now)).equal("quarantined");
  });
});

describe("news of suspicion", () => {
  it("changes nothing and is counted where it cannot be read", () => {
    const lines: string[] = [];
    const log: record.Log = { ...record.silent, error: (sentence) => lines.push(sentence) };
    fc.assert(
      fc.property(fc.oneof(fc.anything(), fc.array(fc.object())), (news) => {
        const at = new hearsay.Hearsay({ clock: still(), log });
        const heard = at.hear({ kind: "suspicion", news }, "peer");
        expect(heard).deep.equal([]);
        expect(at.isQuiet).equal(true);
        expect(at.refused).equal(Array.isArray(news) && news.length === 0 ? 0 : 1);
      }),
    );
    expect(lines.length).above(0);
  });

  it("is refused whole where one piece is wrong or there are too many", () => {
    const at = new hearsay.Hearsay({ clock: still(), log: record.silent });
    const good = ended(1, 1);
    const bad: readonly unknown[] = [
      [good, { ...good, identity: "short" }],
      [good, { ...good, peers: 0 }],
      [good, { ...good, ageMs: -1 }],
      [good, { ...good, worker: "w".repeat(1000) }],
      Array.from({ length: 65 }, () => good),
    ];
    for (const news of bad) at.hear({ kind: "suspicion", news }, "peer");
    expect([at.refused, at.isQuiet]).deep.equal([bad.length, true]);
    at.hear({ kind: "suspicion", news: [good] }, "peer");
    expect(at.isQuiet).equal(false);
  });

  it("goes through a relay to all others once, and to those that come later", () => {
    const told = new Map<string, seat.FromEndpoint[]>();
    const client = (host: string) => {
      const got: seat.FromEndpoint[] = [];
      told.set(host, got);
      return { host, send: (m: seat.FromEndpoint) => got.push(m), sendLine: () => undefined };
    };
    const at = new relay.Relay({ clock: still(), log: record.silent });
    const [a, b, gone] = [client("a"), client("b"), client("gone")];
    for (const c of [a, b, gone]) at.join(c);
    at.leave(gone);
    const [m] = hearsay.messages([ended(1, 1)]);
    if (m) for (const from of [a, b, a]) at.hear(from, m);
    at.join(client("late"));
    const counts = [...told].map(([host, got]) => `${host} ${got.length}`);
    expect(counts).deep.equal(["a 0", "b 1", "gone 0", "late 1"]);
  });
});
