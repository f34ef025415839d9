/**
 * The plain service beside an endpoint daemon. Bytes go through both ways as they come.
 * @module
 */
import type * as http from "node:http";
import * as undici from "undici";
import * as outcome from "../request/outcome.js";

/** Headers that belong to one connection, not to the call. */
const HOP = new Set([
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

/** Prefix of the system's own headers, which neither caller nor service sees or sets. */
const OWN = "sumacfield-";

/** The headers of a call that go on to the next connection. */
export function passable(headers: http.IncomingHttpHeaders): Record<string, string | string[]> {
  const listed = (headers.connection ?? "").split(",").map((h) => h.trim().toLowerCase());
  const out: Record<string, string | string[]> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined || HOP.has(name) || listed.includes(name)) continue;
    if (name.startsWith(OWN) || name === "authorization") continue;
    out[name] = value;
  }
  return out;
}

/** The service, with the same words for failures as the engine. */
export interface Service {
  readonly run: (
    method: string,
    path: string,
    req: http.IncomingMessage,
    signal: AbortSignal,
  ) => Promise<undici.Dispatcher.ResponseData>;
}

/** Opens the service at `url` with at most `connections` calls at once. */
export function open(url: string, connections: number): Service {
  const agent = new undici.Agent({ connections, headersTimeout: 0, bodyTimeout: 0 });
  return {
    run: async (method, path, req, signal) => {
      const bare = method === "GET" || method === "HEAD";
      try {
        return await undici.request(url + path, {
          dispatcher: agent,
          method: method,
          headers: passable(req.headers),
          body: bare ? null : req,
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
