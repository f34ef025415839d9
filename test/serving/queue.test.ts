import * as chai from "chai";
import * as generators from "pure-rand/generator/xoroshiro128plus";
import * as uniform from "pure-rand/distribution/uniformFloat64";
import * as backlog from "../../src/serving/backlog.js";
import * as prefillSpeed from "../../src/serving/prefill-speed.js";
import * as residency from "../../src/serving/residency.js";
import type * as seatQueue from "../../src/serving/seat-queue.js";
import * as fixtures from "./fixtures.js";

const { expect } = chai;

const OPTS = fixtures.residencyOf(4);
const MODEL = "base";
/** Milliseconds from the last token of a prompt to the first event. */
const FIRST_MS = 30;
/** Milliseconds during which requests arrive. */
const ARRIVALS_MS = 40_000;

/** One kind of requests; `perS` arrive per second. */
interface Kind {
  readonly perS: number;
  readonly tokens: number;
  readonly targetMs: number;
}

interface Request {
  readonly id: string;
  readonly kind: string;
  readonly at: number;
  readonly tokens: number;
  readonly targetMs: number;
}

/** Many short prompts and few long ones, for an engine that reads `perMs` tokens per ms. */
function kinds(perMs: number): Readonly<Record<string, Kind>> {
  return {
    short: { perS: 6, tokens: 20 * perMs, targetMs: 500 },
    long: { perS: 2.6, tokens: 260 * perMs, targetMs: 1000 },
  };
}

/** Generates random arrivals: exponential gaps, and token counts with an exponential part. */
function arrivals(perMs: number, seed: number): readonly Request[] {
  const rng = generators.xoroshiro128plus(seed);
  const random = (): number => 1 - uniform.uniformFloat64(rng);
  const list: Request[] = [];
  for (const [kind, k] of Object.entries(kinds(perMs))) {
    for (let at = 0, n = 0; at < ARRIVALS_MS; n++) {
      at += (-Math.log(random()) * 1000) / k.perS;
      const tokens = k.tokens * (0.4 + 0.6 * -Math.log(random()));
      list.push({ id: `${kind}${n}`, kind, at, tokens, targetMs: k.targetMs });
    }
  }
  return list.sort((a, b) => a.at - b.at);
}

/** For each kind of requests, the shares whose first event came on time, and came at all. */
type Outcome = Readonly<Record<string, { readonly onTime: number; readonly served: number }>>;

/**
 * Simulates an engine that reads prompts one after the other in order of arrival. With `atOnce`,
 * requests are sent to it when they arrive; otherwise when they get a seat.
 */
function simulate(perMs: number, seed: number, atOnce: boolean): Outcome {
  const queue = [...arrivals(perMs, seed)];
  const byId = new Map(queue.map((r) => [r.id, r]));
  const firsts = new Map<string, number>();
  const events: { at: number; id: string; sentAt: number }[] = [];
  let state: residency.State = { ...residency.empty(), models: [MODEL] };
  let load = backlog.EMPTY;
  /** Time at which the engine has read all prompts that were sent to it. */
  let engineFreeAt = 0;
  const send = (id: string, now: number): void => {
    const r = byId.get(id);
    if (!r) return;
    load = backlog.grantSeat(load, id, now);
    engineFreeAt = Math.max(now, engineFreeAt) + r.tokens / perMs;
    events.push({ at: engineFreeAt + FIRST_MS, id, sentAt: now });
  };
  for (let now = 0; now < ARRIVALS_MS + 8000; now += 2) {
    while (queue[0] && queue[0].at <= now) {
      const r = queue.shift();
      if (!r) break;
      load = backlog.addSeat(load, r.id, r.tokens, 1);
      if (atOnce) {
        send(r.id, now);
        continue;
      }
      const waiter: seatQueue.Waiter = {
        seat: r.id,
        key: MODEL,
        model: MODEL,
        rank: 1,
        askedAt: now,
        serviceMs: prefillSpeed.firstEventMs(load.speed, r.tokens),
        targetAt: r.at + r.targetMs,
        expiresAt: r.at + 6000,
      };
      state = residency.addWaiter(state, waiter, now);
    }
    for (const e of events.filter((x) => x.at <= now)) {
      events.splice(events.indexOf(e), 1);
      firsts.set(e.id, now);
      load = backlog.removeSeat(backlog.recordFirstEvent(load, e.id, now - e.sentAt, now), e.id);
    }
    const engine = { ms: backlog.prefillMs(load, now), unstarted: backlog.unstarted(load, now) };
    for (const a of residency.seatActions(state, now, OPTS, engine)) {
      if (a.kind !== "grant" && a.kind !== "expire") continue;
      state = residency.removeWaiter(state, a.waiter.seat);
      if (a.kind === "grant") send(a.waiter.seat, now);
      else load = backlog.removeSeat(load, a.waiter.seat);
    }
  }
  return outcomeOf([...byId.values()], firsts);
}

function outcomeOf(list: readonly Request[], firsts: ReadonlyMap<string, number>): Outcome {
  const shares = Object.keys(kinds(1)).map((kind) => {
    const of = list.filter((r) => r.kind === kind);
    const onTime = of.filter((r) => (firsts.get(r.id) ?? Infinity) - r.at <= r.targetMs).length;
    const served = of.filter((r) => firsts.has(r.id)).length;
    return [kind, { onTime: onTime / of.length, served: served / of.length }] as const;
  });
  return Object.fromEntries(shares);
}

describe("an engine that gets long and short prompts", () => {
  for (const perMs of [10, 40, 120]) {
    it(`serves more of both in time when seats are given as it reads (${perMs} tokens/ms)`, () => {
      for (const seed of [1, 2, 3]) {
        const atOnce = simulate(perMs, seed, true);
        const withSeats = simulate(perMs, seed, false);
        expect(withSeats.short?.onTime).above((atOnce.short?.onTime ?? 0) + 0.1);
        expect(withSeats.long?.onTime).above((atOnce.long?.onTime ?? 0) - 0.02);
        expect(withSeats.short?.served).above(0.97);
        expect(withSeats.long?.served).above(0.9);
      }
    });
  }
});
