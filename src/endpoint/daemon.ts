/**
 * The endpoint daemon: one beside each engine or plain service.
 * @module
 */
import * as intents from "../contract/intent.js";
import type * as objects from "../contract/objects.js";
import * as addresses from "../host/address.js";
import * as clock from "../host/clock.js";
import * as daemon from "../host/daemon.js";
import * as errors from "../host/why.js";
import * as settings from "../host/settings.js";
import type * as control from "../link/control.js";
import * as controls from "../link/control.js";
import * as lease from "../store/lease.js";
import * as gate from "./gate.js";
import * as server from "./server.js";
import * as service from "./service.js";
import * as turn from "./turn.js";
import * as vllm from "./vllm.js";

/** Settings of an endpoint daemon. */
export const SETTINGS = {
  ...daemon.SETTINGS,
  backendUrl: settings.url("backendUrl", {
    help: "The engine or plain service beside this daemon.",
  }),
  queue: settings.int("queue", 1, { help: "Attempts that may wait here.", default: "256" }),
  loads: settings.int("loads", 1, {
    help: "Loads under way at once on this engine.",
    default: "1",
  }),
  parallelLoads: settings.int("parallelLoads", 1, {
    help: "Loads that the weight store runs at full speed for the whole deployment.",
    default: "1",
  }),
  leaseMs: settings.int("leaseMs", 1000, {
    help: "Life of this daemon's hold on the engine unless kept alive, in ms.",
    default: "15000",
  }),
  engineEveryMs: settings.int("engineEveryMs", 10, {
    help: "Time between looks at the engine, in ms.",
    default: "500",
  }),
  engineTimeoutMs: settings.int("engineTimeoutMs", 1, {
    help: "Patience with the engine's health and lists, in ms.",
    default: "2000",
  }),
  engineLagMs: settings.int("engineLagMs", 0, {
    help: "How far the engine's counts may lag, in ms.",
    default: "2000",
  }),
  engineCancelMs: settings.int("engineCancelMs", 0, {
    help: "Time after which a cancelled request has surely ended, whatever the counts say, in ms.",
    default: "30000",
  }),
  orderMs: settings.int("orderMs", 1, {
    help: "Patience with a load or unload, in ms.",
    default: "60000",
  }),
  retryLoadMs: settings.int("retryLoadMs", 0, {
    help: "Time after a failed load before that adapter is tried here again, in ms.",
    default: "2000",
  }),
  halfLifeMs: settings.int("halfLifeMs", 1, {
    help: "Time in which a past request loses half its weight in popularity, in ms.",
    default: "300000",
  }),
  ageMs: settings.int("ageMs", 1, {
    help: "Waiting that doubles the score of a load, in ms.",
    default: "1000",
  }),
  turnMinMs: settings.int("turnMinMs", 1, {
    help: "Shortest wait between questions for a turn at the weight store, in ms.",
    default: "20",
  }),
  turnMaxMs: settings.int("turnMaxMs", 1, {
    help: "Longest wait between questions for a turn at the weight store, in ms.",
    default: "1000",
  }),
  turnHoldMs: settings.int("turnHoldMs", 1, {
    help: "Time after which a turn that was neither kept nor given back is free, in ms.",
    default: "2000",
  }),
  guessLoadMs: settings.int("guessLoadMs", 0, {
    help: "First guess of one load, in ms, until some were seen.",
    default: "500",
  }),
  guessServiceMs: settings.int("guessServiceMs", 0, {
    help: "First guess of one answer, in ms, until some were seen.",
    default: "1000",
  }),
  requestLimit: settings.int("requestLimit", 1, {
    help: "Largest request for a model, in bytes.",
    default: "1048576",
  }),
  answerLimit: settings.int("answerLimit", 1, {
    help: "Largest answer that is not a stream, in bytes.",
    default: "4194304",
  }),
} as const;
export type Config = settings.Values<typeof SETTINGS>;

/** A daemon that runs. */
export interface Running {
  /** `ip:port` of the link server. */
  readonly linkAddress: string;
  readonly parts: daemon.Parts;
  readonly gate: () => gate.Gate | undefined;
  /** Stops gracefully: no request in progress is cut off. */
  readonly stop: () => Promise<void>;
  /** Stops as if killed: connections break, nothing is handed over. */
  readonly kill: () => void;
}

/** Starts the daemon; resolves when it listens, which is before it takes work. */
export async function start(
  cfg: Config,
  clk: clock.Clock = clock.system,
  random: () => number = Math.random,
): Promise<Running> {
  const parts = daemon.assemble(cfg, clk, random);
  const lg = parts.logOf("endpoint");
  const stop = new AbortController();
  const holder = new lease.Holder(
    { endpoint: cfg.name, epoch: parts.epoch, ttlMs: cfg.leaseMs },
    { clock: clk, log: parts.logOf("lease"), store: parts.store },
  );
  const desk = new turn.Desk(
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
  let at: { readonly gate: gate.Gate; readonly object: objects.Endpoint } | undefined;
  let leaving = false;

  const isEngine = (): boolean => at?.object.spec.serves === "engine";
  const engine = vllm.open({
    url: cfg.backendUrl,
    timeoutMs: cfg.engineTimeoutMs,
    orderMs: cfg.orderMs,
    connections: cfg.queue,
  });

  function open(object: objects.Endpoint): gate.Gate {
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
        healthMs: cfg.engineEveryMs,
        lagMs: cfg.engineLagMs,
        cancelMs: cfg.engineCancelMs,
        orderMs: cfg.orderMs,
        retryLoadMs: cfg.retryLoadMs,
        fencing: object.spec.fencing,
        guessLoadMs: cfg.guessLoadMs,
        guessServiceMs: cfg.guessServiceMs,
      },
      {
        clock: clk,
        log: parts.logOf("gate"),
        metrics: parts.metrics,
        engine: object.spec.serves === "engine" ? engine : undefined,
        turn: desk.own(),
        hold: {
          fence: () => holder.fence(),
          trusts: (epoch) => holder.trusts(epoch),
          lost: () => object.spec.serves === "engine" && holder.state() === "lost",
        },
        source: (target) => sourceOf(parts.feed.intent(), target),
        revision: () => parts.feed.intent().revision,
      },
    );
  }

  function follow(now: intents.Intent): void {
    const object = intents.find(now, "Endpoint", cfg.name);
    if (!object) return;
    at ??= { gate: open(object), object };
    at.gate.resize(object.spec.seats, object.spec.slots);
    if (intents.drained(now, object) || leaving) at.gate.drain();
    else at.gate.resume();
  }
  parts.feed.onChange(follow);

  const handler: control.Handler = {
    news: () => at?.gate.news(),
    status: () => {
      const news = at?.gate.news();
      return {
        ...daemon.commonStatus(parts),
        role: "endpoint",
        state: news?.state ?? "without intent",
        running: news?.running ?? 0,
        waiting: news?.waiting ?? 0,
        loaded: news?.loaded ?? [],
      };
    },
    changesAfter: (revision) => parts.feed.after(revision),
    learn: (page) => parts.feed.learn(page),
    cancel: (id, epoch) => at?.gate.cancel(id, epoch) ?? { kind: "unknown_epoch" },
    askTurn: (ask) => desk.ask(ask),
    endTurn: (name) => {
      desk.end(name);
    },
    explain: () => [],
  };
  const link = server.create(
    { name: cfg.name, requestLimit: cfg.requestLimit, answerLimit: cfg.answerLimit },
    {
      clock: clk,
      log: parts.logOf("link"),
      gate: () => at?.gate,
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
      holder.everyMs,
      stop.signal,
      () => (isEngine() ? holder.step() : undefined),
      (err) => {
        lg.warn(`The hold on the engine was not renewed: ${errors.why(err)}`);
      },
    ),
    look(),
  ];
  await fromPeer;

  /** The first look waits for the first try at the lease, so that adapters can be taken over. */
  async function look(): Promise<void> {
    while (!stop.signal.aborted && !isEngine()) {
      await clock.sleep(clk, cfg.engineEveryMs, stop.signal);
    }
    await holder.step().catch((err: unknown) => {
      lg.warn(`Starting without a hold on the engine: ${errors.why(err)}`);
    });
    await clock.every(
      clk,
      cfg.engineEveryMs,
      stop.signal,
      () => at?.gate.look(),
      (err) => {
        lg.error(`A look at the engine broke off: ${errors.why(err)}`);
      },
    );
  }

  return {
    linkAddress,
    parts,
    gate: () => at?.gate,
    stop: async () => {
      leaving = true;
      lg.info("Leaving: no new work is taken.");
      at?.gate.drain();
      await Promise.all([at?.gate.quiet(), clock.sleep(clk, cfg.drainMs)]);
      stop.abort();
      await daemon.close(link, clk);
      await holder.handOver().catch((err: unknown) => {
        lg.warn(`The engine was not handed over: ${errors.why(err)}`);
      });
      await Promise.all(tasks);
      at?.gate.stop();
      parts.metrics.close();
      lg.info("Stopped; nothing was cut off.");
    },
    kill: () => {
      stop.abort();
      at?.gate.stop();
      link.closeAllConnections();
      link.close();
      parts.metrics.close();
    },
  };
}

function sourceOf(now: intents.Intent, target: string): string | undefined {
  const found = intents.resolve(now, target);
  return found?.adapter.spec.versions.find((v) => v.version === found.version)?.source;
}
