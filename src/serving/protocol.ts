/**
 * Port for the platform's HTTP headers: how requests, answers and refusals carry the product's fields. The platform's adapter
 * implements it; no other module names a header of the platform.
 * @module
 */
import type * as http from "node:http";
import type * as callerRequest from "./caller-request.js";
import type * as catalog from "./catalog.js";
import type * as headers from "./headers.js";
import type * as notices from "./notices.js";

/** Fields that an entry daemon adds to a request that it sends to an endpoint. */
export interface SendAttributes {
  /** The only incarnation that may run the request. */
  readonly instance: string;
  /** The only version of the adapter that may serve the request. */
  readonly version?: number | undefined;
  /** Urgency; 0 is served first. */
  readonly rank: number;
  /** Team whose key the request carried. */
  readonly team?: string | undefined;
  /** Milliseconds until the deadline of the answer. */
  readonly leftMs: number;
  /** Id of the last event already passed on; the endpoint continues after it. */
  readonly resumeAfter?: string | undefined;
}

/** A request by which a worker shows that it runs. */
export interface LivenessRequest {
  readonly path: string;
  readonly headers: Record<string, string>;
}

/** API key found in a request. */
export type Credential =
  | { readonly kind: "key"; readonly key: string }
  | { readonly kind: "missing" }
  | { readonly kind: "malformed"; readonly why: string };

/** Reads and writes the platform's headers. */
export interface Protocol {
  /** Reads a request's headers; throws a RangeError that says which one is wrong. */
  readonly read: (headers: http.IncomingHttpHeaders) => callerRequest.Meta;
  /** Headers, in lower case, that only the system sets; a caller's values for them are dropped. */
  readonly reserved: ReadonlySet<string>;
  /** Headers, in lower case, that carry an API key; if teams are configured, they are never forwarded. */
  readonly credentials: ReadonlySet<string>;
  /** Finds the API key of a request, considering all values of each header. */
  readonly credential: (headers: headers.Headers) => Credential;
  /** Headers that carry the fields added to a request. */
  readonly sendHeaders: (m: SendAttributes) => Record<string, string>;
  /** Id of the request that an answer says it belongs to. */
  readonly answeredRequestId: (headers: headers.Headers) => string | undefined;
  /** Whether an answer guarantees that the request was not run and never will be. */
  readonly saysNotRun: (status: number, headers: headers.Headers) => boolean;
  /** Whether an answer carries an endpoint's signature. */
  readonly isSigned: (headers: headers.Headers) => boolean;
  /** The request that asks an incarnation of a worker whether it runs; a worker at the same address may be another one. */
  readonly livenessRequest: (instance: string, service: catalog.Service) => LivenessRequest;
  /** Whether an answer to that request comes from this incarnation's worker, whatever it says. */
  readonly isFromInstance: (instance: string, status: number, headers: headers.Headers) => boolean;
  /** What an answer says about its worker. */
  readonly notice: (status: number, headers: headers.Headers) => notices.Notice;
  /** Headers that tell a refused caller after how many ms to retry. */
  readonly retryAfterHeaders: (ms: number) => Record<string, string>;
}
