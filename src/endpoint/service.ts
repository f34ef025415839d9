/**
 * A proxy to the plain service beside an endpoint daemon. Bodies are streamed both ways unchanged.
 * @module
 */
import type * as http from "node:http";
import * as undici from "undici";
import * as connector from "../host/connector.js";
import * as outcome from "../request/outcome.js";

/** Hop-by-hop and connection-specific headers, which are not forwarded. */
const HOP_BY_HOP_HEADERS = new Set([
  "connection",
  "keep-alive",
  "proxy-authenticate",
  "proxy-authorization",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
  "host",
  "expect",
]);

/** Prefix of internal headers, which callers and services neither see nor set. */
const INTERNAL_HEADER_PREFIX = "sumacfield-";

/**
 * The request headers to forward: without hop-by-hop headers, those that `connection` lists, internal
 * headers and `authorization`.
 */
export function forwardableHeaders(
  headers: http.IncomingHttpHeaders,
): Record<string, string | string[]> {
  const connectionHeaders = (headers.connection ?? "")
    .split(",")
    .map((h) => h.trim().toLowerCase());
  const out: Record<string, string | string[]> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined || HOP_BY_HOP_HEADERS.has(name) || connectionHeaders.includes(name))
      continue;
    if (name.startsWith(INTERNAL_HEADER_PREFIX) || name === "authorization") continue;
    out[name] = value;
  }
  return out;
}

/** A plain service. Failed calls throw a `StepError` with the same outcomes as calls of an engine. */
export interface Service {
  readonly run: (
    method: string,
    path: string,
    req: http.IncomingMessage,
    signal: AbortSignal,
  ) => Promise<undici.Dispatcher.ResponseData>;
}

/** Creates a client for the service at `url`, with at most `connections` concurrent calls. */
export function open(url: string, connections: number): Service {
  const agent = new undici.Agent({
    connections,
    headersTimeout: 0,
    bodyTimeout: 0,
    connect: connector.resetAware({}),
  });
  return {
    run: async (method, path, req, signal) => {
      const hasNoBody = method === "GET" || method === "HEAD";
      try {
        return await undici.request(url + path, {
          dispatcher: agent,
          method: method,
          headers: forwardableHeaders(req.headers),
          body: hasNoBody ? null : req,
          signal,
        });
      } catch (err) {
        const code = err instanceof Error && "code" in err ? err.code : "";
        throw new outcome.StepError({
          code: "link_broken",
          outcome: code === "ECONNREFUSED" ? "not_run" : "unknown",
          step: "service",
          peer: url,
          message: `The service did not answer: ${err instanceof Error ? err.message : ""}.`,
        });
      }
    },
  };
}
