/**
 * An engine behind vLLM's OpenAI-compatible HTTP interface with run-time LoRA.
 * @module
 */
import * as undici from "undici";
import * as zod from "zod";
import * as outcome from "../request/outcome.js";
import type * as engine from "./engine.js";

/** Header that carries the fencing number of an order. */
export const FENCE_HEADER = "x-fencing-token";
const STATUS_CONFLICT = 409;
const STATUS_NOT_FOUND = 404;

const models = zod.object({
  data: zod.array(zod.object({ id: zod.string(), parent: zod.string().nullish() })),
});

/** Where the engine is and how patient to be with it. */
export interface Options {
  /** E.g. `http://127.0.0.1:8000`. */
  readonly url: string;
  /** For health and the list of models, in ms. */
  readonly timeoutMs: number;
  /** For a load or unload, in ms; loads wait for the weight store. */
  readonly orderMs: number;
  /** Connections to the engine; at least its seats. */
  readonly connections: number;
}

/** Codes of errors that arise before any byte was sent. */
const UNSENT = new Set(["ECONNREFUSED", "UND_ERR_CONNECT_TIMEOUT", "EHOSTUNREACH", "ENETUNREACH"]);

function codeOf(err: unknown): string {
  return err instanceof Error && "code" in err ? String(err.code) : "";
}

/** Opens the engine at `opts.url`; nothing is sent until a call. */
export function open(opts: Options): engine.Engine {
  const agent = new undici.Agent({
    connections: opts.connections,
    headersTimeout: 0,
    bodyTimeout: 0,
  });

  function broken(what: string, err: unknown): outcome.StepError {
    const why = err instanceof Error ? err.message : String(err);
    return new outcome.StepError({
      code: "link_broken",
      outcome: UNSENT.has(codeOf(err)) ? "not_run" : "unknown",
      step: "engine",
      peer: opts.url,
      message: `The engine did not answer ${what}: ${why}.`,
    });
  }

  async function get(path: string): Promise<string> {
    try {
      const res = await undici.request(opts.url + path, {
        dispatcher: agent,
        signal: AbortSignal.timeout(opts.timeoutMs),
      });
      const text = await res.body.text();
      if (res.statusCode !== 200) throw new Error(`status ${res.statusCode}`);
      return text;
    } catch (err) {
      throw broken(path, err);
    }
  }

  async function order(path: string, body: object, fence: number, done: number[]): Promise<void> {
    let res: undici.Dispatcher.ResponseData;
    let text: string;
    try {
      res = await undici.request(opts.url + path, {
        dispatcher: agent,
        method: "POST",
        headers: { "content-type": "application/json", [FENCE_HEADER]: String(fence) },
        body: JSON.stringify(body),
        signal: AbortSignal.timeout(opts.orderMs),
      });
      text = await res.body.text();
    } catch (err) {
      throw broken(path, err);
    }
    if (done.includes(res.statusCode)) return;
    throw new outcome.StepError({
      code: res.statusCode === STATUS_CONFLICT ? "stale_epoch" : "load_failed",
      outcome: "failed",
      step: "engine",
      peer: opts.url,
      message: `The engine refused ${path} with ${res.statusCode}: ${text.slice(0, 200)}.`,
    });
  }

  return {
    health: async () => {
      await get("/health");
      const text = await get("/metrics");
      return {
        startedAt: gauge(text, "process_start_time_seconds"),
        running: gauge(text, "vllm:num_requests_running"),
        waiting: gauge(text, "vllm:num_requests_waiting"),
      };
    },
    models: async () => {
      const list = models.parse(JSON.parse(await get("/v1/models")));
      return list.data.filter((m) => m.parent).map((m) => m.id);
    },
    load: (name, source, fence) =>
      order("/v1/load_lora_adapter", { lora_name: name, lora_path: source }, fence, [200]),
    unload: (name, fence) =>
      order("/v1/unload_lora_adapter", { lora_name: name }, fence, [200, STATUS_NOT_FOUND]),
    run: async (call, signal) => {
      try {
        const res = await undici.request(opts.url + call.path, {
          dispatcher: agent,
          method: "POST",
          headers: { "content-type": "application/json", "x-request-id": call.id },
          body: JSON.stringify({ ...call.fields, model: call.name, priority: call.priority }),
          signal,
        });
        const type = res.headers["content-type"];
        return {
          status: res.statusCode,
          contentType: typeof type === "string" ? type : "",
          body: res.body,
        };
      } catch (err) {
        throw broken(call.path, err);
      }
    },
  };
}

/** Sums one gauge over its label sets in Prometheus' text format; undefined where it is missing. */
function gauge(text: string, name: string): number | undefined {
  let sum: number | undefined;
  for (const line of text.split("\n")) {
    const rest = line.startsWith(name) ? line.slice(name.length) : "";
    if (!rest.startsWith(" ") && !rest.startsWith("{")) continue;
    const value = Number(rest.slice(rest.lastIndexOf(" ")));
    if (Number.isFinite(value)) sum = (sum ?? 0) + value;
  }
  return sum;
}
