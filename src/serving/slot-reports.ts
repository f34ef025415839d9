/**
 * Updates the state of an engine's slots from the engine's reports. Pure.
 * @module
 */
import * as residency from "./residency.js";

/** An adapter that an engine's report lists. */
export interface ListedAdapter {
  readonly key: string;
  readonly model: string;
  readonly adapter: string;
  readonly version: number;
  /** Whether it is still loading and cannot be used yet. */
  readonly pending: boolean;
}

/**
 * Updates the state from a report that was requested at `askedAt`. A slot that changed after the request stays
 * as it is; all others are set to what the report lists, and removed if it does not list them.
 */
export function reconcile(
  s: residency.State,
  models: readonly string[],
  listed: readonly ListedAdapter[],
  askedAt: number,
): residency.State {
  let next: residency.State = { ...s, models };
  const seen = new Set(listed.map((l) => l.key));
  for (const p of s.slots.values()) {
    if (!seen.has(p.key) && p.phaseSince < askedAt) next = residency.removeSlot(next, p.key);
  }
  for (const l of listed) {
    const p = s.slots.get(l.key);
    if (p && p.phaseSince >= askedAt) continue;
    next = residency.putSlot(next, slotOf(l, p, askedAt));
  }
  return next;
}

/** Returns the slots that were loading in `before` and are resident in `now`, as they were in `before`. */
export function finishedLoads(
  before: residency.State,
  now: residency.State,
): readonly residency.Slot[] {
  return [...before.slots.values()].filter(
    (p) => p.phase === "loading" && now.slots.get(p.key)?.phase === "resident",
  );
}

/**
 * Milliseconds for which an engine may list an adapter's old version after it accepted the order for the new
 * one. It first finishes the runs of the old version and loads the new one from the weight store; this is a few
 * times as long as both take.
 */
const REPLACE_TIMEOUT_MS = 3000;

/** Whether an engine lists an old version that it is about to replace. */
function isBeingReplaced(l: ListedAdapter, p: residency.Slot, now: number): boolean {
  if (p.phase !== "loading" || !p.accepted || l.version >= p.version) return false;
  return now - p.phaseSince < REPLACE_TIMEOUT_MS;
}

/** Builds the slot for a listed adapter; `p` is the slot as known before. */
function slotOf(l: ListedAdapter, p: residency.Slot | undefined, now: number): residency.Slot {
  if (p && isBeingReplaced(l, p, now)) return p;
  const phase = l.pending ? "loading" : p?.phase === "closing" ? "closing" : "resident";
  const { key, model, adapter, version } = l;
  return {
    key,
    model,
    adapter,
    version,
    phase,
    pins: p?.pins ?? 0,
    phaseSince: p?.phaseSince ?? now,
  };
}
