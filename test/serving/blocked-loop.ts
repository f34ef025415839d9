/**
 * An entry host's server for callers on loopback, with a stand-in worker, and callers in a thread of their own that act
 * while this thread's event loop is blocked.
 * @module
 */
import type * as net from "node:net";
import * as workerThreads from "node:worker_threads";
import * as clock from "../../src/host/clock.js";
import * as structuredLog from "../../src/host/structured-log.js";
import * as memory from "../../src/serving/buffering/memory.js";
import * as memoryBudget from "../../src/serving/buffering/memory-budget.js";
import * as authentication from "../../src/serving/authentication.js";
import * as callerServer from "../../src/serving/caller-server.js";
import * as caps from "../../src/serving/caps.js";
import * as catalog from "../../src/serving/catalog.js";
import * as earlyListener from "../../src/serving/early-listener.js";
import * as limiter from "../../src/serving/limiter.js";
import * as metrics from "../../src/serving/metrics.js";
import * as dispatcherFixture from "./dispatcher-fixture.js";
import * as fixtures from "./fixtures.js";

/** What a caller does: it sends `text` on the connection `name`, opened if there is none, and closes it if it leaves. */
export interface Act {
  readonly name: string;
  readonly text: string;
  readonly leaves: boolean;
}

/** Runs in the callers' thread. Sets the flag `holdMs` after the acts, and 20 ms later for what is on its way. */
const CALLERS = `
const { parentPort, workerData } = require("node:worker_threads");
const net = require("node:net");
const sockets = new Map();
const open = (name) => {
  const s = net.connect(workerData.port, "127.0.0.1");
  sockets.set(name, s);
  s.on("error", () => undefined);
  s.on("data", (d) => parentPort.postMessage([name, d.toString("latin1")]));
  return s;
};
parentPort.on("message", ({ acts, holdMs }) => {
  for (const a of acts) (sockets.get(a.name) ?? open(a.name)).write(a.text);
  setTimeout(() => {
    for (const a of acts) if (a.leaves) sockets.get(a.name).end();
    setTimeout(() => {
      Atomics.store(workerData.flag, 0, 1);
      Atomics.notify(workerData.flag, 0);
    }, 20);
  }, holdMs);
});
`;
/** Most milliseconds that the event loop is blocked. */
const MAX_BLOCK_MS = 5000;
const MAX_BODY_BYTES = 1_000_000;

/** Bytes of a request for `path`, whose caller waits for `waitMs`. */
export function get(path: string, waitMs = 2000): string {
  return `GET ${path} HTTP/1.1\r\nHost: a.example\r\nTest-Id: ${path}\r\nTest-Wait: ${waitMs}\r\n\r\n`;
}

/** Starts the server, the worker and the callers' thread. The worker answers at once, but never a request for /c/held,
 * and never ends the stream /c/stream. */
export async function open(route: Partial<catalog.Route> = {}, toleratesLagMs = 0) {
  const arrivals: { readonly path: string; readonly leftMs: number; closedAt?: number }[] = [];
  const worker = await fixtures.worker((req, res) => {
    const path = req.url ?? "";
    const arrival: (typeof arrivals)[number] = { path, leftMs: Number(req.headers["test-left"]) };
    arrivals.push(arrival);
    res.once("close", () => (arrival.closedAt = performance.now()));
    if (path === "/c/held") return;
    if (path === "/c/stream") {
      res.writeHead(200, fixtures.good(path)).write("id: 1\ndata: a\n\n");
      return;
    }
    res.writeHead(200, fixtures.good(path)).end("whole");
  });
  const limits = { ...fixtures.CONFIG.limits, bodyBytes: MAX_BODY_BYTES };
  const routes = [{ ...fixtures.ROUTE, timeoutMs: 9000, ...route }];
  const config = { ...fixtures.CONFIG, routes, limits };
  const current = catalog.applyUpdates(catalog.EMPTY, [
    { kind: "config", config },
    { kind: "endpoint", endpoint: fixtures.endpoint("w1", worker.address) },
  ]).updated;
  const setup = dispatcherFixture.create(current);
  const logged: string[] = [];
  const log = { ...structuredLog.silent, info: (sentence: string) => logged.push(sentence) };
  const deps = { clock: clock.system, log };
  const total = { totals: () => [], ownerCandidates: () => [], hostCount: () => 1 };
  const sharedLimiter = new limiter.Limiter({ ...deps, ...total });
  const listener = await earlyListener.open("127.0.0.1:0");
  const counted = metrics.create();
  const callers = new callerServer.CallerServer(listener, {
    ...deps,
    protocol: fixtures.WIRE,
    catalog: () => current,
    dispatcher: setup.dispatcher,
    caps: new caps.Caps({ limiter: sharedLimiter, catalog: () => current, overdraft: 0 }),
    metrics: counted,
    memory: new memory.Memory(memoryBudget.MAX_BUDGET_BYTES, { ...deps, metrics: counted }),
    freshness: () => ({ ageMs: 0, isNewest: true }),
    bounds: authentication.freshnessBounds(3000, 5000),
    random: () => 0,
    toleratesLagUntil: clock.system.mono() + toleratesLagMs,
  });
  const flag = new Int32Array(new SharedArrayBuffer(4));
  const { port } = listener.server.address() as net.AddressInfo;
  const thread = new workerThreads.Worker(CALLERS, { eval: true, workerData: { port, flag } });
  const received = new Map<string, string>();
  thread.on("message", ([name, text]: [string, string]) => {
    received.set(name, (received.get(name) ?? "") + text);
  });
  await new Promise((resolve) => thread.once("online", resolve));
  return {
    arrivals,
    /** Sentences that the server for callers logged. */
    logged,
    /** What each caller received, by the name of its connection. */
    received,
    metrics: counted,
    act: (acts: readonly Act[], holdMs = 0): void => {
      thread.postMessage({ acts, holdMs });
    },
    /** Blocks the event loop while the callers act, and stay or leave `holdMs` later. */
    actBlocked: (acts: readonly Act[], holdMs: number): void => {
      Atomics.store(flag, 0, 0);
      thread.postMessage({ acts, holdMs });
      Atomics.wait(flag, 0, 0, MAX_BLOCK_MS);
    },
    /** Breaks off all responses, as the process does when it ends. */
    breakOff: (): void => {
      callers.breakOff();
    },
    close: async (): Promise<void> => {
      await thread.terminate();
      listener.server.closeAllConnections();
      await callers.close();
      sharedLimiter.close();
      setup.close();
      worker.close();
    },
  };
}
