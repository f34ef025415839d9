/**
 * The attempts of one request, and what may be said of it because of them. This is where "not run"
 * is certain and where a request that must not be repeated is kept from a second attempt.
 * @module
 */
import * as xstate from "xstate";
import type * as outcome from "./outcome.js";

export type TrailEvent =
  /** An attempt is about to be sent; from here on it may run. */
  | { readonly type: "send" }
  /** Its endpoint says that it did not and will not run. */
  | { readonly type: "refused" }
  /** Its link broke, or its endpoint fell silent: it may have run. */
  | { readonly type: "broke" }
  /** The endpoint of a broken attempt says that it did not and will not run. */
  | { readonly type: "proved" }
  /** It ran and failed, for good. */
  | { readonly type: "failed" }
  /** It ran and failed, and may be run again elsewhere. */
  | { readonly type: "spoiled" }
  /** The first byte of its answer went to the caller. */
  | { readonly type: "begun" }
  | { readonly type: "finished" };

const machine = xstate
  .setup({
    types: {
      context: {} as {
        readonly repeatable: boolean;
        readonly doubts: number;
        readonly spoiled: number;
      },
      events: {} as TrailEvent,
      input: {} as { readonly repeatable: boolean },
    },
    guards: { maySend: ({ context: c }) => c.repeatable || c.doubts === 0 },
    actions: {
      doubt: xstate.assign({ doubts: ({ context: c }) => c.doubts + 1 }),
      spoil: xstate.assign({ spoiled: ({ context: c }) => c.spoiled + 1 }),
      clear: xstate.assign({ doubts: ({ context: c }) => c.doubts - 1 }),
    },
  })
  .createMachine({
    id: "trail",
    context: ({ input }) => ({ repeatable: input.repeatable, doubts: 0, spoiled: 0 }),
    initial: "waiting",
    states: {
      waiting: {
        on: {
          send: { guard: "maySend", target: "out" },
          proved: { guard: ({ context: c }) => c.doubts > 0, actions: "clear" },
        },
      },
      out: {
        on: {
          refused: "waiting",
          broke: { target: "waiting", actions: "doubt" },
          failed: "failed",
          spoiled: {
            guard: ({ context: c }) => c.repeatable,
            target: "waiting",
            actions: "spoil",
          },
          begun: "answering",
        },
      },
      answering: { on: { broke: { target: "cut", actions: "doubt" }, finished: "answered" } },
      cut: { type: "final" },
      failed: { type: "final" },
      answered: { type: "final" },
    },
  });

/** A request's attempts so far. */
export type Trail = xstate.SnapshotFrom<typeof machine>;

const starts = {
  repeatable: xstate.initialTransition(machine, { repeatable: true })[0],
  single: xstate.initialTransition(machine, { repeatable: false })[0],
} as const;

/** No attempt yet. */
export function start(repeatable: boolean): Trail {
  return repeatable ? starts.repeatable : starts.single;
}

/** Steps taken before; trails are few, since attempts are, and the machine is slow to ask. */
const steps = new WeakMap<Trail, Map<TrailEvent["type"], Trail | undefined>>();

/** The trail after `type`; undefined where that may not happen. */
function after(t: Trail, type: TrailEvent["type"]): Trail | undefined {
  const known = steps.get(t) ?? new Map<TrailEvent["type"], Trail | undefined>();
  steps.set(t, known);
  if (known.has(type)) return known.get(type);
  const next = t.can({ type }) ? xstate.transition(machine, t, { type })[0] : undefined;
  known.set(type, next);
  return next;
}

/** Whether another attempt may be sent. */
export function maySend(t: Trail): boolean {
  return after(t, "send") !== undefined;
}

/** The trail after `type`. Throws RangeError where that may not happen. */
export function step(t: Trail, type: TrailEvent["type"]): Trail {
  const next = after(t, type);
  if (!next) throw new RangeError(`a request that is ${t.value} cannot be ${type}`);
  return next;
}

/** What may be told of a request that got no whole answer. */
export function verdict(t: Trail): outcome.Outcome {
  switch (t.value) {
    case "waiting":
      if (t.context.spoiled > 0) return "failed";
      return t.context.doubts === 0 ? "not_run" : "unknown";
    case "out":
    case "answering":
    case "cut":
      return "unknown";
    case "failed":
    case "answered":
      return "failed";
  }
}
