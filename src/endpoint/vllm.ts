/**
 * A client for an engine with vLLM's OpenAI-compatible HTTP API and run-time LoRA loading.
 * @module
 */
import * as undici from "undici";
import * as zod from "zod";
import * as connector from "../host/connector.js";
import * as outcome from "../request/outcome.js";
import type * as engine from "./engine.js";

/** Header that carries the fencing number of a load or unload order. */
export const FENCE_HEADER = "x-fencing-token";
const STATUS_CONFLICT = 409;
const STATUS_NOT_FOUND = 404;

const modelList = zod.object({
  data: zod.array(zod.object({ id: zod.string(), parent: zod.string().nullish() })),
});

/** Address, timeouts and connections of the engine. */
export interface Options {
  /** E.g. `http://127.0.0.1:8000`. */
  readonly url: string;
  /** Timeout of calls for health and the list of models, in ms. */
  readonly timeoutMs: number;
  /** Timeout of a load or unload, in ms; a load includes the read from the weight store. */
  readonly orderTimeoutMs: number;
  /** Largest number of connections to the engine; at least the number of its seats. */
  readonly connections: number;
}

/** Error codes that occur only before any byte was sent. */
const NOT_SENT_CODES = new Set([
  "ECONNREFUSED",
  "UND_ERR_CONNECT_TIMEOUT",
  "EHOSTUNREACH",
  "ENETUNREACH",
]);

function codeOf(err: unknown): string {
  return err instanceof Error && "code" in err ? String(err.code) : "";
}

/** Creates a client for the engine at `opts.url`; it connects on the first call. */
export function open(opts: Options): engine.Engine {
  const agent = new undici.Agent({
    connections: opts.connections,
    headersTimeout: 0,
    bodyTimeout: 0,
    connect: connector.resetAware({}),
  });

  function linkBroken(path: string, err: unknown): outcome.StepError {
    const why = err instanceof Error ? err.message : String(err);
    return new outcome.StepError({
      code: "link_broken",
      outcome: NOT_SENT_CODES.has(codeOf(err)) ? "not_run" : "unknown",
      step: "engine",
      peer: opts.url,
      message: `The engine did not answer ${path}: ${why}.`,
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
      throw linkBroken(path, err);
    }
  }

  async function sendOrder(
    path: string,
    body: object,
    fence: number,
    okStatuses: number[],
  ): Promise<void> {
    let res: undici.Dispatcher.ResponseData;
    let text: string;
    try {
      res = await undici.request(opts.url + path, {
        dispatcher: agent,
        method: "POST",
        headers: { "content-type": "application/json", [FENCE_HEADER]: String(fence) },
        body: JSON.stringify(body),
        signal: AbortSignal.timeout(opts.orderTimeoutMs),
      });
      text = await res.body.text();
    } catch (err) {
      throw linkBroken(path, err);
    }
    if (okStatuses.includes(res.statusCode)) return;
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
      // Each line of this format ends with a line feed, so anything else was cut.
      if (!text.endsWith("\n")) throw linkBroken("/metrics", new Error("the answer broke off"));
      return {
        startedAt: sumGauge(text, "process_start_time_seconds"),
        running: sumGauge(text, "vllm:num_requests_running"),
        waiting: sumGauge(text, "vllm:num_requests_waiting"),
      };
    },
    models: async () => {
      const list = modelList.parse(JSON.parse(await get("/v1/models")));
      return list.data.filter((m) => m.parent).map((m) => m.id);
    },
    load: (name, source, fence) =>
      sendOrder("/v1/load_lora_adapter", { lora_name: name, lora_path: source }, fence, [200]),
    unload: (name, fence) =>
      sendOrder("/v1/unload_lora_adapter", { lora_name: name }, fence, [200, STATUS_NOT_FOUND]),
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
        throw linkBroken(call.path, err);
      }
    },
  };
}

/** Sums a gauge over all its label sets in Prometheus text format; undefined if it is missing. */
function sumGauge(text: string, name: string): number | undefined {
  let sum: number | undefined;
  for (const line of text.split("\n")) {
    const rest = line.startsWith(name) ? line.slice(name.length) : "";
    if (!rest.startsWith(" ") && !rest.startsWith("{")) continue;
    const value = Number(rest.slice(rest.lastIndexOf(" ")));
    if (Number.isFinite(value)) sum = (sum ?? 0) + value;
  }
  return sum;
}
