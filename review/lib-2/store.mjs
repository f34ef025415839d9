/* global Buffer, URL, performance, setTimeout */
/**
 * A stand-in for the platform's key-value store: items, pages, watches, conditional writes and leases, by PROTOCOL.md.
 * Leases do not expire.
 * @module
 */
import * as http from "node:http";

/** Most items of one page, and most characters of their values, at least one item. */
const PAGE_ITEMS = 500;
const PAGE_LENGTH = 1_048_576;
/** Milliseconds for which the store keeps its history: `historyS` of the settings. */
const HISTORY_MS = 20_000;

export class Store {
  items = new Map();
  events = [];
  revision = 0;
  /** Changes up to this revision are no longer in the history. */
  dropped = 0;
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
    this.events.push({ ...event, text: JSON.stringify(event.body), at: performance.now() });
    for (const wake of [...this.waiting]) wake();
  }

  async answer(req, res) {
    const url = new URL(req.url, "http://store");
    const query = url.searchParams;
    const send = (status, body) => sendText(res, status, JSON.stringify(body));
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
        await this.watch(query, res);
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
    const items = [];
    let length = 0;
    for (const key of keys) {
      const item = this.items.get(key);
      length += item.value.length;
      if (items.length > 0 && (items.length >= PAGE_ITEMS || length > PAGE_LENGTH)) break;
      items.push(item);
    }
    return { items, truncated: items.length < keys.length, currentRev: this.revision };
  }

  async watch(query, res) {
    const prefix = query.get("prefix") ?? "";
    const after = Number(query.get("after"));
    const found = () => this.events.filter((e) => e.revision > after && e.key.startsWith(prefix));
    const until = performance.now() + Number(query.get("waitMs"));
    for (;;) {
      this.dropHistory();
      const leftMs = until - performance.now();
      if (after < this.dropped || found().length > 0 || leftMs <= 0) break;
      await this.nextChange(leftMs);
    }
    if (after < this.dropped) {
      sendText(res, 410, "{}");
      return;
    }
    const events = found().map((e) => e.text);
    sendText(res, 200, `{"events":[${events.join(",")}],"currentRev":${this.revision}}`);
  }

  dropHistory() {
    const oldest = performance.now() - HISTORY_MS;
    while (this.events[0]?.at < oldest) this.dropped = this.events.shift().revision;
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

function sendText(res, status, text) {
  const bytes = Buffer.from(text);
  res.writeHead(status, { "content-type": "application/json", "content-length": bytes.length });
  res.end(bytes);
}

export async function readBody(req) {
  const parts = [];
  for await (const part of req) parts.push(part);
  return Buffer.concat(parts).toString();
}
