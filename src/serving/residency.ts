/**
 * Which adapters an engine holds, who waits for which, and what to do next. Pure: the endpoint daemon
 * carries the actions out, and tests run the same code without an engine.
 * @module
 */
import * as popularity from "../endpoint/popularity.js";
import * as waiting from "./waiting.js";

/** An adapter in one of the engine's slots. */
export interface Slot {
  /** Key of model and adapter. */
  readonly key: string;
  readonly model: string;
  readonly adapter: string;
  readonly version: number;
  /**
   * `loading` until the engine lists it. `unsure`: an order was not answered, so it counts as a slot
   * taken and is not given out. `closing`: given out no more, and unloaded once nobody uses it.
   */
  readonly phase: "loading" | "resident" | "closing" | "unsure";
  /** The engine took the order to load this version. */
  readonly accepted?: boolean;
  /** Seats that use it. */
  readonly pins: number;
  /** Monotonic ms of the last change of phase. */
  readonly since: number;
}

export interface Options {
  /** Adapters held at once. */
  readonly slots: number;
  /** Loads of adapters on their way at once, and those of them that are from the weight store. */
  readonly loads: number;
  readonly coldLoads: number;
  /** Whether an adapter loads from the memory of the engine's host. */
  readonly isWarm: (key: string) => boolean;
  /** Milliseconds that a waiter bears before an adapter in use is closed for it. */
  readonly closeAfterMs: number;
  /** Milliseconds for which an outdated adapter in use is still given out. */
  readonly outdatedMs: number;
}

/** What an engine has to read already. */
export interface Reading {
  /** Milliseconds that it will still read prompts that have seats. */
  readonly ms: number;
  /** Prompts that have seats and no first event yet. */
  readonly unbegun: number;
}

/** An engine that reads nothing. */
export const IDLE: Reading = { ms: 0, unbegun: 0 };

/**
 * Milliseconds before an engine has read what it has at which the next seat is given: about what its
 * grant takes to the entry daemon and the request to the engine, so that the engine is never idle
 * while somebody waits. More would put requests into the engine's own line, where a short or urgent
 * one cannot overtake a long one any more.
 */
const AHEAD_MS = 40;
/** Prompts without a first event at most, for engines that are slower than they are believed to be. */
const UNBEGUN = 8;

/** The value that changes by the functions below. */
export interface State {
  /** Base models that the engine holds. */
  readonly models: readonly string[];
  readonly slots: ReadonlyMap<string, Slot>;
  readonly waiting: readonly waiting.Waiter[];
  /** Newest version of each adapter by key, with the monotonic ms at which it was learnt. */
  readonly newest: ReadonlyMap<string, { readonly version: number; readonly at: number }>;
  readonly heat: popularity.Popularity;
}

/** Half-life of an adapter's popularity: demand shifts within some seconds on the sites so far. */
const HALF_LIFE_MS = 10_000;
/** Adapters whose popularity is remembered: many times what an engine holds. */
const REMEMBERED = 256;

/** The state of an engine of which nothing is known. */
export function empty(): State {
  return {
    models: [],
    slots: new Map(),
    waiting: [],
    newest: new Map(),
    heat: popularity.cold(HALF_LIFE_MS, REMEMBERED),
  };
}

export type Action =
  | {
      readonly kind: "grant";
      readonly waiter: waiting.Waiter;
      readonly version: number | undefined;
    }
  | { readonly kind: "expire"; readonly waiter: waiting.Waiter }
  | {
      readonly kind: "load";
      readonly model: string;
      readonly adapter: string;
      readonly key: string;
      readonly version: number | undefined;
    }
  | { readonly kind: "unload"; readonly slot: Slot }
  | { readonly kind: "close"; readonly slot: Slot };

function outdated(s: State, p: Slot): boolean {
  return (s.newest.get(p.key)?.version ?? 0) > p.version;
}

/** Whether a slot may be given to one more seat. */
function usable(s: State, p: Slot, now: number, opts: Options): boolean {
  if (p.phase !== "resident") return false;
  const newest = s.newest.get(p.key);
  return !newest || newest.version <= p.version || now - newest.at < opts.outdatedMs;
}

/** Whether a waiter's adapter can be used now. */
function isReady(s: State, w: waiting.Waiter, now: number, opts: Options): boolean {
  if (w.adapter === undefined) return s.models.includes(w.model);
  const p = s.slots.get(w.key);
  return p !== undefined && usable(s, p, now, opts);
}

/** Seats to give and to take back at `now`, on an engine that has something to read already. */
export function seats(
  s: State,
  now: number,
  opts: Options,
  engine: Reading = IDLE,
): readonly Action[] {
  const out: Action[] = [];
  let { ms, unbegun } = engine;
  for (const w of waiting.inOrder(s.waiting, now)) {
    const ready = isReady(s, w, now, opts);
    if (ready && ms <= AHEAD_MS && unbegun < UNBEGUN) {
      ms += w.ownMs;
      unbegun++;
      const version = w.adapter === undefined ? undefined : s.slots.get(w.key)?.version;
      out.push({ kind: "grant", waiter: w, version });
    } else if (now >= w.dueAt) {
      out.push({ kind: "expire", waiter: w });
    }
  }
  return out;
}

/** Milliseconds until the engine can be given another prompt; undefined while none waits for that. */
export function readIn(s: State, now: number, opts: Options, engine: Reading): number | undefined {
  if (!s.waiting.some((w) => isReady(s, w, now, opts))) return undefined;
  return Math.max(1, engine.ms - AHEAD_MS);
}

/** The next order to the engine at `now`; orders are given one at a time. */
export function order(s: State, now: number, opts: Options): Action | undefined {
  const wanted = wantedKeys(s, now);
  const stale = staleIdle(s);
  // What callers wait for goes first; an outdated adapter in no use is replaced ahead of its next use.
  if (stale && (wanted.length === 0 || isWaitedFor(s, stale.key))) return load(s, stale);
  const loading = [...s.slots.values()].filter((p) => p.phase === "loading");
  const cold = loading.filter((p) => !opts.isWarm(p.key)).length;
  const able = cold < opts.coldLoads ? wanted : wanted.filter((w) => opts.isWarm(w.key));
  const [first] = able;
  if (!first || loading.length >= opts.loads) return undefined;
  if (s.slots.size < opts.slots) return load(s, first);
  const victim = idlest(s, now);
  if (victim) return { kind: "unload", slot: victim };
  return closing(s, able, now, opts);
}

function isWaitedFor(s: State, key: string): boolean {
  return s.waiting.some((w) => w.key === key);
}

function load(s: State, of: Pick<Slot, "key" | "model" | "adapter">): Action {
  const version = s.newest.get(of.key)?.version;
  return { kind: "load", model: of.model, adapter: of.adapter, key: of.key, version };
}

/** An outdated adapter that nobody uses. */
function staleIdle(s: State): Slot | undefined {
  for (const p of s.slots.values()) {
    if (p.phase !== "loading" && p.phase !== "unsure" && p.pins === 0 && outdated(s, p)) return p;
  }
  return undefined;
}

interface Wanted {
  readonly key: string;
  readonly model: string;
  readonly adapter: string;
  readonly since: number;
}

/** Adapters waited for that are in no slot, in the order of their first waiter. */
function wantedKeys(s: State, now: number): readonly Wanted[] {
  const out = new Map<string, Wanted>();
  for (const w of waiting.inOrder(s.waiting, now)) {
    if (w.adapter === undefined || s.slots.has(w.key) || out.has(w.key)) continue;
    if (!s.models.includes(w.model)) continue;
    out.set(w.key, { key: w.key, model: w.model, adapter: w.adapter, since: w.since });
  }
  return [...out.values()];
}

/** Places that another adapter could take at once, and adapters that wait for one. */
export function room(s: State, slots: number): { readonly free: number; readonly wanted: number } {
  const waited = new Set(s.waiting.map((w) => w.key));
  const wanted = [...waited].filter((key) => !s.slots.has(key)).length;
  const idle = [...s.slots.values()].filter((p) => isIdle(p, waited)).length;
  return { free: slots - s.slots.size + idle, wanted };
}

function isIdle(p: Slot, waited: ReadonlySet<string>): boolean {
  if (p.pins > 0) return false;
  // One that is given out no more is emptied all the same; who waits for it has it loaded again.
  return p.phase === "closing" || (p.phase === "resident" && !waited.has(p.key));
}

/** The slot to empty first among those that nobody uses or waits for. */
function idlest(s: State, now: number): Slot | undefined {
  const waited = new Set(s.waiting.map((w) => w.key));
  const free = [...s.slots.values()].filter((p) => isIdle(p, waited));
  const closed = free.find((p) => p.phase === "closing");
  return closed ?? coldest(s, free, now);
}

function coldest(s: State, of: readonly Slot[], now: number): Slot | undefined {
  const key = popularity.coldest(
    s.heat,
    of.map((p) => p.key),
    now,
  );
  return key === undefined ? undefined : s.slots.get(key);
}

/** An adapter in use to close, when some waiter has waited too long for a slot. */
function closing(
  s: State,
  wanted: readonly Wanted[],
  now: number,
  opts: Options,
): Action | undefined {
  const overdue = wanted.filter((w) => now - w.since >= opts.closeAfterMs).length;
  const slots = [...s.slots.values()];
  const under = slots.filter((p) => p.phase === "closing" || p.phase === "unsure").length;
  if (under >= overdue) return undefined;
  const waited = new Set(s.waiting.map((w) => w.key));
  const open = slots.filter((p) => p.phase === "resident" && p.pins > 0 && !waited.has(p.key));
  const slot = coldest(s, open, now);
  return slot && { kind: "close", slot };
}

/** Milliseconds from `now` until time alone makes something to do; undefined when it does not. */
export function wakeIn(s: State, now: number, opts: Options): number | undefined {
  const times = s.waiting.flatMap((w) => [w.dueAt - now, w.since + opts.closeAfterMs - now]);
  for (const p of s.slots.values()) {
    const newest = s.newest.get(p.key);
    if (newest && newest.version > p.version) times.push(newest.at + opts.outdatedMs - now);
  }
  const ahead = times.filter((t) => t > 0);
  return ahead.length === 0 ? undefined : Math.min(...ahead);
}

/** Somebody asks for a seat. */
export function ask(s: State, w: waiting.Waiter, now: number): State {
  const heat = popularity.hit(s.heat, w.key, 1, now);
  return { ...s, waiting: [...s.waiting, w], heat };
}

/** A seat is given or no longer asked for. */
export function answered(s: State, seat: string): State {
  return { ...s, waiting: s.waiting.filter((w) => w.seat !== seat) };
}

/** One seat more or less uses a slot. */
export function pin(s: State, key: string, by: 1 | -1): State {
  const p = s.slots.get(key);
  if (!p) return s;
  return put(s, { ...p, pins: Math.max(0, p.pins + by) });
}

/** Puts a slot as it is now known. */
export function put(s: State, p: Slot): State {
  return { ...s, slots: new Map(s.slots).set(p.key, p) };
}

/** A load is ordered; the slot counts as taken from now on. */
export function loading(
  s: State,
  { key, model, adapter, version = 0 }: Extract<Action, { kind: "load" }>,
  now: number,
): State {
  const pins = s.slots.get(key)?.pins ?? 0;
  return put(s, { key, model, adapter, version, phase: "loading", pins, since: now });
}

/** The engine took the order that {@link loading} noted. */
export function accepted(s: State, key: string): State {
  const p = s.slots.get(key);
  return p?.phase === "loading" ? put(s, { ...p, accepted: true }) : s;
}

/** A slot is known to be empty. */
export function drop(s: State, key: string): State {
  if (!s.slots.has(key)) return s;
  const slots = new Map(s.slots);
  slots.delete(key);
  return { ...s, slots };
}

/** A version was declared; older ones change nothing. */
export function declare(s: State, key: string, version: number, now: number): State {
  if ((s.newest.get(key)?.version ?? 0) >= version) return s;
  return { ...s, newest: new Map(s.newest).set(key, { version, at: now }) };
}

/** An adapter that a report lists. */
export interface Listed {
  readonly key: string;
  readonly model: string;
  readonly adapter: string;
  readonly version: number;
  /** On its way in, and not yet to be used. */
  readonly pending: boolean;
}

/**
 * The state after a report that was asked for at `askedAt`: what it lists is there. A slot that
 * changed after the question stays as it is; other slots that it does not list are empty.
 */
export function reconcile(
  s: State,
  models: readonly string[],
  listed: readonly Listed[],
  askedAt: number,
): State {
  let at: State = { ...s, models };
  const seen = new Set(listed.map((l) => l.key));
  for (const p of s.slots.values()) {
    if (!seen.has(p.key) && p.since < askedAt) at = drop(at, p.key);
  }
  for (const l of listed) {
    const p = s.slots.get(l.key);
    if (p && p.since >= askedAt) continue;
    at = put(at, slotOf(l, p, askedAt));
  }
  return at;
}

/** The slots that were loading before and are there now, as they were before. */
export function loaded(before: State, now: State): readonly Slot[] {
  return [...before.slots.values()].filter(
    (p) => p.phase === "loading" && now.slots.get(p.key)?.phase === "resident",
  );
}

/**
 * Milliseconds for which an engine may go on listing an adapter's old version after it took the order
 * for the new one: it first ends its runs, and brings the new one from the store. Some times both.
 */
const REPLACED_WITHIN_MS = 3000;

/** Whether an engine lists the version that it is about to replace. */
function isBeingReplaced(l: Listed, p: Slot, now: number): boolean {
  if (p.phase !== "loading" || !p.accepted || l.version >= p.version) return false;
  return now - p.since < REPLACED_WITHIN_MS;
}

function slotOf(l: Listed, p: Slot | undefined, now: number): Slot {
  if (p && isBeingReplaced(l, p, now)) return p;
  const phase = l.pending ? "loading" : p?.phase === "closing" ? "closing" : "resident";
  const { key, model, adapter, version } = l;
  return { key, model, adapter, version, phase, pins: p?.pins ?? 0, since: p?.since ?? now };
}
