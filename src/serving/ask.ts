/**
 * One caller's request, in the product's terms.
 * @module
 */
import type * as catalog from "./catalog.js";

/** The model and adapter that a request names. */
export interface Target {
  readonly model: string;
  /** Left out for the base model itself. */
  readonly adapter?: string | undefined;
}

/** One shared part of a prompt. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** What the headers of a request say. */
export interface Meta {
  /** Names one attempt of the caller; the endpoint's answer repeats it. */
  readonly id: string;
  /** Milliseconds that the caller will wait; Infinity when it does not say. */
  readonly waitMs: number;
  readonly target?: Target | undefined;
  readonly promptTokens: number;
  readonly answerTokens: number;
  readonly parts: readonly PromptPart[];
  /** Id of the last event that the caller has of this stream. */
  readonly resumeAfter?: string | undefined;
}

/** Who asks, on a route that asks for a key. */
export interface Caller {
  readonly team: catalog.Team;
  /** SHA-256 of its key, in hex. */
  readonly digest: string;
  /** What the request counts against its team's cap; 0 without one. */
  readonly units: number;
}

/** A request that was read whole and matched to a route. */
export interface Ask {
  readonly meta: Meta;
  readonly route: catalog.Route;
  readonly service: catalog.Service;
  /** Undefined where the route asks for no key. */
  readonly caller?: Caller | undefined;
  readonly method: string;
  /** Path and query as they came. */
  readonly path: string;
  /** Headers to pass on, in their order, without those of one connection. */
  readonly headers: Readonly<Record<string, string | readonly string[]>>;
  readonly body: Buffer;
  /** Monotonic ms at which the request arrived, and by which it must be answered. */
  readonly arrivedAt: number;
  readonly dueAt: number;
}
