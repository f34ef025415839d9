/**
 * A small site in one process: stand-ins, daemons and an intent, built from a few words.
 * @module
 */
import * as crypto from "node:crypto";
import * as undici from "undici";
import * as declare from "./declare.js";
import type * as objects from "../src/contract/objects.js";
import * as endpoint from "../src/endpoint/daemon.js";
import * as entry from "../src/entry/daemon.js";
import * as clock from "../src/host/clock.js";
import * as settings from "../src/host/settings.js";
import * as control from "../src/link/control.js";
import * as change from "../src/operator/change.js";
import * as etcd from "../src/store/etcd.js";
import * as hosts from "../src/store/hosts.js";
import * as engines from "../src/standin/engine.js";
import * as hostLists from "../src/standin/hosts.js";
import type * as server from "../src/standin/server.js";
import * as services from "../src/standin/service.js";
import * as stores from "../src/standin/store.js";
import * as weightStores from "../src/standin/weights.js";

export * from "./declare.js";

/** The cluster's key on every site. */
export const KEY = "test-cluster-key-0001";

/** Settings that make daemons quick enough for tests. */
const QUICK = {
  clusterKeys: KEY,
  leaseMs: "1000",
  linkAddress: "127.0.0.1:0",
  callersAddress: "127.0.0.1:0",
  logLevel: "error",
  hostsEveryMs: "50",
  syncEveryMs: "100",
  storeCheckMs: "200",
  askEveryMs: "50",
  engineEveryMs: "50",
  engineLagMs: "100",
  drainMs: "150",
  guessLoadMs: "20",
  guessServiceMs: "50",
  retryLoadMs: "100",
  retryAfterMs: "50",
  storeTimeoutMs: "400",
  controlTimeoutMs: "400",
  storeCallsPerS: "1000",
};

/** An answer as a caller got it; `broken` when it was cut before its end. */
export interface Answer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly text: string;
  readonly broken: boolean;
}

/** Adapters of a site that names none; enough for each engine to have some on the ring. */
export const ADAPTERS: readonly string[] = [
  "captions",
  "summaries",
  "notes",
  "listings",
  "rulings",
  "holds",
  "claims",
  "bulletins",
];
const SERVICE_ENDPOINTS = 2;

/** What a test may set of a site. */
export interface Plan {
  readonly engines?: number;
  readonly entries?: number;
  readonly domains?: readonly string[];
  readonly slots?: number;
  readonly seats?: number;
  readonly stepMs?: number;
  readonly loadMs?: number;
  readonly fencing?: "honoured" | "ignored";
  readonly adapters?: readonly string[];
  readonly service?: boolean;
  readonly objects?: readonly objects.Obj[];
  readonly settings?: Readonly<Record<string, string>>;
}

export class Site {
  readonly engines: Awaited<ReturnType<typeof engines.start>>[] = [];
  readonly endpoints: endpoint.Running[] = [];
  readonly entries: entry.Running[] = [];
  services: Awaited<ReturnType<typeof services.start>> | undefined;

  private constructor(
    readonly plan: Plan,
    readonly store: Awaited<ReturnType<typeof stores.start>>,
    readonly list: Awaited<ReturnType<typeof hostLists.start>>,
    readonly weights: Awaited<ReturnType<typeof weightStores.start>>,
  ) {}

  /** Starts everything and waits until every daemon serves. */
  static async start(plan: Plan = {}): Promise<Site> {
    const site = new Site(
      plan,
      await stores.start(),
      await hostLists.start(),
      await weightStores.start(plan.loadMs ?? 10),
    );
    await site.declare(site.objects());
    for (let i = 0; i < (plan.engines ?? 2); i++) await site.addEngine(i);
    if (plan.service) await site.addService();
    for (let i = 0; i < (plan.entries ?? 1); i++) await site.addEntry(i);
    await site.settle();
    return site;
  }

  domainOf(i: number): string {
    const domains = this.plan.domains ?? ["qld-se-a", "qld-se-b", "qld-se-c"];
    return domains[i % domains.length] ?? "";
  }

  private objects(): readonly objects.Obj[] {
    const { plan } = this;
    const spec = {
      slots: plan.slots ?? 4,
      seats: plan.seats ?? 4,
      fencing: plan.fencing ?? ("ignored" as const),
    };
    const domains = plan.domains ?? ["qld-se-a", "qld-se-b", "qld-se-c"];
    const count = plan.engines ?? 2;
    const numbers = Array.from({ length: count }, (_, i) => i);
    const names = plan.adapters ?? ADAPTERS;
    return [
      ...domains.map((d) => declare.domain(d)),
      ...numbers.map((i) => declare.host(`host-${i}`, this.domainOf(i))),
      ...numbers.map((i) => declare.engineAt(`engine-${i}`, `host-${i}`, spec)),
      ...names.map((n) => declare.adapter(n, this.weights.url)),
      declare.caller("wattle", "captions"),
      declare.caller("levant", "disputes"),
      declare.grant("all"),
      declare.placement("anywhere"),
      ...(plan.service
        ? [
            declare.service("cutover"),
            declare.host("host-service", this.domainOf(0)),
            ...Array.from({ length: SERVICE_ENDPOINTS }, (_, i) =>
              declare.serviceAt(`service-${i}`, "host-service", "cutover"),
            ),
            declare.grant("cutover", { services: {} }),
            declare.placement("cutover", { services: {} }),
          ]
        : []),
      ...(plan.objects ?? []),
    ];
  }

  config(name: string, failureDomain: string, more: Readonly<Record<string, string>>) {
    return {
      ...QUICK,
      name,
      failureDomain,
      storeUrl: this.store.url,
      hostsUrl: this.list.url,
      ...this.plan.settings,
      ...more,
    };
  }

  /** Starts engine `i` without a daemon beside it. */
  async engineAlone(i: number): Promise<server.RunningServer> {
    this.engines[i] ??= await engines.start({
      slots: this.plan.slots ?? 4,
      seats: this.plan.seats ?? 4,
      stepMs: this.plan.stepMs ?? 1,
      baseModel: declare.BASE,
      fencing: this.plan.fencing === "honoured",
    });
    return this.engines[i];
  }

  async addEngine(i: number): Promise<void> {
    await this.engineAlone(i);
    await this.addEndpoint(i);
  }

  /** Starts (again) the endpoint daemon beside engine `i`; `extra` ones are not listed. */
  async addEndpoint(i: number, extra = false): Promise<endpoint.Running> {
    const backendUrl = this.engines[i]?.url ?? "";
    const cfg = this.config(`engine-${i}`, this.domainOf(i), { backendUrl });
    const running = await endpoint.start(settings.read(endpoint.SETTINGS, cfg, {}));
    if (extra) return running;
    this.endpoints[i] = running;
    this.listEndpoint(`engine-${i}`, running, this.domainOf(i));
    return running;
  }

  listEndpoint(name: string, at: endpoint.Running, failureDomain: string, leaving = false): void {
    const address = at.linkAddress;
    this.list.hosts.put({ name, role: "endpoint", failureDomain, address, leaving });
  }

  private async addService(): Promise<void> {
    this.services = await services.start();
    for (let i = 0; i < SERVICE_ENDPOINTS; i++) {
      const name = `service-${i}`;
      const cfg = this.config(name, this.domainOf(0), { backendUrl: this.services.url });
      const running = await endpoint.start(settings.read(endpoint.SETTINGS, cfg, {}));
      this.endpoints.push(running);
      this.listEndpoint(name, running, this.domainOf(0));
    }
  }

  async addEntry(i: number): Promise<entry.Running> {
    const failureDomain = this.domainOf(i);
    const cfg = this.config(`entry-${i}`, failureDomain, {});
    const running = await entry.start(settings.read(entry.SETTINGS, cfg, {}));
    this.entries[i] = running;
    const address = running.linkAddress;
    const name = `entry-${i}`;
    this.list.hosts.put({ name, role: "entry", failureDomain, address, leaving: false });
    return running;
  }

  /** The operator's hands. */
  operator(waitMs = 3000, by = "operator"): change.Deps {
    const spend = (): void => undefined;
    const traffic = { bytes: 0 };
    return {
      clock: clock.system,
      store: etcd.open({ url: this.store.url, timeoutMs: 400, spend }),
      hosts: hosts.endpointSlices(this.list.url, 400),
      peer: (m) => control.connect(m.address, m.name, [KEY], clock.system, 400, traffic),
      by,
      waitMs,
      lookMs: 20,
    };
  }

  declare(puts: readonly objects.Obj[], deletes: readonly string[] = []): Promise<change.Applied> {
    return change.apply({ puts, deletes }, this.operator());
  }

  /** Waits until every daemon has the newest intent, serves, and is known to every entry daemon. */
  async settle(): Promise<void> {
    await until(() => {
      const want = Math.max(...this.daemons().map((d) => d.parts.feed.intent().revision));
      return (
        this.daemons().every((d) => d.parts.feed.intent().revision === want) &&
        this.endpoints.every((e) => e.gate()?.news().state === "serving") &&
        this.entries.every((e) =>
          this.endpoints.every((p) => {
            const news = e.views.get(p.parts.cfg.name)?.news;
            return news?.epoch === p.parts.epoch && news.state === "serving";
          }),
        )
      );
    });
  }

  private daemons() {
    return [...this.endpoints, ...this.entries];
  }

  /** One request for a model through entry `at`. */
  ask(
    model: string,
    more: {
      readonly by?: string;
      readonly at?: number;
      readonly prompt?: string;
      readonly tokens?: number;
      readonly stream?: boolean;
      readonly headers?: Readonly<Record<string, string>>;
    } = {},
  ): Promise<Answer> {
    const body = JSON.stringify({
      model,
      prompt: more.prompt ?? crypto.randomUUID(),
      max_tokens: more.tokens ?? 4,
      stream: more.stream ?? false,
    });
    return this.call("POST", "/v1/completions", body, more);
  }

  async call(
    method: string,
    path: string,
    body: string,
    more: {
      readonly by?: string;
      readonly at?: number;
      readonly headers?: Readonly<Record<string, string>>;
    } = {},
  ): Promise<Answer> {
    const at = this.entries[more.at ?? 0]?.callersAddress ?? "";
    const res = await undici.request(`http://${at}${path}`, {
      method: method,
      headers: {
        authorization: `Bearer ${declare.callerKey(more.by ?? "wattle")}`,
        ...more.headers,
      },
      body: body === "" ? null : body,
      headersTimeout: 15_000,
      bodyTimeout: 15_000,
    });
    let text = "";
    let broken = false;
    try {
      for await (const part of res.body as AsyncIterable<Buffer>) text += part.toString();
    } catch {
      broken = true;
    }
    return { status: res.statusCode, headers: res.headers, text, broken };
  }

  /** Asks, and goes away as soon as `when` holds. */
  async askAndLeave(model: string, tokens: number, when: () => boolean): Promise<void> {
    const gone = new AbortController();
    const asked = undici.request(`http://${this.entries[0]?.callersAddress ?? ""}/v1/completions`, {
      method: "POST",
      headers: { authorization: `Bearer ${declare.callerKey("wattle")}` },
      body: JSON.stringify({ model, prompt: "p", max_tokens: tokens }),
      signal: gone.signal,
    });
    const ended = asked.catch(() => undefined);
    await until(when);
    gone.abort();
    await ended;
  }

  /** Everything the engines did, one after the other. */
  journal(): readonly engines.EngineEvent[] {
    return this.engines.flatMap((e) => e.engine.journal);
  }

  async stop(): Promise<void> {
    for (const e of this.entries) e.kill();
    for (const e of this.endpoints) e.kill();
    const standIns = [...this.engines, this.services, this.store, this.list, this.weights];
    await Promise.all(standIns.map(async (s) => s?.close()));
  }
}

/** Looks at a condition at most; more would outlast any test. */
const LOOKS = 800;

/** Waits until `holds`; throws after {@link LOOKS} looks in vain. */
export async function until(holds: () => boolean, everyMs = 10): Promise<void> {
  for (let i = 0; i < LOOKS; i++) {
    if (holds()) return;
    await new Promise((r) => setTimeout(r, everyMs));
  }
  throw new Error(`waited in vain until ${holds.toString()}`);
}

/** The failure in an answer's body. */
export function errorOf(a: Answer): Readonly<Record<string, unknown>> {
  return (JSON.parse(a.text) as { error: Record<string, unknown> }).error;
}

/** The text of a whole answer that is not a stream. */
export function textOf(a: Answer): string {
  const { choices } = JSON.parse(a.text) as { choices: readonly { text: string }[] };
  return choices[0]?.text ?? "";
}
