/**
 * The engine beside an endpoint daemon, as narrow as the daemon needs it.
 * @module
 */
import type * as stream from "node:stream";

/** How an engine says it is. Its counts lag; a figure that it does not give is undefined. */
export interface Health {
  /** Start of the engine's process, in seconds since 1970; another value means a cold start. */
  readonly startedAt: number | undefined;
  readonly running: number | undefined;
  readonly waiting: number | undefined;
}

/** One generation asked of the engine. */
export interface Call {
  /** Name under which the adapter was loaded. */
  readonly name: string;
  /** Given to the engine as the request's id, so that its answer can be told from any other. */
  readonly id: string;
  readonly path: string;
  /** The request's fields; the engine's name for the adapter replaces `model`. */
  readonly fields: Readonly<Record<string, unknown>>;
  /** Smaller goes first, as the engine's own scheduler has it. */
  readonly priority: number;
}

/** The head of the engine's answer, with its body to come. */
export interface Answer {
  readonly status: number;
  readonly contentType: string;
  readonly body: stream.Readable;
}

/**
 * The engine. Calls throw a `StepError` of step `engine`: `not_run` when the engine was certainly not
 * reached or refused, `unknown` when a reply was lost.
 */
export interface Engine {
  readonly health: () => Promise<Health>;
  /** Names of the adapters loaded now. */
  readonly models: () => Promise<readonly string[]>;
  /** Loads an adapter from `source` under `name`; `fence` is this holder's fencing number. */
  readonly load: (name: string, source: string, fence: number) => Promise<void>;
  readonly unload: (name: string, fence: number) => Promise<void>;
  readonly run: (call: Call, signal: AbortSignal) => Promise<Answer>;
}
