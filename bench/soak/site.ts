/**
 * A site on loopback: real entry and endpoint daemons as processes, stand-ins for the store and the
 * workers, a proxy on every link between them, and a load balancer's view of the entry daemons.
 * @module
 */
import * as undici from "undici";
import * as documents from "../platform/documents.js";
import * as freePorts from "../platform/ports.js";
import * as journals from "../platform/journal.js";
import * as stores from "../platform/store.js";
import * as workers from "../platform/worker.js";
import * as daemons from "./daemon.js";
import * as proxies from "./proxy.js";
import * as teams from "./teams.js";

export const ENGINES = "llm";
export const PLAIN = "guide";
/** Milliseconds between two events of a stream. */
export const EVENT_MS = 20;
/** An adapter whose streams take long, so that callers have time to disconnect. */
export const SLOW_ADAPTER = "a14";
const SLOW_EVENT_MS = 300;
/** Number of adapter slots of an engine, unless set otherwise. */
const SLOTS = 3;
/** Milliseconds after which a worker that a request has crashed starts again. */
export const BACK_MS = 1500;
/** Milliseconds between the load balancer's readiness checks, and failed checks in a row after which it drops a daemon. */
const PROBE_INTERVAL_MS = 1000;
const MAX_FAILED_PROBES = 2;

/** Prefix of the keys that the daemons write. */
const SYSTEM_PREFIX = "sumacfield/";

const ROUTES: readonly documents.Route[] = [
  { name: "s", prefix: "/s/", kind: "streaming", service: ENGINES, attempts: 2, resumable: true },
  { name: "o", prefix: "/o/", kind: "streaming", service: ENGINES, attempts: 2 },
  { name: "c", prefix: "/c/", kind: "idempotent", service: PLAIN, attempts: 2 },
  { name: "n", prefix: "/n/", kind: "non_idempotent", service: PLAIN, attempts: 2 },
];

export interface Size {
  readonly entries: number;
  readonly engines: number;
  readonly plain: number;
  /** Adapter slots of each engine. */
  readonly slots?: number;
}

/** The place of a worker, whose worker changes with each start, with the proxies before it. */
export interface Place<W extends workers.Engine | workers.Plain = workers.Engine | workers.Plain> {
  readonly name: string;
  worker: W;
  /** Proxy before the worker. */
  readonly proxy: proxies.Proxy;
  /** Proxy before the endpoint daemon; plain workers have none. */
  readonly seats: proxies.Proxy | undefined;
  /** Address at which entry daemons reach the worker. */
  readonly address: string;
}

/** All parts of a run but the callers. */
export class Site {
  readonly store = new stores.Store();
  readonly journal = journals.createJournal();
  readonly newest = new Map<string, number>();
  /** What the operator and the workers have written and not deleted, by key. */
  private readonly documents = new Map<string, object>();
  readonly places: Place[] = [];
  readonly entries: daemons.Daemon[] = [];
  readonly endpoints: daemons.Daemon[] = [];
  /** Each daemon's proxy before the store, by the daemon's name. */
  readonly storeLinks = new Map<string, proxies.Proxy>();
  private extra: readonly documents.Route[] = [];
  private version = 0;
  private started = 0;
  private readonly failedProbes = new Map<string, number>();
  private timer: NodeJS.Timeout | undefined;
  private readonly leaving = new Set<string>();
  private hosts = 0;
  private stopped = false;
  /** How a new worker marks the end of its answers. */
  framing: () => workers.Engine["framing"] = () => "default";
  /** Milliseconds between two events of a new worker's streams. */
  eventMs = EVENT_MS;
  /** Software version of a new worker at a place; undefined if it names none. */
  software: (place: string) => string | undefined = () => undefined;
  /** Ids of prompt parts that crash the workers. */
  readonly fatalParts = new Set<string>();
  /** Called when a request has crashed a worker. */
  onWorkerCrash: (instance: string) => void = () => undefined;

  constructor(
    private readonly size: Size,
    private readonly main: string,
    private readonly folder: string,
    private readonly fault: (what: string) => void,
    /** Teams whose API keys requests must carry; left out if requests need none. */
    private readonly teams?: teams.Teams,
  ) {}

  /** A new loopback address for one host. It contains the process id, so that concurrent runs do not collide. */
  private ip(): string {
    this.hosts++;
    const n = process.pid % 50_000;
    return `127.${10 + (n >> 8)}.${n & 255}.${this.hosts}`;
  }

  async start(): Promise<void> {
    await this.store.start();
    this.configure([]);
    const seatPort = await freePorts.findFree();
    for (let i = 0; i < this.size.engines; i++) await this.addEngine(i, seatPort);
    for (let i = 0; i < this.size.plain; i++) await this.addPlain(i);
    for (let i = 0; i < this.size.entries; i++) await this.addEntry(i, seatPort);
    for (const d of [...this.endpoints, ...this.entries]) d.start();
    this.timer = setInterval(() => void this.probeAll(), PROBE_INTERVAL_MS);
    await this.untilReady();
  }

  async stop(): Promise<void> {
    this.stopped = true;
    clearInterval(this.timer);
    const all = [...this.entries, ...this.endpoints];
    for (const d of all) d.thaw();
    await Promise.all(all.map((d) => d.kill()));
    for (const d of all) d.close();
    for (const p of this.places) {
      p.worker.stop();
      p.proxy.stop();
      p.seats?.stop();
    }
    for (const p of this.storeLinks.values()) p.stop();
    this.store.stop();
  }

  /** Writes a document as the operator or a worker. */
  private write(key: string, value: object): void {
    this.documents.set(key, value);
    this.store.put(key, value);
  }

  /** Deletes a document as the operator or a worker. */
  private erase(key: string): void {
    this.documents.delete(key);
    this.store.remove(key);
  }

  /** Writes again what the operator and the workers had written or deleted and the store has lost. */
  writeAgain(): void {
    const strays = [...this.store.items.keys()].filter((key) => !this.documents.has(key));
    for (const key of strays) if (!key.startsWith(SYSTEM_PREFIX)) this.store.remove(key);
    for (const [key, value] of this.documents) this.store.put(key, value);
  }

  /** Writes a new configuration with the static routes and the `extra` ones. */
  configure(extra: readonly documents.Route[] = this.extra): void {
    this.extra = extra;
    this.version += 1 + (this.version % 3);
    const services = [
      documents.engineService(ENGINES, this.size.slots ?? SLOTS),
      documents.plainService(PLAIN),
    ];
    this.write(
      "op/config",
      documents.config(
        this.version,
        [...ROUTES, ...extra],
        services,
        this.teams && teams.toDocuments(this.teams),
      ),
    );
  }

  /** Adds a route for calls, or removes it if it exists. Returns whether it exists now. */
  toggle(prefix: string): boolean {
    const exists = this.extra.some((r) => r.prefix === prefix);
    const route: documents.Route = {
      name: prefix,
      prefix,
      kind: "idempotent",
      service: PLAIN,
      attempts: 2,
    };
    this.configure(exists ? this.extra.filter((r) => r.prefix !== prefix) : [...this.extra, route]);
    return !exists;
  }

  /** Declares a new version of an adapter, and returns it. */
  declare(adapter: string): number {
    const version = (this.newest.get(adapter) ?? 1) + 1;
    this.newest.set(adapter, version);
    const key = `op/version/${documents.MODEL}.${adapter}`;
    this.write(key, { model: documents.MODEL, adapter, version });
    return version;
  }

  /** Writes a worker's entry to the store. */
  register(p: Place): void {
    const { service, instance, name, born, software } = p.worker;
    const state = this.leaving.has(instance) ? "draining" : "ready";
    this.write(`servers/${name}`, documents.workerEntry(service, p.address, state, born, software));
  }

  /** Makes a worker announce that it leaves, in its entry and in its answers. */
  leave(p: Place): void {
    this.leaving.add(p.worker.instance);
    p.worker.leaving = true;
    this.register(p);
  }

  /**
   * Replaces the worker `instance` by a new one at the same address, which holds no adapters. Does nothing if it was replaced
   * before. A worker that reports its start time keeps its name; any other gets a new one.
   */
  async restart(p: Place, instance: string): Promise<void> {
    if (p.worker.instance !== instance) return;
    const [host, port] = p.worker.address.split(":");
    this.end(p);
    const { name, born } = p.worker;
    p.worker = this.createWorker(p.name, p.worker instanceof workers.Engine);
    if (born === undefined) this.erase(`servers/${name}`);
    else p.worker.name = name;
    await p.worker.start(host, Number(port));
    const [before = "", beforePort] = p.address.split(":");
    await p.proxy.start(before, Number(beforePort));
    this.register(p);
  }

  /** Stops a worker at once; its port refuses connections until it starts again. */
  end(p: Place): void {
    p.worker.stop();
    p.proxy.stop();
  }

  /** Handles a worker's crash by a request: restarts it after {@link BACK_MS}. */
  private restartLater(worker: workers.Engine | workers.Plain): void {
    const p = this.places.find((x) => x.worker === worker);
    if (!p || this.stopped) return;
    this.end(p);
    this.onWorkerCrash(worker.instance);
    setTimeout(() => {
      if (!this.stopped) void this.restart(p, worker.instance);
    }, BACK_MS);
  }

  private createWorker(name: string, engine: boolean): workers.Engine | workers.Plain {
    const worker = this.createInstance(`${name}.${this.started++}`, engine);
    if (reportsStart(name)) worker.born = Date.now();
    worker.software = this.software(name);
    worker.fatalParts = this.fatalParts;
    worker.onCrash = () => {
      this.restartLater(worker);
    };
    return worker;
  }

  private createInstance(instance: string, engine: boolean): workers.Engine | workers.Plain {
    if (!engine) {
      const plain = new workers.Plain(PLAIN, instance, this.journal);
      plain.framing = this.framing();
      return plain;
    }
    const slots = this.size.slots ?? SLOTS;
    const worker = new workers.Engine(ENGINES, instance, this.journal, slots, this.newest);
    worker.framing = this.framing();
    worker.eventMs = this.eventMs;
    worker.slowAdapter = { adapter: SLOW_ADAPTER, eventMs: SLOW_EVENT_MS };
    return worker;
  }

  private async addStoreLink(name: string): Promise<string> {
    const link = new proxies.Proxy(() => this.store.address);
    this.storeLinks.set(name, link);
    return link.start(this.ip());
  }

  private async addEngine(i: number, seatPort: number): Promise<void> {
    const name = `engine-${i}`;
    const ip = this.ip();
    const before = this.ip();
    const worker = this.createWorker(name, true);
    await worker.start(ip);
    const proxy = new proxies.Proxy(() => place.worker.address);
    const seats = new proxies.Proxy(() => `${ip}:${seatPort}`);
    await seats.start(before, seatPort);
    const address = await proxy.start(before);
    const place: Place = { name, worker, proxy, seats, address };
    this.places.push(place);
    this.register(place);
    const plan: daemons.Plan = {
      name: `endpoint-${i}`,
      role: "endpoint",
      ip,
      seatPort,
      store: await this.addStoreLink(`endpoint-${i}`),
      engine: worker.address,
      service: ENGINES,
    };
    this.endpoints.push(new daemons.Daemon(plan, this.main, this.folder, this.fault));
  }

  private async addPlain(i: number): Promise<void> {
    const name = `plain-${i}`;
    const worker = this.createWorker(name, false);
    await worker.start(this.ip());
    const proxy = new proxies.Proxy(() => place.worker.address);
    const address = await proxy.start(this.ip());
    const place: Place = { name, worker, proxy, seats: undefined, address };
    this.places.push(place);
    this.register(place);
  }

  private async addEntry(i: number, seatPort: number): Promise<void> {
    const ip = this.ip();
    const plan: daemons.Plan = {
      name: `entry-${i}`,
      role: "entry",
      ip,
      seatPort,
      store: await this.addStoreLink(`entry-${i}`),
      ports: [await freePorts.findFree(ip), await freePorts.findFree(ip)],
    };
    this.entries.push(new daemons.Daemon(plan, this.main, this.folder, this.fault));
  }

  /** The entry daemons that the load balancer uses: the ready ones, or all if fewer than half are ready. */
  inRotation(): readonly daemons.Daemon[] {
    const ready = this.entries.filter(
      (d) => (this.failedProbes.get(d.plan.name) ?? 0) < MAX_FAILED_PROBES,
    );
    return ready.length * 2 < this.entries.length ? this.entries : ready;
  }

  private async probeAll(): Promise<void> {
    await Promise.all(
      this.entries.map(async (d) => {
        const ready = await isReady(d);
        const misses = this.failedProbes.get(d.plan.name) ?? 0;
        this.failedProbes.set(d.plan.name, ready ? 0 : misses + 1);
      }),
    );
  }

  /** Resolves once all entry daemons are ready; throws after 10 s. */
  async untilReady(): Promise<void> {
    for (let i = 0; i < 200; i++) {
      const ready = await Promise.all(this.entries.map((d) => isReady(d)));
      if (ready.every(Boolean)) return;
      await new Promise((resolve) => setTimeout(resolve, 50));
    }
    throw new Error("entry daemons not ready after 10 s");
  }
}

async function isReady(d: daemons.Daemon): Promise<boolean> {
  try {
    const res = await undici.request(d.readiness, {
      signal: AbortSignal.timeout(PROBE_INTERVAL_MS),
    });
    await res.body.dump();
    return res.statusCode === 200;
  } catch {
    // No answer counts as not ready, as for the platform's load balancer.
    return false;
  }
}

/** Whether the workers at a place `KIND-N` report their start time: those with an even `N` do. */
function reportsStart(place: string): boolean {
  return Number(place.split("-").at(-1)) % 2 === 0;
}
