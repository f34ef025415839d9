/**
 * Stand-ins for the platform's workers, by their published protocol: a model worker whose streams
 * tell which request, adapter and version they belong to, and a plain one. Each writes down what it
 * ran, and can fail as the platform's workers do.
 * @module
 */
import * as timers from "node:timers/promises";
import type * as http from "node:http";
import * as documents from "./documents.js";
import type * as journals from "./journal.js";
import * as servers from "./http.js";

/** How a worker behaves. */
export type Mood =
  | "well"
  /** Turns most of its requests away before it runs them. */
  | "shedding"
  /** Answers a part of its requests with its own failure. */
  | "failing"
  /** Takes requests and answers nothing. */
  | "hanging"
  /** Ten times as slow. */
  | "slow"
  /** Breaks a part of its answers off in the middle. */
  | "breaking"
  /** Sends a second answer after a part of its answers. */
  | "doubling"
  /** Runs a part of its requests, and their answers are lost. */
  | "losing"
  /** Leaves orders unanswered and carries them out later. */
  | "late";

/** Part of its requests or orders that a worker in a bad mood treats badly. */
const BAD_PART = 0.4;
/** Part of its requests that a worker turns away that sheds load. */
const SHED_PART = 0.9;
const SLOW_FACTOR = 10;
/** Milliseconds after which an order that was not answered is carried out. */
const LATE_MS = 2000;
/** Milliseconds that a load takes. */
const LOAD_MS = 30;
/** Events of a stream. */
export const EVENTS = 5;

/** A body that holds this text ends its worker some ms after it is begun. */
export const FATAL = "ends its worker";
/** Milliseconds from the begin of such a request to the worker's end. */
const FATAL_MS = 10;

/** The `n`th event of a stream. */
export function event(id: string, adapter: string, version: number, n: number): string {
  return `id: ${n}\ndata: ${id} ${adapter}@${version} ${n} of ${EVENTS}\n\n`;
}

const one = (v: string | readonly string[] | undefined): string => String(v ?? "");

function teamOf(req: http.IncomingMessage): string | undefined {
  const team = req.headers["x-sumacfield-tenant"];
  return team === undefined ? undefined : one(team);
}

abstract class Base {
  mood: Mood = "well";
  /** Requests a second that it names as its limit. */
  limitPerS: number | undefined;
  /** What it calls itself; a new start may have the name of the one before. */
  name: string;
  /** Unix ms of its start, where it tells it. */
  born: number | undefined;
  /** Called once a request has ended it. */
  ended: () => void = () => undefined;
  private isOver = false;
  protected readonly listener = new servers.Listener((req, res) => this.answer(req, res));

  constructor(
    readonly service: string,
    public instance: string,
    protected readonly kept: journals.Journal,
  ) {
    this.name = instance;
  }

  get address(): string {
    return this.listener.address;
  }

  async start(host?: string, port?: number): Promise<void> {
    await this.listener.start(host, port);
  }

  /** Ends at once, as in a crash. */
  stop(): void {
    this.listener.stop();
  }

  protected abstract answer(req: http.IncomingMessage, res: http.ServerResponse): Promise<void>;

  protected bad(): boolean {
    return Math.random() < BAD_PART;
  }

  protected reject(res: http.ServerResponse, status: number, id: string): void {
    const vouch = status === 421 ? {} : { "x-sumacfield-not-executed": "1" };
    const said = { "x-sumacfield-attempt-id": id, ...this.limit() };
    res.writeHead(status, { ...said, "content-length": 0, ...vouch });
    res.end();
  }

  /** Writes down that a request arrived; whether it was turned away at once. */
  protected turnsAway(res: http.ServerResponse, id: string): boolean {
    const { service, instance, limitPerS } = this;
    this.kept.arrivals.push({ id, service, instance, limitPerS, at: performance.now() });
    if (this.mood !== "shedding" || Math.random() >= SHED_PART) return false;
    this.reject(res, 503, id);
    return true;
  }

  /** Writes a run down; it ends with its connection. */
  protected begin(
    req: http.IncomingMessage,
    res: http.ServerResponse,
    adapter: string,
    version: number,
  ): journals.Run {
    const run: journals.Run = {
      id: one(req.headers["x-sumacfield-attempt-id"]),
      service: this.service,
      instance: this.instance,
      adapter,
      version,
      leftMs: Number(one(req.headers["x-sumacfield-deadline-ms"])),
      team: teamOf(req),
      sawKey: req.headers.authorization !== undefined,
      at: performance.now(),
      endedAt: undefined,
    };
    this.kept.runs.push(run);
    res.once("close", () => {
      run.endedAt = performance.now();
    });
    return run;
  }

  protected signed(id: string): Record<string, string> {
    const signature = { "x-sumacfield-server-signature": this.instance };
    return { "x-sumacfield-attempt-id": id, ...signature, ...this.limit() };
  }

  private limit(): Record<string, string> {
    return this.limitPerS === undefined ? {} : { "server-limit": String(this.limitPerS) };
  }

  /** Ends the worker where the request that it begins to run is such a one; whether it did. */
  protected async endsUnder(run: journals.Run, body: string): Promise<boolean> {
    if (!body.includes(FATAL)) return false;
    await timers.setTimeout(FATAL_MS);
    if (this.isOver) return true;
    this.isOver = true;
    this.kept.crashes.push({ id: run.id, body, instance: this.instance, at: performance.now() });
    this.stop();
    this.ended();
    return true;
  }

  /** Sends a second answer that belongs to no request. */
  protected double(res: http.ServerResponse): void {
    const { socket } = res;
    res.once("finish", () => {
      const extra = "HTTP/1.1 200 OK\r\nx-sumacfield-attempt-id: other\r\n";
      socket?.write(`${extra}x-sumacfield-server-signature: x\r\ncontent-length: 1\r\n\r\nx`);
    });
  }
}

interface Held {
  version: number;
  ready: boolean;
  runs: number;
  closing: boolean;
}

/** A model worker with some slots for adapters, of which it holds none at its start. */
export class Engine extends Base {
  readonly held = new Map<string, Held>();
  /** Milliseconds between two events. */
  eventMs = 5;
  /** The same for one adapter. */
  slow: { readonly adapter: string; readonly eventMs: number } | undefined;
  private sequence = 0;

  constructor(
    service: string,
    instance: string,
    kept: journals.Journal,
    private readonly slots: number,
    /** Newest version of each adapter in the weight store. */
    private readonly newest: ReadonlyMap<string, number> = new Map(),
  ) {
    super(service, instance, kept);
  }

  protected async answer(req: http.IncomingMessage, res: http.ServerResponse): Promise<void> {
    switch (req.url ?? "") {
      case "/healthz":
        res.writeHead(200, { "x-sumacfield-instance-id": this.name });
        res.end();
        return;
      case "/-/report":
        servers.say(res, 200, this.report());
        return;
      case "/-/order":
        await this.take(req, res);
        return;
      default:
        await this.run(await servers.text(req), req, res);
    }
  }

  private report(): object {
    const all = [...this.held].map(([name, h]) => ({ text: `${name}@${h.version}`, ...h }));
    const adapters = all.filter((h) => h.ready).map((h) => h.text);
    const coming = all.filter((h) => !h.ready).map((h) => `${documents.MODEL}/${h.text}`);
    return {
      stage: "colocated",
      models: [{ name: documents.MODEL, version: 1, adapters }],
      pending: coming,
      ...(this.born !== undefined && { born: this.born }),
      busy: false,
      sequence: this.sequence,
      queued: 0,
      active: 0,
    };
  }

  private async take(req: http.IncomingMessage, res: http.ServerResponse): Promise<void> {
    const body = await servers.json(req);
    if (this.mood === "late" && this.bad()) {
      setTimeout(() => this.carryOut(body), LATE_MS);
      return;
    }
    if (req.headers["x-sumacfield-expect-instance"] !== this.name) {
      servers.say(res, 421, {});
      return;
    }
    servers.say(res, this.carryOut(body), {});
  }

  /** Carries an order out if it still holds; the status of its answer. */
  private carryOut(body: servers.Body): number {
    if (body.holder === undefined || body.fencingToken === undefined) return 400;
    if (body.expected !== undefined && body.expected !== this.sequence) return 409;
    const adapter = String(body.adapter);
    this.sequence++;
    if (body.operation === "model_load") return this.load(adapter, Number(body.version ?? 0));
    const h = this.held.get(adapter);
    if (h) h.closing = true;
    this.settle(adapter);
    return 200;
  }

  private load(adapter: string, version: number): number {
    const wanted = version > 0 ? version : (this.newest.get(adapter) ?? 1);
    const old = this.held.get(adapter);
    if (!old && this.held.size >= this.slots) {
      this.kept.faults.push(`${this.instance} was ordered to hold more than ${this.slots}`);
    }
    this.held.set(adapter, { version: wanted, ready: false, runs: old?.runs ?? 0, closing: false });
    setTimeout(() => {
      const h = this.held.get(adapter);
      if (h) h.ready = true;
    }, LOAD_MS);
    return 202;
  }

  /** Drops an adapter that is to go once nothing runs on it. */
  private settle(adapter: string): void {
    const h = this.held.get(adapter);
    if (h?.closing && h.runs === 0) this.held.delete(adapter);
  }

  private async run(
    body: string,
    req: http.IncomingMessage,
    res: http.ServerResponse,
  ): Promise<void> {
    const id = one(req.headers["x-sumacfield-attempt-id"]);
    if (this.turnsAway(res, id)) return;
    const [, adapter = ""] = one(req.headers["x-sumacfield-model"]).split("/");
    const h = this.held.get(adapter);
    const version = req.headers["x-sumacfield-expect-version"];
    const meant = req.headers["x-sumacfield-expect-instance"];
    const other = version !== undefined && Number(version) !== h?.version;
    if ((meant !== undefined && meant !== this.name) || !h?.ready || other) {
      this.reject(res, 421, id);
      return;
    }
    if (h.closing) {
      this.reject(res, 503, id);
      return;
    }
    const run = this.begin(req, res, adapter, h.version);
    h.runs++;
    res.once("close", () => {
      h.runs--;
      this.settle(adapter);
    });
    if (await this.endsUnder(run, body)) return;
    await this.stream(run, req, res);
  }

  private async stream(
    run: journals.Run,
    req: http.IncomingMessage,
    res: http.ServerResponse,
  ): Promise<void> {
    const { mood } = this;
    const bad = mood !== "well" && this.bad();
    if (mood === "hanging" && bad) return;
    if (mood === "losing" && bad) {
      await timers.setTimeout(this.eventMs * EVENTS);
      res.destroy();
      return;
    }
    if (mood === "failing" && bad) {
      res.writeHead(500, { ...this.signed(run.id), "content-length": 0 });
      res.end();
      return;
    }
    if (mood === "doubling" && bad) this.double(res);
    res.writeHead(200, { ...this.signed(run.id), "content-type": "text/event-stream" });
    const usual = run.adapter === this.slow?.adapter ? this.slow.eventMs : this.eventMs;
    const ms = usual * (mood === "slow" ? SLOW_FACTOR : 1);
    const from = Number(one(req.headers["last-event-id"]) || 0) + 1;
    const due = run.at + run.leftMs;
    for (let n = from; n <= EVENTS; n++) {
      await timers.setTimeout(ms);
      if (res.destroyed) return;
      const text = event(run.id, run.adapter, run.version, n);
      if (performance.now() > due || (mood === "breaking" && bad && n === 3)) {
        res.write(text.slice(0, text.length / 2));
        await timers.setTimeout(1);
        res.destroy();
        return;
      }
      res.write(text);
    }
    res.end();
  }
}

/** A plain worker, whose answer names the request and its body. */
export class Plain extends Base {
  /** Milliseconds that a call takes. */
  callMs = 15;

  protected async answer(req: http.IncomingMessage, res: http.ServerResponse): Promise<void> {
    if (req.url === "/healthz") {
      res.writeHead(200, { "x-sumacfield-instance-id": this.name });
      res.end();
      return;
    }
    const body = await servers.text(req);
    const id = one(req.headers["x-sumacfield-attempt-id"]);
    if (this.turnsAway(res, id)) return;
    const meant = req.headers["x-sumacfield-expect-instance"];
    if (meant !== undefined && meant !== this.name) {
      this.reject(res, 421, id);
      return;
    }
    const run = this.begin(req, res, "", 0);
    if (await this.endsUnder(run, body)) return;
    const { mood } = this;
    const bad = mood !== "well" && this.bad();
    if (mood === "hanging" && bad) return;
    await timers.setTimeout(this.callMs * (mood === "slow" ? SLOW_FACTOR : 1));
    if (res.destroyed) return;
    if (mood === "losing" && bad) {
      res.destroy();
      return;
    }
    const status = mood === "failing" && bad ? 500 : 200;
    const text = answerOf(run.id, body);
    if (mood === "doubling" && bad) this.double(res);
    res.writeHead(status, { ...this.signed(id), "content-length": text.length });
    if (mood === "breaking" && bad) {
      res.write(text.slice(0, 3));
      await timers.setTimeout(1);
      res.destroy();
      return;
    }
    res.end(text);
  }
}

/** The whole answer of a plain worker. */
export function answerOf(id: string, body: string): string {
  return `${id} got ${body}`;
}
