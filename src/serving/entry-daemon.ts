/**
 * Assembles and runs an entry daemon: the server for callers, the catalog feed, the connections to endpoint daemons and
 * workers, the metrics, and the graceful shutdown.
 * @module
 */
import * as http from "node:http";
import * as addresses from "../host/address.js";
import * as memory from "./buffering/memory.js";
import * as authentication from "./authentication.js";
import * as crashCheck from "./crash-check.js";
import * as caps from "./caps.js";
import * as peerVersion from "./configuration/peer-versions.js";
import * as clock from "../host/clock.js";
import type * as earlyListener from "./early-listener.js";
import * as dispatch from "./dispatch.js";
import * as endpointRegistry from "./endpoint-registry.js";
import * as watchPace from "./watch-pace.js";
import * as callerServer from "./caller-server.js";
import * as callerGuard from "./caller-guard.js";
import * as daemonBase from "./daemon-base.js";
import * as limiter from "./limiter.js";
import * as origins from "./continuation/origins.js";
import * as originRegister from "./continuation/origin-register.js";
import * as registerDecoder from "./continuation/register-decoder.js";
import * as streamAge from "./continuation/stream-age.js";
import * as streamLog from "./continuation/stream-log.js";
import * as metrics from "./metrics.js";
import * as connectionLimit from "../host/reading/connection-limit.js";
import * as catalog from "./catalog.js";
import type * as protocol from "./protocol.js";
import * as quarantine from "./quarantine.js";
import * as quarantineRestorer from "./quarantine-restorer.js";
import type * as retryBudget from "./retry-budget.js";
import type * as source from "../store/source.js";
import * as suspects from "./suspects.js";
import * as upstream from "./upstream.js";
import * as workerNotices from "./worker-notices.js";
import * as shedding from "./overload/shedding.js";
import * as usage from "./versions/usage.js";

/** Settings of an entry daemon. */
export interface Options {
  readonly host: string;
  readonly domain: string;
  /** `ip:port` of the load balancer's readiness check. */
  readonly readiness: string;
  /** Milliseconds after its declaration from which a version of an adapter must be the only one in use. */
  readonly versionMs: number;
  /** Milliseconds within which a change in the store must be in force. */
  readonly inForceMs: number;
  /** Milliseconds after which a revoked key is not accepted. Undefined if no time is required. */
  readonly revokedMs: number | undefined;
  /** Units by which a team's use may exceed its cap at any time. */
  readonly overdraft: number;
  /** Milliseconds from the stop signal until the process is killed. */
  readonly graceMs: number;
  readonly retries: retryBudget.Options;
  /** Bytes buffered for callers over all connections, from 1 MB to 1 GB. */
  readonly memoryBudgetBytes: number;
  /** Connections of callers that may be open at the same time. */
  readonly maxConnections: number;
  /** Write calls that the store takes a second from all daemons together. */
  readonly storeWritesPerS: number;
  /** Address of the endpoint daemon that manages an endpoint. */
  readonly daemonOf: (e: catalog.Endpoint) => string;
}

/** What an entry daemon needs. */
export interface Deps extends daemonBase.Deps {
  /** Listens on the callers' port already. */
  readonly listener: earlyListener.EarlyListener;
  readonly source: source.WritableSource;
  readonly protocol: protocol.Protocol;
}

/**
 * Milliseconds for which a stopping daemon still accepts connections: the load balancer checks readiness once a second,
 * and stops sending after two failed checks.
 */
const READINESS_NOTICE_MS = 2600;
/** Milliseconds before the kill at which the remaining requests are aborted. */
const ABORT_BEFORE_KILL_MS = 300;

/** Connections of readiness checks that may be open at the same time; the load balancer needs one or two. */
const MAX_READINESS_CONNECTIONS = 64;

/** A running daemon. */
export interface Running {
  /** Shuts down gracefully, within the grace period. */
  readonly stop: () => Promise<void>;
  /** Breaks off the responses that are not complete; to be called before the process ends in any other way. */
  readonly breakOff: () => void;
}

/** Starts the daemon. Resolves once it listens. */
export async function start(opts: Options, deps: Deps): Promise<Running> {
  const daemonMetrics = metrics.create();
  const upstreams = new upstream.Upstream(deps.protocol, deps.clock);
  let draining = false;
  const decoder = registerDecoder.wrapDecoder(quarantine.wrapDecoder(deps.decoder));
  let previous = catalog.EMPTY;
  const bounds = authentication.freshnessBounds(opts.inForceMs, opts.revokedMs);
  // Fast enough that keys can be accepted and rejected as long as the store answers.
  const pace = watchPace.promptPace(Math.min(opts.inForceMs, bounds.acceptWithinMs));
  const onChange = (current: catalog.Catalog): void => {
    if (current.config) {
      callers.configure(current.config.limits);
      peerVersions.configured();
    }
    for (const [id, evidence] of previous.quarantined)
      if (!current.quarantined.has(id)) suspectTracker.release(id, evidence);
    previous = current;
    registry.refresh();
    register.catalogChanged(current);
    streamOrigins.review();
    sharedLimiter.refresh();
    const endpointIds = new Set([...current.endpoints.values()].map((e) => e.id));
    upstreams.retain(endpointIds);
    notices.retain(endpointIds);
  };
  const catalogFeed = daemonBase.openFeed({ ...deps, decoder }, pace, {
    onChange,
    onRestored: () => {
      restorer.restore();
      openStreams.rewrite();
      suspectTracker.persistObserved();
    },
  });
  const peerVersions = new peerVersion.PeerVersions(deps.clock);
  const freshness = ({ version }: catalog.Config): authentication.Freshness => ({
    ageMs: catalogFeed.catalogAgeMs,
    isNewest: peerVersions.isNewest(version),
  });
  const suspectTracker = new suspects.Suspects({
    clock: deps.clock,
    log: deps.log("suspicion"),
    catalog: () => catalogFeed.catalog,
    crashCheck: new crashCheck.CrashCheck(deps.clock),
    metrics: daemonMetrics,
    send: (key, m) => {
      registry.relay(key, m);
    },
    claim: (key, ttlMs, text) => deps.source.claim(key, ttlMs, text),
    remove: (key) => deps.source.remove(key),
    hearsAll: () => registry.isLinked,
    hostCount: () => registry.mostHosts(),
    random: deps.random,
  });
  const registry: endpointRegistry.EndpointRegistry = new endpointRegistry.EndpointRegistry(
    {
      clock: deps.clock,
      log: deps.log("link"),
      host: opts.host,
      catalog: () => catalogFeed.catalog,
      daemonOf: opts.daemonOf,
      onSuspicion: (m, peer) => {
        suspectTracker.receive(m, peer);
      },
      onNotice: (m, peer) => {
        notices.merge(m, peer);
      },
      onConfigVersion: (version) => {
        peerVersions.announced(version);
      },
      messagesOnConnect: (address) => [
        ...suspectTracker.snapshot(),
        ...notices.snapshot((id) =>
          registry.limitAnnouncers(id).some((l) => l.address === address),
        ),
        ...sharedLimiter.attachMessagesFor(address),
        ...streamOrigins.messagesFor(address),
      ],
      limitWaitMs: (id) => notices.waitMs(id),
      availableInMs: (e) => notices.opensInMs(e),
      random: deps.random,
    },
    deps.clock,
  );
  const sharedLimiter: limiter.Limiter = new limiter.Limiter({
    clock: deps.clock,
    log: deps.log("limiter"),
    totals: () => [...caps.totals(catalogFeed.catalog.config, opts.overdraft), ...notices.totals()],
    ownerCandidates: (key, n) => registry.ownerCandidates(key, n),
    hostCount: () => registry.mostHosts(),
  });
  const restorer = new quarantineRestorer.QuarantineRestorer({
    clock: deps.clock,
    log: deps.log("suspicion"),
    lost: () => catalogFeed.lostQuarantines,
    hostCount: () => registry.mostHosts(),
    claim: (key, ttlMs, text) => deps.source.claim(key, ttlMs, text),
    random: deps.random,
  });
  const notices = new workerNotices.WorkerNotices({
    clock: deps.clock,
    log: deps.log("notices"),
    limiter: sharedLimiter,
    send: (e, m) => {
      for (const l of registry.limitAnnouncers(e.id)) l.send(m);
    },
    random: deps.random,
  });
  const register = new originRegister.OriginRegister({
    clock: deps.clock,
    log: deps.log("origins"),
    store: deps.source,
    catalog: () => catalogFeed.catalog,
    watchedMs: () => catalogFeed.watchedMs,
    hostCount: () => registry.mostHosts(),
    random: deps.random,
    onListed: () => {
      registry.notifyAvailable();
    },
  });
  const openStreams = new streamLog.StreamLog({
    clock: deps.clock,
    log: deps.log("origins"),
    store: deps.source,
    writesPerS: opts.storeWritesPerS,
    hostCount: () => registry.mostHosts(),
    streamMs: () => streamAge.longestMs(catalogFeed.catalog.config),
  });
  const streamOrigins = new origins.Origins({
    clock: deps.clock,
    log: deps.log("origins"),
    keepers: (key, n) => registry.ownerCandidates(key, n),
    register,
    streamLog: openStreams,
    config: () => catalogFeed.catalog.config,
    catalogAgeMs: () => catalogFeed.catalogAgeMs,
  });
  const teamCaps = new caps.Caps({
    limiter: sharedLimiter,
    catalog: () => catalogFeed.catalog,
    overdraft: opts.overdraft,
  });
  const requestDispatcher = new dispatch.Dispatcher(
    { domain: opts.domain, retries: opts.retries },
    {
      clock: deps.clock,
      log: deps.log("request"),
      metrics: daemonMetrics,
      endpoints: registry,
      upstream: upstreams,
      catalog: () => catalogFeed.catalog,
      catalogAgeMs: () => catalogFeed.catalogAgeMs,
      suspects: suspectTracker,
      origins: streamOrigins,
      notices,
      versionLimits: usage.limitsOf(opts.versionMs),
      authenticate: ({ route, caller }) => {
        const { config } = catalogFeed.catalog;
        if (!config || !caller) return { kind: "open" };
        const presented = { kind: "key", digest: caller.digest } as const;
        return authentication.authenticate(config, route, presented, freshness(config), bounds);
      },
      random: deps.random,
    },
  );
  const buffered = new memory.Memory(opts.memoryBudgetBytes, {
    clock: deps.clock,
    log: deps.log("memory"),
    metrics: daemonMetrics,
  });
  callerGuard.install(deps.listener, opts.maxConnections, {
    clock: deps.clock,
    log: deps.log("front"),
    metrics: daemonMetrics,
  });
  const callers = new callerServer.CallerServer(deps.listener, {
    clock: deps.clock,
    log: deps.log("front"),
    protocol: deps.protocol,
    catalog: () => catalogFeed.catalog,
    dispatcher: requestDispatcher,
    caps: teamCaps,
    metrics: daemonMetrics,
    memory: buffered,
    freshness,
    bounds,
    random: deps.random,
    toleratesLagUntil: deps.clock.mono() + shedding.STARTUP_MS,
  });
  daemonMetrics.addGauge("sumacfield_requests_open", "Requests under way.", () =>
    callers.inFlight(),
  );
  daemonMetrics.addGauge(
    "sumacfield_caller_connections",
    "Open connections of callers.",
    () => deps.listener.limit.size,
  );
  daemonMetrics.addGauge(
    "sumacfield_connections_waiting",
    "Connections with bytes that were read and wait to be parsed.",
    () => deps.listener.reader.waitingCount,
  );
  daemonMetrics.addGauge(
    "sumacfield_loop_lag_ms",
    "Milliseconds by which the event loop is behind.",
    () => Math.round(callers.lagMs()),
  );
  daemonMetrics.addGauge(
    "sumacfield_store_revision",
    "Store revision known.",
    () => catalogFeed.catalog.position.revision,
  );
  daemonMetrics.addGauge(
    "sumacfield_store_era",
    "Era of that revision; it rises when the store is restored from a backup.",
    () => catalogFeed.catalog.position.era,
  );
  daemonMetrics.addGauge(
    "sumacfield_store_news_age_ms",
    "Milliseconds since as new as the store.",
    () => Math.round(catalogFeed.catalogAgeMs),
  );
  daemonMetrics.addGauge(
    "sumacfield_documents_unreadable",
    "Documents that could not be read.",
    () => catalogFeed.unreadableCount,
  );
  daemonMetrics.addGauge(
    "sumacfield_endpoints_kept",
    "Endpoints in use though their entries are missing.",
    () => catalogFeed.entryGrace.keptCount,
  );
  daemonMetrics.addGauge(
    "sumacfield_documents_withheld",
    "Deleted documents that are back after the store was restored, and not used.",
    () => catalogFeed.entryGrace.withheldCount,
  );
  daemonMetrics.addGauge(
    "sumacfield_origins_remembered",
    "Streams of this host whose origins it remembers.",
    () => streamOrigins.size,
  );
  daemonMetrics.addGauge(
    "sumacfield_streams_unlogged",
    "Streams whose origins wait to be written to the store.",
    () => openStreams.waitingCount,
  );
  daemonMetrics.addGauge(
    "sumacfield_workers_limited",
    "Workers that name a limit.",
    () => notices.size,
  );
  daemonMetrics.addGauge(
    "sumacfield_workers_leaving",
    "Workers that say they leave.",
    () => notices.leaving,
  );
  daemonMetrics.addGauge(
    "sumacfield_workers_paused",
    "Workers that want nothing from this host for now.",
    () => notices.paused,
  );
  daemonMetrics.addGauge(
    "sumacfield_requests_suspected",
    "Requests under which workers ended lately.",
    () => suspectTracker.size,
  );
  daemonMetrics.addGauge(
    "sumacfield_part_sets_quarantined",
    "Sets of prompt parts in quarantine.",
    () => suspectTracker.partSetCount,
  );
  daemonMetrics.addGauge(
    "sumacfield_memory_held_bytes",
    "Bytes buffered for callers.",
    () => buffered.heldBytes,
  );
  daemonMetrics.addGauge(
    "sumacfield_memory_budget_bytes",
    "Most bytes to be buffered for callers.",
    () => buffered.budgetBytes,
  );
  const readiness = await answerReadiness(
    opts.readiness,
    deps.listener,
    () => catalogFeed.catalog.config !== undefined && !draining,
  );
  await metrics.tryServe(daemonMetrics, deps.metricsAddress, deps.log("metrics"));
  void catalogFeed.run();
  void register.run();
  return {
    breakOff: () => {
      callers.breakOff();
    },
    stop: async () => {
      draining = true;
      callers.startDraining();
      requestDispatcher.startDraining();
      const abortAt = deps.clock.mono() + opts.graceMs - ABORT_BEFORE_KILL_MS;
      await clock.sleep(deps.clock, Math.min(READINESS_NOTICE_MS, opts.graceMs / 2));
      const deadline = clock.sleep(deps.clock, abortAt - deps.clock.mono());
      await Promise.race([callers.close(), deadline]);
      callers.breakOff();
      readiness.close();
      buffered.close();
      catalogFeed.stop();
      register.close();
      openStreams.close();
      sharedLimiter.close();
      requestDispatcher.close();
      registry.close();
      upstreams.close();
    },
  };
}

/** Serves the load balancer's readiness check: 200 if ready, 503 if not. */
async function answerReadiness(
  address: string,
  { reader, connections: callers }: Pick<earlyListener.EarlyListener, "reader" | "connections">,
  ready: () => boolean,
): Promise<http.Server> {
  const server = http.createServer(
    callers.listener((_req, res) => {
      res.writeHead(ready() ? 200 : 503, { "content-length": 0 });
      res.end();
    }),
  );
  callers.install(server);
  reader.install(server);
  new connectionLimit.ConnectionLimit(MAX_READINESS_CONNECTIONS, callers).install(server);
  await addresses.listen(server, address);
  return server;
}
