/**
 * Decides which order to send to an engine next: which adapter to load, which slot to empty for it, and which adapter in
 * use to close. Pure.
 * @module
 */
import * as popularity from "../endpoint/popularity.js";
import * as residency from "./residency.js";
import * as seatQueue from "./seat-queue.js";
import * as fairShares from "./sharing/fair-shares.js";

/** Returns the next order for the engine, or slot to close, at `now`; orders are sent one at a time. */
export function nextOrder(
  s: residency.State,
  now: number,
  opts: residency.Options,
): residency.Action | undefined {
  const wanted = wantedKeys(s, now, opts.overTeams);
  const stale = staleIdle(s);
  // Adapters that requests wait for go first; otherwise an unused outdated adapter is replaced before
  // its next use.
  const isNext = stale && (wanted.length === 0 || isWaitedFor(s, stale.key));
  const loading = [...s.slots.values()].filter((p) => p.phase === "loading");
  if (loading.length >= opts.maxLoads) return undefined;
  const cold = loading.filter((p) => !opts.isWarm(p.key)).length;
  // A version that the engine has not held before is loaded from the weight store.
  if (isNext && cold < opts.maxColdLoads) return load(s, stale);
  const allowed = cold < opts.maxColdLoads ? wanted : wanted.filter((w) => opts.isWarm(w.key));
  const [first] = allowed;
  if (!first) return undefined;
  if (s.slots.size < opts.slots) return load(s, first);
  const rivals = first.isOver ? s.waiting : residency.waitingWithin(s, opts.overTeams);
  const victim = slotToEvict(s, s.waiting, now) ?? slotToEvict(s, rivals, now);
  if (victim) return { kind: "unload", slot: victim };
  return slotToClose(s, allowed, rivals, now, opts);
}

function isWaitedFor(s: residency.State, key: string): boolean {
  return s.waiting.some((w) => w.key === key);
}

function load(
  s: residency.State,
  of: Pick<residency.Slot, "key" | "model" | "adapter">,
): residency.Action {
  const version = s.newest.get(of.key)?.version;
  return { kind: "load", model: of.model, adapter: of.adapter, key: of.key, version };
}

/** Finds an outdated adapter that no seat uses. */
function staleIdle(s: residency.State): residency.Slot | undefined {
  for (const p of s.slots.values()) {
    if (p.phase !== "loading" && p.phase !== "unsure" && p.pins === 0 && residency.isOutdated(s, p))
      return p;
  }
  return undefined;
}

/** An adapter that requests wait for and that is in no slot. */
interface Wanted {
  readonly key: string;
  readonly model: string;
  readonly adapter: string;
  /** Monotonic ms at which its first waiter asked for a seat. */
  readonly askedAt: number;
  /** Whether its first waiter's team exceeds its share. */
  readonly isOver: boolean;
}

/** Adapters that requests wait for and that are in no slot, in the serving order of their first waiter. */
function wantedKeys(
  s: residency.State,
  now: number,
  over: ReadonlySet<string> = fairShares.NO_TEAMS,
): readonly Wanted[] {
  const out = new Map<string, Wanted>();
  for (const w of seatQueue.slotOrder(s.waiting, now, over)) {
    if (w.adapter === undefined || s.slots.has(w.key) || out.has(w.key)) continue;
    if (!s.models.includes(w.model)) continue;
    const { key, model, adapter, askedAt } = w;
    out.set(key, { key, model, adapter, askedAt, isOver: fairShares.isOver(over, w) });
  }
  return [...out.values()];
}

/** The slot to evict first among those that no seat uses and no request of `rivals` waits for. */
function slotToEvict(
  s: residency.State,
  rivals: readonly seatQueue.Waiter[],
  now: number,
): residency.Slot | undefined {
  const waited = new Set(rivals.map((w) => w.key));
  const free = [...s.slots.values()].filter((p) => residency.isIdle(p, waited));
  const closed = free.find((p) => p.phase === "closing");
  return closed ?? leastPopular(s, free, now);
}

/** The slot of the least popular adapter among `of`. */
function leastPopular(
  s: residency.State,
  of: readonly residency.Slot[],
  now: number,
): residency.Slot | undefined {
  const key = popularity.coldest(
    s.adapterPopularity,
    of.map((p) => p.key),
    now,
  );
  return key === undefined ? undefined : s.slots.get(key);
}

/** Chooses an adapter in use that no request of `rivals` waits for, to close it if requests have waited too long for a slot. */
function slotToClose(
  s: residency.State,
  wanted: readonly Wanted[],
  rivals: readonly seatQueue.Waiter[],
  now: number,
  opts: residency.Options,
): residency.Action | undefined {
  const overdue = wanted.filter((w) => now - w.askedAt >= opts.closeAfterMs).length;
  const slots = [...s.slots.values()];
  const emptying = slots.filter((p) => p.phase === "closing" || p.phase === "unsure").length;
  if (emptying >= overdue) return undefined;
  const waited = new Set(rivals.map((w) => w.key));
  const open = slots.filter((p) => p.phase === "resident" && p.pins > 0 && !waited.has(p.key));
  const slot = leastPopular(s, open, now);
  return slot && { kind: "close", slot };
}
