/**
 * A state machine over the attempts of one request. It decides whether the request certainly has not
 * run, and prevents a second attempt of a request that must not be repeated.
 * @module
 */
import * as xstate from "xstate";
import type * as outcome from "./outcome.js";

/** What happens to a request's attempts. */
export type TrailEvent =
  /** An attempt is about to be sent; from now on it may run. */
  | { readonly type: "send" }
  /** The endpoint answered that the attempt did not run and will not run. */
  | { readonly type: "refused" }
  /** The connection broke, or the endpoint stopped answering: the attempt may have run. */
  | { readonly type: "broke" }
  /** The endpoint of a broken attempt confirmed that the attempt did not run and will not run. */
  | { readonly type: "proved" }
  /** The attempt ran and failed, and the request is not retried. */
  | { readonly type: "failed" }
  /** The attempt ran and failed, and the request may be retried on another endpoint. */
  | { readonly type: "spoiled" }
  /** The first byte of the answer was sent to the caller. */
  | { readonly type: "begun" }
  /** The whole answer was sent to the caller. */
  | { readonly type: "finished" };

const machine = xstate
  .setup({
    types: {
      context: {} as {
        readonly repeatable: boolean;
        /** Attempts that may have run. */
        readonly doubts: number;
        /** Attempts that ran and failed in a way that allows a retry. */
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

/** The state that a request's attempts so far have led to. */
export type Trail = xstate.SnapshotFrom<typeof machine>;

const initialTrails = {
  repeatable: xstate.initialTransition(machine, { repeatable: true })[0],
  single: xstate.initialTransition(machine, { repeatable: false })[0],
} as const;

/** The state before the first attempt; `repeatable` says whether the request may run more than once. */
export function start(repeatable: boolean): Trail {
  return repeatable ? initialTrails.repeatable : initialTrails.single;
}

/**
 * Caches transitions, since evaluating the state machine is slow. The cache stays small: a request has
 * few attempts, so there are few distinct states.
 */
const transitionCache = new WeakMap<Trail, Map<TrailEvent["type"], Trail | undefined>>();

/** Returns the state after event `type`, or undefined when the event is not allowed. */
function nextTrail(t: Trail, type: TrailEvent["type"]): Trail | undefined {
  const cached = transitionCache.get(t) ?? new Map<TrailEvent["type"], Trail | undefined>();
  transitionCache.set(t, cached);
  if (cached.has(type)) return cached.get(type);
  const next = t.can({ type }) ? xstate.transition(machine, t, { type })[0] : undefined;
  cached.set(type, next);
  return next;
}

/** Whether another attempt may be sent now. */
export function maySend(t: Trail): boolean {
  return nextTrail(t, "send") !== undefined;
}

/** Returns the state after event `type`. Throws RangeError when the event is not allowed. */
export function step(t: Trail, type: TrailEvent["type"]): Trail {
  const next = nextTrail(t, type);
  if (!next) throw new RangeError(`a request in state ${t.value} does not allow event ${type}`);
  return next;
}

/** Returns the outcome to report for a request that did not get a complete answer. */
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
