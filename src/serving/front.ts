/**
 * The callers' side of routed requests: reads each request whole, finds its route, and carries the
 * dispatcher's answer to the caller's connection.
 * @module
 */
import type * as http from "node:http";
import * as clock from "../host/clock.js";
import type * as record from "../host/record.js";
import type * as ask from "./ask.js";
import * as catalog from "./catalog.js";
import type * as dispatch from "./dispatch.js";
import type * as door from "./door.js";
import * as headers from "./headers.js";
import type * as progress from "./progress.js";
import type * as protocol from "./protocol.js";

export interface Deps {
  readonly clock: clock.Clock;
  readonly log: record.Log;
  readonly protocol: protocol.Protocol;
  readonly catalog: () => catalog.Catalog;
  readonly dispatch: dispatch.Dispatch;
  readonly random: () => number;
}

/** Bounds until a configuration is known. */
const UNCONFIGURED: catalog.Limits = {
  headerBytes: Infinity,
  bodyBytes: 1_048_576,
  headersMs: 5000,
  idleMs: 15_000,
};
/** Milliseconds after which a caller is told to come back while no configuration is known. */
const UNREADY_MS = 300;
/** Milliseconds that a request waits for the first configuration: within an early refusal's bound. */
const FIRST_CONFIG_MS = 200;
const LOOK_MS = 10;

export class Front {
  private readonly server: http.Server;
  private leaving = false;
  private underWay = 0;
  private idle: (() => void) | undefined;

  constructor(
    at: door.Door,
    private readonly deps: Deps,
  ) {
    this.server = at.server;
    at.attach((req, res) => {
      this.take(req, res);
    });
  }

  /** Requests under way. */
  count(): number {
    return this.underWay;
  }

  /** Takes over the bounds of a new configuration. */
  configure(limits: catalog.Limits): void {
    this.server.keepAliveTimeout = limits.idleMs;
    this.server.headersTimeout = limits.headersMs;
  }

  /** Tells callers on kept connections to go elsewhere after their next answer. */
  leave(): void {
    this.leaving = true;
  }

  /** Takes no new connections, and resolves once the last request is over. */
  async close(): Promise<void> {
    this.leaving = true;
    this.server.close();
    this.server.closeIdleConnections();
    if (this.underWay === 0) return;
    await new Promise<void>((resolve) => {
      this.idle = resolve;
    });
  }

  private take(req: http.IncomingMessage, res: http.ServerResponse): void {
    this.underWay++;
    res.once("close", () => {
      this.underWay--;
      if (this.underWay > 0) return;
      this.idle?.();
    });
    if (this.leaving) res.setHeader("connection", "close");
    res.once("finish", () => {
      // The headers of an answer that began before were sent without word of the end.
      if (this.leaving) req.socket.end();
    });
    this.handle(req, res).catch((err: unknown) => {
      this.deps.log.error("A request broke off.", {
        why: err instanceof Error ? (err.stack ?? err.message) : String(err),
      });
      res.destroy();
    });
  }

  /** The configuration; a daemon that has just started waits a little for its first one. */
  private async configured(): Promise<catalog.Config | undefined> {
    for (let waitedMs = 0; waitedMs < FIRST_CONFIG_MS; waitedMs += LOOK_MS) {
      const { config } = this.deps.catalog();
      if (config) return config;
      await clock.sleep(this.deps.clock, LOOK_MS);
    }
    return this.deps.catalog().config;
  }

  private async handle(req: http.IncomingMessage, res: http.ServerResponse): Promise<void> {
    const arrivedAt = this.deps.clock.mono();
    const out = outlet(req, res, this.deps.protocol);
    const config = await this.configured();
    const limits = config?.limits ?? UNCONFIGURED;
    let body: Buffer | undefined;
    try {
      body = await read(req, limits.bodyBytes);
    } catch (err) {
      // The caller broke off; there is nobody to answer.
      this.deps.log.info("A request was not read whole.", { why: String(err) });
      res.destroy();
      return;
    }
    const refuse = (status: number, message: string, comeBackMs?: number): void => {
      this.deps.log.info("A request was refused.", { path: req.url, status, why: message });
      out.refuse(status, message, comeBackMs);
    };
    if (!body) {
      refuse(413, "the body is too large");
      return;
    }
    if (headerBytes(req) > limits.headerBytes) {
      refuse(431, "the headers are too large");
      return;
    }
    if (!config) {
      refuse(503, "no configuration is known yet", UNREADY_MS);
      return;
    }
    const path = req.url ?? "";
    if (!path.startsWith("/")) {
      refuse(400, "the path is not absolute");
      return;
    }
    const route = catalog.routeOf(config, hostOf(req), pathOnly(path));
    const service = route && catalog.serviceOf(config, route, this.deps.random);
    if (!route || !service) {
      refuse(404, "no route matches");
      return;
    }
    let meta: ask.Meta;
    try {
      meta = this.deps.protocol.read(req.headers);
    } catch (err) {
      refuse(400, err instanceof Error ? err.message : String(err));
      return;
    }
    const a: ask.Ask = {
      meta,
      route,
      service,
      method: req.method ?? "GET",
      path,
      headers: headers.forRequest(req.headersDistinct, this.deps.protocol.reserved),
      body,
      arrivedAt,
      dueAt: arrivedAt + Math.min(meta.waitMs, route.timeoutMs),
    };
    await this.deps.dispatch.serve(a, out);
  }
}

/** Reads a body whole; undefined when it is over `limit` bytes. Throws when it breaks off. */
async function read(req: http.IncomingMessage, limit: number): Promise<Buffer | undefined> {
  if (Number(req.headers["content-length"] ?? 0) > limit) return undefined;
  const parts: Buffer[] = [];
  let size = 0;
  for await (const part of req as AsyncIterable<Buffer>) {
    size += part.length;
    if (size > limit) return undefined;
    parts.push(part);
  }
  return Buffer.concat(parts);
}

function headerBytes(req: http.IncomingMessage): number {
  return req.rawHeaders.reduce((sum, text) => sum + text.length + 2, 0);
}

function hostOf(req: http.IncomingMessage): string {
  return (req.headers.host ?? "").replace(/:\d+$/, "").toLowerCase();
}

function pathOnly(path: string): string {
  const at = path.indexOf("?");
  return at < 0 ? path : path.slice(0, at);
}

/** The caller's connection as the dispatcher sees it. */
function outlet(
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
      // What was not read of the request must not be taken for the next one.
      const close = req.complete ? {} : { connection: "close" };
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
