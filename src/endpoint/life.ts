/**
 * The life of an endpoint daemon: it learns its engine's state before it takes work, and drains
 * before it goes.
 * @module
 */
import * as xstate from "xstate";

export type LifeEvent =
  /** The engine answered, and what it holds is known. */
  | { readonly type: "learned" }
  /** The engine is out or came back cold; what it holds is not known. */
  | { readonly type: "lost" }
  | { readonly type: "drain" }
  | { readonly type: "resume" };

const machine = xstate.setup({ types: { events: {} as LifeEvent } }).createMachine({
  id: "life",
  initial: "learning",
  states: {
    learning: { on: { learned: "serving", drain: "draining" } },
    serving: { on: { lost: "learning", drain: "draining" } },
    draining: { on: { resume: "learning" } },
  },
});

export type Life = "learning" | "serving" | "draining";

/** Starts a life; `seen` is told of each state it comes to. */
export function start(seen: (life: Life) => void) {
  const actor = xstate.createActor(machine);
  let last: Life = "learning";
  actor.subscribe((snapshot) => {
    if (snapshot.value === last) return;
    last = snapshot.value;
    seen(last);
  });
  actor.start();
  return {
    state: (): Life => actor.getSnapshot().value,
    /** Events that mean nothing in the present state change nothing. */
    send: (event: LifeEvent): void => {
      actor.send(event);
    },
  };
}
