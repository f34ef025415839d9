/**
 * Memory of an entry daemon at the size to come, as a process of its own.
 * @module
 */
import * as fs from "node:fs/promises";
import * as etcd from "../../src/store/etcd.js";
import * as journal from "../../src/store/journal.js";
import * as hostLists from "../../src/standin/hosts.js";
import * as stores from "../../src/standin/store.js";
import * as decision from "./decision.js";
import * as proc from "./proc.js";

/** What one start took. */
export interface Start {
  readonly adapters: number;
  readonly rssMb: number;
  /** Calls to the store until the intent was in force, the watch included. */
  readonly storeCalls: number;
}

const SETTLE_MS = 6000;

/** Starts an entry daemon on an intent of 600 endpoints and so many adapters. */
export async function start(adapters: number): Promise<Start> {
  const store = await stores.start();
  const list = await hostLists.start();
  const st = etcd.open({ url: store.url, timeoutMs: 10_000, spend: () => undefined });
  await journal.replaceIntent(st, decision.intentOf(600, adapters));
  store.store.callCounts.clear();
  const front = await proc.entry(store.url, list.url, { storeCheckMs: "60000" });
  await new Promise((r) => setTimeout(r, SETTLE_MS));
  const text = await fs.readFile(`/proc/${front.pid}/status`, "utf8");
  const rssKb = Number(/VmRSS:\s+(\d+)/.exec(text)?.[1]);
  front.end();
  await Promise.all([store.close(), list.close()]);
  const storeCalls = [...store.store.callCounts.values()].reduce((sum, n) => sum + n, 0);
  return { adapters, rssMb: rssKb / 1024, storeCalls };
}
