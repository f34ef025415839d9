/**
 * Between an engine's report, the endpoint daemon's own state, and what entry daemons are told of it.
 * Pure.
 * @module
 */
import * as backlog from "./backlog.js";
import * as catalog from "./catalog.js";
import type * as engine from "./engine.js";
import type * as ledger from "./ledger.js";
import * as reading from "./reading.js";
import * as residency from "./residency.js";
import type * as seat from "./seat.js";
import type * as warmth from "./warmth.js";

/** Decimals that are told of the milliseconds a token takes, and of the part of runs that fail. */
const TOKEN_DECIMALS = 4;
const FAILING_DECIMALS = 2;

function listed(model: string, held: engine.Held, pending: boolean): residency.Listed {
  const { adapter, version } = held;
  return { key: catalog.adapterKey(model, adapter), model, adapter, version, pending };
}

/** The adapters that a report lists, those on their way in included. */
export function adapters(report: engine.Report): readonly residency.Listed[] {
  const there = report.models.flatMap((m) => m.adapters.map((a) => listed(m.name, a, false)));
  const coming = report.pending.map((p) => listed(p.model, p, true));
  return [...there, ...coming];
}

/** What entry daemons are told of the adapters that an engine holds, and how many others load fast. */
export type Holdings = Omit<seat.Holdings, "gone">;

export function holdings(s: residency.State, reach: number): Holdings {
  const usable = [...s.slots.values()].filter(
    (p) => p.phase === "resident" || p.phase === "loading",
  );
  return { kind: "holdings", models: s.models, resident: usable.map((p) => p.key), reach };
}

/** What an endpoint daemon knows of its engine. */
export interface Known {
  readonly instance: string;
  readonly seats: ledger.Ledger;
  readonly held: residency.State;
  readonly warmth: warmth.Warmth;
  /** Adapters that the engine holds at once. */
  readonly slots: number;
  /** Monotonic ms. */
  readonly now: number;
}

/** Estimated milliseconds until a place for another adapter is free, when each is used `eachMs`. */
export function slotMs(held: residency.State, slots: number, eachMs: number): number {
  const { free, wanted } = residency.room(held, slots);
  return free > wanted ? 0 : (wanted - free + 1) * eachMs;
}

/**
 * Estimated milliseconds until a prompt that arrives now is begun, for the rank given; `isHeld` says whether
 * its adapter has a place.
 */
export function waitMs(k: Known, rank: number, isHeld: boolean): number {
  const queueMs = k.seats.waits(k.now)[backlog.place(rank)] ?? 0;
  return isHeld ? queueMs : Math.max(queueMs, slotMs(k.held, k.slots, k.seats.holdMs / k.slots));
}

/**
 * How busy an engine is, as entry daemons are told: `entries` of them are connected, and the next word comes
 * within `silenceMs`.
 */
export function state(k: Known, entries: number, silenceMs: number): seat.State {
  const { reading: learnt } = k.seats;
  const eachSlotMs = k.seats.holdMs / k.slots;
  return {
    kind: "state",
    instance: k.instance,
    waitMs: k.seats.waits(k.now),
    msPerToken: Number(reading.msPerToken(learnt).toFixed(TOKEN_DECIMALS)),
    firstMs: Math.round(reading.firstMs(learnt)),
    slotMs: Math.round(slotMs(k.held, k.slots, eachSlotMs)),
    eachSlotMs: Math.round(eachSlotMs),
    coldMs: Math.round(k.warmth.coldMs),
    warmMs: Math.round(k.warmth.warmMs),
    seats: k.seats.count,
    failing: Number(k.seats.failing.toFixed(FAILING_DECIMALS)),
    entries,
    silenceMs,
  };
}
