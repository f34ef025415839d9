/**
 * The lifecycle of an endpoint daemon: it finds out the state of its engine before it accepts work,
 * and drains before it stops.
 * @module
 */
import * as xstate from "xstate";

export type LifecycleEvent =
  /** The engine answered, and its loaded adapters are known. */
  | { readonly type: "engine_known" }
  /** The engine is unreachable, so its loaded adapters are not known. */
  | { readonly type: "engine_unknown" }
  | { readonly type: "drain" }
  | { readonly type: "resume" };

const machine = xstate.setup({ types: { events: {} as LifecycleEvent } }).createMachine({
  id: "life",
  initial: "learning",
  states: {
    learning: { on: { engine_known: "serving", drain: "draining" } },
    serving: { on: { engine_unknown: "learning", drain: "draining" } },
    draining: { on: { resume: "learning" } },
  },
});

export type LifecycleState = "learning" | "serving" | "draining";

/** Starts the lifecycle; `onChange` is called with each new state. */
export function start(onChange: (life: LifecycleState) => void) {
  const actor = xstate.createActor(machine);
  let last: LifecycleState = "learning";
  actor.subscribe((snapshot) => {
    if (snapshot.value === last) return;
    last = snapshot.value;
    onChange(last);
  });
  actor.start();
  return {
    state: (): LifecycleState => actor.getSnapshot().value,
    /** Sends an event; one that the current state does not handle has no effect. */
    send: (event: LifecycleEvent): void => {
      actor.send(event);
    },
  };
}
