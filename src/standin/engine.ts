/**
 * A stand-in for an engine behind vLLM's OpenAI-compatible server with run-time LoRA: slots for
 * adapters, continuous batching by steps, loads through the weight store, and a journal of what it
 * did, so that a wrong or evicted adapter shows.
 * @module
 */
import type * as http from "node:http";
import * as undici from "undici";
import * as server from "./server.js";

export interface Options {
  readonly slots: number;
  readonly seats: number;
  readonly stepMs: number;
  readonly baseModel: string;
  /** Whether orders with an old fencing number are refused. */
  readonly fencing: boolean;
}

/** How the engine misbehaves. */
export interface Faults {
  /** So many of the next orders take effect, and their replies are lost. */
  loseReplies: number;
  /** Milliseconds that the next order waits before it takes effect, its caller gone or not. */
  delayOrderMs: number;
  /** Loads are refused. */
  refuseLoads: boolean;
  /** So many of the next answers name another model. */
  wrongModels: number;
  /** So many of the next answers carry another request's id. */
  wrongIds: number;
  /** So many of the next answers break off half-way. */
  breakAnswers: number;
  /** Milliseconds by which counts lag. */
  lagMs: number;
  /** Milliseconds that a cancelled request still runs. */
  slowCancelMs: number;
  /** Milliseconds that a request is on its way before the engine has it. */
  slowArrivalMs: number;
  /** Steps stand still. */
  frozen: boolean;
  /** The start of the process is left out of the metrics, as engines of several processes do. */
  noStartTime: boolean;
}

/** One thing the engine did or suffered. */
export type Event =
  | { readonly kind: "load" | "unload"; readonly name: string }
  | { readonly kind: "run"; readonly id: string; readonly name: string; readonly prompt: string }
  | { readonly kind: "finish"; readonly id: string }
  /** An adapter was unloaded under a request: what must never happen. */
  | { readonly kind: "evicted-in-use"; readonly name: string; readonly id: string };

interface Sequence {
  readonly id: string;
  readonly name: string;
  readonly priority: number;
  readonly tokens: number;
  done: number;
  readonly emit: (token: number) => void;
  readonly end: () => void;
}

interface Asked {
  readonly model: string;
  readonly prompt?: string;
  readonly messages?: readonly { readonly content: string }[];
  readonly max_tokens?: number;
  readonly stream?: boolean;
  readonly priority?: number;
}

interface Order {
  readonly lora_name: string;
  readonly lora_path?: string;
}

const DEFAULT_TOKENS = 8;

export class Engine {
  readonly faults: Faults = {
    loseReplies: 0,
    delayOrderMs: 0,
    refuseLoads: false,
    wrongModels: 0,
    wrongIds: 0,
    breakAnswers: 0,
    lagMs: 0,
    slowCancelMs: 0,
    slowArrivalMs: 0,
    frozen: false,
    noStartTime: false,
  };
  readonly journal: Event[] = [];
  /** Seats used in each step that ran. */
  readonly fill: number[] = [];
  private startedAt = Date.now() / 1000;
  private loaded = new Map<string, string>();
  private running: Sequence[] = [];
  private waiting: Sequence[] = [];
  private readonly responses = new Set<http.ServerResponse>();
  private counts = { running: 0, waiting: 0 };
  private fence = 0;
  private stepping = false;
  down = false;

  constructor(private readonly opts: Options) {}

  /** Comes back cold: nothing loaded, every answer cut. */
  restart(): void {
    this.startedAt += 1;
    this.loaded = new Map();
    this.running = [];
    this.waiting = [];
    for (const res of this.responses) res.destroy();
    this.responses.clear();
    this.fence = 0;
    this.count();
  }

  /** Loads an adapter as a hand at the engine would. */
  preload(name: string): void {
    this.loaded.set(name, "");
  }

  /** Drops every adapter, as a hand at the engine would. */
  forgetAll(): void {
    this.loaded.clear();
  }

  names(): readonly string[] {
    return [...this.loaded.keys()];
  }

  readonly handle: server.Handle = async (req, res, body) => {
    if (this.down) {
      res.destroy();
      return;
    }
    const path = req.url ?? "";
    switch (path) {
      case "/health":
        res.writeHead(200).end();
        return;
      case "/metrics":
        res.writeHead(200, { "content-type": "text/plain" }).end(this.metrics());
        return;
      case "/journal":
        server.json(res, 200, this.journal);
        return;
      case "/v1/models":
        server.json(res, 200, { object: "list", data: this.models() });
        return;
      case "/v1/load_lora_adapter":
      case "/v1/unload_lora_adapter":
        await this.order(path, JSON.parse(body) as Order, req, res);
        return;
      case "/v1/completions":
      case "/v1/chat/completions":
        if (this.faults.slowArrivalMs > 0) {
          await new Promise((r) => setTimeout(r, this.faults.slowArrivalMs));
        }
        this.generate(JSON.parse(body) as Asked, req, res);
        return;
      default:
        server.json(res, 404, { error: { message: "no such path" } });
    }
  };

  private models(): object[] {
    const base = { id: this.opts.baseModel, object: "model", parent: null };
    const adapters = this.names().map((id) => ({
      id,
      object: "model",
      parent: this.opts.baseModel,
    }));
    return [base, ...adapters];
  }

  private metrics(): string {
    return [
      ...(this.faults.noStartTime ? [] : [`process_start_time_seconds ${this.startedAt}`]),
      `vllm:num_requests_running{model_name="${this.opts.baseModel}"} ${this.counts.running}`,
      `vllm:num_requests_waiting{model_name="${this.opts.baseModel}"} ${this.counts.waiting}`,
      "",
    ].join("\n");
  }

  private count(): void {
    const counts = { running: this.running.length, waiting: this.waiting.length };
    if (this.faults.lagMs === 0) this.counts = counts;
    else setTimeout(() => (this.counts = counts), this.faults.lagMs);
  }

  private async order(
    path: string,
    order: Order,
    req: http.IncomingMessage,
    res: http.ServerResponse,
  ): Promise<void> {
    const fence = Number(req.headers["x-fencing-token"] ?? 0);
    const life = this.startedAt;
    const delay = this.faults.delayOrderMs;
    this.faults.delayOrderMs = 0;
    if (delay > 0) await new Promise((r) => setTimeout(r, delay));
    if (this.opts.fencing && fence < this.fence) {
      server.json(res, 409, { error: "old fencing number" });
      return;
    }
    this.fence = Math.max(this.fence, fence);
    const status = path.includes("unload")
      ? this.unload(order.lora_name)
      : await this.load(order.lora_name, order.lora_path ?? "", life);
    if (this.faults.loseReplies > 0) {
      this.faults.loseReplies--;
      res.destroy();
      return;
    }
    server.json(res, status, {});
  }

  private async load(name: string, path: string, life: number): Promise<number> {
    if (this.faults.refuseLoads) return 500;
    if (this.loaded.has(name) || this.loaded.size >= this.opts.slots) return 400;
    if (path.startsWith("http:")) {
      const { statusCode, body } = await undici.request(path);
      await body.dump();
      if (statusCode !== 200) return 500;
    }
    if (life !== this.startedAt || this.loaded.size >= this.opts.slots) return 500;
    this.loaded.set(name, path);
    this.journal.push({ kind: "load", name });
    return 200;
  }

  private unload(name: string): number {
    if (!this.loaded.delete(name)) return 404;
    this.journal.push({ kind: "unload", name });
    for (const s of [...this.running, ...this.waiting]) {
      if (s.name === name) this.journal.push({ kind: "evicted-in-use", name, id: s.id });
    }
    return 200;
  }

  private generate(asked: Asked, req: http.IncomingMessage, res: http.ServerResponse): void {
    const name = asked.model;
    if (!this.loaded.has(name)) {
      server.json(res, 404, { error: { message: `model ${name} does not exist` } });
      return;
    }
    const id = String(req.headers["x-request-id"]);
    const wrongModel = this.faults.wrongModels > 0 && this.faults.wrongModels-- > 0;
    const wrongId = this.faults.wrongIds > 0 && this.faults.wrongIds-- > 0;
    const breaks = this.faults.breakAnswers > 0 && this.faults.breakAnswers-- > 0;
    const shown = { id: `cmpl-${wrongId ? "another" : id}`, model: wrongModel ? "another" : name };
    const prompt = asked.prompt ?? asked.messages?.at(-1)?.content ?? "";
    const tokens = asked.max_tokens ?? DEFAULT_TOKENS;
    // What was generated by, for whom: an answer that goes astray shows by its text.
    const word = (i: number): string => `${name.replace(/~.*/, "")}:${prompt}:${i} `;
    const object = "text_completion";
    this.responses.add(res);
    const sequence: Sequence = {
      id,
      name,
      priority: asked.priority ?? 0,
      tokens,
      done: 0,
      emit: (i) => {
        if (breaks && i >= tokens / 2) {
          res.destroy();
          return;
        }
        if (!asked.stream) return;
        if (i === 0) res.writeHead(200, { "content-type": "text/event-stream" });
        const chunk = { ...shown, object, choices: [{ index: 0, text: word(i) }] };
        res.write(`data: ${JSON.stringify(chunk)}\n\n`);
      },
      end: () => {
        this.journal.push({ kind: "finish", id });
        this.responses.delete(res);
        if (asked.stream) {
          res.end("data: [DONE]\n\n");
          return;
        }
        const text = Array.from({ length: tokens }, (_, i) => word(i)).join("");
        const choices = [{ index: 0, text, finish_reason: "stop" }];
        server.json(res, 200, { ...shown, object, choices });
      },
    };
    this.journal.push({ kind: "run", id, name, prompt });
    res.on("close", () => {
      this.responses.delete(res);
      const stop = (): void => {
        this.running = this.running.filter((s) => s !== sequence);
        this.waiting = this.waiting.filter((s) => s !== sequence);
        this.count();
      };
      if (this.faults.slowCancelMs === 0 || res.writableFinished) stop();
      else setTimeout(stop, this.faults.slowCancelMs);
    });
    this.waiting.push(sequence);
    this.waiting.sort((a, b) => a.priority - b.priority);
    this.count();
    if (!this.stepping) this.step();
  }

  private step(): void {
    this.stepping = true;
    setTimeout(() => {
      if (!this.faults.frozen) this.advance();
      if (this.running.length + this.waiting.length > 0) this.step();
      else this.stepping = false;
    }, this.opts.stepMs);
  }

  private advance(): void {
    const free = this.opts.seats - this.running.length;
    this.running.push(...this.waiting.splice(0, free));
    this.fill.push(this.running.length);
    for (const s of [...this.running]) {
      s.emit(s.done);
      s.done++;
      if (s.done < s.tokens) continue;
      this.running = this.running.filter((o) => o !== s);
      s.end();
    }
    this.count();
  }
}

/** Starts an engine on `port`, or on a free one. */
export async function start(
  opts: Options,
  port = 0,
): Promise<server.Running & { readonly engine: Engine }> {
  const engine = new Engine(opts);
  const running = await server.serve(engine.handle, port);
  return {
    ...running,
    engine,
    close: async () => {
      engine.restart();
      await running.close();
    },
  };
}
