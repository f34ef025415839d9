/**
 * One caller's request, parsed into the product's terms.
 * @module
 */
import type * as catalog from "./catalog.js";
import type * as deadline from "./deadlines/deadline.js";

/** The model and adapter that a request names. */
export interface Target {
  readonly model: string;
  /** Undefined for a request to the base model itself. */
  readonly adapter?: string | undefined;
}

/** One part of a prompt that other requests may share. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** Fields read from the headers of a request. */
export interface Meta {
  /** Id of one attempt of the caller; the endpoint's answer repeats it. */
  readonly id: string;
  /** Milliseconds that the caller will wait; Infinity if it does not say. */
  readonly waitMs: number;
  readonly target?: Target | undefined;
  readonly promptTokens: number;
  readonly answerTokens: number;
  readonly parts: readonly PromptPart[];
  /** Id of the last event of this stream that the caller already has. */
  readonly resumeAfter?: string | undefined;
  /** Id of the caller's attempt that brought the first event of this stream. */
  readonly resumes?: string | undefined;
}

/** The parts of a prompt that other requests may share: all but the last, which is the request's or its session's own. */
export function sharedParts(meta: Meta): readonly PromptPart[] {
  return meta.parts.slice(0, -1);
}

/** Authenticated sender of a request, on a route that requires a key. */
export interface Caller {
  readonly team: catalog.Team;
  /** SHA-256 of the caller's key, in hex. */
  readonly digest: string;
  /** Units that the request counts against its team's cap; 0 if the team has none. */
  readonly units: number;
}

/** A request that was read completely and matched to a route. */
export interface CallerRequest extends deadline.Deadlines {
  readonly meta: Meta;
  readonly route: catalog.Route;
  readonly service: catalog.Service;
  /** Undefined if the route requires no key. */
  readonly caller?: Caller | undefined;
  readonly method: string;
  /** Path and query as received. */
  readonly path: string;
  /** Headers to forward, in their order, without hop-by-hop headers. */
  readonly headers: Readonly<Record<string, string | readonly string[]>>;
  readonly body: Buffer;
  /** Monotonic ms at which the request arrived, by an estimate if it waited to be read. */
  readonly arrivedAt: number;
}
