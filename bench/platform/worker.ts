/**
 * Stand-ins for the platform's workers, by their published protocol: a model worker, whose streams
 * name the request, adapter and version they belong to, and a plain one. Each records what it
 * ran, and can fail as the platform's workers do.
 * @module
 */
import * as timers from "node:timers/promises";
import type * as http from "node:http";
import * as documents from "./documents.js";
import type * as journals from "./journal.js";
import * as servers from "./http.js";
import * as base from "./worker-base.js";

/** Factor by which a slow worker takes longer. */
const SLOW_FACTOR = 10;
/** Milliseconds until a late worker carries out an order that it left unanswered. */
const LATE_ORDER_MS = 2000;
/** Milliseconds that loading an adapter takes. */
const LOAD_MS = 30;
/** Number of events in a stream. */
export const EVENTS_PER_STREAM = 5;

/** The text of a stream's `n`th event; `n` starts at 1. It names the worker's software version, if there is one. */
export function eventText(
  id: string,
  adapter: string,
  version: number,
  n: number,
  software?: string,
): string {
  const by = software === undefined ? "" : ` by ${software}`;
  return `id: ${n}\ndata: ${id} ${adapter}@${version} ${n} of ${EVENTS_PER_STREAM}${by}\n\n`;
}

/** The whole events of a text that may be cut inside one. */
export function wholeEvents(text: string): readonly string[] {
  return text
    .split("\n\n")
    .slice(0, -1)
    .map((e) => `${e}\n\n`);
}

/** The software versions that some events name. */
export function softwareIn(events: readonly string[]): ReadonlySet<string> {
  return new Set(events.flatMap((e) => / by (\S+)\n\n$/.exec(e)?.[1] ?? []));
}

/** An adapter that occupies a slot. */
interface LoadedAdapter {
  version: number;
  ready: boolean;
  runs: number;
  /** It was ordered to unload and goes once nothing runs on it. */
  closing: boolean;
}

/** A model worker with a number of adapter slots, all empty at its start. */
export class Engine extends base.Base {
  readonly adapters = new Map<string, LoadedAdapter>();
  /** Milliseconds between two events of a stream. */
  eventMs = 5;
  /** Milliseconds from the arrival of a request until the engine begins to run it. */
  beginMs = 0;
  /** Another interval for the streams of one adapter. */
  slowAdapter: { readonly adapter: string; readonly eventMs: number } | undefined;
  /** Number of orders carried out. */
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
        servers.sendJson(res, 200, this.report());
        return;
      case "/-/order":
        await this.receiveOrder(req, res);
        return;
      default:
        await this.run(await servers.readText(req), req, res);
    }
  }

  private report(): object {
    const all = [...this.adapters].map(([name, h]) => ({ text: `${name}@${h.version}`, ...h }));
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

  private async receiveOrder(req: http.IncomingMessage, res: http.ServerResponse): Promise<void> {
    const body = await servers.readJson(req);
    if (this.behavior === "late" && this.isFaultyTurn()) {
      setTimeout(() => this.carryOut(body), LATE_ORDER_MS);
      return;
    }
    if (req.headers["x-sumacfield-expect-instance"] !== this.name) {
      servers.sendJson(res, 421, {});
      return;
    }
    servers.sendJson(res, this.carryOut(body), {});
  }

  /** Carries out an order unless its expected sequence is outdated. Returns the HTTP status of the answer. */
  private carryOut(body: servers.JsonObject): number {
    if (body.holder === undefined || body.fencingToken === undefined) return 400;
    if (body.expected !== undefined && body.expected !== this.sequence) return 409;
    const adapter = String(body.adapter);
    this.sequence++;
    if (body.operation === "model_load") return this.load(adapter, Number(body.version ?? 0));
    const h = this.adapters.get(adapter);
    if (h) h.closing = true;
    this.unloadIfIdle(adapter);
    return 200;
  }

  private load(adapter: string, version: number): number {
    const wanted = version > 0 ? version : (this.newest.get(adapter) ?? 1);
    const old = this.adapters.get(adapter);
    if (!old && this.adapters.size >= this.slots) {
      this.journal.faults.push(`${this.instance} was ordered to hold more than ${this.slots}`);
    }
    this.adapters.set(adapter, {
      version: wanted,
      ready: false,
      runs: old?.runs ?? 0,
      closing: false,
    });
    setTimeout(() => {
      const h = this.adapters.get(adapter);
      if (h) h.ready = true;
    }, LOAD_MS);
    return 202;
  }

  /** Unloads an adapter that was ordered to unload, if nothing runs on it. */
  private unloadIfIdle(adapter: string): void {
    const h = this.adapters.get(adapter);
    if (h?.closing && h.runs === 0) this.adapters.delete(adapter);
  }

  private async run(
    body: string,
    req: http.IncomingMessage,
    res: http.ServerResponse,
  ): Promise<void> {
    const id = base.firstValue(req.headers["x-sumacfield-attempt-id"]);
    const arrival = this.recordArrival(id);
    if (arrival.sheds) {
      this.shed(res, arrival);
      return;
    }
    const [, adapter = ""] = base.firstValue(req.headers["x-sumacfield-model"]).split("/");
    const h = this.adapters.get(adapter);
    const version = req.headers["x-sumacfield-expect-version"];
    const meant = req.headers["x-sumacfield-expect-instance"];
    const other = version !== undefined && Number(version) !== h?.version;
    if ((meant !== undefined && meant !== this.name) || !h?.ready || other) {
      this.rejectMisdirected(res, arrival);
      return;
    }
    if (h.closing) {
      this.reject(res, 503, id);
      return;
    }
    const { version: held } = h;
    h.runs++;
    res.once("close", () => {
      // The adapter may have been replaced since, which took over its runs.
      const current = this.adapters.get(adapter);
      if (current) current.runs--;
      this.unloadIfIdle(adapter);
    });
    if (this.beginMs > 0) await timers.setTimeout(this.beginMs);
    if (res.destroyed) return;
    const run = this.recordRun(req, res, adapter, held);
    if (await this.crashIfFatal(run, req, body, res)) return;
    await this.stream(run, req, res);
  }

  private async stream(
    run: journals.Run,
    req: http.IncomingMessage,
    res: http.ServerResponse,
  ): Promise<void> {
    const { behavior } = this;
    const bad = behavior !== "well" && this.isFaultyTurn();
    if (behavior === "hanging" && bad) return;
    if (this.stray.isTurn("unmarked")) {
      this.answerUnmarked(res, run.id);
      return;
    }
    if (behavior === "losing" && bad) {
      await timers.setTimeout(this.eventMs * EVENTS_PER_STREAM);
      res.destroy();
      return;
    }
    if (behavior === "failing" && bad) {
      res.writeHead(500, { ...this.signatureHeaders(run.id), "content-length": 0 });
      res.end();
      return;
    }
    if (behavior === "doubling" && bad) this.sendExtraResponse(res);
    this.writeHead(res, 200, {
      ...this.signatureHeaders(run.id),
      "content-type": "text/event-stream",
    });
    const usual =
      run.adapter === this.slowAdapter?.adapter ? this.slowAdapter.eventMs : this.eventMs;
    const ms = usual * (behavior === "slow" ? SLOW_FACTOR : 1);
    const from = Number(base.firstValue(req.headers["last-event-id"]) || 0) + 1;
    const due = run.at + run.leftMs;
    for (let n = from; n <= EVENTS_PER_STREAM; n++) {
      await timers.setTimeout(ms);
      if (res.destroyed) return;
      const text = eventText(run.id, run.adapter, run.version, n, run.software);
      if (performance.now() > due || (behavior === "breaking" && bad && n === 3)) {
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

/** A plain worker, whose answers repeat the request's id and body. */
export class Plain extends base.Base {
  /** Milliseconds that a call takes. */
  callMs = 15;

  protected async answer(req: http.IncomingMessage, res: http.ServerResponse): Promise<void> {
    if (req.url === "/healthz") {
      res.writeHead(200, { "x-sumacfield-instance-id": this.name });
      res.end();
      return;
    }
    const body = await servers.readText(req);
    const id = base.firstValue(req.headers["x-sumacfield-attempt-id"]);
    const arrival = this.recordArrival(id);
    if (arrival.sheds) {
      this.shed(res, arrival);
      return;
    }
    const meant = req.headers["x-sumacfield-expect-instance"];
    if (meant !== undefined && meant !== this.name) {
      this.rejectMisdirected(res, arrival);
      return;
    }
    const run = this.recordRun(req, res, "", 0);
    if (await this.crashIfFatal(run, req, body, res)) return;
    const { behavior } = this;
    const bad = behavior !== "well" && this.isFaultyTurn();
    if (behavior === "hanging" && bad) return;
    await timers.setTimeout(this.callMs * (behavior === "slow" ? SLOW_FACTOR : 1));
    if (res.destroyed) return;
    if (behavior === "losing" && bad) {
      res.destroy();
      return;
    }
    if (this.stray.isTurn("unmarked")) {
      this.answerUnmarked(res, run.id);
      return;
    }
    const status = behavior === "failing" && bad ? 500 : 200;
    const text = answerText(run.id, body);
    if (behavior === "doubling" && bad) this.sendExtraResponse(res);
    const length = this.framing === "close" ? {} : { "content-length": text.length };
    this.writeHead(res, status, { ...this.signatureHeaders(id), ...length });
    if (behavior === "breaking" && bad) {
      res.write(text.slice(0, 3));
      await timers.setTimeout(1);
      // Without a length, only a reset tells a plain answer that is broken off from a complete one.
      if (this.framing === "close") res.socket?.resetAndDestroy();
      else res.destroy();
      return;
    }
    res.end(text);
  }
}

/** The complete answer of a plain worker to a request. */
export function answerText(id: string, body: string): string {
  return `${id} got ${body}`;
}
