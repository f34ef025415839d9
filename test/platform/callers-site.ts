import type * as http from "node:http";
import * as net from "node:net";
import * as documents from "../../platform/documents.js";
import * as wire from "../../platform/wire.js";
import * as clock from "../../src/host/clock.js";
import * as structuredLog from "../../src/host/structured-log.js";
import * as authentication from "../../src/serving/authentication.js";
import * as memory from "../../src/serving/buffering/memory.js";
import * as memoryBudget from "../../src/serving/buffering/memory-budget.js";
import * as caps from "../../src/serving/caps.js";
import * as catalog from "../../src/serving/catalog.js";
import * as limiter from "../../src/serving/limiter.js";
import * as earlyListener from "../../src/serving/early-listener.js";
import * as callerServer from "../../src/serving/caller-server.js";
import * as metrics from "../../src/serving/metrics.js";
import * as dispatcherFixture from "../serving/dispatcher-fixture.js";
import * as fixtures from "../serving/fixtures.js";

const BOUNDS = authentication.freshnessBounds(3000, 5000);
export const TEAMS = [
  { name: "news", apiKeys: ["k-news", "k-news-2"], priority: 0 },
  { name: "sport", apiKeys: ["k-sport"] },
  {
    name: "small",
    apiKeys: ["k-small"],
    unit: "token_rate",
    plainTokens: 50,
    ratePerS: 100,
    burst: 100,
  },
  { name: "keyless", apiKeys: [] },
];
const LIMITS = {
  maxHeaderBytes: 8192,
  maxBodyBytes: 100_000,
  headerTimeoutMs: 3000,
  idleTimeoutMs: 5000,
};

function config(version: number, tenants: unknown): object {
  const route = {
    host: "a.example",
    kind: "idempotent",
    timeoutMs: 1500,
    targetLatencyMs: 300,
    priority: 3,
    service: "guide",
    attempts: 1,
  };
  return {
    version,
    routes: [
      { ...route, name: "closed", prefix: "/closed/" },
      { ...route, name: "open", prefix: "/open/", noAuth: true },
    ],
    services: [{ name: "guide" }],
    limits: LIMITS,
    tenants,
  };
}

function withConfig(from: catalog.Catalog, version: number, tenants: unknown): catalog.Catalog {
  const step = documents.updateOf("op/config", JSON.stringify(config(version, tenants)));
  return step ? catalog.applyUpdate(from, step) : from;
}

/** Milliseconds that the worker works on each request. */
const WORK_MS = 5;

/** Starts an entry daemon's server for callers, on a real port, in front of one plain worker, which answers by `raw` if it is given. */
export async function site(
  budgetBytes = memoryBudget.MAX_BUDGET_BYTES,
  workMs: (path: string) => number = () => WORK_MS,
  raw?: (socket: net.Socket) => void,
) {
  const seen: { path: string; headers: http.IncomingHttpHeaders; raw: string[] }[] = [];
  const answer = (req: http.IncomingMessage, res: http.ServerResponse): void => {
    seen.push({ path: req.url ?? "", headers: req.headers, raw: req.rawHeaders });
    const id = String(req.headers["x-sumacfield-attempt-id"] ?? "");
    const headers = { "x-sumacfield-attempt-id": id, "x-sumacfield-server-signature": "s" };
    setTimeout(
      () => {
        res.writeHead(200, headers);
        res.end("whole");
      },
      workMs(req.url ?? ""),
    );
  };
  const worker = await (raw ? fixtures.rawWorker(raw) : fixtures.worker(answer));
  let ageMs = 0;
  const endpoint = {
    ...fixtures.endpoint("w1", worker.address),
    labels: { "sumacfield/service": "guide" },
  };
  let current = catalog.applyUpdate(withConfig(catalog.EMPTY, 1, TEAMS), {
    kind: "endpoint",
    endpoint,
  });
  const testDispatcher = dispatcherFixture.create(
    () => current,
    undefined,
    clock.system,
    wire.PROTOCOL,
  );
  const sharedLimiter = new limiter.Limiter({
    clock: clock.system,
    log: structuredLog.silent,
    totals: () => caps.totals(current.config, 0),
    ownerCandidates: () => [],
    hostCount: () => 1,
  });
  const teamCaps = new caps.Caps({ limiter: sharedLimiter, catalog: () => current, overdraft: 0 });
  const listener = await earlyListener.open("127.0.0.1:0");
  const callers = new callerServer.CallerServer(listener, {
    clock: clock.system,
    log: structuredLog.silent,
    protocol: wire.PROTOCOL,
    catalog: () => current,
    dispatcher: testDispatcher.dispatcher,
    caps: teamCaps,
    metrics: metrics.create(),
    memory: new memory.Memory(budgetBytes, {
      clock: clock.system,
      log: structuredLog.silent,
      metrics: metrics.create(),
    }),
    freshness: () => ({ ageMs, isNewest: true }),
    bounds: BOUNDS,
    random: () => 0,
    toleratesLagUntil: 0,
  });
  return {
    seen,
    port: (listener.server.address() as net.AddressInfo).port,
    configure: (version: number, tenants: unknown): void => {
      current = withConfig(current, version, tenants);
    },
    setCatalogAge: (ms: number): void => {
      ageMs = ms;
    },
    inFlight: (): number => callers.inFlight(),
    startDraining: (): void => {
      callers.startDraining();
    },
    stop: async (): Promise<void> => {
      listener.server.closeAllConnections();
      await callers.close();
      sharedLimiter.close();
      testDispatcher.close();
      worker.close();
    },
  };
}

export type Site = Awaited<ReturnType<typeof site>>;
