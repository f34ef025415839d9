/**
 * Small stand-ins for the platform's store and one model worker, by their published protocol.
 * @module
 */
import * as http from "node:http";
import type * as net from "node:net";

type Body = Readonly<Record<string, unknown>>;

async function bodyOf(req: http.IncomingMessage): Promise<Body> {
  const parts: Buffer[] = [];
  for await (const part of req as AsyncIterable<Buffer>) parts.push(part);
  const text = Buffer.concat(parts).toString();
  return text === "" ? {} : (JSON.parse(text) as Body);
}

function say(res: http.ServerResponse, status: number, body: object): void {
  res.writeHead(status, { "content-type": "application/json" });
  res.end(JSON.stringify(body));
}

async function listen(server: http.Server): Promise<string> {
  await new Promise<void>((resolve) => {
    server.listen(0, "127.0.0.1", resolve);
  });
  return `127.0.0.1:${(server.address() as net.AddressInfo).port}`;
}

interface Item {
  readonly key: string;
  readonly value: string;
  readonly revision: number;
  readonly created: number;
  readonly lease: number;
}

/** The key-value store: reads, ranges, watches, conditional writes, leases that never end. */
export class Store {
  readonly items = new Map<string, Item>();
  private readonly log: object[] = [];
  private readonly revisions: number[] = [];
  private revision = 0;
  private waiting: (() => void)[] = [];
  private readonly server = http.createServer((req, res) => {
    void this.answer(req, res);
  });
  address = "";

  async start(): Promise<void> {
    this.address = await listen(this.server);
  }

  stop(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  put(key: string, value: object): void {
    const revision = ++this.revision;
    const text = Buffer.from(JSON.stringify(value)).toString("base64");
    const item = { key, value: text, revision, created: revision, lease: 0 };
    this.items.set(key, item);
    this.note(item, revision);
  }

  private note(event: object, revision: number): void {
    this.log.push(event);
    this.revisions.push(revision);
    for (const wake of this.waiting.splice(0)) wake();
  }

  private async answer(req: http.IncomingMessage, res: http.ServerResponse): Promise<void> {
    const url = new URL(req.url ?? "/", "http://store");
    switch (url.pathname) {
      case "/-/kv-range": {
        const prefix = url.searchParams.get("prefix") ?? "";
        const items = [...this.items.values()].filter((i) => i.key.startsWith(prefix));
        say(res, 200, { items, truncated: false, currentRev: this.revision });
        return;
      }
      case "/-/kv-watch":
        await this.watch(url.searchParams, res);
        return;
      case "/-/kv-lease":
        say(res, 200, { lease: 1, ttlMs: 1000 });
        return;
      case "/-/kv-txn": {
        const body = await bodyOf(req);
        for (const w of body.writes as readonly { key: string }[]) this.put(w.key, {});
        say(res, 200, { revision: this.revision });
        return;
      }
      default:
        say(res, 404, {});
    }
  }

  private async watch(query: URLSearchParams, res: http.ServerResponse): Promise<void> {
    const after = Number(query.get("after"));
    if (this.revision <= after) {
      await new Promise<void>((resolve) => {
        this.waiting.push(resolve);
        setTimeout(resolve, Number(query.get("waitMs")));
      });
    }
    const events = this.log.filter((_, i) => (this.revisions[i] ?? 0) > after);
    say(res, 200, { events, currentRev: this.revision });
  }
}

const MODEL = "m";

/** A model worker with two slots whose streams have five events. */
export class Worker {
  readonly instance = "i-1";
  readonly held = new Set<string>();
  readonly ran: string[] = [];
  /** Milliseconds between two events. */
  eventMs = 5;
  private sequence = 0;
  private readonly server = http.createServer((req, res) => {
    void this.answer(req, res);
  });
  address = "";

  async start(): Promise<void> {
    this.address = await listen(this.server);
  }

  stop(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private async answer(req: http.IncomingMessage, res: http.ServerResponse): Promise<void> {
    switch (req.url ?? "") {
      case "/healthz":
        res.writeHead(200, { "x-sumacfield-instance-id": this.instance });
        res.end();
        return;
      case "/-/report":
        say(res, 200, this.report());
        return;
      case "/-/order":
        this.order(await bodyOf(req), res);
        return;
      default:
        req.resume();
        this.run(req, res);
    }
  }

  private report(): object {
    const adapters = [...this.held].map((name) => `${name}@1`);
    return {
      stage: "colocated",
      models: [{ name: MODEL, version: 1, adapters }],
      pending: [],
      busy: false,
      sequence: this.sequence,
      queued: 0,
      active: 0,
    };
  }

  private order(body: Body, res: http.ServerResponse): void {
    if (body.expected !== this.sequence || body.fencingToken === undefined) {
      say(res, 409, {});
      return;
    }
    this.sequence++;
    const adapter = String(body.adapter);
    if (body.operation === "model_load") this.held.add(adapter);
    else this.held.delete(adapter);
    say(res, body.operation === "model_load" ? 202 : 200, {});
  }

  private run(req: http.IncomingMessage, res: http.ServerResponse): void {
    const id = String(req.headers["x-sumacfield-attempt-id"]);
    const [, adapter = ""] = String(req.headers["x-sumacfield-model"]).split("/");
    const meant = req.headers["x-sumacfield-expect-instance"];
    if (meant !== this.instance || !this.held.has(adapter)) {
      res.writeHead(421, { "x-sumacfield-attempt-id": id });
      res.end();
      return;
    }
    this.ran.push(id);
    res.writeHead(200, {
      "content-type": "text/event-stream",
      "x-sumacfield-attempt-id": id,
      "x-sumacfield-server-signature": "signed",
    });
    let next = 1;
    const tick = setInterval(() => {
      res.write(`id: ${next}\ndata: ${adapter}-${next}\n\n`);
      if (next++ < 5) return;
      clearInterval(tick);
      res.end();
    }, this.eventMs);
  }
}

/** A configuration with one route to the worker's service. */
export function configOf(version: number, prefix: string): object {
  return {
    version,
    routes: [
      {
        name: "captions",
        host: "a.example",
        prefix,
        kind: "streaming",
        timeoutMs: 4000,
        targetLatencyMs: 1000,
        priority: 1,
        service: "llm",
        attempts: 1,
        resumable: false,
        targetGapMs: 400,
      },
    ],
    services: [
      {
        name: "llm",
        healthPath: "/healthz",
        maxConnections: 100,
        engine: {
          slots: 8,
          kvCapacity: 10_000,
          models: [{ name: MODEL, weightsMb: 100, loadTimeS: 0.1 }],
          weightsMb: 200,
          maxAdapters: 2,
          loadsPerS: 2,
        },
      },
    ],
    limits: {
      maxHeaderBytes: 8192,
      maxBodyBytes: 100_000,
      headerTimeoutMs: 3000,
      idleTimeoutMs: 5000,
    },
  };
}
