/**
 * A stand-in for the configuration store: the part of etcd's v3 HTTP/JSON gateway that the system
 * uses, in memory, and able to fail.
 * @module
 */
import type * as http from "node:http";
import * as zod from "zod";
import * as server from "./server.js";

/** How the store misbehaves. */
export interface Faults {
  /** Calls break off without an answer, and take no effect. */
  down: boolean;
  delayMs: number;
  /** So many of the next writes take effect, and their replies are lost. */
  loseReplies: number;
}

interface Kv {
  readonly value: string;
  readonly rev: number;
  readonly lease: string | undefined;
}

const key = zod.string().transform((s) => Buffer.from(s, "base64").toString());
const num = zod.coerce.number();
const range = zod.object({ key, range_end: key.optional(), limit: num.default(0) });
const put = zod.object({ key, value: zod.string().default(""), lease: zod.string().optional() });
const compare = zod.object({ key, mod_revision: num });
const simple = zod.object({
  request_put: put.optional(),
  request_range: range.optional(),
  request_delete_range: zod.object({ key }).optional(),
});
const branch = zod.object({
  compare: zod.array(compare).default([]),
  success: zod.array(simple).default([]),
  failure: zod.array(simple).default([]),
});
const txn = zod.object({
  compare: zod.array(compare).default([]),
  success: zod.array(simple.extend({ request_txn: branch.optional() })).default([]),
  failure: zod.array(simple).default([]),
});
const watch = zod.object({ create_request: zod.object({ key, range_end: key }) });
type Op = zod.infer<typeof simple> & { request_txn?: zod.infer<typeof branch> | undefined };

const MS_PER_S = 1000;
const SWEEP_MS = 100;
const b64 = (s: string): string => Buffer.from(s).toString("base64");

/** The store in memory. */
export class Store {
  readonly faults: Faults = { down: false, delayMs: 0, loseReplies: 0 };
  /** Calls by path, watches included. */
  readonly calls = new Map<string, number>();
  private kvs = new Map<string, Kv>();
  private revision = 1;
  private leases = new Map<string, { ttlS: number; until: number }>();
  private leaseCount = 0;
  private readonly watches = new Set<{ from: string; to: string; res: http.ServerResponse }>();
  private readonly sweeper = setInterval(() => {
    this.sweep();
  }, SWEEP_MS);

  stop(): void {
    clearInterval(this.sweeper);
    for (const w of this.watches) w.res.destroy();
  }

  /** Breaks standing watches, as an outage does. */
  cutWatches(): void {
    for (const w of this.watches) w.res.destroy();
    this.watches.clear();
  }

  /** A copy of what is kept, for {@link restore}. */
  backup(): ReadonlyMap<string, Kv> {
    return new Map(this.kvs);
  }

  /** Puts an older copy back, as an operator might after a loss. */
  restore(copy: ReadonlyMap<string, Kv>): void {
    this.kvs = new Map(copy);
    this.cutWatches();
  }

  private sweep(): void {
    const now = performance.now();
    for (const [id, l] of this.leases) {
      if (l.until > now) continue;
      this.leases.delete(id);
      for (const [k, kv] of this.kvs) if (kv.lease === id) this.kvs.delete(k);
    }
  }

  readonly handle: server.Handle = async (req, res, body) => {
    const path = req.url ?? "";
    this.calls.set(path, (this.calls.get(path) ?? 0) + 1);
    if (this.faults.delayMs > 0) await new Promise((r) => setTimeout(r, this.faults.delayMs));
    if (this.faults.down) {
      res.destroy();
      return;
    }
    const input: unknown = JSON.parse(body);
    if (path === "/v3/watch") {
      this.watch(watch.parse(input).create_request, res);
      return;
    }
    const out = this.call(path, input);
    const writes = path === "/v3/kv/txn" || path === "/v3/lease/grant";
    if (writes && this.faults.loseReplies > 0) {
      this.faults.loseReplies--;
      res.destroy();
      return;
    }
    server.json(res, 200, out);
  };

  private call(path: string, input: unknown): unknown {
    switch (path) {
      case "/v3/kv/range":
        return this.range(range.parse(input));
      case "/v3/kv/txn":
        return this.txn(txn.parse(input));
      case "/v3/lease/grant":
        return this.grant(zod.object({ TTL: num }).parse(input).TTL);
      case "/v3/lease/keepalive":
        return this.keepAlive(zod.object({ ID: zod.string() }).parse(input).ID);
      default:
        return server.unknownCall(path);
    }
  }

  private header() {
    return { revision: String(this.revision) };
  }

  private range(r: zod.infer<typeof range>) {
    const end = r.range_end;
    const keys = [...this.kvs.keys()]
      .filter((k) => (end === undefined ? k === r.key : k >= r.key && k < end))
      .sort();
    const wanted = r.limit > 0 ? keys.slice(0, r.limit) : keys;
    const kvs = wanted.map((k) => this.show(k));
    return { header: this.header(), kvs, count: String(keys.length) };
  }

  private show(k: string) {
    const kv = this.kvs.get(k);
    return { key: b64(k), value: kv?.value ?? "", mod_revision: String(kv?.rev ?? 0) };
  }

  private holds(compares: readonly zod.infer<typeof compare>[]): boolean {
    return compares.every((c) => (this.kvs.get(c.key)?.rev ?? 0) === c.mod_revision);
  }

  private txn(t: zod.infer<typeof txn>) {
    const succeeded = this.holds(t.compare);
    const ops: readonly Op[] = succeeded ? t.success : t.failure;
    const rev = this.revision + 1;
    const touched: string[] = [];
    const responses = ops.map((op) => this.apply(op, rev, touched));
    if (touched.length > 0) this.revision = rev;
    this.notify(touched);
    return { header: this.header(), succeeded, responses };
  }

  private apply(op: Op, rev: number, touched: string[]): object {
    if (op.request_put) {
      const { key: k, value, lease } = op.request_put;
      this.kvs.set(k, { value, rev, lease });
      touched.push(k);
      return { response_put: {} };
    }
    if (op.request_delete_range) {
      if (this.kvs.delete(op.request_delete_range.key)) touched.push(op.request_delete_range.key);
      return { response_delete_range: {} };
    }
    if (op.request_range) return { response_range: this.range(op.request_range) };
    if (op.request_txn) {
      const inner = op.request_txn;
      const succeeded = this.holds(inner.compare);
      const ops = succeeded ? inner.success : inner.failure;
      const responses = ops.map((o) => this.apply(o, rev, touched));
      return { response_txn: { succeeded, responses } };
    }
    return server.unknownCall("operation");
  }

  private grant(ttlS: number) {
    this.leaseCount++;
    const id = String(this.leaseCount);
    this.leases.set(id, { ttlS, until: performance.now() + ttlS * MS_PER_S });
    return { header: this.header(), ID: id, TTL: String(ttlS) };
  }

  private keepAlive(id: string) {
    this.sweep();
    const lease = this.leases.get(id);
    if (lease) lease.until = performance.now() + lease.ttlS * MS_PER_S;
    return { result: { header: this.header(), ID: id, TTL: String(lease?.ttlS ?? 0) } };
  }

  private watch(r: { key: string; range_end: string }, res: http.ServerResponse): void {
    const entry = { from: r.key, to: r.range_end, res };
    this.watches.add(entry);
    res.on("close", () => this.watches.delete(entry));
    res.writeHead(200, { "content-type": "application/json" });
    res.write(`${JSON.stringify({ result: { header: this.header(), created: true } })}\n`);
  }

  private notify(touched: readonly string[]): void {
    for (const w of this.watches) {
      const events = touched
        .filter((k) => k >= w.from && k < w.to && this.kvs.has(k))
        .map((k) => ({ type: "PUT", kv: this.show(k) }));
      if (events.length > 0) {
        w.res.write(`${JSON.stringify({ result: { header: this.header(), events } })}\n`);
      }
    }
  }
}

/** Starts a store on `port`, or on a free one. */
export async function start(port = 0): Promise<server.Running & { readonly store: Store }> {
  const store = new Store();
  const running = await server.serve(store.handle, port);
  return {
    ...running,
    store,
    close: async () => {
      store.stop();
      await running.close();
    },
  };
}
