/* global Buffer, URL, setTimeout */
/**
 * A stand-in for the platform's key-value store: items, pages, watches, conditional writes and leases, by PROTOCOL.md.
 * Leases do not expire.
 * @module
 */
import * as http from "node:http";

const PAGE_ITEMS = 500;

export class Store {
  items = new Map();
  events = [];
  revision = 0;
  leases = 0;
  waiting = new Set();

  async start() {
    this.server = http.createServer((req, res) => {
      this.answer(req, res).catch(() => res.destroy());
    });
    await new Promise((resolve) => this.server.listen(0, "127.0.0.1", resolve));
    this.address = `127.0.0.1:${this.server.address().port}`;
  }

  stop() {
    this.server.close();
    this.server.closeAllConnections();
  }

  /** Writes a document; the new revision is the acknowledgement. */
  put(key, value) {
    return this.write(key, Buffer.from(JSON.stringify(value)).toString("base64"), 0);
  }

  write(key, value, lease) {
    const revision = ++this.revision;
    const created = this.items.get(key)?.created ?? revision;
    const item = { key, value, revision, created, lease };
    this.items.set(key, item);
    this.changed({ key, revision, body: item });
    return revision;
  }

  remove(key) {
    if (!this.items.delete(key)) return;
    const revision = ++this.revision;
    this.changed({ key, revision, body: { key, revision, tombstone: true } });
  }

  changed(event) {
    this.events.push(event);
    for (const wake of [...this.waiting]) wake();
  }

  async answer(req, res) {
    const url = new URL(req.url, "http://store");
    const query = url.searchParams;
    const send = (status, body) => {
      const text = JSON.stringify(body);
      res.writeHead(status, { "content-type": "application/json", "content-length": text.length });
      res.end(text);
    };
    switch (url.pathname) {
      case "/-/kv-key": {
        const item = this.items.get(query.get("key"));
        send(item ? 200 : 404, item ?? {});
        return;
      }
      case "/-/kv-range":
        send(200, this.range(query.get("prefix") ?? "", query.get("after") ?? ""));
        return;
      case "/-/kv-watch":
        await this.watch(query, send);
        return;
      case "/-/kv-lease":
        send(200, { lease: ++this.leases, ttlMs: JSON.parse(await readBody(req)).ttlMs });
        return;
      case "/-/kv-txn":
        this.transact(JSON.parse(await readBody(req)), send);
        return;
      default:
        send(url.pathname.startsWith("/-/kv-") ? 200 : 404, {});
    }
  }

  range(prefix, after) {
    const keys = [...this.items.keys()].filter((k) => k.startsWith(prefix) && k > after).sort();
    const items = keys.slice(0, PAGE_ITEMS).map((k) => this.items.get(k));
    return { items, truncated: keys.length > PAGE_ITEMS, currentRev: this.revision };
  }

  async watch(query, send) {
    const prefix = query.get("prefix") ?? "";
    const after = Number(query.get("after"));
    const found = () => this.events.filter((e) => e.revision > after && e.key.startsWith(prefix));
    if (found().length === 0) {
      const until = Date.now() + Number(query.get("waitMs"));
      while (found().length === 0 && Date.now() < until) await this.nextChange(until - Date.now());
    }
    send(200, { events: found().map((e) => e.body), currentRev: this.revision });
  }

  nextChange(ms) {
    return new Promise((resolve) => {
      const wake = () => {
        this.waiting.delete(wake);
        resolve();
      };
      this.waiting.add(wake);
      setTimeout(wake, ms);
    });
  }

  transact({ expected = [], writes = [], remove = [] }, send) {
    const isMet = expected.every((e) => (this.items.get(e.key)?.revision ?? 0) === e.revision);
    if (!isMet) {
      send(412, { items: expected.flatMap((e) => this.items.get(e.key) ?? []) });
      return;
    }
    for (const w of writes) this.write(w.key, w.value, w.lease ?? 0);
    for (const key of remove) this.remove(key);
    send(200, { revision: this.revision });
  }
}

export async function readBody(req) {
  const parts = [];
  for await (const part of req) parts.push(part);
  return Buffer.concat(parts).toString();
}
