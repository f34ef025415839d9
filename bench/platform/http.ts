/**
 * HTTP helpers that the stand-ins share: reading and sending small JSON messages, and a server.
 * @module
 */
import * as http from "node:http";
import type * as net from "node:net";

/** A parsed JSON object. */
export type JsonObject = Readonly<Record<string, unknown>>;

/** Reads the whole body of a request. */
export async function readText(req: http.IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const part of req as AsyncIterable<Buffer>) chunks.push(part);
  return Buffer.concat(chunks).toString();
}

/** Reads a JSON body; an empty body yields an empty object. */
export async function readJson(req: http.IncomingMessage): Promise<JsonObject> {
  const body = await readText(req);
  return body === "" ? {} : (JSON.parse(body) as JsonObject);
}

/** Sends a JSON response. */
export function sendJson(res: http.ServerResponse, status: number, body: object): void {
  res.writeHead(status, { "content-type": "application/json" });
  res.end(JSON.stringify(body));
}

/** An HTTP server on a loopback address. When its handler throws, the response's connection is destroyed. */
export class Listener {
  private readonly server: http.Server;
  address = "";

  constructor(handle: (req: http.IncomingMessage, res: http.ServerResponse) => Promise<void>) {
    this.server = http.createServer({ keepAliveTimeout: 20_000 }, (req, res) => {
      // A caller that disconnects during its request is not a failure of the stand-in.
      handle(req, res).catch(() => res.destroy());
    });
  }

  /** Listens on `host` at `port`; port 0 picks a free one. */
  async start(host = "127.0.0.1", port = 0): Promise<void> {
    await new Promise<void>((resolve) => {
      this.server.listen(port, host, resolve);
    });
    const at = this.server.address() as net.AddressInfo;
    this.address = `${at.address}:${at.port}`;
  }

  /** Stops listening and closes every connection at once. */
  stop(): void {
    this.server.close();
    this.server.closeAllConnections();
  }
}
