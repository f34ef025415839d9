/**
 * The life of one adapter under one name on an engine, and the slots of an engine together.
 * @module
 */
import * as xstate from "xstate";

/** What happens to a slot. */
export type SlotEvent =
  | { readonly type: "loaded" }
  | { readonly type: "failed" }
  | { readonly type: "unload" }
  | { readonly type: "unloaded" }
  /** The reply to an order was lost: it may take effect now, later or never. */
  | { readonly type: "lost" };

/**
 * A name goes through this life once. After a lost reply it is never loaded or used again, only
 * unloaded until the engine's own list shows it gone: an order that is still on its way can then
 * hurt nobody.
 */
const machine = xstate.setup({ types: { events: {} as SlotEvent } }).createMachine({
  id: "slot",
  initial: "loading",
  states: {
    loading: { on: { loaded: "loaded", failed: "gone", lost: "doubtful" } },
    loaded: { on: { unload: "unloading", unloaded: "gone", lost: "doubtful" } },
    unloading: { on: { unloaded: "gone", failed: "doubtful", lost: "doubtful" } },
    doubtful: {
      on: { unload: "doubtful", unloaded: "gone", failed: "doubtful", lost: "doubtful" },
    },
    gone: { type: "final" },
  },
});

/** Where a slot is in its life. */
export type Phase = "loading" | "loaded" | "unloading" | "doubtful" | "gone";

const snapshots = Object.fromEntries(
  (["loading", "loaded", "unloading", "doubtful", "gone"] as const).map((p) => [
    p,
    machine.resolveState({ value: p }),
  ]),
) as Readonly<Record<Phase, xstate.SnapshotFrom<typeof machine>>>;

/** The phase after `event`. Throws RangeError where the life has no such step. */
export function advance(phase: Phase, event: SlotEvent): Phase {
  if (!snapshots[phase].can(event)) {
    throw new RangeError(`a slot that is ${phase} cannot take the event ${event.type}`);
  }
  return xstate.transition(machine, snapshots[phase], event)[0].value;
}

/** One adapter and version on the engine. */
export interface Slot {
  /** Name on the engine; unlike any other name ever used there. */
  readonly name: string;
  /** `adapter@version`; undefined for a name that some other holder loaded. */
  readonly target: string | undefined;
  readonly phase: Phase;
  /** Attempts that use it, from before their dispatch to their last byte or confirmed cancel. */
  readonly pins: number;
  /** Monotonic ms of the last phase. */
  readonly since: number;
}

/** The slots of one engine, by name. */
export interface Slots {
  readonly capacity: number;
  readonly byName: ReadonlyMap<string, Slot>;
}

/** No slot used yet. */
export function empty(capacity: number): Slots {
  return { capacity, byName: new Map() };
}

function put(s: Slots, slot: Slot): Slots {
  const byName = new Map(s.byName);
  if (slot.phase === "gone") byName.delete(slot.name);
  else byName.set(slot.name, slot);
  return { ...s, byName };
}

function must(s: Slots, name: string): Slot {
  const slot = s.byName.get(name);
  if (!slot) throw new RangeError(`no slot named ${name}`);
  return slot;
}

/** Begins to load `target` under a fresh `name`. */
export function begin(s: Slots, name: string, target: string, now: number): Slots {
  if (s.byName.has(name)) throw new RangeError(`${name} was used before`);
  return put(s, { name, target, phase: "loading", pins: 0, since: now });
}

/** Takes over a name found on the engine; `target` is undefined when this holder must not use it. */
export function adopt(s: Slots, name: string, target: string | undefined, now: number): Slots {
  return put(s, { name, target, phase: "loaded", pins: 0, since: now });
}

/** Moves one slot on. Unloading a slot in use throws: no adapter is evicted while a request uses it. */
export function move(s: Slots, name: string, event: SlotEvent, now: number): Slots {
  const slot = must(s, name);
  if (event.type === "unload" && slot.pins > 0) {
    throw new RangeError(`${name} is used by ${slot.pins} attempts`);
  }
  return put(s, { ...slot, phase: advance(slot.phase, event), since: now });
}

/** Counts one more attempt on a loaded slot. */
export function pin(s: Slots, name: string): Slots {
  const slot = must(s, name);
  if (slot.phase !== "loaded") throw new RangeError(`${name} is ${slot.phase}, not loaded`);
  return put(s, { ...slot, pins: slot.pins + 1 });
}

/** Counts one attempt less; a slot that a cold start took away needs nothing. */
export function unpin(s: Slots, name: string): Slots {
  const slot = s.byName.get(name);
  if (!slot) return s;
  if (slot.pins === 0) throw new RangeError(`${name} is not in use`);
  return put(s, { ...slot, pins: slot.pins - 1 });
}

/** The loaded slot that serves `target`, if any. */
export function serving(s: Slots, target: string): Slot | undefined {
  for (const slot of s.byName.values()) {
    if (slot.target === target && slot.phase === "loaded") return slot;
  }
  return undefined;
}

/** Whether `target` is loaded or being loaded. */
export function has(s: Slots, target: string): boolean {
  for (const slot of s.byName.values()) {
    if (slot.target === target && (slot.phase === "loaded" || slot.phase === "loading"))
      return true;
  }
  return false;
}

/** Targets in one phase. */
export function targets(s: Slots, phase: Phase): readonly string[] {
  const out: string[] = [];
  for (const slot of s.byName.values()) {
    if (slot.phase === phase && slot.target !== undefined) out.push(slot.target);
  }
  return out;
}

/** Whether a load needs no eviction first. */
export function hasRoom(s: Slots): boolean {
  return s.byName.size < s.capacity;
}
