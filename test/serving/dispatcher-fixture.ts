/**
 * Dispatcher for tests, with the parts that it needs, over a catalog that the test provides.
 * @module
 */
import * as clock from "../../src/host/clock.js";
import * as structuredLog from "../../src/host/structured-log.js";
import type * as authentication from "../../src/serving/authentication.js";
import * as crashCheck from "../../src/serving/crash-check.js";
import type * as callerRequest from "../../src/serving/caller-request.js";
import type * as catalog from "../../src/serving/catalog.js";
import * as dispatch from "../../src/serving/dispatch.js";
import * as endpointRegistry from "../../src/serving/endpoint-registry.js";
import * as metrics from "../../src/serving/metrics.js";
import type * as protocol from "../../src/serving/protocol.js";
import type * as progress from "../../src/serving/progress.js";
import type * as retryBudget from "../../src/serving/retry-budget.js";
import * as suspects from "../../src/serving/suspects.js";
import * as limiter from "../../src/serving/limiter.js";
import * as workerNotices from "../../src/serving/worker-notices.js";
import * as upstream from "../../src/serving/upstream.js";
import * as fixtures from "./fixtures.js";

/** Retry budget that allows even the first request a few retries. */
const RETRIES: retryBudget.Options = { ratio: 16, slack: 0, windowMs: 10_000 };

/**
 * Creates a dispatcher over a catalog, or over a function that returns the current one. `daemonOf` returns the address of an
 * engine's endpoint daemon.
 */
export function create(
  current: catalog.Catalog | (() => catalog.Catalog),
  daemonOf: (e: catalog.Endpoint) => string = (e) => e.address,
  clk: clock.Clock = clock.system,
  wire: protocol.Protocol = fixtures.WIRE,
  authenticate: (a: callerRequest.CallerRequest) => authentication.Verdict = () => ({
    kind: "open",
  }),
  budget: retryBudget.Options = RETRIES,
  over: Partial<dispatch.Deps> = {},
) {
  const currentCatalog = typeof current === "function" ? current : () => current;
  const known = new endpointRegistry.EndpointRegistry(
    {
      clock: clk,
      log: structuredLog.silent,
      host: "entry",
      catalog: currentCatalog,
      daemonOf,
      onSuspicion: (m, peer) => {
        suspectList.receive(m, peer);
      },
      messagesOnConnect: () => suspectList.snapshot(),
      random: () => 0,
      onNotice: (m, peer) => {
        notices.merge(m, peer);
      },
      onConfigVersion: () => undefined,
      limitWaitMs: (id) => notices.waitMs(id),
      availableInMs: (e) => notices.opensInMs(e),
    },
    clk,
  );
  const sharedLimiter: limiter.Limiter = new limiter.Limiter({
    clock: clk,
    log: structuredLog.silent,
    totals: () => notices.totals(),
    ownerCandidates: (key, n) => known.ownerCandidates(key, n),
    hostCount: () => known.mostHosts() ?? 1,
  });
  const notices = new workerNotices.WorkerNotices({
    clock: clk,
    log: structuredLog.silent,
    limiter: sharedLimiter,
    send: () => undefined,
    random: () => 0,
  });
  const suspectList = new suspects.Suspects({
    clock: clk,
    log: structuredLog.silent,
    catalog: currentCatalog,
    crashCheck: new crashCheck.CrashCheck(clk),
    metrics: metrics.create(),
    send: (key, m) => {
      known.relay(key, m);
    },
    claim: () => Promise.resolve(true),
    remove: () => Promise.resolve(),
    hearsAll: () => true,
    hostCount: () => 1,
    random: () => 0,
  });
  const upstreamPools = new upstream.Upstream(wire, clk);
  const dispatcher = new dispatch.Dispatcher(
    { domain: "d1", retries: budget },
    {
      clock: clk,
      log: structuredLog.silent,
      metrics: metrics.create(),
      endpoints: known,
      upstream: upstreamPools,
      catalog: currentCatalog,
      catalogAgeMs: () => 0,
      suspects: suspectList,
      origins: {
        isOnlyOne: () => true,
        mayBegin: () => true,
        begun: () => undefined,
        ended: () => undefined,
        find: ({ service }) =>
          Promise.resolve({
            kind: "known",
            origin: { service: service.name, software: "" },
            from: "only_one",
          }),
      },
      notices,
      authenticate,
      random: () => 0,
      versionLimits: { sendMs: 2500, beginMs: 4500 },
      ...over,
    },
  );
  return {
    known,
    notices,
    dispatcher,
    suspects: suspectList,
    close: (): void => {
      dispatcher.close();
      sharedLimiter.close();
      upstreamPools.close();
      known.close();
    },
  };
}

/** A response to a caller that records the calls made on it. */
export function recorded(): {
  readonly response: progress.CallerResponse;
  readonly seen: readonly string[];
} {
  const seen: string[] = [];
  const response: progress.CallerResponse = {
    disconnected: new AbortController().signal,
    writeHead: (status) => seen.push(`begin ${status}`),
    write: () => undefined,
    end: () => seen.push("end"),
    abort: () => seen.push("broken"),
    sendWhole: (status) => seen.push(`answer ${status}`),
    refuse: (status) => seen.push(`refuse ${status}`),
  };
  return { response, seen };
}

/** A streaming request for the adapter `a` of the model `m`, with a deadline `waitMs` from now. */
export function streamRequest(
  service: catalog.Service,
  route: catalog.Route,
  waitMs: number,
): callerRequest.CallerRequest {
  return fixtures.request({
    route,
    service,
    meta: {
      id: "r1",
      waitMs,
      target: { model: "m", adapter: "a" },
      promptTokens: 100,
      answerTokens: 10,
      parts: [],
    },
    dueAt: performance.now() + waitMs,
  });
}
