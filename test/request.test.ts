import * as chai from "chai";
import * as fc from "fast-check";
import * as clock from "../src/host/clock.js";
import * as log from "../src/host/log.js";
import * as circuitBreaker from "../src/link/circuit-breaker.js";
import * as keys from "../src/link/keys.js";
import * as tokenBucket from "../src/store/token-bucket.js";
import type * as store from "../src/store/store.js";
import * as claims from "../src/request/claims.js";
import * as outcome from "../src/request/outcome.js";
import * as trail from "../src/request/trail.js";

const { expect } = chai;

const EVENTS: readonly trail.TrailEvent["type"][] = [
  "send",
  "refused",
  "broke",
  "proved",
  "failed",
  "spoiled",
  "begun",
  "finished",
];

describe("trail", () => {
  it("reports not_run only when no attempt may have run", () => {
    const events = fc.array(fc.constantFrom(...EVENTS), { maxLength: 20 });
    fc.assert(
      fc.property(events, fc.boolean(), (types, repeatable) => {
        let t = trail.start(repeatable);
        let open = 0;
        let touched = false;
        for (const type of types) {
          try {
            t = trail.step(t, type);
          } catch (err) {
            expect(err).instanceOf(RangeError);
            continue;
          }
          if (type === "send") {
            expect(repeatable || open === 0).equal(true);
            open++;
          }
          if (type === "refused" || type === "proved") open--;
          if (type === "failed" || type === "begun" || type === "spoiled") touched = true;
          if (type === "spoiled") {
            expect(repeatable).equal(true);
            open--;
          }
          if (trail.verdict(t) === "not_run") expect([open, touched]).eql([0, false]);
          if (open > 0 && !touched) expect(trail.verdict(t)).equal("unknown");
        }
      }),
    );
  });
});

/** A store whose nth call to `create` loses its reply (`lostReplies`) or fails without effect (`failedCalls`). */
function unreliableStore(
  lostReplies: readonly boolean[],
  failedCalls: readonly boolean[],
): store.Store {
  const entries = new Map<string, store.Entry>();
  let calls = 0;
  const notUsed = (): Promise<never> => Promise.reject(new Error("not used here"));
  return {
    read: (key) => Promise.resolve(entries.get(key)),
    range: notUsed,
    commit: ({ deletes }) => {
      for (const key of deletes ?? []) entries.delete(key);
      return Promise.resolve({ ok: true, revision: 1 });
    },
    create: (puts) => {
      const n = calls++;
      if (failedCalls[n]) return Promise.reject(new Error("down"));
      const before = puts.map((p) => entries.get(p.key));
      for (const [i, p] of puts.entries())
        if (!before[i]) entries.set(p.key, { ...p, revision: 1 });
      return lostReplies[n] ? Promise.reject(new Error("lost")) : Promise.resolve(before);
    },
    grant: (ttlMs) => Promise.resolve({ id: "1", ttlMs }),
    keepAlive: () => Promise.resolve(1),
    watch: notUsed,
  };
}

describe("claims", () => {
  it("grant a key to at most one request, whichever replies are lost", async () => {
    const faults = fc.array(fc.boolean(), { maxLength: 8 });
    await fc.assert(
      fc.asyncProperty(faults, faults, fc.integer({ min: 2, max: 5 }), async (loses, fails, n) => {
        const shared = unreliableStore(loses, fails);
        const opts = { windowMs: 1000, batchMs: 0, maxBatchSize: 2 };
        const deps = { clock: clock.system, log: log.silent, store: shared };
        const hosts = Array.from({ length: n }, () => new claims.Claims(opts, deps));
        const made = await Promise.allSettled(
          hosts.map((h, i) => h.acquire("levant", "k", `r${i}`)),
        );
        expect(made.filter((m) => m.status === "fulfilled").length).most(1);
        for (const m of made) {
          if (m.status === "rejected") expect(m.reason).instanceOf(outcome.StepError);
        }
      }),
      { numRuns: 50 },
    );
  });

  it("are batched into one call", async () => {
    let calls = 0;
    const inner = unreliableStore([], []);
    const counted = { ...inner, create: (p: readonly store.Put[]) => (calls++, inner.create(p)) };
    const deps = { clock: clock.system, log: log.silent, store: counted };
    const host = new claims.Claims({ windowMs: 1000, batchMs: 2, maxBatchSize: 64 }, deps);
    await Promise.all(
      Array.from({ length: 40 }, (_, i) => host.acquire("levant", `k${i}`, `r${i}`)),
    );
    expect(calls).equal(1);
  });
});

describe("circuit", () => {
  const opts = { failures: 3, openMs: 100, openMaxMs: 400 };
  const failedTimes = (n: number, now: number): circuitBreaker.CircuitBreaker => {
    let c = circuitBreaker.CLOSED;
    for (let i = 0; i < n; i++) c = circuitBreaker.recordFailure(c, opts, now);
    return c;
  };

  it("opens after consecutive failures, and then allows a single trial", () => {
    expect(circuitBreaker.allows(failedTimes(2, 0), 0)).equal(true);
    const open = failedTimes(3, 0);
    expect([0, 99, 100].map((now) => circuitBreaker.allows(open, now))).eql([false, false, true]);
    const trial = circuitBreaker.recordSend(open, 100);
    expect(circuitBreaker.allows(trial, 101)).equal(false);
    expect(circuitBreaker.recordSuccess()).eql(circuitBreaker.CLOSED);
  });

  it("stays open for longer after each failed trial, up to a maximum", () => {
    let c = failedTimes(3, 0);
    for (let i = 0; i < 5; i++)
      c = circuitBreaker.recordFailure(circuitBreaker.recordSend(c, 1000), opts, 1000);
    expect(c).include({ kind: "open", openMs: 400 });
  });
});

describe("budget", () => {
  it("grants no more tokens than are added plus one bucket", () => {
    const gaps = fc.array(fc.nat(500), { maxLength: 200 });
    fc.assert(
      fc.property(gaps, fc.integer({ min: 1, max: 50 }), (waits, rate) => {
        let b = tokenBucket.fullBucket(rate, rate, 0);
        let now = 0;
        let given = 0;
        for (const ms of waits) {
          now += ms;
          const taken = tokenBucket.take(b, now);
          if (!taken.ok) continue;
          given++;
          b = taken.bucket;
        }
        expect(given).most((now / 1000) * rate + rate + 1e-6);
      }),
    );
  });
});

describe("keys", () => {
  const ring: keys.ClusterKeys = ["first-cluster-key-01", "second-cluster-key-2"];
  const signed = { method: "POST", path: "/run", audience: "engine-a", covers: ["x"] };

  it("verify signatures made with any valid key", () => {
    const verify = keys.createVerifier(ring, clock.system);
    verify(keys.sign([ring[1] ?? "", ring[0]], signed, clock.system), signed, "p");
    verify(keys.sign(ring, signed, clock.system), signed, "p");
  });

  it("reject a signature that is altered, replayed, expired or made with another key", () => {
    const verify = keys.createVerifier(ring, clock.system);
    const header = keys.sign(ring, signed, clock.system);
    const old = {
      ...clock.system,
      now: () => new Date(Date.now() - keys.SIGNATURE_WINDOW_MS - 1000),
    };
    const refused = (h: string | undefined, s: keys.SignedParts): void => {
      expect(() => {
        verify(h, s, "p");
      }).throw(outcome.StepError);
    };
    refused(header, { ...signed, audience: "engine-b" });
    refused(header, { ...signed, covers: ["y"] });
    refused(header, { ...signed, path: "/control/learn" });
    refused(keys.sign(["another-cluster-key-1"], signed, clock.system), signed);
    refused(keys.sign(ring, signed, old), signed);
    refused(undefined, signed);
    verify(header, signed, "p");
    refused(header, signed);
  });

  it("reject any text that is not a signature", () => {
    const verify = keys.createVerifier(ring, clock.system);
    fc.assert(
      fc.property(fc.string(), (text) => {
        expect(() => {
          verify(`Sumacfield ${text}`, signed, "p");
        }).throw(outcome.StepError);
      }),
    );
  });
});
