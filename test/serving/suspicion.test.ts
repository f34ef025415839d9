import * as chai from "chai";
import * as fc from "fast-check";
import * as structuredLog from "../../src/host/structured-log.js";
import type * as clock from "../../src/host/clock.js";
import * as suspicionState from "../../src/serving/suspicion-state.js";
import * as suspicionRelay from "../../src/serving/suspicion-relay.js";
import type * as seatMessages from "../../src/serving/seat-messages.js";
import * as crashRecords from "../../src/serving/crashes/records.js";
import * as suspicion from "../../src/serving/suspicion.js";

const { expect } = chai;

/** Identities and workers by number; the identities are as long as real ones. */
const id = (n: number): string => String(n).padStart(22, "x");
const worker = (n: number): string => `i-${n}`;
/** A crash after a request was on the worker for 100 ms, on a fleet of 13 workers. */
function ended(identity: number, w: number, over: Partial<Ended> = {}): Ended {
  const usual = { underWayMs: 100, answeringMs: 0, peers: 13, parts: [], ageMs: 0 };
  return { kind: "ended", identity: id(identity), worker: worker(w), ...usual, ...over };
}

type Ended = Extract<crashRecords.News, { kind: "ended" }>;

function ran(identity: number, workers: readonly number[]): crashRecords.News {
  return { kind: "ran", identity: id(identity), workers: workers.map(worker), ageMs: 0 };
}

function recordsOf(all: readonly crashRecords.News[], now = 0): crashRecords.CrashRecords {
  return all.reduce((records, n) => crashRecords.apply(records, n, now), crashRecords.EMPTY);
}

const kindOf = (records: crashRecords.CrashRecords, identity: number, now = 0): string =>
  suspicion.evaluate(records, id(identity), now).kind;

/** The content of records, independent of the order in which they were reported. */
function contentOf(records: crashRecords.CrashRecords): unknown {
  const ends = [...records.crashes].map(([i, own]) => [
    i,
    [...own.values()].map((e) => [e.worker, e.underWayMs]).sort(),
  ]);
  return { ends: ends.sort(), voided: [...records.voided.keys()].sort() };
}

const anyNews = fc.oneof(
  fc
    .record({ i: fc.nat(3), w: fc.nat(5), c: fc.constantFrom(50, 100, 500) })
    .map(({ i, w, c }) => ended(i, w, { underWayMs: c })),
  fc
    .record({ i: fc.nat(3), ws: fc.array(fc.nat(5), { maxLength: 4 }) })
    .map(({ i, ws }) => ran(i, ws)),
);

/** A clock that stands still until its `at` is set. */
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
  it("ends in the same state in whatever order news arrives, late, twice or in pieces", () => {
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
          expect(contentOf(recordsOf(shuffled))).deep.equal(contentOf(recordsOf(all)));
        },
      ),
    );
  });

  it("is proved by three crashes on a stable fleet, and by no fewer", () => {
    const ends = [ended(1, 1), ended(1, 2), ended(1, 3)];
    expect(kindOf(recordsOf(ends.slice(0, 1)), 1)).equal("suspected");
    expect(kindOf(recordsOf(ends.slice(0, 2)), 1)).equal("suspected");
    expect(kindOf(recordsOf(ends), 1)).equal("quarantined");
    expect(kindOf(recordsOf(ends), 2)).equal("free");
    // One crash reported twice, by two hosts, counts once.
    expect(kindOf(recordsOf([...ends.slice(0, 2), ended(1, 2, { underWayMs: 200 })]), 1)).equal(
      "suspected",
    );
  });

  it("is proved by three crashes on a service of one worker, or of four", () => {
    for (const peers of [1, 4]) {
      expect(kindOf(recordsOf([1, 2, 3].map((w) => ended(1, w, { peers }))), 1)).equal(
        "quarantined",
      );
    }
  });

  it("does not extend to innocent requests that were on the same workers", () => {
    const together = [1, 2, 3].flatMap((w) => [ended(1, w), ended(10 + w, w), ended(20 + w, w)]);
    const records = recordsOf([...together, ended(11, 2)]);
    expect(kindOf(records, 1)).equal("quarantined");
    for (const innocent of [11, 12, 13, 21, 22, 23])
      expect(kindOf(records, innocent)).equal("free");
  });

  it("needs more crashes if workers crash anyway", () => {
    // Of 13 workers one crashes each second, before and after.
    const others = Array.from({ length: 20 }, (_, n) =>
      ended(100 + n, 100 + n, { ageMs: n * 1000 }),
    );
    const ends = [1, 2, 3, 4, 5].map((w) => ended(1, w, { ageMs: 5000 + w * 1000 }));
    const kinds = [3, 4, 5, 6].map((n) => {
      const more = ended(1, 6, { ageMs: 5000 });
      return kindOf(recordsOf([...others, ...[...ends, more].slice(0, n)], 30_000), 1, 30_000);
    });
    expect(kinds).deep.equal(["suspected", "suspected", "suspected", "quarantined"]);
  });

  it("needs more crashes if many workers crash at once, whenever that becomes known", () => {
    const ends = [ended(1, 1), ended(1, 2), ended(1, 3)];
    const crowd = Array.from({ length: 5 }, (_, n) => ended(100 + n, 100 + n));
    expect(kindOf(recordsOf(ends), 1)).equal("quarantined");
    expect(kindOf(recordsOf([...ends, ...crowd]), 1)).equal("suspected");
    expect(kindOf(recordsOf([...crowd, ...ends]), 1)).equal("suspected");
  });

  it("ends when the request runs to its end, even if its crashes are reported later", () => {
    const ends = [ended(1, 1), ended(1, 2), ended(1, 3)];
    expect(kindOf(recordsOf([...ends, ran(1, [1, 2, 3])]), 1)).equal("free");
    expect(kindOf(recordsOf([ran(1, [1, 2, 3]), ...ends]), 1)).equal("free");
    // A crash that was not known when the request ran still counts.
    expect(kindOf(recordsOf([...ends, ran(1, [1, 2, 3]), ended(1, 4)]), 1)).equal("suspected");
  });

  it("expires by the age of the crashes, not by when they were reported", () => {
    const records = recordsOf([ended(1, 1), ended(1, 2), ended(1, 3, { ageMs: 1000 })], 1000);
    const verdict = suspicion.evaluate(records, id(1), 1000);
    expect(verdict).include({ kind: "quarantined", releaseMs: crashRecords.EXPIRY_MS - 1000 });
    expect(kindOf(records, 1, crashRecords.EXPIRY_MS)).equal("suspected");
    expect(crashRecords.expire(records, 1000 + crashRecords.EXPIRY_MS).crashes.size).equal(0);
    const late = ended(1, 4, { ageMs: crashRecords.EXPIRY_MS });
    expect(crashRecords.apply(records, late, 1000)).equal(records);
  });

  it("keeps a bounded number of requests, evicting those with the most crashes last", () => {
    const [before, now] = [400_000, 500_000];
    const worst = [1, 2, 3].map((w) => ended(1, w, { ageMs: before }));
    const many = Array.from({ length: 3000 }, (_, n) => ended(1000 + n, 1000 + n));
    const records = recordsOf([...worst, ...many], now);
    expect(records.crashes.size).most(1024);
    expect(kindOf(records, 1, now)).equal("quarantined");
  });
});

describe("suspicion messages", () => {
  it("change nothing and are counted if they cannot be parsed", () => {
    const lines: string[] = [];
    const log: structuredLog.Log = {
      ...structuredLog.silent,
      error: (sentence) => lines.push(sentence),
    };
    fc.assert(
      fc.property(fc.oneof(fc.anything(), fc.array(fc.object())), (news) => {
        const at = new suspicionState.SuspicionState({ clock: still(), log });
        const heard = at.receive({ kind: "suspicion", news }, "peer");
        expect(heard).deep.equal([]);
        expect(at.isEmpty).equal(true);
        expect(at.unreadableCount).equal(Array.isArray(news) && news.length === 0 ? 0 : 1);
      }),
    );
    expect(lines.length).above(0);
  });

  it("are rejected as a whole if one piece is invalid or there are too many", () => {
    const at = new suspicionState.SuspicionState({ clock: still(), log: structuredLog.silent });
    const good = ended(1, 1);
    const bad: readonly unknown[] = [
      [good, { ...good, identity: "short" }],
      [good, { ...good, peers: 0 }],
      [good, { ...good, ageMs: -1 }],
      [good, { ...good, worker: "w".repeat(1000) }],
      Array.from({ length: 65 }, () => good),
    ];
    for (const news of bad) at.receive({ kind: "suspicion", news }, "peer");
    expect([at.unreadableCount, at.isEmpty]).deep.equal([bad.length, true]);
    at.receive({ kind: "suspicion", news: [good] }, "peer");
    expect(at.isEmpty).equal(false);
  });

  it("are relayed to all others once, and to those that connect later", () => {
    const told = new Map<string, seatMessages.FromEndpoint[]>();
    const client = (host: string) => {
      const got: seatMessages.FromEndpoint[] = [];
      told.set(host, got);
      return {
        host,
        send: (m: seatMessages.FromEndpoint) => got.push(m),
        sendLine: () => undefined,
      };
    };
    const at = new suspicionRelay.SuspicionRelay({ clock: still(), log: structuredLog.silent });
    const [a, b, gone] = [client("a"), client("b"), client("gone")];
    for (const c of [a, b, gone]) at.join(c);
    at.leave(gone);
    const [m] = suspicionState.messages([ended(1, 1)]);
    if (m) for (const from of [a, b, a]) at.receive(from, m);
    at.join(client("late"));
    const counts = [...told].map(([host, got]) => `${host} ${got.length}`);
    expect(counts).deep.equal(["a 0", "b 1", "gone 0", "late 1"]);
  });
});

describe("a worker whose key in the store is as long as may be", () => {
  for (const [what, name] of Object.entries({
    "200 bytes with a start time": `${"w".repeat(192)}#1790000000000`,
    "spaces and a line end": "a worker\nof two\u2028lines",
  })) {
    it(`has its crashes known to the other hosts, and does not keep those of others from them: ${what}`, () => {
      const lg = structuredLog.silent;
      const [sender, receiver] = [0, 1].map(
        () => new suspicionState.SuspicionState({ clock: still(), log: lg }),
      );
      const news = [ended(1, 1), ended(1, 2, { worker: name })];
      sender?.apply(news);
      for (const m of sender?.snapshot() ?? []) receiver?.receive(m, "peer");
      expect(contentOf(receiver?.records ?? crashRecords.EMPTY)).deep.equal(
        contentOf(recordsOf(news)),
      );
    });
  }
});
