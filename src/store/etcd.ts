/**
 * The store over etcd's v3 HTTP/JSON gateway (`/v3/kv/range`, `/v3/kv/txn`, `/v3/lease/grant`,
 * `/v3/lease/keepalive`, `/v3/watch`).
 * @module
 */
import * as undici from "undici";
import * as zod from "zod";
import * as budget from "./budget.js";
import * as outcome from "../request/outcome.js";
import type * as store from "./store.js";

const MS_PER_S = 1000;

/** Keys and values travel in base64, 64-bit numbers as decimal strings. */
const b64 = (s: string): string => Buffer.from(s).toString("base64");
const unb64 = (s: string): string => Buffer.from(s, "base64").toString();

const kv = zod.object({
  key: zod.string(),
  value: zod.string().default(""),
  mod_revision: zod.coerce.number(),
});
const header = zod.object({ revision: zod.coerce.number().default(0) });
const ranged = zod.object({ kvs: zod.array(kv).default([]) });
const inner = zod.object({
  succeeded: zod.boolean().default(false),
  responses: zod.array(zod.object({ response_range: ranged.optional() })).default([]),
});
const committed = zod.object({
  header,
  succeeded: zod.boolean().default(false),
  responses: zod.array(zod.object({ response_txn: inner.optional() })).default([]),
});
const granted = zod.object({ ID: zod.string(), TTL: zod.coerce.number() });
const kept = zod.object({ result: zod.object({ TTL: zod.coerce.number().default(0) }) });
const watched = zod.object({
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

/** Where the store is and how patient to be with it. */
export interface Options {
  /** E.g. `http://127.0.0.1:2379`. */
  readonly url: string;
  readonly timeoutMs: number;
  /** Spends one unit a call; see {@link budget}. */
  readonly spend: budget.Spend;
}

function toEntry(e: zod.infer<typeof kv>): store.Entry {
  return { key: unb64(e.key), value: unb64(e.value), revision: e.mod_revision };
}

/** The end of the range of keys that begin with `prefix`. */
function endOf(prefix: string): string {
  const last = prefix.length - 1;
  return prefix.slice(0, last) + String.fromCharCode(prefix.charCodeAt(last) + 1);
}

function toPut(p: store.Put): object {
  return { key: b64(p.key), value: b64(p.value), ...(p.lease && { lease: p.lease }) };
}

/** Opens the store at `opts.url`; no call is made until one is asked for. */
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
      throw failed(path, err);
    }
    const parsed = schema.safeParse(JSON.parse(text));
    if (!parsed.success) throw failed(path, new Error("an answer of another shape"));
    return parsed.data;
  }

  function failed(path: string, err: unknown): outcome.StepError {
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
      const res = await call("/v3/kv/range", { key: b64(key) }, ranged);
      return res.kvs[0] && toEntry(res.kvs[0]);
    },
    range: async (prefix, limit, after) => {
      const from = after === undefined ? prefix : `${after}\0`;
      const body = { key: b64(from), range_end: b64(endOf(prefix)), limit };
      return (await call("/v3/kv/range", body, ranged)).kvs.map(toEntry);
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
      const res = await call("/v3/kv/txn", body, committed);
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
      const res = await call("/v3/kv/txn", body, committed);
      return puts.map((_, i) => {
        const one = res.responses[i]?.response_txn;
        if (!one) throw failed("/v3/kv/txn", new Error("an answer for fewer keys than asked"));
        const there = one.succeeded ? undefined : one.responses[0]?.response_range?.kvs[0];
        return there && toEntry(there);
      });
    },
    grant: async (ttlMs) => {
      const body = { TTL: String(Math.ceil(ttlMs / MS_PER_S)), ID: "0" };
      const res = await call("/v3/lease/grant", body, granted);
      return { id: res.ID, ttlMs: res.TTL * MS_PER_S };
    },
    keepAlive: async (id) => {
      const res = await call("/v3/lease/keepalive", { ID: id }, kept);
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
            create_request: { key: b64(prefix), range_end: b64(endOf(prefix)) },
          }),
        });
        let rest = "";
        res.body.setEncoding("utf8");
        for await (const part of res.body as AsyncIterable<string>) {
          const lines = (rest + part).split("\n");
          rest = lines.pop() ?? "";
          for (const line of lines) follow(line, watcher);
        }
      } catch (err) {
        if (!signal.aborted) throw failed("/v3/watch", err);
      }
    },
  };
}

/** Tells `watcher` what one line of a watch says; a cancelled watch throws. */
function follow(line: string, watcher: store.Watcher): void {
  if (line.trim() === "") return;
  const { result } = watched.parse(JSON.parse(line));
  if (result.canceled) throw new Error("the store cancelled the watch");
  if (result.created) watcher.opened();
  for (const e of result.events) {
    if (e.type !== "PUT") continue;
    watcher.seen(toEntry({ ...e.kv, mod_revision: e.kv.mod_revision ?? 0 }));
  }
}
