/**
 * The entry daemon: takes callers' requests on each entry host.
 * @module
 */
import * as http from "node:http";
import * as undici from "undici";
import * as addresses from "../host/address.js";
import * as clock from "../host/clock.js";
import * as daemon from "../host/daemon.js";
import * as errors from "../host/why.js";
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
    help: "Where callers reach this daemon; port 0 takes a free one.",
  }),
  deadlineMs: settings.int("deadlineMs", 1, {
    help: "Time to the first byte for requests that name none, in ms.",
    default: "30000",
  }),
  attempts: settings.int("attempts", 1, {
    help: "Attempts for one request at most.",
    default: "4",
  }),
  requests: settings.int("requests", 1, {
    help: "Requests under way on this host at most.",
    default: "4096",
  }),
  connections: settings.int("connections", 1, {
    help: "Connections to one endpoint daemon at most.",
    default: "512",
  }),
  askEveryMs: settings.int("askEveryMs", 10, {
    help: "Time between questions to endpoints for news, in ms.",
    default: "1000",
  }),
  asked: settings.int("asked", 1, {
    help: "Endpoints asked for news at a time, those first that may be silent.",
    default: "16",
  }),
  misses: settings.int("misses", 1, {
    help: "Questions without an answer after which an endpoint counts as silent.",
    default: "3",
  }),
  route: settings.word("route", ROUTES, {
    help: "How endpoints are chosen; all but the first are for comparison.",
    default: "estimate",
  }),
  domainMs: settings.int("domainMs", 0, {
    help: "Time that another failure domain is away, both ways, in ms.",
    default: "4",
  }),
  batchMs: settings.int("batchMs", 0, {
    help: "Time that a full batch is preferred by over an empty one, in ms.",
    default: "20",
  }),
  rankMs: settings.int("rankMs", 0, {
    help: "Time that each step down the ring costs an endpoint without the adapter, in ms.",
    default: "50",
  }),
  candidates: settings.int("candidates", 1, {
    help: "Endpoints of the ring weighed for one request.",
    default: "6",
  }),
  claimWindowMs: settings.int("claimWindowMs", 1000, {
    help: "Time for which an idempotency key is remembered at least, in ms.",
    default: "3600000",
  }),
  claimBatchMs: settings.int("claimBatchMs", 0, {
    help: "Time within which claims share one call to the store, in ms.",
    default: "5",
  }),
  requestLimit: settings.int("requestLimit", 1, {
    help: "Largest request for a model, in bytes.",
    default: "1048576",
  }),
  headersMs: settings.int("headersMs", 1, {
    help: "Time for a caller to send its headers, in ms.",
    default: "10000",
  }),
  requestMs: settings.int("requestMs", 1, {
    help: "Time for a caller to send its whole request, in ms.",
    default: "60000",
  }),
  retryAfterMs: settings.int("retryAfterMs", 0, {
    help: "Time told to come back after when nothing better is known, in ms.",
    default: "1000",
  }),
} as const;
export type Config = settings.Values<typeof SETTINGS>;

/** A daemon that runs. */
export interface Running {
  /** `ip:port` for callers. */
  readonly callersAddress: string;
  readonly linkAddress: string;
  readonly parts: daemon.Parts;
  readonly views: views.Views;
  /** Stops gracefully: no request in progress is cut off. */
  readonly stop: () => Promise<void>;
  /** Stops as if killed: connections break. */
  readonly kill: () => void;
}

const RETRY_SHARE = 0.2;
const RETRIES_PER_S = 10;
const HOLDERS = 8;
const CIRCUIT = { failures: 3, openMs: 1000, openMaxMs: 30_000 } as const;
const CLAIM_BATCH = 64;

/** Starts the daemon; resolves when it listens. */
export async function start(
  cfg: Config,
  clk: clock.Clock = clock.system,
  random: () => number = Math.random,
): Promise<Running> {
  const parts = daemon.assemble(cfg, clk, random);
  const lg = parts.logOf("entry");
  const stop = new AbortController();
  let leaving = false;
  let underWay = 0;

  const known = new views.Views(
    {
      asked: cfg.asked,
      quietMs: cfg.askEveryMs,
      misses: cfg.misses,
      candidates: cfg.candidates,
      holders: HOLDERS,
      circuit: CIRCUIT,
    },
    { clock: clk, log: parts.logOf("views"), members: parts.members, peer: parts.peer },
  );
  const retries = job.retryBudget(RETRY_SHARE, RETRIES_PER_S, clk);
  const dispatcher = new undici.Agent({
    connections: cfg.connections,
    pipelining: 1,
    headersTimeout: 0,
    bodyTimeout: 0,
    connect: { timeout: cfg.controlTimeoutMs },
  });
  const routing: route.Options = {
    policy: cfg.route,
    domainMs: cfg.domainMs,
    batchMs: cfg.batchMs,
    loadWeight: 1,
    rankMs: cfg.rankMs,
  };
  const callers = server.create(
    {
      name: cfg.name,
      deadlineMs: cfg.deadlineMs,
      requestLimit: cfg.requestLimit,
      requests: cfg.requests,
      headersMs: cfg.headersMs,
      requestMs: cfg.requestMs,
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
      leaving: () => leaving,
      admission: new admission.Admission(
        { name: cfg.name, busyMs: cfg.retryAfterMs },
        clk,
        parts.members,
      ),
      claims: new claims.Claims(
        { windowMs: cfg.claimWindowMs, batchMs: cfg.claimBatchMs, batch: CLAIM_BATCH },
        { clock: clk, log: parts.logOf("claims"), store: parts.store },
      ),
      job: {
        clock: clk,
        log: parts.logOf("job"),
        random,
        views: known,
        members: parts.members,
        peer: parts.peer,
        dispatcher,
        retry: retries.take,
      },
      letIn: retries.request,
    },
  );
  callers.on("request", (_req, res: http.ServerResponse) => {
    underWay++;
    res.on("close", () => {
      underWay--;
    });
  });

  const handler: control.Handler = {
    news: () => undefined,
    status: () => ({
      ...daemon.commonStatus(parts),
      role: "entry",
      state: leaving ? "draining" : parts.feed.ready() ? "serving" : "without intent",
      running: underWay,
      waiting: 0,
      loaded: [],
    }),
    changesAfter: (revision) => parts.feed.after(revision),
    learn: (page) => parts.feed.learn(page),
    cancel: () => ({ kind: "unknown_epoch" }),
    askTurn: () => ({ kind: "go" }),
    endTurn: () => undefined,
    explain: (caller, model) =>
      explain.explain(caller, model, {
        intent: parts.feed.intent(),
        views: known,
        now: clk.mono(),
        failureDomain: cfg.failureDomain,
        route: routing,
        random,
      }),
  };
  const takeControl = controls.serve(cfg.name, handler, parts.verify, parts.traffic);
  const link = http.createServer((req, res) => {
    void takeControl(req, res).catch((err: unknown) => {
      body.refuse(res, outcome.toFailure(err, "control", cfg.name, "not_run"));
    });
  });
  const linkAddress = await addresses.listen(link, cfg.linkAddress);
  const callersAddress = await addresses.listen(callers, cfg.callersAddress);
  lg.info(`Listening for callers on ${callersAddress}, for daemons on ${linkAddress}.`);

  await parts.members.refresh();
  const tasks = [
    parts.feed.run(stop.signal),
    parts.members.follow(clk, cfg.hostsEveryMs, stop.signal),
    clock.every(
      clk,
      cfg.askEveryMs,
      stop.signal,
      () => known.ask(),
      (err) => {
        lg.error(`Asking for news broke off: ${errors.why(err)}`);
      },
    ),
  ];
  return {
    callersAddress,
    linkAddress,
    parts,
    views: known,
    stop: async () => {
      leaving = true;
      lg.info("Leaving: the balancer is told by /readyz.");
      await clock.sleep(clk, cfg.drainMs);
      await daemon.close(callers, clk);
      stop.abort();
      await Promise.all(tasks);
      await daemon.close(link, clk);
      await dispatcher.close();
      parts.metrics.close();
      lg.info("Stopped; nothing was cut off.");
    },
    kill: () => {
      stop.abort();
      for (const s of [callers, link]) {
        s.closeAllConnections();
        s.close();
      }
      void dispatcher.destroy();
      parts.metrics.close();
    },
  };
}
