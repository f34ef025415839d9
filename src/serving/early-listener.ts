/**
 * Listens on the callers' port before the rest of the daemon is loaded, so that requests which arrive during startup
 * wait instead of being refused. Loads quickly, since it depends on little but Node's own modules.
 * @module
 */
import * as http from "node:http";
import * as addresses from "../host/address.js";
import * as clock from "../host/clock.js";
import * as connections from "../host/connections/connections.js";
import * as connectionLimit from "../host/reading/connection-limit.js";
import * as pacedReader from "../host/reading/paced-reader.js";

/** Bytes of headers that the server parses at most; the configuration's limit is lower. */
const MAX_HEADER_BYTES = 65_536;
/** Milliseconds for receiving a request's headers, until a configuration sets another limit. */
const HEADERS_TIMEOUT_MS = 5000;
/** Milliseconds that a connection may stay idle between requests, until a configuration sets another limit. */
const KEEP_ALIVE_MS = 15_000;
/** Listen backlog, in connections: as many as all callers of a site open in one second. */
const BACKLOG = 1024;
/** Connections that may be open, until the settings are read. */
const MAX_CONNECTIONS = 1024;
/** Requests that wait at most for the daemon to start; further ones get a 503 with a retry time. */
const MAX_WAITING = 512;
/** Tells callers whose request had arrived in part that another host serves it. */
const STOPPING_FIELDS = "Retry-After: 0\r\n";

type Handler = (req: http.IncomingMessage, res: http.ServerResponse) => void;

/** A listening server that holds requests until it has a handler. */
export interface EarlyListener {
  readonly server: http.Server;
  /** Reads the server's connections. */
  readonly reader: pacedReader.PacedReader;
  readonly limit: connectionLimit.ConnectionLimit;
  /** State of the server's connections. */
  readonly connections: connections.Connections;
  /** Passes the waiting requests and all later ones to `handler`. */
  readonly setHandler: (handler: Handler) => void;
}

/** Listens at `ip:port`. Until a handler is set, requests wait. */
export async function open(address: string): Promise<EarlyListener> {
  let handler: Handler | undefined;
  let waiting: Parameters<Handler>[] = [];
  const callers = new connections.Connections(clock.system, {
    unreadable: unreadableRefusal,
    stopping: wholeRefusal(503, STOPPING_FIELDS),
  });
  const server = http.createServer(
    {
      maxHeaderSize: MAX_HEADER_BYTES,
      // A refusal by Node.js would close the connection without regard to its other requests.
      requireHostHeader: false,
      keepAliveTimeout: KEEP_ALIVE_MS,
      headersTimeout: HEADERS_TIMEOUT_MS,
      requestTimeout: 0,
      noDelay: true,
    },
    callers.listener((req, res) => {
      if (handler) handler(req, res);
      else if (waiting.length < MAX_WAITING) waiting.push([req, res]);
      else {
        callers.close(req.socket, "overload");
        res.writeHead(503, { "retry-after": "0.5" }).end();
      }
    }),
  );
  // Heads are limited by their bytes. Node.js drops fields beyond a number of its own without an error.
  server.maxHeadersCount = 0;
  callers.install(server);
  const reader = new pacedReader.PacedReader(clock.system, callers);
  reader.install(server);
  const limit = new connectionLimit.ConnectionLimit(MAX_CONNECTIONS, callers);
  limit.install(server);
  await addresses.listen(server, address, BACKLOG);
  return {
    server,
    reader,
    limit,
    connections: callers,
    setHandler: (h) => {
      handler = h;
      // A request whose caller has disconnected must not be served: its work would never be cancelled.
      for (const [req, res] of waiting) if (!req.socket.destroyed) h(req, res);
      waiting = [];
    },
  };
}

/** The response to bytes that are not a valid HTTP request. */
function unreadableRefusal(err: Error): string {
  const code = "code" in err ? String(err.code) : "";
  return wholeRefusal(code === "HPE_HEADER_OVERFLOW" ? 431 : 400);
}

/** A response without a body that announces the close; `fields` are lines of its head. */
function wholeRefusal(status: number, fields = ""): string {
  const reason = http.STATUS_CODES[status] ?? "";
  return `HTTP/1.1 ${status} ${reason}\r\n${fields}Connection: close\r\nContent-Length: 0\r\n\r\n`;
}
