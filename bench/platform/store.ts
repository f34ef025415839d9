/**
 * A stand-in for the platform's key-value store, by its published protocol: reads, ranges, watches
 * and conditional writes. Leases never expire by themselves. It can fail as the platform's store does, and be restored
 * from an earlier backup.
 * @module
 */
import * as timers from "node:timers/promises";
import type * as http from "node:http";
import * as servers from "./http.js";

interface Item {
  readonly key: string;
  readonly value: string;
  readonly revision: number;
  readonly created: number;
  readonly lease: number;
}

interface Event {
  readonly key: string;
  readonly revision: number;
  readonly body: object;
}

/** What the store held at one moment. */
export interface Backup {
  readonly items: ReadonlyMap<string, Item>;
  readonly revision: number;
  readonly history: readonly Event[];
}

/** Faults that the store shows. */
export interface Faults {
  /** `busy` answers 503; `silent` accepts calls and does not answer them. */
  mode: "well" | "busy" | "silent";
  /** Milliseconds by which each answer is delayed. */
  delayMs: number;
  /** Share of the conditional writes that are applied but not answered. */
  loseWrites: number;
}

/** The header in all answers whose value rises by one whenever the store is restored from a backup. */
const ERA_HEADER = "store-era";

/** Milliseconds after which the connection of an unanswered call is closed. */
const SILENT_CLOSE_MS = 5000;

/** The stand-in store. */
export class Store {
  readonly items = new Map<string, Item>();
  readonly faults: Faults = { mode: "well", delayMs: 0, loseWrites: 0 };
  private history: Event[] = [];
  /** Changes up to this revision are compacted away. */
  private compactedRevision = 0;
  private revision = 0;
  /** Number of times that the store was restored from a backup, starting at 1. Undefined to leave the header out. */
  era: number | undefined = 1;
  private waitingWatches: (() => void)[] = [];
  /** Maximum number of items in one answer to a range call. */
  pageSize = 500;
  /** Number of range calls answered. */
  answeredPages = 0;
  /** Number of leases granted. */
  grantedLeases = 0;
  /** Number of calls accepted while silent. */
  unanswered = 0;
  private readonly listener = new servers.Listener((req, res) => this.answer(req, res));

  get address(): string {
    return this.listener.address;
  }

  async start(host?: string): Promise<void> {
    await this.listener.start(host);
  }

  stop(): void {
    this.listener.stop();
  }

  put(key: string, value: object): void {
    this.write(key, Buffer.from(JSON.stringify(value)).toString("base64"));
  }

  /** Writes the value of a key, given as base64. */
  write(key: string, text: string): void {
    const revision = ++this.revision;
    const created = this.items.get(key)?.created ?? revision;
    const item: Item = { key, value: text, revision, created, lease: 0 };
    this.items.set(key, item);
    this.appendEvent({ key, revision, body: item });
  }

  remove(key: string): void {
    if (!this.items.delete(key)) return;
    const revision = ++this.revision;
    this.appendEvent({ key, revision, body: { key, revision, tombstone: true } });
  }

  /** Drops the history of all changes so far, and wakes the waiting watches, which then answer 410. */
  compact(): void {
    this.history = [];
    this.compactedRevision = this.revision;
    this.wakeWatches();
  }

  /** A backup from which the store can be restored. */
  backup(): Backup {
    return { items: new Map(this.items), revision: this.revision, history: [...this.history] };
  }

  /** Is restored from a backup: later changes are lost, their revisions are given out again, and the era rises. */
  restore(backup: Backup): void {
    this.items.clear();
    for (const [key, item] of backup.items) this.items.set(key, item);
    this.revision = backup.revision;
    this.history = [...backup.history];
    this.compactedRevision = Math.min(this.compactedRevision, backup.revision);
    if (this.era !== undefined) this.era++;
    this.wakeWatches();
  }

  private appendEvent(e: Event): void {
    this.history.push(e);
    this.wakeWatches();
  }

  private wakeWatches(): void {
    for (const wake of this.waitingWatches.splice(0)) wake();
  }

  private async answer(req: http.IncomingMessage, res: http.ServerResponse): Promise<void> {
    const { mode, delayMs } = this.faults;
    if (delayMs > 0) await timers.setTimeout(delayMs);
    if (mode === "silent") {
      this.unanswered++;
      await timers.setTimeout(SILENT_CLOSE_MS);
      res.destroy();
      return;
    }
    if (mode === "busy") {
      this.send(res, 503, {});
      return;
    }
    const url = new URL(req.url ?? "/", "http://store");
    switch (url.pathname) {
      case "/-/kv-key":
        this.readKey(url.searchParams.get("key") ?? "", res);
        return;
      case "/-/kv-range":
        this.range(url.searchParams, res);
        return;
      case "/-/kv-watch":
        await this.watch(url.searchParams, res);
        return;
      case "/-/kv-lease":
        this.send(res, 200, { lease: 1, ttlMs: 1000 });
        this.grantedLeases++;
        return;
      case "/-/kv-txn":
        this.transact(await servers.readJson(req), res);
        return;
      default:
        this.send(res, 404, {});
    }
  }

  private send(res: http.ServerResponse, status: number, body: object): void {
    if (this.era !== undefined) res.setHeader(ERA_HEADER, this.era);
    servers.sendJson(res, status, body);
  }

  private readKey(key: string, res: http.ServerResponse): void {
    const item = this.items.get(key);
    if (item) this.send(res, 200, { ...item, currentRev: this.revision });
    else this.send(res, 404, {});
  }

  private range(query: URLSearchParams, res: http.ServerResponse): void {
    const prefix = query.get("prefix") ?? "";
    const after = query.get("after") ?? "";
    const matching = [...this.items.values()]
      .filter((i) => i.key.startsWith(prefix) && i.key > after)
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    const items = matching.slice(0, this.pageSize);
    const truncated = items.length < matching.length;
    this.send(res, 200, { items, truncated, currentRev: this.revision });
    this.answeredPages++;
  }

  private transact(body: servers.JsonObject, res: http.ServerResponse): void {
    const expected = body.expected as readonly { key: string; revision: number }[];
    const isMet = expected.every((e) => (this.items.get(e.key)?.revision ?? 0) === e.revision);
    if (!isMet) {
      this.send(res, 412, { items: [] });
      return;
    }
    const writes = body.writes as readonly { key: string; value: string }[];
    for (const w of writes) this.write(w.key, w.value);
    for (const key of body.remove as readonly string[]) this.remove(key);
    if (Math.random() < this.faults.loseWrites) res.destroy();
    else this.send(res, 200, { revision: this.revision });
  }

  private async watch(query: URLSearchParams, res: http.ServerResponse): Promise<void> {
    const after = Number(query.get("after"));
    if (this.revision === after) {
      await new Promise<void>((resolve) => {
        this.waitingWatches.push(resolve);
        setTimeout(resolve, Number(query.get("waitMs")));
      });
    }
    if (after < this.compactedRevision || after > this.revision) {
      this.send(res, 410, {});
      return;
    }
    const prefix = query.get("prefix") ?? "";
    const events = this.history
      .filter((e) => e.revision > after && e.key.startsWith(prefix))
      .map((e) => e.body);
    this.send(res, 200, { events, currentRev: this.revision });
  }
}
