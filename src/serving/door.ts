/**
 * The callers' port, opened before the rest of the daemon is loaded: callers that come while a
 * daemon starts wait for it instead of being refused. It needs nothing but Node's own modules.
 * @module
 */
import * as http from "node:http";
import type * as net from "node:net";
import * as addresses from "../host/address.js";

/** Bytes of headers that the server reads at all; a configuration allows fewer. */
const HEADER_BYTES = 65_536;
/** Milliseconds for headers and between requests until a configuration says otherwise. */
const HEADERS_MS = 5000;
const IDLE_MS = 15_000;
/** Connections that wait to be accepted: a second's worth of callers of a whole site. */
const BACKLOG = 1024;
/** Requests that wait for the daemon; more are told to come back. */
const WAITING = 512;

type Handler = (req: http.IncomingMessage, res: http.ServerResponse) => void;

/** A listening server, and the requests that wait for their handler. */
export interface Door {
  readonly server: http.Server;
  /** Hands over the requests that wait, and all that come. */
  readonly attach: (handler: Handler) => void;
}

/** Listens at `ip:port`. */
export async function open(address: string): Promise<Door> {
  let handler: Handler | undefined;
  let waiting: Parameters<Handler>[] = [];
  const server = http.createServer(
    {
      maxHeaderSize: HEADER_BYTES,
      requireHostHeader: true,
      keepAliveTimeout: IDLE_MS,
      headersTimeout: HEADERS_MS,
      requestTimeout: 0,
      noDelay: true,
    },
    (req, res) => {
      if (handler) handler(req, res);
      else if (waiting.length < WAITING) waiting.push([req, res]);
      else res.writeHead(503, { "retry-after": "0.5", connection: "close" }).end();
    },
  );
  server.on("clientError", refuseBytes);
  await addresses.listen(server, address, BACKLOG);
  return {
    server,
    attach: (h) => {
      handler = h;
      // One that left meanwhile must not be served: nobody would ever stop its work.
      for (const [req, res] of waiting) if (!req.socket.destroyed) h(req, res);
      waiting = [];
    },
  };
}

/** Answers bytes that are no request; the connection ends. */
function refuseBytes(err: Error, socket: net.Socket): void {
  if (!socket.writable || socket.destroyed) {
    socket.destroy();
    return;
  }
  const code = "code" in err ? String(err.code) : "";
  const status = code === "HPE_HEADER_OVERFLOW" ? 431 : 400;
  const reason = http.STATUS_CODES[status] ?? "";
  socket.end(`HTTP/1.1 ${status} ${reason}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
}
