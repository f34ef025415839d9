/**
 * A caller's connection as the dispatcher sees it, and what is left of a request that is refused early.
 * @module
 */
import type * as http from "node:http";
import * as headers from "./headers.js";
import type * as progress from "./progress.js";
import type * as protocol from "./protocol.js";

/** Bytes of a body that are read and thrown away after an early refusal. */
const UNREAD_BYTES = 65_536;

/**
 * Reads what is left of a request and throws it away, so that its caller can read the answer: closing a connection with
 * unread bytes resets it. False where too much is announced; a body that turns out to be long ends its connection.
 */
function discard(req: http.IncomingMessage): boolean {
  if (req.complete) return true;
  if (Number(req.headers["content-length"] ?? 0) > UNREAD_BYTES) return false;
  let size = 0;
  req.on("data", (part: Buffer) => {
    size += part.length;
    if (size > UNREAD_BYTES) req.socket.destroy();
  });
  return true;
}

/** The caller's connection as the dispatcher sees it. */
export function open(
  req: http.IncomingMessage,
  res: http.ServerResponse,
  wire: protocol.Protocol,
): progress.Outlet {
  const gone = new AbortController();
  res.once("close", () => {
    if (!res.writableFinished) gone.abort();
  });
  return {
    gone: gone.signal,
    begin: (status, received) => {
      res.writeHead(status, headers.forAnswer(received) as http.OutgoingHttpHeaders);
    },
    write: (bytes) => {
      if (res.destroyed || res.write(bytes)) return undefined;
      return new Promise((resolve) => {
        const done = (): void => {
          res.off("drain", done);
          res.off("close", done);
          resolve();
        };
        res.on("drain", done);
        res.on("close", done);
      });
    },
    end: () => {
      res.end();
    },
    breakOff: () => {
      res.destroy();
    },
    answer: (status, received, body) => {
      const length = req.method === "HEAD" ? {} : { "content-length": body.length };
      res.writeHead(status, {
        ...(headers.forAnswer(received) as http.OutgoingHttpHeaders),
        ...length,
      });
      res.end(body);
    },
    refuse: (status, message, comeBackMs) => {
      if (res.headersSent || res.destroyed) {
        res.destroy();
        return;
      }
      const text = JSON.stringify({ error: message });
      const close = discard(req) ? {} : { connection: "close" };
      res.writeHead(status, {
        "content-type": "application/json",
        "content-length": Buffer.byteLength(text),
        ...(comeBackMs === undefined ? {} : wire.comeBack(comeBackMs)),
        ...close,
      });
      res.end(text);
    },
  };
}
