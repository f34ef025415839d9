/**
 * The endpoint daemon, which runs beside each engine or plain service.
 * @module
 */
import * as intents from "../contract/intent.js";
import type * as objects from "../contract/objects.js";
import * as addresses from "../host/address.js";
import * as clock from "../host/clock.js";
import * as connections from "../host/connections/connections.js";
import * as daemon from "../host/daemon.js";
import * as errors from "../host/errors.js";
import * as settings from "../host/settings.js";
import * as body from "../link/body.js";
import type * as control from "../link/control.js";
import * as controls from "../link/control.js";
import * as lease from "../store/lease.js";
import * as gate from "./gate.js";
import * as server from "./server.js";
import * as service from "./service.js";
import * as turnCoordinator from "./turn-coordinator.js";
import * as vllm from "./vllm.js";

/** Settings of an endpoint daemon. */
export const SETTINGS = {
  ...daemon.SETTINGS,
  backendUrl: settings.url("backendUrl", {
    help: "The engine or plain service beside this daemon.",
  }),
  queue: settings.int("queue", 1, { help: "Largest number of waiting attempts.", default: "256" }),
  loads: settings.int("loads", 1, {
    help: "Largest number of concurrent loads on this engine.",
    default: "1",
  }),
  parallelLoads: settings.int("parallelLoads", 1, {
    help: "Loads that the weight store runs at full speed, for the whole deployment.",
    default: "1",
  }),
  leaseMs: settings.int("leaseMs", 1000, {
    help: "Duration of this daemon's lease on the engine unless renewed, in ms.",
    default: "15000",
  }),
  engineEveryMs: settings.int("engineEveryMs", 10, {
    help: "Time between polls of the engine, in ms.",
    default: "500",
  }),
  engineTimeoutMs: settings.int("engineTimeoutMs", 1, {
    help: "Timeout of calls for the engine's health and list of models, in ms.",
    default: "2000",
  }),
  engineLagMs: settings.int("engineLagMs", 0, {
    help: "Time by which the request counts of the engine may lag behind, in ms.",
    default: "2000",
  }),
  engineCancelMs: settings.int("engineCancelMs", 0, {
    help: "Time after which a cancelled request has certainly ended, whatever the counts show, in ms.",
    default: "30000",
  }),
  orderMs: settings.int("orderMs", 1, {
    help: "Timeout of a load or unload, in ms.",
    default: "60000",
  }),
  retryLoadMs: settings.int("retryLoadMs", 0, {
    help: "Time to wait after a failed load before the same adapter is loaded again, in ms.",
    default: "2000",
  }),
  halfLifeMs: settings.int("halfLifeMs", 1, {
    help: "Time after which a past request has half its weight in popularity, in ms.",
    default: "300000",
  }),
  ageMs: settings.int("ageMs", 1, {
    help: "Waiting time that doubles the score of a load, in ms.",
    default: "1000",
  }),
  turnMinMs: settings.int("turnMinMs", 1, {
    help: "Shortest time between requests for a turn at the weight store, in ms.",
    default: "20",
  }),
  turnMaxMs: settings.int("turnMaxMs", 1, {
    help: "Longest time between requests for a turn at the weight store, in ms.",
    default: "1000",
  }),
  turnHoldMs: settings.int("turnHoldMs", 1, {
    help: "Time after which a turn that was neither ended nor renewed expires, in ms.",
    default: "2000",
  }),
  guessLoadMs: settings.int("guessLoadMs", 0, {
    help: "Initial estimate of the duration of a load, in ms.",
    default: "500",
  }),
  guessServiceMs: settings.int("guessServiceMs", 0, {
    help: "Initial estimate of the duration of an answer, in ms.",
    default: "1000",
  }),
  requestLimit: settings.int("requestLimit", 1, {
    help: "Largest request for a model, in bytes.",
    default: "1048576",
  }),
  answerLimit: settings.int("answerLimit", 1, {
    help: "Largest answer that is not streamed, and largest event of one that is, in bytes.",
    default: "4194304",
  }),
} as const;
/** Values of the settings. */
export type Config = settings.Values<typeof SETTINGS>;

/** A running daemon. */
export interface Running {
  /** `ip:port` of the link server. */
  readonly linkAddress: string;
  readonly parts: daemon.Parts;
  /** The admission gate; undefined until the intent with this endpoint is known. */
  readonly gate: () => gate.Gate | undefined;
  /** Shuts down gracefully: waits at least `drainMs` and until all requests have ended. */
  readonly stop: () => Promise<void>;
  /** Stops as if killed: breaks all connections and does not hand over the engine. */
  readonly kill: () => void;
}

/** Starts the daemon; resolves when it listens, which is before it accepts work. */
export async function start(
  cfg: Config,
  clk: clock.Clock = clock.system,
  random: () => number = Math.random,
): Promise<Running> {
  const parts = daemon.assemble(cfg, clk, random);
  const lg = parts.logOf("endpoint");
  const stop = new AbortController();
  const holder = new lease.LeaseHolder(
    { endpoint: cfg.name, epoch: parts.epoch, ttlMs: cfg.leaseMs },
    { clock: clk, log: parts.logOf("lease"), store: parts.store },
  );
  const coordinator = new turnCoordinator.TurnCoordinator(
    {
      parallel: cfg.parallelLoads,
      holdMs: cfg.turnHoldMs,
      askMinMs: cfg.turnMinMs,
      askMaxMs: cfg.turnMaxMs,
    },
    {
      clock: clk,
      log: parts.logOf("turn"),
      name: cfg.name,
      members: parts.members,
      peer: parts.peer,
    },
  );
  let current: { readonly gate: gate.Gate; readonly object: objects.Endpoint } | undefined;
  let stopping = false;

  const servesEngine = (): boolean => current?.object.spec.serves === "engine";
  const engine = vllm.open({
    url: cfg.backendUrl,
    timeoutMs: cfg.engineTimeoutMs,
    orderTimeoutMs: cfg.orderMs,
    connections: cfg.queue,
  });

  function openGate(object: objects.Endpoint): gate.Gate {
    return new gate.Gate(
      {
        name: cfg.name,
        epoch: parts.epoch,
        plan: {
          seats: object.spec.seats,
          queue: cfg.queue,
          loads: cfg.loads,
          evict: { kind: "coldest" },
          order: "worth",
          ageMs: cfg.ageMs,
        },
        slots: object.spec.slots,
        halfLifeMs: cfg.halfLifeMs,
        pollIntervalMs: cfg.engineEveryMs,
        countLagMs: cfg.engineLagMs,
        maxCancelMs: cfg.engineCancelMs,
        orderTimeoutMs: cfg.orderMs,
        retryLoadMs: cfg.retryLoadMs,
        fencing: object.spec.fencing,
        initialLoadMs: cfg.guessLoadMs,
        initialServiceMs: cfg.guessServiceMs,
      },
      {
        clock: clk,
        log: parts.logOf("gate"),
        metrics: parts.metrics,
        engine: object.spec.serves === "engine" ? engine : undefined,
        turn: coordinator.client(),
        engineLease: {
          fencingNumber: () => holder.fencingNumber(),
          hasHandedOver: (epoch) => holder.hasHandedOver(epoch),
          isLost: () => object.spec.serves === "engine" && holder.state() === "lost",
        },
        sourceOf: (target) => sourceOf(parts.feed.intent(), target),
        revision: () => parts.feed.intent().revision,
      },
    );
  }

  function applyIntent(intent: intents.Intent): void {
    const object = intents.find(intent, "Endpoint", cfg.name);
    if (!object) return;
    current ??= { gate: openGate(object), object };
    current.gate.resize(object.spec.seats, object.spec.slots);
    if (intents.drained(intent, object) || stopping) current.gate.drain();
    else current.gate.resume();
  }
  parts.feed.onChange(applyIntent);

  const handler: control.Handler = {
    endpointReport: () => current?.gate.news(),
    status: () => {
      const report = current?.gate.news();
      return {
        ...daemon.commonStatus(parts),
        role: "endpoint",
        state: report?.state ?? "without intent",
        running: report?.running ?? 0,
        waiting: report?.waiting ?? 0,
        loaded: report?.loaded ?? [],
      };
    },
    changesAfter: (revision) => parts.feed.changesAfter(revision),
    receiveIntent: (page) => parts.feed.learn(page),
    cancel: (id, epoch) => current?.gate.cancel(id, epoch) ?? { kind: "unknown_epoch" },
    askTurn: (ask) => coordinator.handleAsk(ask),
    endTurn: (name) => {
      coordinator.handleEnd(name);
    },
    explain: () => [],
  };
  const linkConnections = new connections.Connections(clk, body.REFUSALS);
  const link = server.create(
    { name: cfg.name, requestLimit: cfg.requestLimit, answerLimit: cfg.answerLimit },
    {
      clock: clk,
      log: parts.logOf("link"),
      connections: linkConnections,
      gate: () => current?.gate,
      verify: parts.verify,
      control: controls.serve(cfg.name, handler, parts.verify, parts.traffic),
      engine,
      service: service.open(cfg.backendUrl, cfg.queue),
    },
  );
  const linkAddress = await addresses.listen(link, cfg.linkAddress);
  lg.info(`Listening on ${linkAddress}.`);

  await parts.members.refresh();
  const fromPeer = parts.feed.sync();
  const tasks = [
    parts.feed.run(stop.signal),
    parts.members.follow(clk, cfg.hostsEveryMs, stop.signal),
    clock.every(
      clk,
      holder.renewIntervalMs,
      stop.signal,
      () => (servesEngine() ? holder.renewOrAcquire() : undefined),
      (err) => {
        lg.warn(`Renewing the lease on the engine failed: ${errors.messageOf(err)}`);
      },
    ),
    pollEngine(),
  ];
  await fromPeer;

  /**
   * Polls the engine at an interval. The first poll waits for the first attempt to get the lease, so
   * that adapters on the engine can be taken over.
   */
  async function pollEngine(): Promise<void> {
    while (!stop.signal.aborted && !servesEngine()) {
      await clock.sleep(clk, cfg.engineEveryMs, stop.signal);
    }
    await holder.renewOrAcquire().catch((err: unknown) => {
      lg.warn(`Starting without the lease on the engine: ${errors.messageOf(err)}`);
    });
    await clock.every(
      clk,
      cfg.engineEveryMs,
      stop.signal,
      () => current?.gate.look(),
      (err) => {
        lg.error(`Polling the engine failed unexpectedly: ${errors.messageOf(err)}`);
      },
    );
  }

  return {
    linkAddress,
    parts,
    gate: () => current?.gate,
    stop: async () => {
      stopping = true;
      lg.info("Draining; no new work is accepted.");
      current?.gate.drain();
      await Promise.all([current?.gate.quiet(), clock.sleep(clk, cfg.drainMs)]);
      stop.abort();
      await linkConnections.stop(link);
      await holder.handOver().catch((err: unknown) => {
        lg.warn(`Handing over the engine failed: ${errors.messageOf(err)}`);
      });
      await Promise.all(tasks);
      current?.gate.stop();
      parts.metrics.close();
      lg.info("Stopped after all requests in flight were completed.");
    },
    kill: () => {
      stop.abort();
      current?.gate.stop();
      link.closeAllConnections();
      link.close();
      parts.metrics.close();
    },
  };
}

function sourceOf(intent: intents.Intent, target: string): string | undefined {
  const resolved = intents.resolve(intent, target);
  return resolved?.adapter.spec.versions.find((v) => v.version === resolved.version)?.source;
}
