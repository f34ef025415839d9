/**
 * The entry daemon, which serves callers' requests on an entry host. This module creates its parts,
 * connects them, and stops them.
 * @module
 */
import * as http from "node:http";
import * as undici from "undici";
import * as addresses from "../host/address.js";
import * as clock from "../host/clock.js";
import * as connections from "../host/connections/connections.js";
import * as connector from "../host/connector.js";
import * as daemon from "../host/daemon.js";
import * as errors from "../host/errors.js";
import * as responses from "../host/response.js";
import * as settings from "../host/settings.js";
import * as body from "../link/body.js";
import type * as control from "../link/control.js";
import * as controls from "../link/control.js";
import * as claims from "../request/claims.js";
import * as outcome from "../request/outcome.js";
import * as admission from "./admission.js";
import * as explain from "./explain.js";
import * as job from "./job.js";
import type * as route from "./route.js";
import * as server from "./server.js";
import * as views from "./views.js";

const ROUTES = ["estimate", "least-loaded", "random", "hash"] as const;

/** Settings of an entry daemon. */
export const SETTINGS = {
  ...daemon.SETTINGS,
  callersAddress: settings.address("callersAddress", {
    help: "Address to listen on for callers; port 0 picks a free port.",
  }),
  deadlineMs: settings.int("deadlineMs", 1, {
    help: "Deadline of the first byte for requests that set none, in ms.",
    default: "30000",
  }),
  attempts: settings.int("attempts", 1, {
    help: "Largest number of attempts for one request.",
    default: "4",
  }),
  requests: settings.int("requests", 1, {
    help: "Largest number of requests in flight on this host.",
    default: "4096",
  }),
  callerConnections: settings.int("callerConnections", 1, {
    help: "Largest number of callers' connections; for more, those without a request are closed.",
    default: "3072",
  }),
  connections: settings.int("connections", 1, {
    help: "Largest number of connections to one endpoint daemon.",
    default: "512",
  }),
  askEveryMs: settings.int("askEveryMs", 10, {
    help: "Time between polls of endpoints, in ms.",
    default: "1000",
  }),
  asked: settings.int("asked", 1, {
    help: "Endpoints polled at a time; those that may not be responding come first.",
    default: "16",
  }),
  misses: settings.int("misses", 1, {
    help: "Failed polls in a row after which an endpoint counts as not responding.",
    default: "3",
  }),
  route: settings.oneOf("route", ROUTES, {
    help: "Routing policy; all but the first are for comparison.",
    default: "estimate",
  }),
  domainMs: settings.int("domainMs", 0, {
    help: "Round-trip time to another failure domain, in ms.",
    default: "4",
  }),
  batchMs: settings.int("batchMs", 0, {
    help: "Advantage of an endpoint with a full batch over one with an empty batch, in ms.",
    default: "20",
  }),
  rankMs: settings.int("rankMs", 0, {
    help: "Cost of each place further along the ring for an endpoint without the adapter, in ms.",
    default: "50",
  }),
  candidates: settings.int("candidates", 1, {
    help: "Endpoints taken from the ring as candidates for one request.",
    default: "6",
  }),
  claimWindowMs: settings.int("claimWindowMs", 1000, {
    help: "Shortest time for which an idempotency key is kept, in ms.",
    default: "3600000",
  }),
  claimBatchMs: settings.int("claimBatchMs", 0, {
    help: "Time in which claims are collected into one call to the store, in ms.",
    default: "5",
  }),
  requestLimit: settings.int("requestLimit", 1, {
    help: "Largest request for a model, in bytes.",
    default: "1048576",
  }),
  headersMs: settings.int("headersMs", 1, {
    help: "Timeout for receiving the headers of a request, in ms.",
    default: "10000",
  }),
  requestMs: settings.int("requestMs", 1, {
    help: "Timeout for receiving a whole request, in ms.",
    default: "60000",
  }),
  retryAfterMs: settings.int("retryAfterMs", 0, {
    help: "Default Retry-After for refused requests, in ms.",
    default: "1000",
  }),
} as const;

/** Values of the settings of an entry daemon. */
export type Config = settings.Values<typeof SETTINGS>;

/** A running entry daemon. */
export interface Running {
  /** The `ip:port` that callers connect to. */
  readonly callersAddress: string;
  /** The `ip:port` that other daemons connect to. */
  readonly linkAddress: string;
  readonly parts: daemon.Parts;
  readonly views: views.EndpointViews;
  /** Shuts down gracefully: requests in flight are completed first. */
  readonly stop: () => Promise<void>;
  /** Breaks off the responses that are not complete; to be called before the process ends. */
  readonly breakOff: () => void;
  /** Stops at once, as if the process was killed: open connections are broken. */
  readonly kill: () => void;
}

/**
 * Retry tokens added for each admitted request; a retry takes one token, or less after a refusal.
 */
const RETRY_SHARE = 0.2;
/** Retry tokens added each second, however few requests there are. */
const MIN_RETRIES_PER_S = 10;
/**
 * Largest number of candidates taken per placement because they hold the adapter, in addition to
 * the ring's.
 */
const MAX_HOLDERS = 8;
/**
 * Circuit breaker of each endpoint: failures in a row that open it, and how long it stays open, in
 * ms.
 */
const CIRCUIT = { failures: 3, openMs: 1000, openMaxMs: 30_000 } as const;
/** Largest number of claims in one call to the store. */
const MAX_CLAIM_BATCH = 64;

/** Starts the daemon; resolves when it is listening. */
export async function start(
  cfg: Config,
  clk: clock.Clock = clock.system,
  random: () => number = Math.random,
): Promise<Running> {
  const parts = daemon.assemble(cfg, clk, random);
  const lg = parts.logOf("entry");
  const stopController = new AbortController();
  let draining = false;
  /** Responses to the requests in flight. */
  const open = new Set<http.ServerResponse>();

  const endpointViews = new views.EndpointViews(
    {
      maxPolled: cfg.asked,
      pollAfterMs: cfg.askEveryMs,
      maxMisses: cfg.misses,
      candidates: cfg.candidates,
      maxHolders: MAX_HOLDERS,
      circuit: CIRCUIT,
    },
    { clock: clk, log: parts.logOf("views"), members: parts.members, peer: parts.peer },
  );
  const retries = job.retryBudget(RETRY_SHARE, MIN_RETRIES_PER_S, clk);
  const dispatcher = new undici.Agent({
    connections: cfg.connections,
    pipelining: 1,
    headersTimeout: 0,
    bodyTimeout: 0,
    connect: connector.pausable({ timeout: cfg.controlTimeoutMs }),
  });
  const routing: route.Options = {
    policy: cfg.route,
    domainMs: cfg.domainMs,
    batchMs: cfg.batchMs,
    loadWeight: 1,
    rankMs: cfg.rankMs,
  };
  const callerConnections = new connections.Connections(clk, body.REFUSALS);
  const callerServer = server.create(
    {
      name: cfg.name,
      deadlineMs: cfg.deadlineMs,
      maxRequestBytes: cfg.requestLimit,
      maxInFlight: cfg.requests,
      maxConnections: cfg.callerConnections,
      headersTimeoutMs: cfg.headersMs,
      requestTimeoutMs: cfg.requestMs,
      retryAfterMs: cfg.retryAfterMs,
      job: {
        failureDomain: cfg.failureDomain,
        route: routing,
        attempts: cfg.attempts,
        retryAfterMs: cfg.retryAfterMs,
        clusterKeys: cfg.clusterKeys,
      },
    },
    {
      clock: clk,
      log: parts.logOf("callers"),
      metrics: parts.metrics,
      intent: () => parts.feed.intent(),
      ready: () => parts.feed.ready(),
      isDraining: () => draining,
      connections: callerConnections,
      admission: new admission.Admission(
        { name: cfg.name, retryAfterMs: cfg.retryAfterMs },
        clk,
        parts.members,
      ),
      claims: new claims.Claims(
        { windowMs: cfg.claimWindowMs, batchMs: cfg.claimBatchMs, maxBatchSize: MAX_CLAIM_BATCH },
        { clock: clk, log: parts.logOf("claims"), store: parts.store },
      ),
      job: {
        clock: clk,
        log: parts.logOf("job"),
        random,
        views: endpointViews,
        members: parts.members,
        peer: parts.peer,
        dispatcher,
        takeRetry: retries.takeRetry,
      },
      onAdmitted: retries.recordRequest,
    },
  );
  callerServer.on("request", (_req, res: http.ServerResponse) => {
    open.add(res);
    res.on("close", () => {
      open.delete(res);
    });
  });

  const handler: control.Handler = {
    endpointReport: () => undefined,
    status: () => ({
      ...daemon.commonStatus(parts),
      role: "entry",
      state: draining ? "draining" : parts.feed.ready() ? "serving" : "without intent",
      running: open.size,
      waiting: 0,
      loaded: [],
    }),
    changesAfter: (revision) => parts.feed.changesAfter(revision),
    receiveIntent: (page) => parts.feed.learn(page),
    cancel: () => ({ kind: "unknown_epoch" }),
    askTurn: () => ({ kind: "go" }),
    endTurn: () => undefined,
    explain: (caller, model) =>
      explain.explain(caller, model, {
        intent: parts.feed.intent(),
        views: endpointViews,
        now: clk.mono(),
        failureDomain: cfg.failureDomain,
        route: routing,
        random,
      }),
  };
  const handleControl = controls.serve(cfg.name, handler, parts.verify, parts.traffic);
  const linkServer = http.createServer((req, res) => {
    void handleControl(req, res).catch((err: unknown) => {
      body.sendFailure(res, outcome.toFailure(err, "control", cfg.name, "not_run"));
    });
  });
  const linkAddress = await addresses.listen(linkServer, cfg.linkAddress);
  const callersAddress = await addresses.listen(callerServer, cfg.callersAddress);
  lg.info(`Listening on ${callersAddress} for callers and on ${linkAddress} for daemons.`);

  await parts.members.refresh();
  const tasks = [
    parts.feed.run(stopController.signal),
    parts.members.follow(clk, cfg.hostsEveryMs, stopController.signal),
    clock.every(
      clk,
      cfg.askEveryMs,
      stopController.signal,
      () => endpointViews.poll(),
      (err) => {
        lg.error(`Polling endpoints failed: ${errors.messageOf(err)}`);
      },
    ),
  ];
  return {
    callersAddress,
    linkAddress,
    parts,
    views: endpointViews,
    stop: async () => {
      draining = true;
      callerConnections.drain("stopping");
      lg.info("Draining: /readyz tells the load balancer to stop sending requests.");
      await clock.sleep(clk, cfg.drainMs);
      await callerConnections.stop(callerServer);
      stopController.abort();
      await Promise.all(tasks);
      await daemon.closeServer(linkServer, clk);
      await dispatcher.close();
      parts.metrics.close();
      lg.info("Stopped after all requests in flight were completed.");
    },
    breakOff: () => {
      responses.breakOffAll(open);
    },
    kill: () => {
      stopController.abort();
      for (const s of [callerServer, linkServer]) {
        s.closeAllConnections();
        s.close();
      }
      void dispatcher.destroy();
      parts.metrics.close();
    },
  };
}
