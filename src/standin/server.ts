/**
 * A small HTTP server for the stand-ins.
 * @module
 */
import * as http from "node:http";
import type * as net from "node:net";
import * as outcome from "../request/outcome.js";

/** A stand-in that runs. */
export interface Running {
  readonly url: string;
  /** `ip:port`. */
  readonly address: string;
  readonly close: () => Promise<void>;
}

export type Handle = (
  req: http.IncomingMessage,
  res: http.ServerResponse,
  body: string,
) => Promise<void> | void;

/** Answers with JSON. */
export function json(res: http.ServerResponse, status: number, what: unknown): void {
  const text = JSON.stringify(what);
  const size = Buffer.byteLength(text);
  res.writeHead(status, { "content-type": "application/json", "content-length": size });
  res.end(text);
}

async function readAll(req: http.IncomingMessage): Promise<string> {
  const parts: Buffer[] = [];
  for await (const part of req as AsyncIterable<Buffer>) parts.push(part);
  return Buffer.concat(parts).toString();
}

/** Serves `handle` on a free port of 127.0.0.1, or on `port`. */
export async function serve(handle: Handle, port = 0): Promise<Running> {
  const server = http.createServer((req, res) => {
    readAll(req)
      .then((body) => handle(req, res, body))
      .catch((err: unknown) => {
        if (res.headersSent) res.destroy();
        else json(res, 500, { error: err instanceof Error ? err.message : "broke off" });
      });
  });
  await new Promise<void>((resolve) => {
    server.listen(port, "127.0.0.1", resolve);
  });
  const at = server.address() as net.AddressInfo;
  const address = `127.0.0.1:${at.port}`;
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

/** Throws early when a stand-in is used in a way it does not know. */
export function unknownCall(what: string): never {
  throw outcome.notRun("not_found", "stand-in", "stand-in", `The stand-in knows no ${what}.`);
}
