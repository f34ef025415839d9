/**
 * The interface through which an endpoint daemon talks to the engine on its host.
 * @module
 */
import type * as notices from "./notices.js";

/** An adapter that an engine lists. */
export interface HeldAdapter {
  readonly adapter: string;
  readonly version: number;
}

/** An engine's report of its state. */
export interface Report {
  /** Base models that it holds, each with its adapters. */
  readonly models: readonly {
    readonly name: string;
    readonly version: number;
    readonly adapters: readonly HeldAdapter[];
  }[];
  /** Base models that it can load from its own memory or disk, without the weight store. */
  readonly localModels: readonly string[];
  /** Adapters that are being loaded. */
  readonly pending: readonly (HeldAdapter & { readonly model: string })[];
  /** Notices in the headers of the answer with this report. */
  readonly notice: notices.Notice;
  /** Whether a change of base models is in progress. */
  readonly busy: boolean;
  /** Unix ms of the engine's start; undefined if the engine does not report it. */
  readonly born?: number | undefined;
  /** Number of orders accepted since the engine started. */
  readonly sequence: number;
  /** Requests in the engine's queue, and in its batch. */
  readonly queued: number;
  readonly active: number;
}

/** An order to an engine to load or unload a base model or an adapter. */
export interface Order {
  readonly kind: "load" | "unload";
  readonly model: string;
  /** Undefined if the order is for the base model itself. */
  readonly adapter?: string | undefined;
  readonly version?: number | undefined;
  /** The engine accepts the order only if it has accepted this many orders before. */
  readonly sequence: number;
  /** The engine accepts the order only if it is this incarnation. */
  readonly instance: string;
  /** Fencing number. */
  readonly epoch: number;
  /** Timeout for the answer, in ms. */
  readonly waitMs: number;
}

/** The result of an order. */
export type OrderResult =
  /** The engine accepted it; `done` if it has also carried it out. */
  | { readonly kind: "accepted"; readonly done: boolean }
  /** The sequence number is wrong or the engine is busy with another order; it must be polled again. */
  | { readonly kind: "conflict" }
  /** The fencing number is too low. */
  | { readonly kind: "fenced" }
  /** The engine is now another incarnation. */
  | { readonly kind: "moved"; readonly instance: string | undefined }
  | { readonly kind: "refused"; readonly status: number }
  /** No answer; the engine may still carry the order out as long as its sequence number stays the same. */
  | { readonly kind: "unanswered"; readonly why: string };

/** The engine refused to answer, and asks for a pause before the next question. */
export class PauseError extends Error {
  constructor(readonly forMs: number) {
    super(`the engine asks for a pause of ${forMs} ms`);
  }
}

export interface Engine {
  /** Throws if the engine does not answer; throws a {@link PauseError} if it asks for a pause. */
  readonly report: () => Promise<Report>;
  /** Sends an order; resolves to its result, also when there is no answer. */
  readonly order: (o: Order) => Promise<OrderResult>;
  /** Returns the name of the worker that runs now; throws as `report` does. */
  readonly identify: (healthPath: string) => Promise<string>;
}
