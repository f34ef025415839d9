/**
 * State of an engine's slots and of the requests that wait for them, and the decision made from it which seats to grant.
 * Pure; `slot-orders` decides on orders from the same state, and the endpoint daemon carries the actions out.
 * @module
 */
import * as popularity from "../endpoint/popularity.js";
import * as seatQueue from "./seat-queue.js";
import * as fairShares from "./sharing/fair-shares.js";
import type * as declared from "./versions/declared.js";

/** An adapter in one of the engine's slots. */
export interface Slot {
  /** Key of model and adapter. */
  readonly key: string;
  readonly model: string;
  readonly adapter: string;
  readonly version: number;
  /**
   * `loading`: a load was ordered, and the engine does not list the adapter as ready yet. `resident`:
   * ready, and seats on it are granted. `closing`: no more seats are granted, and it is unloaded once
   * nobody uses it. `unsure`: an unload was ordered and not confirmed, so the slot counts as taken, and
   * no seats on it are granted.
   */
  readonly phase: "loading" | "resident" | "closing" | "unsure";
  /** Whether the engine accepted the order to load this version. */
  readonly accepted?: boolean;
  /** Number of granted seats that use it. */
  readonly pins: number;
  /** Monotonic ms of the last change of phase. */
  readonly phaseSince: number;
}

export interface Options {
  /** Number of adapters that the engine can hold. */
  readonly slots: number;
  /** Loads of adapters in progress at the same time, at most. */
  readonly maxLoads: number;
  /** Loads from the weight store in progress at the same time, at most. */
  readonly maxColdLoads: number;
  /** Whether an adapter is expected to load from the memory of the engine's host. */
  readonly isWarm: (key: string) => boolean;
  /** Milliseconds that a request waits for a slot before an adapter in use is closed for it. */
  readonly closeAfterMs: number;
  /** Milliseconds for which hosts that do not know the newer version still get seats on an outdated one. */
  readonly outdatedUseMs: number;
  /** Teams that exceed their share; undefined or empty if none does. */
  readonly overTeams?: ReadonlySet<string> | undefined;
}

/** Prompts with granted seats that an engine still has to read. */
export interface PrefillLoad {
  /** Estimated ms that it needs to read them. */
  readonly ms: number;
  /** Number of requests with granted seats that have no first event yet. */
  readonly unstarted: number;
}

/** The prefill load of an idle engine. */
export const NO_PREFILL: PrefillLoad = { ms: 0, unstarted: 0 };

/** Why a request waits for a seat. */
export type WaitReason = "adapter" | "prefill" | "room" | "pace";

/** What keeps a request from a seat that it could have otherwise. */
export interface Hindrance {
  readonly why: WaitReason;
  /** Whether the requests behind it in the serving order wait as well. */
  readonly holdsOthers: boolean;
  /** Milliseconds until it may be over; Infinity if only the end of a seat ends it. */
  readonly inMs: number;
}

/** Admission control beyond the prefill load, for engines that need it. */
export interface Admission {
  /** What keeps a request from a seat; undefined if nothing does. */
  readonly check: (w: seatQueue.Waiter) => Hindrance | undefined;
  /** Whether it limits prefill by itself, so that the estimated prefill load does not count. */
  readonly limitsPrefill: boolean;
  /** The admission control after one more grant. */
  readonly granted: (w: seatQueue.Waiter) => Admission;
}

/**
 * The next seat is granted this many ms before the engine has read all its prompts. That is about the time
 * that the grant takes to the entry daemon and the request to the engine, so the engine is never idle while
 * a request waits. With a larger value, requests would wait in the engine's own queue, where a short or
 * urgent one cannot overtake a long one any more.
 */
const GRANT_AHEAD_MS = 40;
/**
 * Granted requests without a first event, at most; limits the load on engines that are slower than
 * estimated.
 */
const MAX_UNSTARTED = 8;

/** State of one engine; an immutable value that the functions below derive the next one from. */
export interface State {
  /** Base models that the engine holds. */
  readonly models: readonly string[];
  readonly slots: ReadonlyMap<string, Slot>;
  readonly waiting: readonly seatQueue.Waiter[];
  /** Newest known version of each adapter by key; `at` is the monotonic ms at which it became known. */
  readonly newest: ReadonlyMap<string, { readonly version: number; readonly at: number }>;
  /** How often each adapter was asked for lately; decides which one is evicted. */
  readonly adapterPopularity: popularity.Popularity;
}

/** Half-life of an adapter's popularity in ms; demand shifts within some seconds. */
const HALF_LIFE_MS = 10_000;
/** Number of adapters whose popularity is kept, many times what an engine holds. */
const TRACKED_ADAPTERS = 256;

/** The state of an engine about which nothing is known. */
export function empty(): State {
  return {
    models: [],
    slots: new Map(),
    waiting: [],
    newest: new Map(),
    adapterPopularity: popularity.cold(HALF_LIFE_MS, TRACKED_ADAPTERS),
  };
}

export type Action =
  | {
      readonly kind: "grant";
      readonly waiter: seatQueue.Waiter;
      readonly version: number | undefined;
    }
  | { readonly kind: "expire"; readonly waiter: seatQueue.Waiter }
  /** The request goes on waiting; only with admission control. */
  | { readonly kind: "wait"; readonly waiter: seatQueue.Waiter; readonly why: WaitReason }
  | {
      readonly kind: "load";
      readonly model: string;
      readonly adapter: string;
      readonly key: string;
      readonly version: number | undefined;
    }
  | { readonly kind: "unload"; readonly slot: Slot }
  | { readonly kind: "close"; readonly slot: Slot };

/** Whether a newer version of a slot's adapter is known. */
export function isOutdated(s: State, p: Slot): boolean {
  return (s.newest.get(p.key)?.version ?? 0) > p.version;
}

/**
 * Whether a waiter may be granted a seat on the slot of its adapter. Its host decides about a version that is outdated, as it knows since when
 * that is; one that has not heard of the newer version yet gets the older one for a while.
 */
function isUsable(s: State, w: seatQueue.Waiter, now: number, opts: Options): boolean {
  const p = s.slots.get(w.key);
  if (p?.phase !== "resident") return false;
  const newest = s.newest.get(p.key);
  if (!newest || newest.version <= p.version) return true;
  if ((w.version ?? 0) < newest.version) return now - newest.at < opts.outdatedUseMs;
  return w.older !== undefined && p.version >= w.older.version && now < w.older.until;
}

/** Whether a waiter's adapter, or its base model, can be used now. */
function isReady(s: State, w: seatQueue.Waiter, now: number, opts: Options): boolean {
  if (w.adapter === undefined) return s.models.includes(w.model);
  return isUsable(s, w, now, opts);
}

/**
 * Returns the seats to grant and the ones to deny as expired at `now`; `prefill` is what the engine
 * still has to read, `admission` what else a seat needs.
 */
export function seatActions(
  s: State,
  now: number,
  opts: Options,
  prefill: PrefillLoad = NO_PREFILL,
  admission?: Admission,
): readonly Action[] {
  const out: Action[] = [];
  let { ms, unstarted } = prefill;
  let rest = admission;
  let holding: Hindrance | undefined;
  for (const w of seatQueue.servingOrder(s.waiting, now, opts.overTeams)) {
    const ready = isReady(s, w, now, opts);
    const hasPrefillRoom =
      rest?.limitsPrefill === true || (ms <= GRANT_AHEAD_MS && unstarted < MAX_UNSTARTED);
    const hindrance = ready && hasPrefillRoom ? (holding ?? rest?.check(w)) : undefined;
    if (hindrance?.holdsOthers) holding = hindrance;
    if (ready && hasPrefillRoom && !hindrance) {
      ms += w.serviceMs;
      unstarted++;
      rest = rest?.granted(w);
      const version = w.adapter === undefined ? undefined : s.slots.get(w.key)?.version;
      out.push({ kind: "grant", waiter: w, version });
    } else if (now >= w.expiresAt) {
      out.push({ kind: "expire", waiter: w });
    } else if (admission) {
      const why = hindrance?.why ?? (ready ? "prefill" : "adapter");
      out.push({ kind: "wait", waiter: w, why });
    }
  }
  return out;
}

/**
 * Milliseconds until the engine has room for another prompt, Infinity if only the end of a seat makes it; undefined if
 * no waiter is ready for it.
 */
export function prefillRoomInMs(
  s: State,
  now: number,
  opts: Options,
  prefill: PrefillLoad,
  admission?: Admission,
): number | undefined {
  const ready = s.waiting.filter((w) => isReady(s, w, now, opts));
  if (ready.length === 0) return undefined;
  const admittedMs = admission ? admittedInMs(ready, now, admission) : 0;
  const prefillMs = admission?.limitsPrefill ? 0 : prefill.ms - GRANT_AHEAD_MS;
  return Math.max(1, prefillMs, admittedMs);
}

/** Milliseconds until the admission control may let one of these requests pass. */
function admittedInMs(
  ready: readonly seatQueue.Waiter[],
  now: number,
  admission: Admission,
): number {
  let inMs = Infinity;
  for (const w of seatQueue.servingOrder(ready, now)) {
    const hindrance = admission.check(w);
    inMs = Math.min(inMs, hindrance?.inMs ?? 0);
    if (hindrance?.holdsOthers ?? true) break;
  }
  return inMs;
}

/** The waiters whose teams do not exceed their share. */
export function waitingWithin(
  s: State,
  over: ReadonlySet<string> = fairShares.NO_TEAMS,
): readonly seatQueue.Waiter[] {
  return over.size === 0 ? s.waiting : s.waiting.filter((w) => !fairShares.isOver(over, w));
}

/**
 * Counts the slots that are free or could be emptied at once, and the adapters that wait for one; for a request that
 * comes before those of the teams `over` their share.
 */
export function slotDemand(
  s: State,
  slots: number,
  over?: ReadonlySet<string>,
): { readonly free: number; readonly wanted: number } {
  const waited = new Set(waitingWithin(s, over).map((w) => w.key));
  const wanted = [...waited].filter((key) => !s.slots.has(key)).length;
  const idle = [...s.slots.values()].filter((p) => isIdle(p, waited)).length;
  return { free: slots - s.slots.size + idle, wanted };
}

/** Whether a slot could be emptied at once, as nobody uses it and no adapter in `waited` is in it. */
export function isIdle(p: Slot, waited: ReadonlySet<string>): boolean {
  if (p.pins > 0) return false;
  // A closing adapter is unloaded even if requests wait for it; it is then loaded again for them.
  return p.phase === "closing" || (p.phase === "resident" && !waited.has(p.key));
}

/**
 * Milliseconds from `now` until the next timeout of a waiter or an outdated version; undefined if there
 * is none.
 */
export function nextTimeoutMs(s: State, now: number, opts: Options): number | undefined {
  let nextMs = Infinity;
  const add = (at: number): void => {
    if (at > now) nextMs = Math.min(nextMs, at - now);
  };
  for (const w of s.waiting) {
    add(w.expiresAt);
    add(w.askedAt + opts.closeAfterMs);
  }
  for (const p of s.slots.values()) {
    const newest = s.newest.get(p.key);
    if (newest && newest.version > p.version) add(newest.at + opts.outdatedUseMs);
  }
  return nextMs === Infinity ? undefined : nextMs;
}

/** Adds a request that waits for a seat. */
export function addWaiter(s: State, w: seatQueue.Waiter, now: number): State {
  const adapterPopularity = popularity.hit(s.adapterPopularity, w.key, 1, now);
  return { ...s, waiting: [...s.waiting, w], adapterPopularity };
}

/** Removes the waiter of a seat that was granted, denied or given up. */
export function removeWaiter(s: State, seat: string): State {
  return { ...s, waiting: s.waiting.filter((w) => w.seat !== seat) };
}

/** Changes the number of seats that use a slot by one. */
export function addPin(s: State, key: string, by: 1 | -1): State {
  const p = s.slots.get(key);
  if (!p) return s;
  return putSlot(s, { ...p, pins: Math.max(0, p.pins + by) });
}

/** Adds or replaces a slot. */
export function putSlot(s: State, p: Slot): State {
  return { ...s, slots: new Map(s.slots).set(p.key, p) };
}

/** Records that a load is ordered; the slot counts as taken from now on. */
export function startLoad(
  s: State,
  { key, model, adapter, version = 0 }: Extract<Action, { kind: "load" }>,
  now: number,
): State {
  const pins = s.slots.get(key)?.pins ?? 0;
  return putSlot(s, { key, model, adapter, version, phase: "loading", pins, phaseSince: now });
}

/** Records that the engine accepted the order recorded by {@link startLoad}. */
export function acceptLoad(s: State, key: string): State {
  const p = s.slots.get(key);
  return p?.phase === "loading" ? putSlot(s, { ...p, accepted: true }) : s;
}

/** Removes a slot that is known to be empty. */
export function removeSlot(s: State, key: string): State {
  if (!s.slots.has(key)) return s;
  const slots = new Map(s.slots);
  slots.delete(key);
  return { ...s, slots };
}

/** Records that a version was declared; ignored unless it is newer than the known one. */
export function declareVersion(s: State, key: string, version: number, now: number): State {
  return declareVersions(s, [[key, { version }]], now);
}

/** Records the declared versions of adapters by key; each is ignored unless it is newer than the known one. */
export function declareVersions(
  s: State,
  versions: Iterable<readonly [string, Pick<declared.Declared, "version">]>,
  now: number,
): State {
  // All are added to one copy: a copy for each would take minutes where tens of thousands are new.
  let newest: Map<string, { readonly version: number; readonly at: number }> | undefined;
  for (const [key, { version }] of versions) {
    if (((newest ?? s.newest).get(key)?.version ?? 0) >= version) continue;
    newest ??= new Map(s.newest);
    newest.set(key, { version, at: now });
  }
  return newest ? { ...s, newest } : s;
}
