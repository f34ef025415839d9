/**
 * Writes responses to a caller, as the dispatcher's {@link progress.CallerResponse}. Discards the rest of the body of a
 * request that is refused early.
 * @module
 */
import type * as http from "node:http";
import type * as clock from "../host/clock.js";
import type * as connections from "../host/connections/connections.js";
import * as requestFields from "../host/request-fields.js";
import * as responses from "../host/response.js";
import type * as hold from "./buffering/hold.js";
import * as headers from "./headers.js";
import type * as lagMonitor from "./overload/lag-monitor.js";
import * as presence from "./overload/presence.js";
import type * as progress from "./progress.js";
import type * as protocol from "./protocol.js";

/** Bytes of a request body that are read and discarded at most after an early refusal. */
const MAX_DISCARD_BYTES = 65_536;

/**
 * Reads and discards the rest of a request's body, because closing a connection with unread bytes resets it, and the
 * caller could not read the response. Returns false if the announced length exceeds MAX_DISCARD_BYTES, or the body must not
 * be read further. Nothing more is read of a body that exceeds it without announcing so.
 */
function discard(req: http.IncomingMessage, closeBehind: () => void): boolean {
  if (req.complete) return true;
  if (req.isPaused()) return false;
  if (Number(req.headers["content-length"] ?? 0) > MAX_DISCARD_BYTES) return false;
  let size = 0;
  req.on("data", (chunk: Buffer) => {
    size += chunk.length;
    if (size > MAX_DISCARD_BYTES) closeBehind();
  });
  return true;
}

/**
 * Wraps a caller's request and response for the dispatcher; `held` buffers what the caller does not take at once. A caller that
 * ends its side of the connection has left: Node.js closes the other side then, so no answer can reach it.
 */
export function open(
  req: http.IncomingMessage,
  res: http.ServerResponse,
  deps: { readonly protocol: protocol.Protocol; readonly clock: clock.Clock },
  connections: Pick<connections.Connections, "closeBehind">,
  lag: lagMonitor.LagMonitor,
  held: hold.Hold,
): progress.CallerResponse {
  const disconnect = new AbortController();
  const leave = (): void => {
    if (!res.writableFinished) disconnect.abort();
  };
  const unregister = presence.onEnd(req.socket, leave);
  res.once("close", () => {
    unregister();
    leave();
  });
  return {
    disconnected: disconnect.signal,
    presence: presence.watch(req.socket, deps.clock, lag, leave),
    writeHead: (status, received) => {
      held.writeHead(status, headers.forAnswer(received) as http.OutgoingHttpHeaders);
    },
    write: (bytes) => held.write(bytes),
    readAnswer: (bytes) => held.readAnswer(bytes),
    dropAnswer: () => {
      held.dropAnswer();
    },
    wasReset: () => held.wasReset,
    end: () => {
      held.end();
    },
    abort: () => {
      responses.breakOff(res);
    },
    sendWhole: (status, received, body) => {
      const length = req.method === "HEAD" ? {} : { "content-length": body.length };
      held.writeHead(status, {
        ...(headers.forAnswer(received) as http.OutgoingHttpHeaders),
        ...length,
      });
      held.sendWhole(body);
    },
    refuse: (status, message, comeBackMs) => {
      if (held.hasHead || res.destroyed) {
        responses.breakOff(res);
        return;
      }
      const text = Buffer.from(JSON.stringify({ error: message }));
      const closeBehind = (): void => {
        connections.closeBehind(req.socket, "unread_body");
      };
      if (!discard(req, closeBehind)) closeBehind();
      held.writeHead(status, {
        "content-type": "application/json",
        "content-length": text.length,
        ...(comeBackMs === undefined ? {} : deps.protocol.retryAfterHeaders(comeBackMs)),
      });
      held.sendWhole(text);
      // The response may wait long behind others on its connection.
      requestFields.release(req);
    },
  };
}
