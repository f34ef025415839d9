/**
 * The messages between entry and endpoint daemons about seats. An entry daemon asks for a seat on an
 * engine for one request. When the seat is granted, it sends the request directly to the engine, and
 * then tells the endpoint daemon when the first event came and when the run ended. The messages are JSON
 * lines over TCP.
 * @module
 */
import * as zod from "zod";
import * as suspicionState from "./suspicion-state.js";
import * as limiterMessages from "./limiter-messages.js";
import * as noticeMessages from "./notice-messages.js";
import * as originMessages from "./continuation/messages.js";

/** Timing of a stream's events as they arrived from the engine, in ms. */
const streamTiming = zod
  .object({
    /** Number of events. */
    events: zod.int(),
    /** From the first event to the last one. */
    spanMs: zod.number(),
    /** Longest pause between two events. */
    pauseMs: zod.number(),
  })
  .readonly();
export type StreamTiming = zod.infer<typeof streamTiming>;

/** Messages from an entry daemon. */
export const fromEntry = zod.discriminatedUnion("kind", [
  zod.object({ kind: zod.literal("hello"), host: zod.string() }).readonly(),
  zod
    .object({
      kind: zod.literal("ask"),
      /** Number of the seat, unique on this connection. */
      seat: zod.int(),
      /** Id of the request, for the log. */
      request: zod.string(),
      model: zod.string(),
      adapter: zod.string().optional(),
      /** Newest version of the adapter that the entry daemon knows; 0 if it knows none. */
      version: zod.int(),
      /** An older version on which it may run as well, and for how many ms from now; left out where there is none. */
      older: zod.object({ version: zod.int(), forMs: zod.number() }).readonly().optional(),
      promptTokens: zod.number(),
      answerTokens: zod.number(),
      rank: zod.number(),
      /** Milliseconds from now after which the first event is late. */
      targetMs: zod.number(),
      /** Milliseconds from now after which the seat is of no use. */
      leftMs: zod.number(),
      /**
       * True: the request waits here however long. False: it is denied at once if another engine may be
       * faster.
       */
      firm: zod.boolean(),
      /** Team of the caller; left out where the configuration has no teams. */
      team: zod.string().optional(),
      /** Longest pause between two events, in ms, that is not late; left out where the route sets none. */
      gapMs: zod.number().positive().optional(),
    })
    .readonly(),
  /** The first event of the run came, `ms` after the request was sent. */
  zod.object({ kind: zod.literal("began"), seat: zod.int(), ms: zod.number() }).readonly(),
  /** The seat is not needed any more; `how` tells what became of the run. */
  zod
    .object({
      kind: zod.literal("over"),
      seat: zod.int(),
      how: zod.enum(["whole", "failed", "not_run", "left", "absent"]),
      /** Timing of the stream as it arrived; left out if no two events did. */
      stream: streamTiming.optional(),
    })
    .readonly(),
  suspicionState.wire,
  noticeMessages.notice,
  ...limiterMessages.fromEntry,
  ...originMessages.fromEntry,
]);
export type FromEntry = zod.infer<typeof fromEntry>;
export type Ask = Extract<FromEntry, { kind: "ask" }>;

/** Teams beyond their share that a state message names at most. */
export const MAX_OVER_TEAMS = 16;

/** How busy an engine is, as known to its endpoint daemon; sent more often than the holdings. */
export const state = zod
  .object({
    kind: zod.literal("state"),
    /** Incarnation of the engine; empty while it is out or not yet known. */
    instance: zod.string(),
    /** Estimated ms until the engine starts to read a prompt that arrives now, by rank. */
    waitMs: zod.array(zod.number()).readonly(),
    /** Estimates from its runs: ms to read one prompt token, and ms from the last one to the first event. */
    msPerToken: zod.number(),
    firstMs: zod.number(),
    /** Estimated ms until a slot for another adapter is free, and until each further one. */
    slotMs: zod.number(),
    eachSlotMs: zod.number(),
    /** Estimates from its loads: ms of a load from the weight store, and of one from memory. */
    coldMs: zod.number(),
    warmMs: zod.number(),
    /** Number of seats asked for or granted, and not ended. */
    seats: zod.number(),
    /** Smoothed share of the latest runs that failed, 0 to 1. */
    failing: zod.number(),
    /** Number of connected entry daemons. */
    entries: zod.number(),
    /**
     * Milliseconds within which the next announcement comes; a longer silence means that the link is
     * broken.
     */
    silenceMs: zod.number(),
    /**
     * Reading of prompts that was granted lately, as a share of what the running streams allow; 1 is full. Left out by
     * engines without steady streams.
     */
    crowding: zod.number().nonnegative().optional(),
    /** Share of the latest streams that were late by a pause, 0 to 1; left out by engines without steady streams. */
    lateStreams: zod.number().min(0).max(1).optional(),
    /**
     * Tokens of the longest prompt that leaves the running streams on time even if a slow spell begins while it is read;
     * left out if no steady stream runs.
     */
    steadyPromptTokens: zod.number().nonnegative().optional(),
    /** Like `waitMs` and `slotMs`, for a team within its share; left out where no team is beyond it. */
    fairWaitMs: zod.array(zod.number()).readonly().optional(),
    fairSlotMs: zod.number().optional(),
    /**
     * Teams beyond their share of the engine while requests queue up, the furthest beyond first; the empty name stands for
     * requests without a team. `fairWaitMs` leaves out their requests.
     */
    overTeams: zod.array(zod.string()).max(MAX_OVER_TEAMS).readonly().optional(),
    /** True if teams within their share ask for seats too. */
    contended: zod.boolean().optional(),
  })
  .readonly();
export type State = zod.infer<typeof state>;

/** The models and adapters that an engine holds, as known to its endpoint daemon. */
export const holdings = zod
  .object({
    kind: zod.literal("holdings"),
    models: zod.array(zod.string()).readonly(),
    /** Keys of the adapters that are loaded or being loaded. */
    resident: zod.array(zod.string()).readonly(),
    /** Versions of these adapters, in the same order. */
    versions: zod.array(zod.int()).readonly().optional(),
    /** Keys of the adapters that left since the last holdings message to this entry daemon, the latest last. */
    gone: zod.array(zod.string()).readonly(),
    /** How many of the adapters that were resident last load fast; entry daemons keep the list of these. */
    reach: zod.int(),
    /** Version of the configuration that the endpoint daemon has; left out while it has none. */
    config: zod.int().optional(),
  })
  .readonly();
export type Holdings = zod.infer<typeof holdings>;

/** Messages from an endpoint daemon. */
export const fromEndpoint = zod.discriminatedUnion("kind", [
  state,
  holdings,
  suspicionState.wire,
  noticeMessages.notice,
  limiterMessages.drawn,
  originMessages.found,
  zod
    .object({
      kind: zod.literal("grant"),
      seat: zod.int(),
      instance: zod.string(),
      /** Version of the adapter that the engine holds; left out for a base model. */
      version: zod.int().optional(),
    })
    .readonly(),
  /** The engine will not serve the request, and has not run any of it. */
  zod
    .object({
      kind: zod.literal("deny"),
      seat: zod.int(),
      reason: zod.enum(["out", "full", "busy", "no_model", "load_failed", "leaving"]),
    })
    .readonly(),
]);
export type FromEndpoint = zod.infer<typeof fromEndpoint>;
export type DenyReason = Extract<FromEndpoint, { kind: "deny" }>["reason"];
