import * as stream from "node:stream";
import * as chai from "chai";
import * as fc from "fast-check";
import * as answer from "../src/endpoint/answer.js";
import * as plan from "../src/endpoint/plan.js";
import * as popularity from "../src/endpoint/popularity.js";
import * as attemptRegister from "../src/endpoint/attempt-register.js";
import * as slot from "../src/endpoint/slot.js";
import * as turns from "../src/endpoint/turns.js";
import * as outcome from "../src/request/outcome.js";
import * as time from "../bench/measure/time.js";

const { expect } = chai;

const OPTIONS: plan.Options = {
  seats: 3,
  queue: 12,
  loads: 1,
  evict: { kind: "coldest" },
  order: "worth",
  ageMs: 1000,
};

const waiting = (id: string, target: string, more: Partial<plan.Waiting> = {}): plan.Waiting => ({
  id,
  target,
  caller: "wattle",
  worth: 1,
  arrivedAt: 0,
  dueAt: 10_000,
  needsAdapter: true,
  ...more,
});

/** A state with `targets` loaded. */
function loaded(...targets: readonly string[]): plan.State {
  const s = plan.idle(OPTIONS, 2, 1000);
  const slots = targets.reduce(
    (acc, t) => slot.move(slot.begin(acc, `${t}~1`, t, 0), `${t}~1`, { type: "loaded" }, 0),
    s.slots,
  );
  return { ...s, slots };
}

describe("slot", () => {
  it("throws when a slot in use would be unloaded", () => {
    const s = slot.pin(loaded("a@1").slots, "a@1~1");
    expect(() => slot.move(s, "a@1~1", { type: "unload" }, 1)).throw(RangeError, "is used by 1");
    expect(slot.move(slot.unpin(s, "a@1~1"), "a@1~1", { type: "unload" }, 1).byName.size).equal(1);
  });

  it("is neither used nor marked as loaded again while doubtful", () => {
    const s = slot.move(loaded("a@1").slots, "a@1~1", { type: "lost" }, 1);
    expect(slot.serving(s, "a@1")).equal(undefined);
    expect(() => slot.pin(s, "a@1~1")).throw(RangeError, "doubtful");
    expect(() => slot.move(s, "a@1~1", { type: "loaded" }, 2)).throw(RangeError);
  });

  it("refuses a name that was used before", () => {
    expect(() => slot.begin(loaded("a@1").slots, "a@1~1", "a@1", 1)).throw(RangeError);
  });
});

type Move =
  | {
      readonly kind: "arrive";
      readonly target: number;
      readonly caller: number;
      readonly worth: number;
    }
  | { readonly kind: "act" }
  | { readonly kind: "finish" }
  | { readonly kind: "wait"; readonly ms: number };

const move: fc.Arbitrary<Move> = fc.oneof(
  fc.record({
    kind: fc.constant("arrive" as const),
    target: fc.nat(4),
    caller: fc.nat(2),
    worth: fc.integer({ min: 1, max: 8 }),
  }),
  fc.constant({ kind: "act" as const }),
  fc.constant({ kind: "finish" as const }),
  fc.record({ kind: fc.constant("wait" as const), ms: fc.nat(4000) }),
);

/** Carries out one action of the plan and checks that it is allowed. */
function perform(s: plan.State, action: plan.Action, now: number, name: string): plan.State {
  switch (action.kind) {
    case "dispatch": {
      const w = s.waiting.find((o) => o.id === action.id);
      expect(s.slots.byName.get(action.name)?.target).equal(w?.target);
      return plan.dispatch(s, action.id, action.name, now);
    }
    case "expire":
      expect(s.waiting.find((o) => o.id === action.id)?.dueAt).most(now);
      return plan.leave(s, action.id);
    case "load": {
      let slots = s.slots;
      if (action.evict !== undefined) {
        const evicted = slots.byName.get(action.evict);
        expect(evicted?.pins).equal(0);
        expect(s.waiting.some((w) => w.target === evicted?.target)).equal(false);
        slots = slot.move(slots, action.evict, { type: "unload" }, now);
        slots = slot.move(slots, action.evict, { type: "unloaded" }, now);
      }
      slots = slot.begin(slots, name, action.target, now);
      return { ...s, slots: slot.move(slots, name, { type: "loaded" }, now) };
    }
  }
}

describe("plan", () => {
  it("never exceeds its limits, dispatches twice or evicts a slot in use, for any sequence of events", () => {
    fc.assert(
      fc.property(fc.array(move, { maxLength: 80 }), (moves) => {
        let s = plan.idle(OPTIONS, 2, 1000);
        let now = 0;
        const dispatched = new Set<string>();
        for (const [n, m] of moves.entries()) {
          switch (m.kind) {
            case "arrive": {
              const caller = `c${m.caller}`;
              if (!plan.hasRoom(s, caller, 8)) break;
              const due = { arrivedAt: now, dueAt: now + 5000 };
              s = plan.arrive(
                s,
                waiting(`r${n}`, `a${m.target}@1`, { caller, worth: m.worth, ...due }),
              );
              break;
            }
            case "act":
              for (const [i, action] of plan.next(s, now).entries()) {
                if (action.kind === "dispatch") {
                  expect(dispatched.has(action.id)).equal(false);
                  dispatched.add(action.id);
                }
                s = perform(s, action, now, `n${n}.${i}`);
              }
              break;
            case "finish": {
              const [first] = s.running.keys();
              if (first !== undefined) s = plan.end(s, first);
              break;
            }
            case "wait":
              now += m.ms;
              break;
          }
          expect(s.running.size).most(OPTIONS.seats);
          expect(s.waiting.length).most(OPTIONS.queue);
          expect(s.slots.byName.size).most(s.slots.capacity);
          const pins = [...s.slots.byName.values()].reduce((sum, o) => sum + o.pins, 0);
          expect(pins).equal(s.running.size);
        }
      }),
    );
  });

  it("dispatches a small caller's attempt before the next one of a large caller", () => {
    let s = loaded("a@1");
    for (let i = 0; i < 6; i++)
      s = plan.arrive(s, waiting(`large${i}`, "a@1", { caller: "large" }));
    s = plan.arrive(s, waiting("small", "a@1", { caller: "small", dueAt: 20_000 }));
    const chosen = plan.next(s, 1).flatMap((a) => (a.kind === "dispatch" ? [a.id] : []));
    expect(chosen).length(3).include("small");
  });

  it("loads the adapter of most worth first, but a long wait outweighs worth", () => {
    const cheap = waiting("1", "cheap@1", { worth: 1, arrivedAt: 0 });
    const dear = (at: number): plan.Waiting => waiting("2", "dear@1", { worth: 8, arrivedAt: at });
    const first = (s: plan.State, now: number): string | undefined =>
      plan.next(s, now).find((a) => a.kind === "load")?.target;
    const early = plan.arrive(plan.arrive(plan.idle(OPTIONS, 2, 1000), cheap), dear(0));
    expect(first(early, 100)).equal("dear@1");
    const late = plan.arrive(plan.arrive(plan.idle(OPTIONS, 2, 1000), cheap), dear(9000));
    expect(first(late, 9100)).equal("cheap@1");
  });

  it("evicts the coldest adapter that no attempt uses or waits for", () => {
    let s = loaded("hot@1", "cold@1");
    for (let i = 0; i < 3; i++) {
      s = plan.leave(plan.arrive(s, waiting(`h${i}`, "hot@1")), `h${i}`);
    }
    s = plan.arrive(s, waiting("new", "new@1"));
    expect(plan.next(s, 10)).deep.include({
      kind: "load",
      target: "new@1",
      score: 1.01,
      evict: "cold@1~1",
    });
  });
});

describe("popularity", () => {
  it("halves after each half-life, and drops the coldest adapter beyond its limit", () => {
    let p = popularity.cold(1000, 2);
    p = popularity.hit(p, "a", 4, 0);
    expect(popularity.heat(p, "a", 1000)).closeTo(2, 1e-9);
    p = popularity.hit(popularity.hit(p, "b", 1, 1000), "c", 3, 1000);
    expect([...p.byTarget.keys()].sort()).eql(["a", "c"]);
  });
});

describe("register", () => {
  it("dispatches an attempt at most once, and never after it was given up", () => {
    const step = fc.constantFrom("open", "dispatch", "give up");
    fc.assert(
      fc.property(fc.array(step, { maxLength: 12 }), (steps) => {
        const r = new attemptRegister.AttemptRegister(new time.Time(), 10);
        let dispatched = 0;
        let givenUp = false;
        for (const s of steps) {
          if (s === "open") r.add("x");
          else if (s === "give up") givenUp ||= r.giveUp("x") === "given_up";
          else {
            try {
              r.markDispatched("x");
              dispatched++;
              expect(givenUp).equal(false);
            } catch (err) {
              expect(err).instanceOf(RangeError);
            }
          }
        }
        expect(dispatched).most(1);
      }),
    );
  });
});

describe("turns", () => {
  const opts = { parallel: 1, holdMs: 1000, askMinMs: 10, askMaxMs: 500 };

  it("are held by at most one endpoint, and others are told to ask again within the limits", () => {
    const step = fc.record({
      who: fc.nat(4),
      end: fc.boolean(),
      score: fc.nat(100),
      ms: fc.nat(300),
    });
    fc.assert(
      fc.property(fc.array(step, { maxLength: 60 }), (steps) => {
        let t = turns.none(opts);
        let now = 0;
        for (const s of steps) {
          now += s.ms;
          const endpoint = `e${s.who}`;
          if (s.end) {
            t = turns.end(t, endpoint, now);
            continue;
          }
          const asked = turns.ask(t, { endpoint, target: "a@1", score: s.score }, now);
          t = asked.turns;
          const live = [...t.holders.values()].filter((at) => now - at < opts.holdMs);
          expect(live.length).most(1);
          if (asked.answer.kind === "wait") {
            expect(asked.answer.askAgainMs).within(opts.askMinMs, opts.askMaxMs);
          }
        }
      }),
    );
  });

  it("expire unless their holder renews them", () => {
    const ask = (endpoint: string) => ({ endpoint, target: "a@1", score: 1 });
    const first = turns.ask(turns.none(opts), ask("e1"), 0);
    expect(first.answer.kind).equal("go");
    expect(turns.ask(first.turns, ask("e2"), 999).answer.kind).equal("wait");
    expect(turns.ask(first.turns, ask("e2"), 1000).answer.kind).equal("go");
    const kept = turns.ask(first.turns, ask("e1"), 900);
    expect(turns.ask(kept.turns, ask("e2"), 1500).answer.kind).equal("wait");
  });
});

const EXPECTED: answer.ExpectedAnswer = {
  name: "a@1~x.1",
  id: "id-1",
  target: "a@1",
  endpoint: "e",
};
const event = (i: number): string =>
  `data: ${JSON.stringify({ id: "cmpl-id-1", model: EXPECTED.name, n: i, text: "é\n" })}\n\n`;

async function collect(parts: readonly Buffer[]): Promise<string> {
  let out = "";
  const body = stream.Readable.from(parts);
  for await (const e of answer.readEvents(body, EXPECTED, 10_000)) out += e;
  return out;
}

function splitAt(whole: Buffer, positions: readonly number[]): readonly Buffer[] {
  const cuts = [0, ...positions.map((n) => n % whole.length).sort((a, b) => a - b), whole.length];
  return cuts.slice(1).map((end, i) => whole.subarray(cuts[i], end));
}

describe("answer", () => {
  const whole = Buffer.from([0, 1, 2].map(event).join("") + "data: [DONE]\n\n");

  it("does not depend on how the stream is split into chunks", async () => {
    const parts = fc.array(fc.nat(1000), { maxLength: 20 });
    await fc.assert(
      fc.asyncProperty(parts, async (at) => {
        const out = await collect(splitAt(whole, at));
        expect(out).equal(whole.toString().replaceAll(EXPECTED.name, EXPECTED.target));
      }),
    );
  });

  it("is never taken for complete when it ends early", async () => {
    await fc.assert(
      fc.asyncProperty(fc.nat(whole.length - 2), async (length) => {
        const err: unknown = await collect([whole.subarray(0, length)]).catch((e: unknown) => e);
        expect(err).instanceOf(outcome.StepError);
        expect((err as outcome.StepError).failure.outcome).equal("unknown");
      }),
    );
  });

  it("fails when an event is larger than the limit", async () => {
    const endless = Buffer.from(`data: ${"x".repeat(20_000)}`);
    const err: unknown = await collect([endless]).catch((e: unknown) => e);
    expect(err).instanceOf(outcome.StepError);
  });
});
