/**
 * The state machine of an adapter that is loaded on an engine under one name, and the set of an
 * engine's slots.
 * @module
 */
import * as xstate from "xstate";

/** An event of a slot. */
export type SlotEvent =
  | { readonly type: "loaded" }
  | { readonly type: "failed" }
  | { readonly type: "unload" }
  | { readonly type: "unloaded" }
  /** The reply to an order was lost: the order may take effect now, later or never. */
  | { readonly type: "lost" };

/**
 * Each name passes through these phases once. After a lost reply a name is "doubtful": it is never
 * loaded or used again, only unloaded, until the engine's list shows that it is gone. An order that
 * takes effect late can then do no harm.
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

/** The phase of a slot. */
export type Phase = "loading" | "loaded" | "unloading" | "doubtful" | "gone";

const snapshots = Object.fromEntries(
  (["loading", "loaded", "unloading", "doubtful", "gone"] as const).map((p) => [
    p,
    machine.resolveState({ value: p }),
  ]),
) as Readonly<Record<Phase, xstate.SnapshotFrom<typeof machine>>>;

/** The phase after `event`. Throws RangeError if `phase` does not allow the event. */
export function advance(phase: Phase, event: SlotEvent): Phase {
  if (!snapshots[phase].can(event)) {
    throw new RangeError(`a slot that is ${phase} does not allow the event ${event.type}`);
  }
  return xstate.transition(machine, snapshots[phase], event)[0].value;
}

/** Room on the engine for one adapter, taken by one version of it. */
export interface Slot {
  /** Name on the engine; never used there before or again. */
  readonly name: string;
  /**
   * `adapter@version`; undefined for a name that another daemon loaded and this one must not use.
   */
  readonly target: string | undefined;
  readonly phase: Phase;
  /**
   * Number of attempts that use the slot, from just before their dispatch to their last byte or
   * confirmed cancellation.
   */
  readonly pins: number;
  /** When the current phase began, in monotonic ms. */
  readonly since: number;
}

/** The slots of one engine, by name. */
export interface Slots {
  readonly capacity: number;
  readonly byName: ReadonlyMap<string, Slot>;
}

/** An engine without loaded adapters. */
export function empty(capacity: number): Slots {
  return { capacity, byName: new Map() };
}

function withSlot(s: Slots, slot: Slot): Slots {
  const byName = new Map(s.byName);
  if (slot.phase === "gone") byName.delete(slot.name);
  else byName.set(slot.name, slot);
  return { ...s, byName };
}

function getSlot(s: Slots, name: string): Slot {
  const slot = s.byName.get(name);
  if (!slot) throw new RangeError(`no slot named ${name}`);
  return slot;
}

/** Begins to load `target` under a fresh `name`. */
export function begin(s: Slots, name: string, target: string, now: number): Slots {
  if (s.byName.has(name)) throw new RangeError(`${name} was used before`);
  return withSlot(s, { name, target, phase: "loading", pins: 0, since: now });
}

/**
 * Adds a name found on the engine as loaded; `target` is undefined if this daemon must not use it.
 */
export function adopt(s: Slots, name: string, target: string | undefined, now: number): Slots {
  return withSlot(s, { name, target, phase: "loaded", pins: 0, since: now });
}

/**
 * Applies an event to a slot. Throws RangeError if a slot in use would be unloaded, so that no adapter
 * is evicted while a request uses it.
 */
export function move(s: Slots, name: string, event: SlotEvent, now: number): Slots {
  const slot = getSlot(s, name);
  if (event.type === "unload" && slot.pins > 0) {
    throw new RangeError(`${name} is used by ${slot.pins} attempts`);
  }
  return withSlot(s, { ...slot, phase: advance(slot.phase, event), since: now });
}

/** Pins a loaded slot for one more attempt. */
export function pin(s: Slots, name: string): Slots {
  const slot = getSlot(s, name);
  if (slot.phase !== "loaded") throw new RangeError(`${name} is ${slot.phase}, not loaded`);
  return withSlot(s, { ...slot, pins: slot.pins + 1 });
}

/**
 * Removes the pin of one attempt. Does nothing for a slot that no longer exists because the engine
 * restarted.
 */
export function unpin(s: Slots, name: string): Slots {
  const slot = s.byName.get(name);
  if (!slot) return s;
  if (slot.pins === 0) throw new RangeError(`${name} is not in use`);
  return withSlot(s, { ...slot, pins: slot.pins - 1 });
}

/** The loaded slot for `target`, if any. */
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

/** Targets of the slots in `phase`. */
export function targets(s: Slots, phase: Phase): readonly string[] {
  const out: string[] = [];
  for (const slot of s.byName.values()) {
    if (slot.phase === phase && slot.target !== undefined) out.push(slot.target);
  }
  return out;
}

/** Whether there is a free slot, so that a load needs no eviction. */
export function hasRoom(s: Slots): boolean {
  return s.byName.size < s.capacity;
}
