/**
 * Converts engine reports for the endpoint daemon's state, and that state into the messages that entry daemons
 * get. Pure.
 * @module
 */
import * as backlog from "./backlog.js";
import * as catalog from "./catalog.js";
import type * as engine from "./engine.js";
import type * as seatTable from "./seat-table.js";
import * as prefillSpeed from "./prefill-speed.js";
import * as residency from "./residency.js";
import type * as seatMessages from "./seat-messages.js";
import type * as slotReports from "./slot-reports.js";
import type * as loadHistory from "./load-history.js";
import * as fairShares from "./sharing/fair-shares.js";

/** Decimals of `msPerToken`, of `failing`, and of `crowding` and `lateStreams` in state messages. */
const TOKEN_DECIMALS = 4;
const FAILING_DECIMALS = 2;
const CROWDING_DECIMALS = 2;

function listed(
  model: string,
  held: engine.HeldAdapter,
  pending: boolean,
): slotReports.ListedAdapter {
  const { adapter, version } = held;
  return { key: catalog.adapterKey(model, adapter), model, adapter, version, pending };
}

/** Returns the adapters that a report lists, including those that are being loaded. */
export function listedAdapters(report: engine.Report): readonly slotReports.ListedAdapter[] {
  const held = report.models.flatMap((m) => m.adapters.map((a) => listed(m.name, a, false)));
  const loading = report.pending.map((p) => listed(p.model, p, true));
  return [...held, ...loading];
}

/** What an engine holds, as in the message to entry daemons but without the adapters that left and the configuration. */
export type Holdings = Omit<seatMessages.Holdings, "gone" | "config">;

/** Builds the holdings message; `reach` is how many of the latest adapters load fast. */
export function holdingsMessage(s: residency.State, reach: number): Holdings {
  const available = [...s.slots.values()].filter(
    (p) => p.phase === "resident" || p.phase === "loading",
  );
  return {
    kind: "holdings",
    models: s.models,
    resident: available.map((p) => p.key),
    versions: available.map((p) => p.version),
    reach,
  };
}

/** What the admission control of an engine with steady streams estimates. */
export interface SteadyView {
  /** Estimated ms until a request that arrives now is granted a seat, by rank. */
  readonly waitsByRank: readonly number[];
  /** The same for a team that does not exceed its share. */
  readonly fairWaitsByRank: readonly number[];
  /** How full the engine is; 1 is full. */
  readonly crowding: number;
  /** Share of the latest streams that were late by a pause, 0 to 1. */
  readonly lateStreams: number;
  /** Tokens of the longest prompt that leaves running streams on time in a slow spell; undefined if none runs. */
  readonly steadyPromptTokens: number | undefined;
}

/** All that an endpoint daemon knows about its engine, at one time. */
export interface EngineView {
  readonly instance: string;
  readonly seats: seatTable.SeatTable;
  readonly held: residency.State;
  readonly loadHistory: loadHistory.LoadHistory;
  /** Number of adapters that the engine can hold. */
  readonly slots: number;
  /** Estimates of an engine with steady streams; undefined for others. */
  readonly steady?: SteadyView | undefined;
  /** How the teams stand; undefined where the configuration has no teams. */
  readonly standing: fairShares.Standing | undefined;
  /** Monotonic ms of this view. */
  readonly now: number;
}

/**
 * Estimated ms until a slot for another adapter is free, if a slot becomes free every `eachMs`; for a request that comes
 * before those of the teams `over` their share.
 */
export function slotMs(
  held: residency.State,
  slots: number,
  eachMs: number,
  over?: ReadonlySet<string>,
): number {
  const { free, wanted } = residency.slotDemand(held, slots, over);
  return free > wanted ? 0 : (wanted - free + 1) * eachMs;
}

/**
 * Estimated ms until the engine starts to read a prompt that arrives now, by rank; with `over`, of a team that is served
 * before the teams in it.
 */
function waitsByRank(k: EngineView, over?: ReadonlySet<string>): readonly number[] {
  const queueMs = k.seats.waitsByRank(k.now, over);
  const steadyMs = over ? k.steady?.fairWaitsByRank : k.steady?.waitsByRank;
  return queueMs.map((ms, rank) => Math.max(ms, steadyMs?.[rank] ?? 0));
}

/**
 * Estimated ms until the engine starts on a prompt of rank `rank` and of `team`, if it has one, that arrives now;
 * `isHeld` says whether its adapter is in a slot.
 */
export function waitMs(k: EngineView, rank: number, isHeld: boolean, team?: string): number {
  const over =
    k.standing && !fairShares.isOver(k.standing.over, { team }) ? k.standing.over : undefined;
  const queueMs = waitsByRank(k, over)[backlog.rankIndex(rank)] ?? 0;
  if (isHeld) return queueMs;
  return Math.max(queueMs, slotMs(k.held, k.slots, k.seats.holdMs / k.slots, over));
}

/** The part of the state message about shares among teams; empty where no team exceeds its share. */
function sharesMessage(
  k: EngineView,
): Pick<seatMessages.State, "fairWaitMs" | "fairSlotMs" | "overTeams" | "contended"> {
  if (!k.standing || k.standing.over.size === 0) return {};
  const { over, isContended } = k.standing;
  return {
    fairWaitMs: waitsByRank(k, over),
    fairSlotMs: Math.round(slotMs(k.held, k.slots, k.seats.holdMs / k.slots, over)),
    overTeams: [...over],
    ...(isContended && { contended: true }),
  };
}

function longestPrompt(tokens: number | undefined): Pick<seatMessages.State, "steadyPromptTokens"> {
  return tokens === undefined ? {} : { steadyPromptTokens: Math.round(tokens) };
}

/**
 * Builds the state message. `entries` is the number of connected entry daemons; the next announcement follows
 * within `silenceMs`.
 */
export function stateMessage(
  k: EngineView,
  entries: number,
  silenceMs: number,
): seatMessages.State {
  const { speed: estimate } = k.seats;
  const eachSlotMs = k.seats.holdMs / k.slots;
  return {
    kind: "state",
    instance: k.instance,
    waitMs: waitsByRank(k),
    msPerToken: Number(prefillSpeed.msPerToken(estimate).toFixed(TOKEN_DECIMALS)),
    firstMs: Math.round(prefillSpeed.firstMs(estimate)),
    slotMs: Math.round(slotMs(k.held, k.slots, eachSlotMs)),
    eachSlotMs: Math.round(eachSlotMs),
    coldMs: Math.round(k.loadHistory.coldMs),
    warmMs: Math.round(k.loadHistory.warmMs),
    seats: k.seats.count,
    failing: Number(k.seats.failureShare.toFixed(FAILING_DECIMALS)),
    entries,
    silenceMs,
    ...(k.steady && {
      crowding: Number(k.steady.crowding.toFixed(CROWDING_DECIMALS)),
      lateStreams: Number(k.steady.lateStreams.toFixed(CROWDING_DECIMALS)),
      ...longestPrompt(k.steady.steadyPromptTokens),
    }),
    ...sharesMessage(k),
  };
}
