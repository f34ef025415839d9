/**
 * The interface through which an endpoint daemon uses its engine.
 * @module
 */
import type * as stream from "node:stream";

/**
 * The state that an engine reports. Its counts lag behind; a value that the engine does not report is
 * undefined.
 */
export interface Health {
  /** Start of the engine's process, in seconds since 1970; a changed value means that it restarted without its adapters. */
  readonly startedAt: number | undefined;
  readonly running: number | undefined;
  readonly waiting: number | undefined;
}

/** One generation request to the engine. */
export interface Call {
  /** Name under which the adapter was loaded. */
  readonly name: string;
  /** Sent to the engine as the request's id, so that its answer can be matched to this request. */
  readonly id: string;
  readonly path: string;
  /** The request's fields; the engine's name for the adapter replaces `model`. */
  readonly fields: Readonly<Record<string, unknown>>;
  /** Priority in the engine's scheduler; smaller values go first. */
  readonly priority: number;
}

/** The head of the engine's answer; its body is still to be read. */
export interface Answer {
  readonly status: number;
  readonly contentType: string;
  readonly body: stream.Readable;
}

/**
 * An engine. Failed calls throw a `StepError` of step `engine`: its outcome is `not_run` when the
 * engine was certainly not reached, `failed` when it refused, and `unknown` when its reply was lost.
 */
export interface Engine {
  readonly health: () => Promise<Health>;
  /** Names of the adapters that are loaded. */
  readonly models: () => Promise<readonly string[]>;
  /** Loads an adapter from `source` under `name`; `fence` is the fencing number of this daemon. */
  readonly load: (name: string, source: string, fence: number) => Promise<void>;
  readonly unload: (name: string, fence: number) => Promise<void>;
  readonly run: (call: Call, signal: AbortSignal) => Promise<Answer>;
}
