/**
 * A stand-in for the configuration store: an in-memory implementation of the part of etcd's v3
 * HTTP/JSON gateway that the system uses, with injected failures.
 * @module
 */
import type * as http from "node:http";
import * as zod from "zod";
import * as server from "./server.js";

/** Failures to inject into the store. */
export interface Faults {
  /** Whether calls are cut off without an answer, and take no effect. */
  down: boolean;
  /** Milliseconds before each call takes effect. */
  delayMs: number;
  /** Number of coming writes that take effect but whose replies are lost. */
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
const simpleOp = zod.object({
  request_put: put.optional(),
  request_range: range.optional(),
  request_delete_range: zod.object({ key }).optional(),
});
const nestedTxn = zod.object({
  compare: zod.array(compare).default([]),
  success: zod.array(simpleOp).default([]),
  failure: zod.array(simpleOp).default([]),
});
const txn = zod.object({
  compare: zod.array(compare).default([]),
  success: zod.array(simpleOp.extend({ request_txn: nestedTxn.optional() })).default([]),
  failure: zod.array(simpleOp).default([]),
});
const watch = zod.object({ create_request: zod.object({ key, range_end: key }) });
type Op = zod.infer<typeof simpleOp> & { request_txn?: zod.infer<typeof nestedTxn> | undefined };

const MS_PER_S = 1000;
/** Milliseconds between two checks for expired leases. */
const EXPIRY_CHECK_MS = 100;
const b64 = (s: string): string => Buffer.from(s).toString("base64");

/** A configuration store in memory. */
export class Store {
  readonly faults: Faults = { down: false, delayMs: 0, loseReplies: 0 };
  /** The number of calls to each path, watches included. */
  readonly callCounts = new Map<string, number>();
  private kvs = new Map<string, Kv>();
  private revision = 1;
  private leases = new Map<string, { ttlS: number; expiresAt: number }>();
  private leaseCount = 0;
  private readonly watches = new Set<{ from: string; to: string; res: http.ServerResponse }>();
  private readonly expiryTimer = setInterval(() => {
    this.expireLeases();
  }, EXPIRY_CHECK_MS);

  stop(): void {
    clearInterval(this.expiryTimer);
    for (const w of this.watches) w.res.destroy();
  }

  /** Closes all open watches, as an outage does. */
  closeWatches(): void {
    for (const w of this.watches) w.res.destroy();
    this.watches.clear();
  }

  /** A copy of all keys and values, for {@link restore}. */
  backup(): ReadonlyMap<string, Kv> {
    return new Map(this.kvs);
  }

  /** Restores an older copy, as an operator might after data loss. */
  restore(copy: ReadonlyMap<string, Kv>): void {
    this.kvs = new Map(copy);
    this.closeWatches();
  }

  private expireLeases(): void {
    const now = performance.now();
    for (const [id, l] of this.leases) {
      if (l.expiresAt > now) continue;
      this.leases.delete(id);
      for (const [k, kv] of this.kvs) if (kv.lease === id) this.kvs.delete(k);
    }
  }

  readonly handle: server.RequestHandler = async (req, res, body) => {
    const path = req.url ?? "";
    this.callCounts.set(path, (this.callCounts.get(path) ?? 0) + 1);
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
    const out = this.dispatch(path, input);
    const writes = path === "/v3/kv/txn" || path === "/v3/lease/grant";
    if (writes && this.faults.loseReplies > 0) {
      this.faults.loseReplies--;
      res.destroy();
      return;
    }
    server.sendJson(res, 200, out);
  };

  private dispatch(path: string, input: unknown): unknown {
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
        return server.rejectUnknownCall(path);
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
    const limitedKeys = r.limit > 0 ? keys.slice(0, r.limit) : keys;
    const kvs = limitedKeys.map((k) => this.encodeKv(k));
    return { header: this.header(), kvs, count: String(keys.length) };
  }

  private encodeKv(k: string) {
    const kv = this.kvs.get(k);
    return { key: b64(k), value: kv?.value ?? "", mod_revision: String(kv?.rev ?? 0) };
  }

  private compareSucceeds(compares: readonly zod.infer<typeof compare>[]): boolean {
    return compares.every((c) => (this.kvs.get(c.key)?.rev ?? 0) === c.mod_revision);
  }

  private txn(t: zod.infer<typeof txn>) {
    const succeeded = this.compareSucceeds(t.compare);
    const ops: readonly Op[] = succeeded ? t.success : t.failure;
    const rev = this.revision + 1;
    const changedKeys: string[] = [];
    const responses = ops.map((op) => this.apply(op, rev, changedKeys));
    if (changedKeys.length > 0) this.revision = rev;
    this.notify(changedKeys);
    return { header: this.header(), succeeded, responses };
  }

  private apply(op: Op, rev: number, changedKeys: string[]): object {
    if (op.request_put) {
      const { key: k, value, lease } = op.request_put;
      this.kvs.set(k, { value, rev, lease });
      changedKeys.push(k);
      return { response_put: {} };
    }
    if (op.request_delete_range) {
      if (this.kvs.delete(op.request_delete_range.key))
        changedKeys.push(op.request_delete_range.key);
      return { response_delete_range: {} };
    }
    if (op.request_range) return { response_range: this.range(op.request_range) };
    if (op.request_txn) {
      const inner = op.request_txn;
      const succeeded = this.compareSucceeds(inner.compare);
      const ops = succeeded ? inner.success : inner.failure;
      const responses = ops.map((o) => this.apply(o, rev, changedKeys));
      return { response_txn: { succeeded, responses } };
    }
    return server.rejectUnknownCall("operation");
  }

  private grant(ttlS: number) {
    this.leaseCount++;
    const id = String(this.leaseCount);
    this.leases.set(id, { ttlS, expiresAt: performance.now() + ttlS * MS_PER_S });
    return { header: this.header(), ID: id, TTL: String(ttlS) };
  }

  private keepAlive(id: string) {
    this.expireLeases();
    const lease = this.leases.get(id);
    if (lease) lease.expiresAt = performance.now() + lease.ttlS * MS_PER_S;
    return { result: { header: this.header(), ID: id, TTL: String(lease?.ttlS ?? 0) } };
  }

  private watch(r: { key: string; range_end: string }, res: http.ServerResponse): void {
    const entry = { from: r.key, to: r.range_end, res };
    this.watches.add(entry);
    res.on("close", () => this.watches.delete(entry));
    res.writeHead(200, { "content-type": "application/json" });
    res.write(`${JSON.stringify({ result: { header: this.header(), created: true } })}\n`);
  }

  private notify(changedKeys: readonly string[]): void {
    for (const w of this.watches) {
      const events = changedKeys
        .filter((k) => k >= w.from && k < w.to && this.kvs.has(k))
        .map((k) => ({ type: "PUT", kv: this.encodeKv(k) }));
      if (events.length > 0) {
        w.res.write(`${JSON.stringify({ result: { header: this.header(), events } })}\n`);
      }
    }
  }
}

/** Starts a store on `port`, or on a free port if it is 0. */
export async function start(port = 0): Promise<server.RunningServer & { readonly store: Store }> {
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
