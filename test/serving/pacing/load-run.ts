/**
 * Runs an engine model under load behind the endpoint daemon's decisions, in virtual time.
 * @module
 */
import * as generators from "pure-rand/generator/xoroshiro128plus";
import * as uniform from "pure-rand/distribution/uniformFloat64";
import type * as seatMessages from "../../../src/serving/seat-messages.js";
import * as prefillSpeed from "../../../src/serving/prefill-speed.js";
import * as residency from "../../../src/serving/residency.js";
import * as seatQueue from "../../../src/serving/seat-queue.js";
import * as seatTable from "../../../src/serving/seat-table.js";
import * as steadyAdmission from "../../../src/serving/pacing/steady-admission.js";
import * as fixtures from "../fixtures.js";
import * as engineModel from "./engine-model.js";

/** A kind of request; `perS` is its mean rate. */
interface Kind {
  readonly perS: number;
  readonly rank: number;
  readonly targetMs: number;
  readonly promptTokens: number;
  readonly answerTokens: number;
}

export interface Load {
  readonly seed: number;
  /** Mean rates of narratives and summaries. */
  readonly perS: readonly [number, number];
  readonly speed: number;
  readonly hasSpells: boolean;
  readonly paced: boolean;
}

export const BATCH = { requests: 48, cacheTokens: 200_000, eventTokens: 7 };
export const GAP_MS = 300;
const RUN_S = 60;
/** Milliseconds from a grant until the request is at the engine. */
const SEND_MS = 4;
const CLIENT = { host: "h", send: () => undefined, sendLine: () => undefined };

function kindsOf([narratives, summaries]: readonly [number, number]): readonly Kind[] {
  return [
    { perS: narratives, rank: 1, targetMs: 1003, promptTokens: 826, answerTokens: 294 },
    { perS: summaries, rank: 2, targetMs: 2005, promptTokens: 2368, answerTokens: 21 },
  ];
}

/** Exponentially distributed times with a mean rate. */
function times(seed: number, perS: number): readonly number[] {
  const rng = generators.xoroshiro128plus(seed);
  for (let i = 0; i < 20; i++) uniform.uniformFloat64(rng);
  const out: number[] = [];
  for (let at = 0; at < RUN_S * 1000; out.push(at))
    at -= (1000 / perS) * Math.log(1 - uniform.uniformFloat64(rng));
  return out;
}

interface Arrival {
  readonly id: string;
  readonly at: number;
  readonly kind: Kind;
}

function arrivals(load: Load): readonly Arrival[] {
  const all = kindsOf(load.perS).flatMap((kind, i) =>
    times(load.seed * 10 + i, kind.perS).map((at, n) => ({ id: `${i}.${n}`, at, kind })),
  );
  return all.sort((a, b) => a.at - b.at);
}

/** Serves one load; times are in ms from the arrival of a request at the endpoint daemon. */
export function run(load: Load) {
  const slowFrom = load.hasSpells ? times(load.seed * 10 + 7, 0.25) : [];
  const engine = new engineModel.EngineModel(load.speed, BATCH.requests, (now) =>
    slowFrom.some((at) => now >= at && now < at + 600) ? 2.5 : 1,
  );
  const seats = new seatTable.SeatTable();
  const admission = new steadyAdmission.SteadyAdmission();
  const opts = fixtures.residencyOf(1);
  const all = arrivals(load);
  const byId = new Map(all.map((a) => [a.id, a]));
  let state: residency.State = { ...residency.empty(), models: ["m"] };
  const at = () => ({
    batch: BATCH,
    holdMs: seats.holdMs,
    now: engine.now,
  });
  const ask = (a: Arrival) => {
    const { rank, targetMs, promptTokens, answerTokens } = a.kind;
    const m: seatMessages.Ask = {
      ...{ kind: "ask", seat: 0, request: a.id, model: "m", version: 0, leftMs: 4000 },
      ...{ promptTokens, answerTokens, rank, targetMs, firm: true, gapMs: GAP_MS },
    };
    const ownMs = prefillSpeed.firstEventMs(seats.speed, promptTokens);
    state = residency.addWaiter(state, seatQueue.waiterFor(a.id, "m", m, ownMs, a.at), a.at);
    seats.add(a.id, seatTable.newSeat(CLIENT, "m", m, a.at), promptTokens, rank);
    admission.add(a.id, m, rank);
  };
  const sentAt = new Map<string, number>();
  const settle = () => {
    const prefill = { ms: seats.prefillMs(engine.now), unstarted: seats.unstarted(engine.now) };
    const control = load.paced ? admission.admission(at()) : undefined;
    for (const a of residency.seatActions(state, engine.now, opts, prefill, control)) {
      if (a.kind !== "grant" && a.kind !== "expire") continue;
      const id = a.waiter.seat;
      const kind = byId.get(id)?.kind;
      state = residency.removeWaiter(state, id);
      if (a.kind === "expire" || !kind) {
        seats.remove(id);
        admission.remove(id);
        continue;
      }
      admission.grant(id, engine.now);
      seats.grant(id, engine.now);
      sentAt.set(id, engine.now);
      engine.add({ id, ...kind, arrivedAt: engine.now + SEND_MS });
    }
  };
  const ended: engineModel.Run[] = [];
  const handle = (r: engineModel.Run) => {
    if (r.made === engineModel.EVENT_TOKENS) {
      const ms = engine.now - (sentAt.get(r.id) ?? 0);
      seats.recordFirstEvent(r.id, ms, engine.now);
      admission.recordFirstEvent(r.id);
    }
    if (r.made < r.answerTokens) return;
    const spanMs = r.lastAt - r.firstAt;
    const events = r.answerTokens / engineModel.EVENT_TOKENS;
    admission.recordStream(
      r.id,
      { events, spanMs, pauseMs: r.pauseMs },
      BATCH.eventTokens,
      engine.now,
    );
    const s = seats.remove(r.id);
    admission.remove(r.id);
    if (s) seats.recordEnd(s, "whole", engine.now);
    ended.push(r);
  };
  let peakOpen = 0;
  for (let next = 0; engine.now < RUN_S * 1000;) {
    while ((all[next]?.at ?? Infinity) <= engine.now) {
      const a = all[next++];
      if (a) ask(a);
    }
    settle();
    peakOpen = Math.max(peakOpen, admission.openCount(engine.now));
    for (const r of engine.step(Math.min(all[next]?.at ?? Infinity, engine.now + 5))) handle(r);
  }
  const firstMs = ended.map((r) => r.firstAt - (byId.get(r.id)?.at ?? 0)).sort((a, b) => a - b);
  const quantile = (q: number) => Math.round(firstMs[Math.floor(q * firstMs.length)] ?? 0);
  const streams = ended.filter((r) => r.rank === 1);
  return {
    asked: all.length,
    served: ended.length,
    summaries: ended.length - streams.length,
    latePauses: streams.filter((r) => r.pauseMs > GAP_MS).length / streams.length,
    lateFirst:
      ended.filter(
        (r) => r.firstAt - (byId.get(r.id)?.at ?? 0) > (byId.get(r.id)?.kind.targetMs ?? 0),
      ).length / ended.length,
    firstMs: { p50: quantile(0.5), p90: quantile(0.9) },
    tokens: ended.reduce((sum, r) => sum + r.promptTokens + r.answerTokens, 0),
    preempted: engine.preempted,
    peakOpen,
    msPerToken: prefillSpeed.msPerToken(seats.speed),
    crowding: admission.crowding(at()),
    base: (admission as any).allowance(at()),
  };
}
