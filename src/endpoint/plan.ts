/**
 * What an endpoint daemon does next: which waiting attempt goes to the engine, which adapter is
 * loaded, which is evicted for it, and who is told "not run". Pure: the same code runs in the
 * daemon, the tests and the measuring tool.
 * @module
 */
import * as popularity from "./popularity.js";
import * as slot from "./slot.js";

/** An attempt that waits here. */
export interface Waiting {
  readonly id: string;
  /** `adapter@version`, or the service's name. */
  readonly target: string;
  readonly caller: string;
  readonly worth: number;
  /** Monotonic ms of arrival, and of the moment by which the first byte must be out. */
  readonly arrivedAt: number;
  readonly dueAt: number;
  /** Services need no adapter. */
  readonly needsAdapter: boolean;
}

/** An attempt given to the engine. */
export interface Running extends Waiting {
  readonly name: string;
  readonly dispatchedAt: number;
}

/** What an adapter that nobody uses is worth keeping for; the least goes first. */
export type Eviction =
  /** Its popularity. */
  | { readonly kind: "coldest" }
  /** How lately it was wanted; the usual baseline. */
  | { readonly kind: "least-recent" }
  /** Whatever a measurement says, such as perfect knowledge of the future. */
  | { readonly kind: "ranked"; readonly value: (target: string, now: number) => number };

/** Figures that steer the plan. */
export interface Options {
  /** Attempts on the engine at once; its batch. */
  readonly seats: number;
  /** Attempts that may wait. */
  readonly queue: number;
  /** Loads under way at once on this engine. */
  readonly loads: number;
  readonly evict: Eviction;
  readonly order: "worth" | "first-come";
  /** Milliseconds of waiting that count as much as one unit of worth; ages a load's score. */
  readonly ageMs: number;
}

/** Everything the plan knows. */
export interface State {
  readonly opts: Options;
  readonly slots: slot.Slots;
  readonly waiting: readonly Waiting[];
  readonly running: ReadonlyMap<string, Running>;
  readonly popularity: popularity.Popularity;
}

/** One thing to do. */
export type Action =
  | { readonly kind: "dispatch"; readonly id: string; readonly name: string }
  /** Ask for a turn at the weight store for `target`; on "go", evict `evict` and load. */
  | {
      readonly kind: "load";
      readonly target: string;
      readonly score: number;
      readonly evict: string | undefined;
    }
  | { readonly kind: "expire"; readonly id: string };

/** A daemon with nothing to do. */
export function idle(opts: Options, capacity: number, halfLifeMs: number): State {
  const remembered = 8 * capacity;
  return {
    opts,
    slots: slot.empty(capacity),
    waiting: [],
    running: new Map(),
    popularity: popularity.cold(halfLifeMs, remembered),
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
  const heat = w.needsAdapter
    ? popularity.hit(s.popularity, w.target, w.worth, w.arrivedAt)
    : s.popularity;
  return { ...s, waiting: [...s.waiting, w], popularity: heat };
}

/** The state without a waiting attempt. */
export function leave(s: State, id: string): State {
  return { ...s, waiting: s.waiting.filter((w) => w.id !== id) };
}

/** The state with a waiting attempt given to the engine, its adapter pinned. */
export function dispatch(s: State, id: string, name: string, now: number): State {
  const w = s.waiting.find((o) => o.id === id);
  if (!w) throw new RangeError(`attempt ${id} does not wait`);
  const running = new Map(s.running);
  running.set(id, { ...w, name, dispatchedAt: now });
  const slots = w.needsAdapter ? slot.pin(s.slots, name) : s.slots;
  return { ...leave(s, id), running, slots };
}

/** The state after an attempt's last byte or confirmed cancel. */
export function end(s: State, id: string): State {
  const r = s.running.get(id);
  if (!r) throw new RangeError(`attempt ${id} does not run`);
  const running = new Map(s.running);
  running.delete(id);
  return { ...s, running, slots: r.needsAdapter ? slot.unpin(s.slots, r.name) : s.slots };
}

/** What to do at `now`, in order; empty when there is nothing. */
export function next(s: State, now: number): readonly Action[] {
  const expired = s.waiting.filter((w) => w.dueAt <= now);
  const live = expired.length === 0 ? s.waiting : s.waiting.filter((w) => w.dueAt > now);
  const served = new Map(
    slot.targets(s.slots, "loaded").map((t) => [t, slot.serving(s.slots, t)?.name ?? ""]),
  );
  return [
    ...expired.map(({ id }) => ({ kind: "expire", id }) as const),
    ...dispatches(s, live, served),
    ...loads(s, live, now),
  ];
}

/**
 * Fills free seats. The caller with the least running for its worth goes first, and of its attempts
 * the one due first, so that nobody starves and deadlines are kept where they can be.
 */
function dispatches(
  s: State,
  live: readonly Waiting[],
  served: ReadonlyMap<string, string>,
): readonly Action[] {
  let free = s.opts.seats - s.running.size;
  let ready = live.filter((w) => !w.needsAdapter || served.has(w.target));
  if (free <= 0 || ready.length === 0) return [];
  const share = new Map<string, number>();
  for (const r of s.running.values()) share.set(r.caller, (share.get(r.caller) ?? 0) + 1 / r.worth);
  const out: Action[] = [];
  while (free > 0 && ready.length > 0) {
    const w = ready.reduce((a, b) => (before(b, a, share, s.opts.order) ? b : a));
    out.push({ kind: "dispatch", id: w.id, name: served.get(w.target) ?? "" });
    share.set(w.caller, (share.get(w.caller) ?? 0) + 1 / w.worth);
    ready = ready.filter((o) => o !== w);
    free--;
  }
  return out;
}

function before(
  a: Waiting,
  b: Waiting,
  share: ReadonlyMap<string, number>,
  order: Options["order"],
): boolean {
  if (order === "first-come") return a.arrivedAt < b.arrivedAt;
  const left = share.get(a.caller) ?? 0;
  const right = share.get(b.caller) ?? 0;
  return left === right ? a.dueAt < b.dueAt : left < right;
}

/** How much one load is wanted: the worth that waits for it, grown by how long it has waited. */
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

/** The loads most wanted, up to the limit, each with the slot to empty for it. */
function loads(s: State, live: readonly Waiting[], now: number): readonly Action[] {
  let free = s.opts.loads - slot.targets(s.slots, "loading").length;
  if (free <= 0) return [];
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
  const victims = new Set<string>();
  let room = s.slots.capacity - s.slots.byName.size;
  for (const { target, score } of ranked) {
    if (free <= 0) break;
    const evict = room > 0 ? undefined : victim(s, live, victims, now);
    if (room <= 0 && evict === undefined) break;
    if (evict === undefined) room--;
    else victims.add(evict);
    out.push({ kind: "load", target, score, evict });
    free--;
  }
  return out;
}

/**
 * The name to unload: never one in use, and none that somebody waits for. Names of other holders go
 * first, then the coldest adapter.
 */
function victim(
  s: State,
  live: readonly Waiting[],
  taken: ReadonlySet<string>,
  now: number,
): string | undefined {
  const awaited = new Set(live.map((w) => w.target));
  let best: slot.Slot | undefined;
  let least = Infinity;
  for (const c of s.slots.byName.values()) {
    if (c.phase !== "loaded" || c.pins > 0 || taken.has(c.name)) continue;
    if (c.target !== undefined && awaited.has(c.target)) continue;
    const value = valueOf(s, c, now);
    if (value >= least) continue;
    least = value;
    best = c;
  }
  return best?.name;
}

function valueOf(s: State, c: slot.Slot, now: number): number {
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
