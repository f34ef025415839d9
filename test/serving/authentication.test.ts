import * as chai from "chai";
import * as authentication from "../../src/serving/authentication.js";
import type * as catalog from "../../src/serving/catalog.js";
import * as fixtures from "./fixtures.js";

const { expect } = chai;

const REVOKED_MS = 5000;
const IN_FORCE_MS = 3000;
const BOUNDS = authentication.freshnessBounds(IN_FORCE_MS, REVOKED_MS);
const TEAM: catalog.Team = { name: "news" };
const KEY: authentication.PresentedKey = { kind: "key", digest: "d1" };
const OTHER: authentication.PresentedKey = { kind: "key", digest: "d2" };
const NONE: authentication.PresentedKey = { kind: "none", why: "a key is missing" };

function withKeys(...digests: readonly string[]): catalog.Config {
  const byDigest = new Map(digests.map((d) => [d, TEAM]));
  return { ...fixtures.CONFIG, teams: { all: [TEAM], byDigest, malformedCount: 0 } };
}

function kind(
  shown: authentication.PresentedKey,
  ageMs: number,
  overrides: Partial<catalog.Route> = {},
  isNewest = true,
) {
  const route = { ...fixtures.ROUTE, ...overrides };
  const freshness = { ageMs, isNewest };
  return authentication.authenticate(withKeys("d1"), route, shown, freshness, BOUNDS).kind;
}

describe("authentication", () => {
  it("accepts a known key, and rejects an unknown or missing one", () => {
    expect(kind(KEY, 0)).equal("team");
    expect(kind(OTHER, 0)).equal("unknown");
    expect(kind(NONE, 0)).equal("unknown");
  });

  it("requires no key on an open route, or if no teams are configured", () => {
    expect(kind(NONE, 60_000, { allowsAnonymous: true })).equal("open");
    const { ROUTE, CONFIG } = fixtures;
    const old = { ageMs: 60_000, isNewest: true };
    expect(authentication.authenticate(CONFIG, ROUTE, NONE, old, BOUNDS).kind).equal("open");
  });

  it("accepts a key only while the configuration is fresh enough", () => {
    expect(kind(KEY, REVOKED_MS - 1500)).equal("team");
    expect(kind(KEY, REVOKED_MS - 1499)).equal("unsure");
    expect(kind(KEY, Infinity)).equal("unsure");
  });

  it("rejects for good only while no newer configuration can be in force", () => {
    expect(kind(OTHER, IN_FORCE_MS)).equal("unknown");
    expect(kind(OTHER, IN_FORCE_MS + 1)).equal("unsure");
    expect(kind(NONE, IN_FORCE_MS + 1)).equal("unsure");
  });

  it("rejects nothing for good while a newer configuration may be in force that the store has lost", () => {
    expect(kind(OTHER, 0, {}, false)).equal("unsure");
    expect(kind(NONE, 0, {}, false)).equal("unsure");
    expect(kind(KEY, 0, {}, false)).equal("team");
  });

  it("accepts a key by a configuration of any age if no revocation time is required", () => {
    const unbounded = authentication.freshnessBounds(IN_FORCE_MS, undefined);
    const old = { ageMs: 1e9, isNewest: true };
    expect(
      authentication.authenticate(withKeys("d1"), fixtures.ROUTE, KEY, old, unbounded).kind,
    ).equal("team");
  });

  /*
   * Guards against accepting a request that was sent too long after its key was revoked. Tries all combinations of two
   * calls to the store around the revocation at REVOKED_AT: when each call begins, how long its response takes or whether
   * it arrives at all, whether the watch omits changes of the last second, and how long the host is suspended between the
   * arrival of a request and the decision on it.
   */
  it("accepts no request sent too long after its key was revoked, in any order of events", () => {
    const STEP = 500;
    const REVOKED_AT = 3000;
    const END = 14_000;
    const beforeRevocation = withKeys("d1");
    const afterRevocation = withKeys();
    let decisions = 0;
    let accepted = 0;
    interface Answer {
      readonly askedAt: number;
      readonly comesAt: number;
      readonly config: catalog.Config;
    }
    const answers: Answer[] = [];
    for (let askedAt = 0; askedAt <= 8000; askedAt += STEP) {
      for (const silentMs of [0, 500, 1000]) {
        for (const tookMs of [0, 500, 2500, 6000, Infinity]) {
          const config = askedAt - silentMs >= REVOKED_AT ? afterRevocation : beforeRevocation;
          answers.push({ askedAt, comesAt: askedAt + tookMs, config });
        }
      }
    }
    for (const first of answers) {
      for (const second of answers) {
        if (second.askedAt < first.askedAt) continue;
        // A request sent later is no easier to accept, since the configuration only grows older.
        for (let sentAt = REVOKED_AT + REVOKED_MS + 1; sentAt <= END; sentAt += STEP) {
          for (const suspendedMs of [0, 3000]) {
            const now = sentAt + suspendedMs;
            const latest = [second, first].find((a) => a.comesAt <= now);
            if (!latest) continue;
            const freshness = { ageMs: now - latest.askedAt, isNewest: true };
            const { kind } = authentication.authenticate(
              latest.config,
              fixtures.ROUTE,
              KEY,
              freshness,
              BOUNDS,
            );
            decisions++;
            if (kind === "team") accepted++;
          }
        }
      }
    }
    expect(decisions).above(100_000);
    expect(accepted).equal(0);
  });
});
