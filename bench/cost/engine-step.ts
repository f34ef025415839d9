/**
 * What one request costs an endpoint daemon: the steps of its engine manager from the request for a seat to the end of
 * the run, on an engine whose batch is full and for which other requests wait.
 * @module
 */
import * as structuredLog from "../../src/host/structured-log.js";
import type * as announcer from "../../src/serving/announcer.js";
import * as catalog from "../../src/serving/catalog.js";
import type * as engine from "../../src/serving/engine.js";
import * as engineManager from "../../src/serving/engine-manager.js";
import * as notices from "../../src/serving/notices.js";
import type * as seatMessages from "../../src/serving/seat-messages.js";
import * as time from "../measure/time.js";
import * as workload from "../measure/workload.js";

export interface Load {
  /** Seats that are granted, and seats that wait. */
  readonly open: number;
  readonly waiting: number;
  /** Whether the streams must be steady, so that room, pace and shares are decided. */
  readonly isSteady: boolean;
  /** Number of connected entry daemons. */
  readonly entries: number;
}

/** The deployment of the largest load: a batch of 30, 18 adapters on the engine, 8 routes, 16 teams. */
export const CROWDED: Load = { open: 30, waiting: 20, isSteady: true, entries: 26 };

const MODEL = "m";
const ADAPTERS = 18;
const ROUTES = 8;
const TEAMS = 16;
const EVENT_TOKENS = 7;
const SEED = 7;
/** Half of the milliseconds between two requests. */
const INTERVAL_MS = 25;

function configOf(load: Load): catalog.Config {
  const batch = { requests: load.open, cacheTokens: 1_000_000, eventTokens: EVENT_TOKENS };
  const spec: catalog.EngineSpec = { slots: ADAPTERS, loadsPerS: 1, models: [], batch };
  const service = (name: string): catalog.Service => ({
    name,
    endpoints: { matchLabels: {} },
    healthPath: "/healthz",
    connections: 100,
    engine: spec,
  });
  const route = (n: number): catalog.Route => ({
    name: `route-${n}`,
    host: "a.example",
    prefix: `/${n}/`,
    kind: "stream",
    resumable: false,
    timeoutMs: 2000,
    targetMs: 1000,
    gapMs: load.isSteady ? 300 : 400,
    attempts: 2,
    rank: n % 3,
    allowsAnonymous: false,
    shares: [{ service: n < ROUTES / 2 ? "other" : "guide", weight: 1 }],
  });
  const all = Array.from({ length: TEAMS }, (_, n) => ({ name: `team-${n}` }));
  return {
    version: 1,
    routes: Array.from({ length: ROUTES }, (_, n) => route(n)),
    services: new Map(["other", "guide"].map((name) => [name, service(name)])),
    teams: { all, byDigest: new Map(), malformedCount: 0 },
    limits: { headerBytes: 4096, bodyBytes: 1000, headersMs: 2000, idleMs: 5000 },
  };
}

/** An engine that holds its adapters and accepts no orders. */
function engineWith(adapters: number): engine.Engine {
  const held = Array.from({ length: adapters }, (_, n) => ({ adapter: `a${n}`, version: 1 }));
  return {
    report: () =>
      Promise.resolve({
        models: [{ name: MODEL, version: 1, adapters: held }],
        localModels: [],
        pending: [],
        notice: notices.EMPTY,
        busy: false,
        sequence: 0,
        queued: 0,
        active: 0,
      }),
    order: () => Promise.resolve({ kind: "refused", status: 409 }),
    identify: () => Promise.resolve("i1"),
  };
}

/** An engine manager under load, in virtual time. */
export class LoadedManager {
  private readonly time = new time.Time();
  private readonly manager: engineManager.EngineManager;
  private readonly clients: readonly announcer.Client[];
  /** The seats that were granted and not ended, the oldest first. */
  private granted: { readonly client: announcer.Client; readonly seat: number }[] = [];
  private readonly random: () => number;
  private begun: ReadonlySet<number> = new Set();
  private asked = 0;

  constructor(private readonly load: Load) {
    this.random = workload.randomOf(SEED);
    const at: catalog.Catalog = { ...catalog.EMPTY, config: configOf(load) };
    this.manager = new engineManager.EngineManager({
      clock: this.time,
      log: structuredLog.silent,
      engine: engineWith(ADAPTERS),
      catalog: () => at,
      service: "guide",
      versionMs: 5000,
      modelTurn: () => Promise.resolve(false),
      notices: { isLeaving: () => false, observe: () => undefined },
    });
    this.clients = Array.from({ length: load.entries }, (_, n) => this.client(`host-${n}`));
  }

  private client(host: string): announcer.Client {
    const client: announcer.Client = {
      host,
      send: (m) => {
        if (m.kind === "grant") this.granted.push({ client, seat: m.seat });
      },
      sendLine: () => undefined,
    };
    return client;
  }

  /** Starts the manager, and fills the engine and its queue. */
  async start(): Promise<void> {
    for (const c of this.clients) this.manager.join(c);
    void this.manager.run();
    await this.time.runUntil(100);
    for (let i = 0; i < this.load.open + this.load.waiting; i++) {
      this.ask();
      await this.time.runUntil(this.time.mono() + INTERVAL_MS);
      this.beginAll();
    }
  }

  /** One run ends, one request is added, and the first event of the run that was granted meanwhile comes. */
  async step(): Promise<void> {
    const oldest = this.granted.shift();
    if (oldest) {
      const pauseMs = 100 + 250 * this.random();
      const stream = { events: 42, spanMs: 42 * (50 + 30 * this.random()), pauseMs };
      this.manager.endSeat(oldest.client, oldest.seat, "whole", stream);
    }
    this.ask();
    await this.time.runUntil(this.time.mono() + INTERVAL_MS);
    this.beginAll();
    await this.time.runUntil(this.time.mono() + INTERVAL_MS);
  }

  stop(): void {
    this.manager.stop();
  }

  private ask(): void {
    const n = this.asked++;
    const client = this.clients[Math.floor(this.random() * this.clients.length)];
    // The larger half of the load is the first team's, which exceeds its share then.
    const team = this.random() < 0.5 ? 0 : Math.floor(this.random() * TEAMS);
    const m: seatMessages.Ask = {
      kind: "ask",
      seat: n,
      request: `r${n}`,
      model: MODEL,
      adapter: `a${Math.floor(this.random() * ADAPTERS)}`,
      version: 1,
      promptTokens: 200 + Math.floor(1200 * this.random()),
      answerTokens: 294,
      rank: n % 3,
      // Nothing is late or expires, so that the number of seats stays the same.
      targetMs: 1e7,
      leftMs: 1e9,
      firm: false,
      team: `team-${team}`,
      gapMs: 300,
    };
    if (client) this.manager.ask(client, m);
  }

  private beginAll(): void {
    for (const { client, seat } of this.granted) {
      if (this.begun.has(seat)) continue;
      this.manager.recordFirstEvent(client, seat, 80);
    }
    this.begun = new Set(this.granted.map((g) => g.seat));
  }
}

const WARM_STEPS = 400;
const STEPS = 1000;
const RUNS = 5;

/** Microseconds of processor time for one request: the least of several runs, as other work on the machine adds to it. */
export async function request(load: Load): Promise<number> {
  const loaded = new LoadedManager(load);
  await loaded.start();
  for (let i = 0; i < WARM_STEPS; i++) await loaded.step();
  const us: number[] = [];
  for (let r = 0; r < RUNS; r++) {
    const before = process.cpuUsage();
    for (let i = 0; i < STEPS; i++) await loaded.step();
    const used = process.cpuUsage(before);
    us.push((used.user + used.system) / STEPS);
  }
  loaded.stop();
  return Math.min(...us);
}
