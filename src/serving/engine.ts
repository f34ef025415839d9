/**
 * The port from an endpoint daemon to the engine on its host.
 * @module
 */
import type * as notices from "./notices.js";

/** An adapter as an engine lists it. */
export interface Held {
  readonly adapter: string;
  readonly version: number;
}

/** What an engine says of itself. */
export interface Report {
  /** Base models held, each with its adapters. */
  readonly models: readonly {
    readonly name: string;
    readonly version: number;
    readonly adapters: readonly Held[];
  }[];
  /** Base models that load from the engine's own memory or disk, without the weight store. */
  readonly nearby: readonly string[];
  /** Adapters on their way in. */
  readonly pending: readonly (Held & { readonly model: string })[];
  /** What the answer that holds this report says of the engine besides. */
  readonly notice: notices.Notice;
  /** A change of base models is under way. */
  readonly busy: boolean;
  /** Unix ms of the engine's start, where it tells it. */
  readonly born?: number | undefined;
  /** Orders accepted since the engine started. */
  readonly sequence: number;
  readonly queued: number;
  readonly active: number;
}

/** A change of what an engine holds. */
export interface Order {
  readonly kind: "load" | "unload";
  readonly model: string;
  /** Left out for the base model itself. */
  readonly adapter?: string | undefined;
  readonly version?: number | undefined;
  /** The order counts only while the engine has accepted this many. */
  readonly sequence: number;
  /** The order counts only for this incarnation. */
  readonly instance: string;
  /** Fencing number. */
  readonly epoch: number;
  /** Milliseconds that the answer is awaited. */
  readonly waitMs: number;
}

/** What became of an order. */
export type OrderResult =
  /** It is being carried out, or is done. */
  | { readonly kind: "accepted"; readonly done: boolean }
  /** Another order came first; what the engine holds must be read again. */
  | { readonly kind: "conflict" }
  /** The fencing number is too low. */
  | { readonly kind: "fenced" }
  /** Another incarnation is there now. */
  | { readonly kind: "moved"; readonly instance: string | undefined }
  | { readonly kind: "refused"; readonly status: number }
  /** No answer; it may still be carried out while the sequence stands. */
  | { readonly kind: "unanswered"; readonly why: string };

/** An engine turned a question away, and wants none for a while. */
export class PauseError extends Error {
  constructor(readonly forMs: number) {
    super(`the engine asks for a pause of ${forMs} ms`);
  }
}

export interface Engine {
  /** Throws when the engine does not answer, and a {@link PauseError} when it asks for a pause. */
  readonly report: () => Promise<Report>;
  readonly order: (o: Order) => Promise<OrderResult>;
  /** The name of the worker that is there now. Throws when the engine does not tell, as for a report. */
  readonly identify: (healthPath: string) => Promise<string>;
}
