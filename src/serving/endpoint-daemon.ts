/**
 * Assembles and runs an endpoint daemon: the manager of the engine on its host, the server for entry
 * daemons, and the configuration feed.
 * @module
 */
import * as clock from "../host/clock.js";
import * as seatServer from "./seat-server.js";
import type * as engine from "./engine.js";
import * as feed from "./feed.js";
import * as watchPace from "./watch-pace.js";
import * as daemonBase from "./daemon-base.js";
import * as engineManager from "./engine-manager.js";
import * as limiterOwner from "./limiter-owner.js";
import * as noticeRelay from "./notice-relay.js";
import * as originKeeper from "./continuation/origin-keeper.js";
import * as metrics from "./metrics.js";
import * as modelTurns from "./model-turns.js";
import * as suspicionRelay from "./suspicion-relay.js";
import * as fairShares from "./sharing/fair-shares.js";

export interface Options {
  /** `ip:port` to listen at for entry daemons. */
  readonly seatsAddress: string;
  /** Name of the service that the engine belongs to. */
  readonly service: string;
  /** Milliseconds after its declaration from which a version must be the only one in use. */
  readonly versionMs: number;
  /** Weights of the teams' shares of the engine, 0.01 to 100; 1 for a team that is not listed. */
  readonly teamWeights?: fairShares.Weights | undefined;
}

export interface Deps extends daemonBase.Deps {
  readonly engine: engine.Engine;
}

/** Milliseconds between checks for the first configuration. */
const CONFIG_POLL_MS = 20;

/** Starts the daemon; resolves when it listens. Throws a RangeError if a team's weight is out of range. */
export async function start(
  opts: Options,
  deps: Deps,
): Promise<{ readonly stop: () => Promise<void> }> {
  const teamWeights = fairShares.checkWeights(opts.teamWeights ?? new Map());
  const registry = metrics.create();
  const lg = deps.log("keeper");
  const notices = new noticeRelay.NoticeRelay(deps.clock, () => {
    manager.noticesChanged();
  });
  const fed = daemonBase.openFeed(deps, watchPace.RELAXED_PACE, {
    onChange: () => {
      manager.catalogChanged();
    },
    onRestored: () => {
      turns.storeRestored();
    },
  });
  const turns = new modelTurns.ModelTurns({
    clock: deps.clock,
    log: lg,
    claim: (key, ttlMs) => deps.source.claim(key, ttlMs),
    random: deps.random,
  });
  const manager = new engineManager.EngineManager({
    clock: deps.clock,
    log: lg,
    engine: deps.engine,
    catalog: () => fed.catalog,
    service: opts.service,
    versionMs: opts.versionMs,
    modelTurn: () =>
      turns.take(opts.service, fed.catalog.config?.services.get(opts.service)?.engine?.loadsPerS),
    notices,
    teamWeights,
    onGrant: registry.recordGrant,
  });
  const origins = new originKeeper.OriginKeeper(deps.clock);
  const limiter = new limiterOwner.LimiterOwner({ clock: deps.clock, log: deps.log("limiter") });
  const server = await seatServer.listen(opts.seatsAddress, {
    log: deps.log("desk"),
    engineManager: manager,
    relay: new suspicionRelay.SuspicionRelay({ clock: deps.clock, log: deps.log("suspicion") }),
    limiter,
    notices,
    origins,
  });
  await metrics.tryServe(registry, deps.metricsAddress, deps.log("metrics"));
  registry.addGauge("sumacfield_seats", "Seats given or asked for.", () => manager.seatCount());
  registry.addGauge(
    "sumacfield_crowding",
    "Share of the batch or of the allowed prefill in use; 1 is full.",
    () => manager.crowding(),
  );
  registry.addGauge(
    "sumacfield_totals_kept",
    "Totals over all hosts kept here.",
    () => limiter.size,
  );
  registry.addGauge(
    "sumacfield_teams_over_share",
    "Teams that exceed their share of the engine while others ask.",
    () => manager.overTeamCount(),
  );
  registry.addGauge(
    "sumacfield_origins_kept",
    "Streams whose origins are kept here.",
    () => origins.size,
  );
  void fed.run();
  void waitForConfig(deps, fed).then(() => manager.run());
  return {
    stop: () => {
      server.close();
      manager.stop();
      fed.stop();
      return Promise.resolve();
    },
  };
}

/** Waits until the feed has a first configuration. */
async function waitForConfig(deps: Deps, fed: feed.Feed): Promise<void> {
  while (!fed.catalog.config) await clock.sleep(deps.clock, CONFIG_POLL_MS);
}
