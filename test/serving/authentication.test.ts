import * as chai from "chai";
import * as authentication from "../../src/serving/authentication.js";
import type * as catalog from "../../src/serving/catalog.js";
import * as fixtures from "./fixtures.js";

const { expect } = chai;

const REVOKED_MS = 5000;
const IN_FORCE_MS = 3000;
const BOUNDS = authentication.bounds(IN_FORCE_MS, REVOKED_MS);
const TEAM: catalog.Team = { name: "news" };
const KEY: authentication.Shown = { kind: "key", digest: "d1" };
const OTHER: authentication.Shown = { kind: "key", digest: "d2" };
const NONE: authentication.Shown = { kind: "none", why: "a key is missing" };

function withKeys(...digests: readonly string[]): catalog.Config {
  const byDigest = new Map(digests.map((d) => [d, TEAM]));
  return { ...fixtures.CONFIG, teams: { all: [TEAM], byDigest, malformed: 0 } };
}

function kind(shown: authentication.Shown, ageMs: number, over: Partial<catalog.Route> = {}) {
  const route = { ...fixtures.ROUTE, ...over };
  return authentication.judge(withKeys("d1"), route, shown, ageMs, BOUNDS).kind;
}

describe("authentication", () => {
  it("lets a known key in, and says no to one that is unknown or missing", () => {
    expect(kind(KEY, 0)).equal("team");
    expect(kind(OTHER, 0)).equal("unknown");
    expect(kind(NONE, 0)).equal("unknown");
  });

  it("asks for no key on an open route, nor where no teams are configured", () => {
    expect(kind(NONE, 60_000, { open: true })).equal("open");
    const { ROUTE, CONFIG } = fixtures;
    expect(authentication.judge(CONFIG, ROUTE, NONE, 60_000, BOUNDS).kind).equal("open");
  });

  it("lets a key in only while it is sure to be in force", () => {
    expect(kind(KEY, REVOKED_MS - 1500)).equal("team");
    expect(kind(KEY, REVOKED_MS - 1499)).equal("unsure");
    expect(kind(KEY, Infinity)).equal("unsure");
  });

  it("says no only while a newer configuration can't be in force", () => {
    expect(kind(OTHER, IN_FORCE_MS)).equal("unknown");
    expect(kind(OTHER, IN_FORCE_MS + 1)).equal("unsure");
    expect(kind(NONE, IN_FORCE_MS + 1)).equal("unsure");
  });

  it("goes by what it last heard where no bound on revocation is asked for", () => {
    const lax = authentication.bounds(IN_FORCE_MS, undefined);
    expect(authentication.judge(withKeys("d1"), fixtures.ROUTE, KEY, 1e9, lax).kind).equal("team");
  });

  /*
   * All ways in which one host may ask the store twice around a revocation: when it asks, how long the answer takes,
   * whether it comes at all, whether the watch was silent about the last second, and how long the host then stands still
   * between the arrival of a request and its judgment. The store takes the key away at REVOKED_AT.
   */
  it("lets no request in that was sent too long after its key was taken away, in any order of events", () => {
    const STEP = 500;
    const REVOKED_AT = 3000;
    const END = 14_000;
    const had = withKeys("d1");
    const has = withKeys();
    let judged = 0;
    let letIn = 0;
    interface Answer {
      readonly askedAt: number;
      readonly comesAt: number;
      readonly config: catalog.Config;
    }
    const answers: Answer[] = [];
    for (let askedAt = 0; askedAt <= 8000; askedAt += STEP) {
      for (const deafMs of [0, 500, 1000]) {
        for (const tookMs of [0, 500, 2500, 6000, Infinity]) {
          const config = askedAt - deafMs >= REVOKED_AT ? has : had;
          answers.push({ askedAt, comesAt: askedAt + tookMs, config });
        }
      }
    }
    for (const first of answers) {
      for (const second of answers) {
        if (second.askedAt < first.askedAt) continue;
        // A request sent later is no easier to refuse: news only grows older.
        for (let sentAt = REVOKED_AT + REVOKED_MS + 1; sentAt <= END; sentAt += STEP) {
          for (const stoodMs of [0, 3000]) {
            const at = sentAt + stoodMs;
            const known = [second, first].find((a) => a.comesAt <= at);
            if (!known) continue;
            const age = at - known.askedAt;
            const { kind } = authentication.judge(known.config, fixtures.ROUTE, KEY, age, BOUNDS);
            judged++;
            if (kind === "team") letIn++;
          }
        }
      }
    }
    expect(judged).above(100_000);
    expect(letIn).equal(0);
  });
});
