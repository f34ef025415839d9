/**
 * Decides what an endpoint daemon does next: which waiting attempt is sent to the engine, which
 * adapter is loaded, which one is evicted for it, and which attempts expire as "not run". Pure, so
 * that the daemon, the tests and the simulation run the same code.
 * @module
 */
import * as popularity from "./popularity.js";
import * as slot from "./slot.js";

/** An attempt that waits at this endpoint. */
export interface Waiting {
  readonly id: string;
  /** `adapter@version`, or the service's name. */
  readonly target: string;
  readonly caller: string;
  readonly worth: number;
  /** Time of arrival, in monotonic ms. */
  readonly arrivedAt: number;
  /** Time by which the first byte of the answer must be sent, in monotonic ms. */
  readonly dueAt: number;
  /** False for requests to plain services. */
  readonly needsAdapter: boolean;
}

/** An attempt that was sent to the engine. */
export interface Running extends Waiting {
  /** Name of its adapter on the engine. */
  readonly name: string;
  readonly dispatchedAt: number;
}

/** The value by which unused adapters are ranked for eviction; the lowest is evicted first. */
export type Eviction =
  /** Popularity. */
  | { readonly kind: "coldest" }
  /** Time of the last request (LRU), the usual baseline. */
  | { readonly kind: "least-recent" }
  /** A given function, for example one that knows all future requests. */
  | { readonly kind: "ranked"; readonly value: (target: string, now: number) => number };

/** Limits and policies of the plan. */
export interface Options {
  /** Largest number of attempts on the engine at once, which is its batch size. */
  readonly seats: number;
  /** Largest number of waiting attempts. */
  readonly queue: number;
  /** Largest number of concurrent loads on this engine. */
  readonly loads: number;
  readonly evict: Eviction;
  /** Order of dispatches and loads: by worth and fairness, or by arrival. */
  readonly order: "worth" | "first-come";
  /** Milliseconds of waiting that add a load's total worth to its score once more, so that scores age. */
  readonly ageMs: number;
}

/** The state on which the plan decides. */
export interface State {
  readonly opts: Options;
  readonly slots: slot.Slots;
  readonly waiting: readonly Waiting[];
  readonly running: ReadonlyMap<string, Running>;
  readonly popularity: popularity.Popularity;
}

/** One action of the plan. */
export type Action =
  | { readonly kind: "dispatch"; readonly id: string; readonly name: string }
  /** Ask for a turn at the weight store for `target`; on "go", unload the name `evict` and load. */
  | {
      readonly kind: "load";
      readonly target: string;
      readonly score: number;
      readonly evict: string | undefined;
    }
  | { readonly kind: "expire"; readonly id: string };

/** The initial state: nothing is loaded, waiting or running. */
export function idle(opts: Options, capacity: number, halfLifeMs: number): State {
  const rememberedAdapters = 8 * capacity;
  return {
    opts,
    slots: slot.empty(capacity),
    waiting: [],
    running: new Map(),
    popularity: popularity.cold(halfLifeMs, rememberedAdapters),
  };
}

/** Whether one more attempt of `caller` may wait. */
export function hasRoom(s: State, caller: string, callerQueue: number): boolean {
  if (s.waiting.length >= s.opts.queue) return false;
  return s.waiting.filter((w) => w.caller === caller).length < callerQueue;
}

/** The state with one more attempt waiting. */
export function arrive(s: State, w: Waiting): State {
  if (s.running.has(w.id) || s.waiting.some((o) => o.id === w.id)) {
    throw new RangeError(`attempt ${w.id} is already here`);
  }
  const updated = w.needsAdapter
    ? popularity.hit(s.popularity, w.target, w.worth, w.arrivedAt)
    : s.popularity;
  return { ...s, waiting: [...s.waiting, w], popularity: updated };
}

/** The state without a waiting attempt. */
export function leave(s: State, id: string): State {
  return { ...s, waiting: s.waiting.filter((w) => w.id !== id) };
}

/** The state with a waiting attempt moved to the engine and its adapter pinned. */
export function dispatch(s: State, id: string, name: string, now: number): State {
  const w = s.waiting.find((o) => o.id === id);
  if (!w) throw new RangeError(`attempt ${id} does not wait`);
  const running = new Map(s.running);
  running.set(id, { ...w, name, dispatchedAt: now });
  const slots = w.needsAdapter ? slot.pin(s.slots, name) : s.slots;
  return { ...leave(s, id), running, slots };
}

/** The state after an attempt's last byte or confirmed cancellation. */
export function end(s: State, id: string): State {
  const r = s.running.get(id);
  if (!r) throw new RangeError(`attempt ${id} does not run`);
  const running = new Map(s.running);
  running.delete(id);
  return { ...s, running, slots: r.needsAdapter ? slot.unpin(s.slots, r.name) : s.slots };
}

/** The actions to take at `now`, in order. */
export function next(s: State, now: number): readonly Action[] {
  const expired = s.waiting.filter((w) => w.dueAt <= now);
  const live = expired.length === 0 ? s.waiting : s.waiting.filter((w) => w.dueAt > now);
  const loadedNames = new Map(
    slot.targets(s.slots, "loaded").map((t) => [t, slot.serving(s.slots, t)?.name ?? ""]),
  );
  return [
    ...expired.map(({ id }) => ({ kind: "expire", id }) as const),
    ...planDispatches(s, live, loadedNames),
    ...planLoads(s, live, now),
  ];
}

/**
 * Fills free seats. The caller with the fewest running attempts, each weighted by 1 / worth, goes
 * first, so that no caller starves. Among its attempts the one with the earliest deadline goes first,
 * so that deadlines are met where possible.
 */
function planDispatches(
  s: State,
  live: readonly Waiting[],
  loadedNames: ReadonlyMap<string, string>,
): readonly Action[] {
  let freeSeats = s.opts.seats - s.running.size;
  let ready = live.filter((w) => !w.needsAdapter || loadedNames.has(w.target));
  if (freeSeats <= 0 || ready.length === 0) return [];
  const share = new Map<string, number>();
  for (const r of s.running.values()) share.set(r.caller, (share.get(r.caller) ?? 0) + 1 / r.worth);
  const out: Action[] = [];
  while (freeSeats > 0 && ready.length > 0) {
    const w = ready.reduce((a, b) => (goesBefore(b, a, share, s.opts.order) ? b : a));
    out.push({ kind: "dispatch", id: w.id, name: loadedNames.get(w.target) ?? "" });
    share.set(w.caller, (share.get(w.caller) ?? 0) + 1 / w.worth);
    ready = ready.filter((o) => o !== w);
    freeSeats--;
  }
  return out;
}

function goesBefore(
  a: Waiting,
  b: Waiting,
  share: ReadonlyMap<string, number>,
  order: Options["order"],
): boolean {
  if (order === "first-come") return a.arrivedAt < b.arrivedAt;
  const aShare = share.get(a.caller) ?? 0;
  const bShare = share.get(b.caller) ?? 0;
  return aShare === bShare ? a.dueAt < b.dueAt : aShare < bShare;
}

/**
 * Priority of a load: the total worth of the attempts that wait for it, scaled up with the waiting
 * time of the oldest.
 */
export function loadScore(
  waiting: readonly Waiting[],
  now: number,
  opts: Pick<Options, "order" | "ageMs">,
): number {
  const oldest = Math.min(...waiting.map((w) => w.arrivedAt));
  if (opts.order === "first-come") return now - oldest;
  const worth = waiting.reduce((sum, w) => sum + w.worth, 0);
  return worth * (1 + (now - oldest) / opts.ageMs);
}

/** The loads with the highest scores, up to the limit, each with the slot to evict for it. */
function planLoads(s: State, live: readonly Waiting[], now: number): readonly Action[] {
  let freeLoads = s.opts.loads - slot.targets(s.slots, "loading").length;
  if (freeLoads <= 0) return [];
  const wanted = new Map<string, Waiting[]>();
  for (const w of live) {
    if (!w.needsAdapter || slot.has(s.slots, w.target)) continue;
    const group = wanted.get(w.target);
    if (group) group.push(w);
    else wanted.set(w.target, [w]);
  }
  const ranked = [...wanted]
    .map(([target, group]) => ({ target, score: loadScore(group, now, s.opts) }))
    .sort((a, b) => b.score - a.score);
  const out: Action[] = [];
  const evicted = new Set<string>();
  let freeSlots = s.slots.capacity - s.slots.byName.size;
  for (const { target, score } of ranked) {
    if (freeLoads <= 0) break;
    const evict = freeSlots > 0 ? undefined : pickVictim(s, live, evicted, now);
    if (freeSlots <= 0 && evict === undefined) break;
    if (evict === undefined) freeSlots--;
    else evicted.add(evict);
    out.push({ kind: "load", target, score, evict });
    freeLoads--;
  }
  return out;
}

/**
 * The name to unload: never one that is in use or that a waiting attempt needs. Names loaded by other
 * daemons go first, then the adapter with the lowest value under `opts.evict`.
 */
function pickVictim(
  s: State,
  live: readonly Waiting[],
  alreadyChosen: ReadonlySet<string>,
  now: number,
): string | undefined {
  const awaited = new Set(live.map((w) => w.target));
  let best: slot.Slot | undefined;
  let least = Infinity;
  for (const c of s.slots.byName.values()) {
    if (c.phase !== "loaded" || c.pins > 0 || alreadyChosen.has(c.name)) continue;
    if (c.target !== undefined && awaited.has(c.target)) continue;
    const value = retentionValue(s, c, now);
    if (value >= least) continue;
    least = value;
    best = c;
  }
  return best?.name;
}

function retentionValue(s: State, c: slot.Slot, now: number): number {
  if (c.target === undefined) return -1;
  switch (s.opts.evict.kind) {
    case "coldest":
      return popularity.heat(s.popularity, c.target, now);
    case "least-recent":
      return s.popularity.byTarget.get(c.target)?.at ?? c.since;
    case "ranked":
      return s.opts.evict.value(c.target, now);
  }
}
