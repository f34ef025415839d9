/**
 * Implements the store on etcd's v3 HTTP/JSON gateway (`/v3/kv/range`, `/v3/kv/txn`, `/v3/lease/grant`,
 * `/v3/lease/keepalive`, `/v3/watch`).
 * @module
 */
import * as undici from "undici";
import * as zod from "zod";
import * as tokenBucket from "./token-bucket.js";
import * as outcome from "../request/outcome.js";
import type * as store from "./store.js";

const MS_PER_S = 1000;

/** The gateway encodes keys and values in base64, and 64-bit numbers as decimal strings. */
const b64 = (s: string): string => Buffer.from(s).toString("base64");
const unb64 = (s: string): string => Buffer.from(s, "base64").toString();

const kv = zod.object({
  key: zod.string(),
  value: zod.string().default(""),
  mod_revision: zod.coerce.number(),
});
const header = zod.object({ revision: zod.coerce.number().default(0) });
const rangeResponse = zod.object({ kvs: zod.array(kv).default([]) });
const nestedTxnResponse = zod.object({
  succeeded: zod.boolean().default(false),
  responses: zod.array(zod.object({ response_range: rangeResponse.optional() })).default([]),
});
const txnResponse = zod.object({
  header,
  succeeded: zod.boolean().default(false),
  responses: zod.array(zod.object({ response_txn: nestedTxnResponse.optional() })).default([]),
});
const grantResponse = zod.object({ ID: zod.string(), TTL: zod.coerce.number() });
const keepAliveResponse = zod.object({
  result: zod.object({ TTL: zod.coerce.number().default(0) }),
});
const watchResponse = zod.object({
  result: zod.object({
    created: zod.boolean().default(false),
    canceled: zod.boolean().default(false),
    events: zod
      .array(
        zod.object({ type: zod.string().default("PUT"), kv: kv.partial({ mod_revision: true }) }),
      )
      .default([]),
  }),
});

/** Address of the store, and bounds on calls to it. */
export interface Options {
  /** Base URL, e.g. `http://127.0.0.1:2379`. */
  readonly url: string;
  /** Milliseconds after which a call fails; for a watch this bounds only its start. */
  readonly timeoutMs: number;
  /** Takes one token per call; see {@link tokenBucket}. */
  readonly spend: tokenBucket.SpendCall;
}

function toEntry(e: zod.infer<typeof kv>): store.Entry {
  return { key: unb64(e.key), value: unb64(e.value), revision: e.mod_revision };
}

/** Returns the exclusive end of the range of keys that begin with `prefix`. */
function prefixEnd(prefix: string): string {
  const last = prefix.length - 1;
  return prefix.slice(0, last) + String.fromCharCode(prefix.charCodeAt(last) + 1);
}

function toPut(p: store.Put): object {
  return { key: b64(p.key), value: b64(p.value), ...(p.lease && { lease: p.lease }) };
}

/** Returns a client of the store at `opts.url`. Makes no call by itself. */
export function open(opts: Options): store.Store {
  const agent = new undici.Agent({ headersTimeout: opts.timeoutMs, bodyTimeout: opts.timeoutMs });

  async function call<T>(path: string, body: object, schema: zod.ZodType<T>): Promise<T> {
    opts.spend(path);
    let text: string;
    try {
      const res = await undici.request(opts.url + path, {
        method: "POST",
        dispatcher: agent,
        body: JSON.stringify(body),
        signal: AbortSignal.timeout(opts.timeoutMs),
      });
      text = await res.body.text();
      if (res.statusCode !== 200)
        throw new Error(`status ${res.statusCode}: ${text.slice(0, 200)}`);
    } catch (err) {
      throw toStepError(path, err);
    }
    const parsed = schema.safeParse(JSON.parse(text));
    if (!parsed.success)
      throw toStepError(path, new Error("the response does not match the expected schema"));
    return parsed.data;
  }

  function toStepError(path: string, err: unknown): outcome.StepError {
    const why = err instanceof Error ? err.message : String(err);
    return new outcome.StepError({
      code: "link_broken",
      outcome: "unknown",
      step: "store",
      peer: opts.url,
      message: `The store did not answer ${path}: ${why}.`,
    });
  }

  return {
    read: async (key) => {
      const res = await call("/v3/kv/range", { key: b64(key) }, rangeResponse);
      return res.kvs[0] && toEntry(res.kvs[0]);
    },
    range: async (prefix, limit, after) => {
      const startKey = after === undefined ? prefix : `${after}\0`;
      const body = { key: b64(startKey), range_end: b64(prefixEnd(prefix)), limit };
      return (await call("/v3/kv/range", body, rangeResponse)).kvs.map(toEntry);
    },
    commit: async (txn) => {
      const body = {
        compare: txn.compares.map((c) => ({
          key: b64(c.key),
          target: "MOD",
          result: "EQUAL",
          mod_revision: String(c.revision),
        })),
        success: [
          ...txn.puts.map((p) => ({ request_put: toPut(p) })),
          ...(txn.deletes ?? []).map((k) => ({ request_delete_range: { key: b64(k) } })),
        ],
      };
      const res = await call("/v3/kv/txn", body, txnResponse);
      return { ok: res.succeeded, revision: res.header.revision };
    },
    create: async (puts) => {
      const body = {
        success: puts.map((p) => ({
          request_txn: {
            compare: [{ key: b64(p.key), target: "MOD", result: "EQUAL", mod_revision: "0" }],
            success: [{ request_put: toPut(p) }],
            failure: [{ request_range: { key: b64(p.key) } }],
          },
        })),
      };
      const res = await call("/v3/kv/txn", body, txnResponse);
      return puts.map((_, i) => {
        const response = res.responses[i]?.response_txn;
        if (!response)
          throw toStepError(
            "/v3/kv/txn",
            new Error("the response covers fewer keys than requested"),
          );
        const existing = response.succeeded
          ? undefined
          : response.responses[0]?.response_range?.kvs[0];
        return existing && toEntry(existing);
      });
    },
    grant: async (ttlMs) => {
      const body = { TTL: String(Math.ceil(ttlMs / MS_PER_S)), ID: "0" };
      const res = await call("/v3/lease/grant", body, grantResponse);
      return { id: res.ID, ttlMs: res.TTL * MS_PER_S };
    },
    keepAlive: async (id) => {
      const res = await call("/v3/lease/keepalive", { ID: id }, keepAliveResponse);
      return res.result.TTL * MS_PER_S;
    },
    watch: async (prefix, signal, watcher) => {
      opts.spend("/v3/watch");
      try {
        const res = await undici.request(`${opts.url}/v3/watch`, {
          method: "POST",
          signal,
          headersTimeout: opts.timeoutMs,
          bodyTimeout: 0,
          body: JSON.stringify({
            create_request: { key: b64(prefix), range_end: b64(prefixEnd(prefix)) },
          }),
        });
        let partialLine = "";
        res.body.setEncoding("utf8");
        for await (const part of res.body as AsyncIterable<string>) {
          const lines = (partialLine + part).split("\n");
          partialLine = lines.pop() ?? "";
          for (const line of lines) handleWatchLine(line, watcher);
        }
      } catch (err) {
        if (!signal.aborted) throw toStepError("/v3/watch", err);
      }
    },
  };
}

/** Passes the events in one line of a watch response to `watcher`. Throws when the store cancelled the watch. */
function handleWatchLine(line: string, watcher: store.Watcher): void {
  if (line.trim() === "") return;
  const { result } = watchResponse.parse(JSON.parse(line));
  if (result.canceled) throw new Error("the store cancelled the watch");
  if (result.created) watcher.opened();
  for (const e of result.events) {
    if (e.type !== "PUT") continue;
    watcher.seen(toEntry({ ...e.kv, mod_revision: e.kv.mod_revision ?? 0 }));
  }
}
