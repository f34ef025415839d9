/**
 * Converts engine reports for the endpoint daemon's state, and that state into the messages that entry daemons
 * get. Pure.
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

/** Decimals of `msPerToken` and of `failing` in state messages. */
const TOKEN_DECIMALS = 4;
const FAILING_DECIMALS = 2;

function listed(model: string, held: engine.Held, pending: boolean): residency.Listed {
  const { adapter, version } = held;
  return { key: catalog.adapterKey(model, adapter), model, adapter, version, pending };
}

/** Returns the adapters that a report lists, including those that are being loaded. */
export function adapters(report: engine.Report): readonly residency.Listed[] {
  const held = report.models.flatMap((m) => m.adapters.map((a) => listed(m.name, a, false)));
  const loading = report.pending.map((p) => listed(p.model, p, true));
  return [...held, ...loading];
}

/** What an engine holds, as in the message to entry daemons but without the adapters that left. */
export type Holdings = Omit<seat.Holdings, "gone">;

/** Builds the holdings message; `reach` is how many of the latest adapters load fast. */
export function holdings(s: residency.State, reach: number): Holdings {
  const available = [...s.slots.values()].filter(
    (p) => p.phase === "resident" || p.phase === "loading",
  );
  return { kind: "holdings", models: s.models, resident: available.map((p) => p.key), reach };
}

/** All that an endpoint daemon knows about its engine, at one time. */
export interface Known {
  readonly instance: string;
  readonly seats: ledger.Ledger;
  readonly held: residency.State;
  readonly warmth: warmth.Warmth;
  /** Number of adapters that the engine can hold. */
  readonly slots: number;
  /** Monotonic ms of this view. */
  readonly now: number;
}

/** Estimated ms until a slot for another adapter is free, if a slot becomes free every `eachMs`. */
export function slotMs(held: residency.State, slots: number, eachMs: number): number {
  const { free, wanted } = residency.room(held, slots);
  return free > wanted ? 0 : (wanted - free + 1) * eachMs;
}

/**
 * Estimated ms until the engine starts on a prompt of rank `rank` that arrives now; `isHeld` says whether its
 * adapter is in a slot.
 */
export function waitMs(k: Known, rank: number, isHeld: boolean): number {
  const queueMs = k.seats.waits(k.now)[backlog.place(rank)] ?? 0;
  return isHeld ? queueMs : Math.max(queueMs, slotMs(k.held, k.slots, k.seats.holdMs / k.slots));
}

/**
 * Builds the state message. `entries` is the number of connected entry daemons; the next announcement follows
 * within `silenceMs`.
 */
export function state(k: Known, entries: number, silenceMs: number): seat.State {
  const { reading: estimate } = k.seats;
  const eachSlotMs = k.seats.holdMs / k.slots;
  return {
    kind: "state",
    instance: k.instance,
    waitMs: k.seats.waits(k.now),
    msPerToken: Number(reading.msPerToken(estimate).toFixed(TOKEN_DECIMALS)),
    firstMs: Math.round(reading.firstMs(estimate)),
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
