/**
 * The HTTP server that the stand-ins share.
 * @module
 */
import * as http from "node:http";
import type * as net from "node:net";
import * as outcome from "../request/outcome.js";

/** A running stand-in. */
export interface RunningServer {
  readonly url: string;
  /** `ip:port`. */
  readonly address: string;
  readonly close: () => Promise<void>;
}

/** Answers one request, whose body has been read. */
export type RequestHandler = (
  req: http.IncomingMessage,
  res: http.ServerResponse,
  body: string,
) => Promise<void> | void;

/** Sends a JSON answer. */
export function sendJson(res: http.ServerResponse, status: number, value: unknown): void {
  const text = JSON.stringify(value);
  const size = Buffer.byteLength(text);
  res.writeHead(status, { "content-type": "application/json", "content-length": size });
  res.end(text);
}

async function readAll(req: http.IncomingMessage): Promise<string> {
  const parts: Buffer[] = [];
  for await (const part of req as AsyncIterable<Buffer>) parts.push(part);
  return Buffer.concat(parts).toString();
}

/** Serves `handle` on `port` of 127.0.0.1, or on a free port if it is 0. */
export async function serve(handle: RequestHandler, port = 0): Promise<RunningServer> {
  const server = http.createServer((req, res) => {
    readAll(req)
      .then((body) => handle(req, res, body))
      .catch((err: unknown) => {
        if (res.headersSent) res.destroy();
        else
          sendJson(res, 500, { error: err instanceof Error ? err.message : "the handler failed" });
      });
  });
  await new Promise<void>((resolve) => {
    server.listen(port, "127.0.0.1", resolve);
  });
  const boundAddress = server.address() as net.AddressInfo;
  const address = `127.0.0.1:${boundAddress.port}`;
  return {
    url: `http://${address}`,
    address,
    close: () =>
      new Promise((resolve) => {
        server.close(() => {
          resolve();
        });
        server.closeAllConnections();
      }),
  };
}

/** Throws the error for a call that the stand-in does not support. */
export function rejectUnknownCall(call: string): never {
  throw outcome.notRun(
    "not_found",
    "stand-in",
    "stand-in",
    `The stand-in does not support ${call}.`,
  );
}
