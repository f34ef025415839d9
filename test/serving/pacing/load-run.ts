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

export interface Load {
  readonly seed: number;
  /** Mean rate of narratives; there is one summary for each ten of them. */
  readonly perS: number;
  readonly speed: number;
  /** Whether everything takes 2.5 times as long for 600 ms, every 4 s in the mean. */
  readonly hasSpells: boolean;
  readonly paced: boolean;
}

interface Arrival {
  readonly id: string;
  readonly at: number;
  readonly kind: (typeof KINDS)[number];
}

export const BATCH = { requests: 48, cacheTokens: 200_000, eventTokens: engineModel.EVENT_TOKENS };
const KINDS = [
  { share: 1, rank: 1, targetMs: 1003, promptTokens: 826, answerTokens: 294 },
  { share: 0.1, rank: 2, targetMs: 2005, promptTokens: 2368, answerTokens: 21 },
] as const;
const GAP_MS = 300;
const RUN_MS = 60_000;
/** Milliseconds from a grant until the request is at the engine. */
const SEND_MS = 4;
const CLIENT = { host: "h", send: () => undefined, sendLine: () => undefined };

/** Exponentially distributed times with a mean rate. */
function times(seed: number, perS: number): readonly number[] {
  const rng = generators.xoroshiro128plus(seed);
  // The first values of small seeds are alike.
  for (let i = 0; i < 20; i++) uniform.uniformFloat64(rng);
  const out: number[] = [];
  for (let at = 0; at < RUN_MS; out.push(at))
    at -= (1000 / perS) * Math.log(1 - uniform.uniformFloat64(rng));
  return out;
}

function arrivalsOf(load: Load): readonly Arrival[] {
  const all = KINDS.flatMap((kind, i) =>
    times(load.seed * 10 + i, kind.share * load.perS).map((at, n) => ({
      id: `${i}.${n}`,
      at,
      kind,
    })),
  );
  return all.sort((a, b) => a.at - b.at);
}

/** An endpoint daemon's decisions on an engine model. */
class Daemon {
  readonly seats = new seatTable.SeatTable();
  readonly admission = new steadyAdmission.SteadyAdmission();
  readonly ended: { readonly run: engineModel.Run; readonly arrival: Arrival }[] = [];
  private state: residency.State = { ...residency.empty(), models: ["m"] };
  private readonly open = new Map<string, Arrival & { sentAt: number }>();

  constructor(
    private readonly engine: engineModel.EngineModel,
    private readonly paced: boolean,
  ) {}

  at(): steadyAdmission.EngineAt {
    return { batch: BATCH, holdMs: this.seats.holdMs, now: this.engine.now };
  }

  ask(a: Arrival): void {
    const { rank, targetMs, promptTokens, answerTokens } = a.kind;
    const m: seatMessages.Ask = {
      ...{ kind: "ask", seat: 0, request: a.id, model: "m", version: 0, leftMs: 4000 },
      ...{ promptTokens, answerTokens, rank, targetMs, firm: true, gapMs: GAP_MS },
    };
    const ownMs = prefillSpeed.firstEventMs(this.seats.speed, promptTokens);
    const waiter = seatQueue.waiterFor(a.id, "m", m, ownMs, a.at);
    this.state = residency.addWaiter(this.state, waiter, a.at);
    this.seats.add(a.id, seatTable.newSeat(CLIENT, "m", m, a.at), promptTokens, rank);
    this.admission.add(a.id, m, rank);
    this.open.set(a.id, { ...a, sentAt: 0 });
  }

  settle(): void {
    const { now } = this.engine;
    const prefill = { ms: this.seats.prefillMs(now), unstarted: this.seats.unstarted(now) };
    const control = this.paced ? this.admission.admission(this.at()) : undefined;
    const opts = fixtures.residencyOf(1);
    for (const a of residency.seatActions(this.state, now, opts, prefill, control)) {
      if (a.kind !== "grant" && a.kind !== "expire") continue;
      const id = a.waiter.seat;
      const request = this.open.get(id);
      this.state = residency.removeWaiter(this.state, id);
      if (a.kind === "expire" || !request) {
        this.seats.remove(id);
        this.admission.remove(id);
        continue;
      }
      this.admission.grant(id, now);
      this.seats.grant(id, now);
      request.sentAt = now;
      this.engine.add({ id, ...request.kind, arrivedAt: now + SEND_MS });
    }
  }

  /** Handles an event of a run. */
  handle(run: engineModel.Run): void {
    const { now } = this.engine;
    const arrival = this.open.get(run.id);
    if (!arrival) return;
    if (run.firstAt === now) {
      this.seats.recordFirstEvent(run.id, now - arrival.sentAt, now);
      this.admission.recordFirstEvent(run.id, now);
    }
    if (run.made < run.answerTokens) return;
    const events = run.made / engineModel.EVENT_TOKENS;
    const timing = { events, spanMs: run.lastAt - run.firstAt, pauseMs: run.pauseMs };
    this.admission.recordStream(run.id, timing, engineModel.EVENT_TOKENS, now);
    this.admission.remove(run.id);
    const s = this.seats.remove(run.id);
    if (s) this.seats.recordEnd(s, "whole", now);
    this.ended.push({ run, arrival });
  }
}

/** Sorted ms from the arrival at the daemon until the first event. */
function firstTimes(ended: Daemon["ended"]): readonly number[] {
  return ended.map((e) => e.run.firstAt - e.arrival.at).sort((a, b) => a - b);
}

/** Serves one load. */
export function run(load: Load) {
  const slowFrom = load.hasSpells ? times(load.seed * 10 + 7, 0.25) : [];
  const engine = new engineModel.EngineModel(load.speed, BATCH.requests, (now) =>
    slowFrom.some((at) => now >= at && now < at + 600) ? 2.5 : 1,
  );
  const daemon = new Daemon(engine, load.paced);
  const arrivals = arrivalsOf(load);
  let next = 0;
  while (engine.now < RUN_MS) {
    for (let a = arrivals[next]; a && a.at <= engine.now; a = arrivals[++next]) daemon.ask(a);
    daemon.settle();
    const until = Math.min(arrivals[next]?.at ?? Infinity, engine.now + 5);
    for (const r of engine.step(until)) daemon.handle(r);
  }
  const { ended } = daemon;
  const streams = ended.filter((e) => e.run.rank === 1);
  const isOnTime = (e: (typeof ended)[number]) =>
    e.run.pauseMs <= GAP_MS && e.run.firstAt - e.arrival.at <= e.arrival.kind.targetMs;
  const late = streams.filter((e) => e.run.pauseMs > GAP_MS).length;
  return {
    served: ended.length,
    summaries: ended.length - streams.length,
    onTime: ended.filter(isOnTime).length,
    latePauses: late / streams.length,
    firstMs: firstTimes(ended),
    streamFirstMs: firstTimes(streams),
    tokens: ended.reduce((sum, e) => sum + e.run.promptTokens + e.run.made, 0),
    preempted: engine.preempted,
    msPerToken: prefillSpeed.msPerToken(daemon.seats.speed),
    crowding: daemon.admission.crowding(daemon.at()),
  };
}
