/**
 * What the stand-ins share: reading and writing small JSON messages, and listening.
 * @module
 */
import * as http from "node:http";
import type * as net from "node:net";

export type Body = Readonly<Record<string, unknown>>;

/** Reads a request's body whole. */
export async function text(req: http.IncomingMessage): Promise<string> {
  const parts: Buffer[] = [];
  for await (const part of req as AsyncIterable<Buffer>) parts.push(part);
  return Buffer.concat(parts).toString();
}

/** Reads a JSON body; an empty one is an empty object. */
export async function json(req: http.IncomingMessage): Promise<Body> {
  const got = await text(req);
  return got === "" ? {} : (JSON.parse(got) as Body);
}

export function say(res: http.ServerResponse, status: number, body: object): void {
  res.writeHead(status, { "content-type": "application/json" });
  res.end(JSON.stringify(body));
}

/** A server on a free port of a loopback address, whose handler may fail with its connection. */
export class Listener {
  private readonly server: http.Server;
  address = "";

  constructor(handle: (req: http.IncomingMessage, res: http.ServerResponse) => Promise<void>) {
    this.server = http.createServer({ keepAliveTimeout: 20_000 }, (req, res) => {
      // A caller that went away in the middle is no failure of the stand-in.
      handle(req, res).catch(() => res.destroy());
    });
  }

  /** Listens at `host`; on `port`, or a free one. */
  async start(host = "127.0.0.1", port = 0): Promise<void> {
    await new Promise<void>((resolve) => {
      this.server.listen(port, host, resolve);
    });
    const at = this.server.address() as net.AddressInfo;
    this.address = `${at.address}:${at.port}`;
  }

  /** Stops at once, with every connection. */
  stop(): void {
    this.server.close();
    this.server.closeAllConnections();
  }
}
