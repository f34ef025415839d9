/**
 * The port to a wire: how requests, answers and refusals are marked in headers. The platform's
 * adapter implements it; nothing else names a header of the platform.
 * @module
 */
import type * as http from "node:http";
import type * as ask from "./ask.js";
import type * as headers from "./headers.js";
import type * as notices from "./notices.js";

/** What the system adds to a request that it sends to an endpoint. */
export interface Marks {
  /** Incarnation that alone may run the request. */
  readonly instance: string;
  /** Version of the adapter that alone may serve the request. */
  readonly version?: number | undefined;
  /** Urgency; 0 goes first. */
  readonly rank: number;
  /** Team whose key the request carried. */
  readonly team?: string | undefined;
  /** Milliseconds left for the answer. */
  readonly leftMs: number;
  /** Last event already passed on; the endpoint goes on after it. */
  readonly resumeAfter?: string | undefined;
}

/** The key that a request carries. */
export type Credential =
  | { readonly kind: "key"; readonly key: string }
  | { readonly kind: "missing" }
  | { readonly kind: "malformed"; readonly why: string };

export interface Protocol {
  /** Reads a request's headers; throws a RangeError that says which one is wrong. */
  readonly read: (headers: http.IncomingHttpHeaders) => ask.Meta;
  /** Headers, in lower case, that only the system sets; what a caller sent under them is dropped. */
  readonly reserved: ReadonlySet<string>;
  /** Headers, in lower case, that carry a key; where teams are configured they never go on. */
  readonly credentials: ReadonlySet<string>;
  /** The key that a request carries, from all values of each of its headers. */
  readonly credential: (headers: headers.Headers) => Credential;
  readonly marks: (m: Marks) => Record<string, string>;
  /** Which request an answer says it belongs to. */
  readonly answered: (headers: headers.Headers) => string | undefined;
  /** Whether an answer vouches that the request was not run and never will be. */
  readonly notRun: (status: number, headers: headers.Headers) => boolean;
  /** Whether an answer bears an endpoint's signature. */
  readonly signed: (headers: headers.Headers) => boolean;
  /** What an answer says of its worker. */
  readonly notice: (status: number, headers: headers.Headers) => notices.Notice;
  /** Headers that tell a refused caller when to come back, in ms. */
  readonly comeBack: (ms: number) => Record<string, string>;
}
