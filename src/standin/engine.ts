/**
 * A stand-in for an engine: vLLM's OpenAI-compatible server with run-time LoRA. It has slots for
 * adapters, batches continuously in steps, loads adapters through the weight store, and keeps a
 * journal, in which tests see a wrong adapter or one that was evicted in use.
 * @module
 */
import type * as http from "node:http";
import * as undici from "undici";
import * as server from "./server.js";

/** Settings of an engine. */
export interface EngineOptions {
  readonly slots: number;
  readonly seats: number;
  /** Milliseconds of one step, in which each running request gets one token. */
  readonly stepMs: number;
  readonly baseModel: string;
  /** Whether orders with an outdated fencing number are refused. */
  readonly fencing: boolean;
}

/** Failures to inject into the engine. */
export interface EngineFaults {
  /** Number of coming orders that take effect but whose replies are lost. */
  loseReplies: number;
  /** Milliseconds that the next order waits before it takes effect, even if its caller disconnects. */
  orderDelayMs: number;
  /** Whether loads are refused. */
  refuseLoads: boolean;
  /** Number of coming answers that name another model. */
  wrongModels: number;
  /** Number of coming answers that carry another request's id. */
  wrongIds: number;
  /** Number of coming answers that are cut off half-way. */
  breakAnswers: number;
  /** Milliseconds by which the request counts in the metrics lag. */
  metricsLagMs: number;
  /** Milliseconds that a cancelled request keeps running. */
  cancelDelayMs: number;
  /** Milliseconds that a request takes to arrive at the engine. */
  arrivalDelayMs: number;
  /** Whether steps are suspended, so that no request makes progress. */
  frozen: boolean;
  /** Whether the metrics omit the start time of the process, as engines of several processes do. */
  omitStartTime: boolean;
}

/** An entry of the engine's journal. */
export type EngineEvent =
  | { readonly kind: "load" | "unload"; readonly name: string }
  | { readonly kind: "run"; readonly id: string; readonly name: string; readonly prompt: string }
  | { readonly kind: "finish"; readonly id: string }
  /** An adapter was unloaded while a request was using it, which must never happen. */
  | { readonly kind: "evicted-in-use"; readonly name: string; readonly id: string };

/** A request that runs or waits in the engine. */
interface Sequence {
  readonly id: string;
  readonly name: string;
  readonly priority: number;
  readonly maxTokens: number;
  generatedTokens: number;
  readonly emit: (token: number) => void;
  readonly end: () => void;
}

interface CompletionRequest {
  readonly model: string;
  readonly prompt?: string;
  readonly messages?: readonly { readonly content: string }[];
  readonly max_tokens?: number;
  readonly stream?: boolean;
  readonly priority?: number;
}

/** The body of a load or unload. */
interface LoraOrder {
  readonly lora_name: string;
  readonly lora_path?: string;
}

/** Tokens generated for a request that sets no `max_tokens`. */
const DEFAULT_MAX_TOKENS = 8;

/** An engine that serves requests in memory. */
export class Engine {
  readonly faults: EngineFaults = {
    loseReplies: 0,
    orderDelayMs: 0,
    refuseLoads: false,
    wrongModels: 0,
    wrongIds: 0,
    breakAnswers: 0,
    metricsLagMs: 0,
    cancelDelayMs: 0,
    arrivalDelayMs: 0,
    frozen: false,
    omitStartTime: false,
  };
  readonly journal: EngineEvent[] = [];
  /** The number of seats in use in each step so far. */
  readonly batchSizes: number[] = [];
  private startedAt = Date.now() / 1000;
  private loaded = new Map<string, string>();
  private running: Sequence[] = [];
  private waiting: Sequence[] = [];
  private readonly openResponses = new Set<http.ServerResponse>();
  private reportedCounts = { running: 0, waiting: 0 };
  private highestFencingNumber = 0;
  private isStepping = false;
  /** While true, every connection is closed without an answer. */
  down = false;

  constructor(private readonly opts: EngineOptions) {}

  /** Restarts the engine with nothing loaded; cuts off every answer in progress. */
  restart(): void {
    this.startedAt += 1;
    this.loaded = new Map();
    this.running = [];
    this.waiting = [];
    for (const res of this.openResponses) res.destroy();
    this.openResponses.clear();
    this.highestFencingNumber = 0;
    this.updateCounts();
  }

  /** Loads an adapter without an order, as an operator might by hand. */
  preload(name: string): void {
    this.loaded.set(name, "");
  }

  /** Unloads every adapter without an order, as an operator might by hand. */
  unloadAll(): void {
    this.loaded.clear();
  }

  /** The names of the loaded adapters. */
  loadedAdapters(): readonly string[] {
    return [...this.loaded.keys()];
  }

  readonly handle: server.RequestHandler = async (req, res, body) => {
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
        res.writeHead(200, { "content-type": "text/plain" }).end(this.metricsText());
        return;
      case "/journal":
        server.sendJson(res, 200, this.journal);
        return;
      case "/v1/models":
        server.sendJson(res, 200, { object: "list", data: this.modelList() });
        return;
      case "/v1/load_lora_adapter":
      case "/v1/unload_lora_adapter":
        await this.executeOrder(path, JSON.parse(body) as LoraOrder, req, res);
        return;
      case "/v1/completions":
      case "/v1/chat/completions":
        if (this.faults.arrivalDelayMs > 0) {
          await new Promise((r) => setTimeout(r, this.faults.arrivalDelayMs));
        }
        this.generate(JSON.parse(body) as CompletionRequest, req, res);
        return;
      default:
        server.sendJson(res, 404, { error: { message: "no such path" } });
    }
  };

  private modelList(): object[] {
    const base = { id: this.opts.baseModel, object: "model", parent: null };
    const adapters = this.loadedAdapters().map((id) => ({
      id,
      object: "model",
      parent: this.opts.baseModel,
    }));
    return [base, ...adapters];
  }

  private metricsText(): string {
    return [
      ...(this.faults.omitStartTime ? [] : [`process_start_time_seconds ${this.startedAt}`]),
      `vllm:num_requests_running{model_name="${this.opts.baseModel}"} ${this.reportedCounts.running}`,
      `vllm:num_requests_waiting{model_name="${this.opts.baseModel}"} ${this.reportedCounts.waiting}`,
      "",
    ].join("\n");
  }

  private updateCounts(): void {
    const counts = { running: this.running.length, waiting: this.waiting.length };
    if (this.faults.metricsLagMs === 0) this.reportedCounts = counts;
    else setTimeout(() => (this.reportedCounts = counts), this.faults.metricsLagMs);
  }

  private async executeOrder(
    path: string,
    order: LoraOrder,
    req: http.IncomingMessage,
    res: http.ServerResponse,
  ): Promise<void> {
    const fencingNumber = Number(req.headers["x-fencing-token"] ?? 0);
    const startedAt = this.startedAt;
    const delay = this.faults.orderDelayMs;
    this.faults.orderDelayMs = 0;
    if (delay > 0) await new Promise((r) => setTimeout(r, delay));
    if (this.opts.fencing && fencingNumber < this.highestFencingNumber) {
      server.sendJson(res, 409, { error: "old fencing number" });
      return;
    }
    this.highestFencingNumber = Math.max(this.highestFencingNumber, fencingNumber);
    const status = path.includes("unload")
      ? this.unloadAdapter(order.lora_name)
      : await this.loadAdapter(order.lora_name, order.lora_path ?? "", startedAt);
    if (this.faults.loseReplies > 0) {
      this.faults.loseReplies--;
      res.destroy();
      return;
    }
    server.sendJson(res, status, {});
  }

  private async loadAdapter(name: string, path: string, startedAt: number): Promise<number> {
    if (this.faults.refuseLoads) return 500;
    if (this.loaded.has(name) || this.loaded.size >= this.opts.slots) return 400;
    if (path.startsWith("http:")) {
      const { statusCode, body } = await undici.request(path);
      await body.dump();
      if (statusCode !== 200) return 500;
    }
    if (startedAt !== this.startedAt || this.loaded.size >= this.opts.slots) return 500;
    this.loaded.set(name, path);
    this.journal.push({ kind: "load", name });
    return 200;
  }

  private unloadAdapter(name: string): number {
    if (!this.loaded.delete(name)) return 404;
    this.journal.push({ kind: "unload", name });
    for (const s of [...this.running, ...this.waiting]) {
      if (s.name === name) this.journal.push({ kind: "evicted-in-use", name, id: s.id });
    }
    return 200;
  }

  private generate(
    request: CompletionRequest,
    req: http.IncomingMessage,
    res: http.ServerResponse,
  ): void {
    const name = request.model;
    if (!this.loaded.has(name)) {
      server.sendJson(res, 404, { error: { message: `model ${name} does not exist` } });
      return;
    }
    const id = String(req.headers["x-request-id"]);
    const wrongModel = this.faults.wrongModels > 0 && this.faults.wrongModels-- > 0;
    const wrongId = this.faults.wrongIds > 0 && this.faults.wrongIds-- > 0;
    const breaksOff = this.faults.breakAnswers > 0 && this.faults.breakAnswers-- > 0;
    const responseFields = {
      id: `cmpl-${wrongId ? "another" : id}`,
      model: wrongModel ? "another" : name,
    };
    const prompt = request.prompt ?? request.messages?.at(-1)?.content ?? "";
    const maxTokens = request.max_tokens ?? DEFAULT_MAX_TOKENS;
    // Each token names the adapter and the prompt, so that a misdirected answer can be recognised.
    const tokenText = (i: number): string => `${name.replace(/~.*/, "")}:${prompt}:${i} `;
    const object = "text_completion";
    this.openResponses.add(res);
    const sequence: Sequence = {
      id,
      name,
      priority: request.priority ?? 0,
      maxTokens,
      generatedTokens: 0,
      emit: (i) => {
        if (breaksOff && i >= maxTokens / 2) {
          res.destroy();
          return;
        }
        if (!request.stream) return;
        if (i === 0) res.writeHead(200, { "content-type": "text/event-stream" });
        const chunk = { ...responseFields, object, choices: [{ index: 0, text: tokenText(i) }] };
        res.write(`data: ${JSON.stringify(chunk)}\n\n`);
      },
      end: () => {
        this.journal.push({ kind: "finish", id });
        this.openResponses.delete(res);
        if (request.stream) {
          res.end("data: [DONE]\n\n");
          return;
        }
        const text = Array.from({ length: maxTokens }, (_, i) => tokenText(i)).join("");
        const choices = [{ index: 0, text, finish_reason: "stop" }];
        server.sendJson(res, 200, { ...responseFields, object, choices });
      },
    };
    this.journal.push({ kind: "run", id, name, prompt });
    res.on("close", () => {
      this.openResponses.delete(res);
      const removeSequence = (): void => {
        this.running = this.running.filter((s) => s !== sequence);
        this.waiting = this.waiting.filter((s) => s !== sequence);
        this.updateCounts();
      };
      if (this.faults.cancelDelayMs === 0 || res.writableFinished) removeSequence();
      else setTimeout(removeSequence, this.faults.cancelDelayMs);
    });
    this.waiting.push(sequence);
    this.waiting.sort((a, b) => a.priority - b.priority);
    this.updateCounts();
    if (!this.isStepping) this.scheduleStep();
  }

  private scheduleStep(): void {
    this.isStepping = true;
    setTimeout(() => {
      if (!this.faults.frozen) this.runStep();
      if (this.running.length + this.waiting.length > 0) this.scheduleStep();
      else this.isStepping = false;
    }, this.opts.stepMs);
  }

  private runStep(): void {
    const freeSeats = this.opts.seats - this.running.length;
    this.running.push(...this.waiting.splice(0, freeSeats));
    this.batchSizes.push(this.running.length);
    for (const s of [...this.running]) {
      s.emit(s.generatedTokens);
      s.generatedTokens++;
      if (s.generatedTokens < s.maxTokens) continue;
      this.running = this.running.filter((o) => o !== s);
      s.end();
    }
    this.updateCounts();
  }
}

/** Starts an engine on `port`, or on a free port if it is 0. */
export async function start(
  opts: EngineOptions,
  port = 0,
): Promise<server.RunningServer & { readonly engine: Engine }> {
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
