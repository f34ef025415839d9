/**
 * The catalog: a host's read-only snapshot of the routes, services, adapter versions and endpoints in the store, and the
 * updates that turn one snapshot into the next. The platform's decoder makes updates from stored documents.
 * @module
 */
import * as selector from "../contract/selector.js";
import * as register from "./continuation/register.js";
import * as declared from "./versions/declared.js";
import * as position from "../store/position.js";
import type * as tokenBalance from "./token-balance.js";
import * as incarnation from "./incarnation.js";

/** Whether a request may be sent again. A `stream` is a series of events, and counts as `once` unless resumable. */
export type RequestKind = "idempotent" | "once" | "stream";

/** One of the services among which a route's requests are split. */
export interface Share {
  readonly service: string;
  /** Relative weight: the service gets this part of the sum of the route's weights. */
  readonly weight: number;
}

/** Maps requests to services, and sets their time limits and retries. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Path prefix. Begins and ends with a slash. */
  readonly prefix: string;
  readonly kind: RequestKind;
  /** Whether a broken stream may be resumed at another endpoint. */
  readonly resumable: boolean;
  /** Longest time, in ms, for which a caller may be kept waiting, set by the operator. */
  readonly timeoutMs: number;
  /** Latency target, in ms: until the whole response, or until the first event of a stream. */
  readonly targetMs: number;
  /** Target for the pause between two events of a stream, in ms. */
  readonly gapMs: number;
  /** Maximum number of endpoints that one request may run on. */
  readonly attempts: number;
  /** Urgency: 0 is served first. */
  readonly rank: number;
  /** Whether the route accepts requests without an API key. */
  readonly allowsAnonymous: boolean;
  readonly shares: readonly Share[];
}

/** Rate limit of a team's requests, over all hosts together. */
export interface Cap extends tokenBalance.Cap {
  /** What is counted: requests, or the tokens of requests. */
  readonly unit: "requests" | "tokens";
  /** Tokens charged for a request that does not state its token count. */
  readonly defaultTokens: number;
}

/** A customer: callers that share keys, a rank and a cap. */
export interface Team {
  readonly name: string;
  /** Urgency of the team's requests, overriding the route's rank. Undefined to use the route's rank. */
  readonly rank?: number | undefined;
  /** Undefined if the team's use is not limited. */
  readonly cap?: Cap | undefined;
}

/** The teams of a configuration. */
export interface Teams {
  readonly all: readonly Team[];
  /** The team of each key, by the key's SHA-256 in hex. A key that two teams list belongs to neither. */
  readonly byDigest: ReadonlyMap<string, Team>;
  /** Number of team entries that could not be decoded. Their keys are not accepted. */
  readonly malformedCount: number;
}

/** A base model that engines of a service can load. */
export interface Model {
  readonly name: string;
  readonly sizeMb: number;
  readonly loadMs: number;
}

/** What an engine runs at once, and how it streams. */
export interface Batch {
  /** Number of requests that run at once; beyond it, the engine preempts running requests. */
  readonly requests: number;
  /** Prompt and answer tokens that the KV cache holds. */
  readonly cacheTokens: number;
  /** Answer tokens in one event of a stream. */
  readonly eventTokens: number;
}

/** Capacity of the engines of a service, and the base models that they load. */
export interface EngineSpec {
  /** Number of adapters that an engine holds at once. */
  readonly slots: number;
  /** Base model loads per second that the weight store allows, over all engines together. */
  readonly loadsPerS: number;
  /** Capacity of the batch; undefined if the configuration does not state it. */
  readonly batch?: Batch | undefined;
  readonly models: readonly Model[];
}

/** A group of endpoints that serve the same requests. */
export interface Service {
  readonly name: string;
  /** Selects the service's endpoints by their labels. */
  readonly endpoints: selector.Selector;
  /** Path of an endpoint's health check. */
  readonly healthPath: string;
  /** Maximum number of connections to one endpoint from all hosts together. */
  readonly connections: number;
  /** Defined if the service's endpoints are language-model engines. */
  readonly engine?: EngineSpec | undefined;
}

/** Limits on the size of requests, and timeouts of callers' connections. */
export interface Limits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headersMs: number;
  readonly idleMs: number;
}

/** One incarnation of a worker, from the entry that it registered in the store. */
export interface Endpoint {
  /** Changes with every start of a worker whose entry states its start time. See {@link incarnation.idOf}. */
  readonly id: string;
  /** `ip:port`. */
  readonly address: string;
  readonly domain: string;
  readonly labels: selector.Labels;
  /** Number of requests that the endpoint runs at once. */
  readonly seats: number;
  /** Whether the worker has announced that it will stop. */
  readonly leaving: boolean;
}

/** One version of the operator's configuration. */
export interface Config {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: ReadonlyMap<string, Service>;
  readonly limits: Limits;
  /** Undefined if requests need no key. */
  readonly teams?: Teams | undefined;
}

/** A snapshot of everything that a host reads from the store. */
export interface Catalog {
  /** The configuration in force. Undefined until the first one has been read. */
  readonly config: Config | undefined;
  /** Newest declared version of each adapter, by {@link adapterKey}. */
  readonly versions: ReadonlyMap<string, declared.Declared>;
  /** The newest incarnation of each worker, by the worker's name. */
  readonly endpoints: ReadonlyMap<string, Endpoint>;
  /** Ids of incarnations that announced that they leave, and whose entries are gone. They do not come back. */
  readonly departed: ReadonlySet<string>;
  /** Evidence against the requests that must not be sent to any worker, by the request's identity. */
  readonly quarantined: ReadonlyMap<string, string>;
  /** The register of the origins that resumable streams may have. */
  readonly origins: register.Register;
  /** The store's position at this snapshot. */
  readonly position: position.Position;
}

/** The catalog of a host that has not read the store yet. */
export const EMPTY: Catalog = {
  config: undefined,
  versions: new Map(),
  endpoints: new Map(),
  departed: new Set(),
  quarantined: new Map(),
  origins: register.EMPTY,
  position: position.Position.START,
};

/** Label with the name of the service that an endpoint registered for. */
export const SERVICE_LABEL = "sumacfield/service";
/** Label with the name of an endpoint's failure domain. */
export const DOMAIN_LABEL = "sumacfield/failure-domain";
/** Label of an endpoint: the version of its worker's software; missing if the worker announces none. */
export const SOFTWARE_LABEL = "sumacfield/software";

/** The version of an endpoint's software; empty if its worker announces none. */
export function softwareOf(e: Endpoint): string {
  return e.labels[SOFTWARE_LABEL] ?? "";
}

/** The key of a model's adapter in {@link Catalog.versions}. */
export function adapterKey(model: string, adapter: string): string {
  return `${model}/${adapter}`;
}

/** One update of the catalog. */
export type Update =
  | { readonly kind: "config"; readonly config: Config }
  | {
      readonly kind: "version";
      readonly key: string;
      readonly version: number;
      /** Monotonic ms before which it was certainly not declared; left out if that is not known. */
      readonly notBefore?: number;
    }
  | { readonly kind: "endpoint"; readonly endpoint: Endpoint }
  | { readonly kind: "endpoint_gone"; readonly worker: string }
  /** Requests with this {@link identity.of | identity} must not be sent to any worker. */
  | { readonly kind: "quarantine"; readonly identity: string; readonly evidence: string }
  | { readonly kind: "release"; readonly identity: string }
  | { readonly kind: "origins"; readonly register: register.Register };

/** Number of departed incarnations that are remembered. */
const MAX_DEPARTED = 1024;

/**
 * Returns the catalog after one update. An older configuration, an older adapter version, or an entry from an earlier
 * start of a worker leaves the catalog as it is. An incarnation that has announced that it leaves stays so, whatever its
 * entry says later.
 */
export function applyUpdate(catalog: Catalog, update: Update): Catalog {
  return applyUpdates(catalog, [update]).updated;
}

/** Returns the catalog after some updates, and those updates that changed it. */
export function applyUpdates(
  from: Catalog,
  updates: readonly Update[],
): { readonly updated: Catalog; readonly applied: readonly Update[] } {
  const versions = copyOnWrite(from.versions);
  const endpoints = copyOnWrite(from.endpoints);
  let { config, departed, quarantined, origins } = from;
  const applied = updates.filter((c) => {
    switch (c.kind) {
      case "config":
        if (config && config.version >= c.config.version) return false;
        config = c.config;
        return true;
      case "version": {
        const known = versions.read().get(c.key);
        const next = declared.declare(known, c.version, c.notBefore ?? -Infinity);
        if (!next || next === known) return false;
        versions.write().set(c.key, next);
        return true;
      }
      case "endpoint": {
        const worker = incarnation.workerOf(c.endpoint.id);
        const current = endpoints.read().get(worker);
        const isLeaving =
          departed.has(c.endpoint.id) || (current?.id === c.endpoint.id && current.leaving);
        const endpoint = isLeaving ? { ...c.endpoint, leaving: true } : c.endpoint;
        // Workers rewrite their entries repeatedly, mostly without a change that matters here.
        if (isSame(current, endpoint)) return false;
        if (current && incarnation.isOlder(endpoint.id, current.id)) return false;
        endpoints.write().set(worker, endpoint);
        return true;
      }
      case "endpoint_gone": {
        const current = endpoints.read().get(c.worker);
        if (!current) return false;
        if (current.leaving) departed = new Set([...departed, current.id].slice(-MAX_DEPARTED));
        return endpoints.write().delete(c.worker);
      }
      case "quarantine":
        if (quarantined.has(c.identity)) return false;
        quarantined = new Map([...quarantined, [c.identity, c.evidence]]);
        return true;
      case "release":
        if (!quarantined.has(c.identity)) return false;
        quarantined = new Map([...quarantined].filter(([identity]) => identity !== c.identity));
        return true;
      case "origins":
        if (register.format(origins) === register.format(c.register)) return false;
        origins = c.register;
        return true;
    }
  });
  if (applied.length === 0) return { updated: from, applied };
  return {
    updated: {
      ...from,
      config,
      versions: versions.read(),
      endpoints: endpoints.read(),
      departed,
      quarantined,
      origins,
    },
    applied,
  };
}

/** Wraps a map that is copied once, before its first change. */
function copyOnWrite<K, V>(from: ReadonlyMap<K, V>) {
  let copy: Map<K, V> | undefined;
  return {
    read: (): ReadonlyMap<K, V> => copy ?? from,
    write: (): Map<K, V> => (copy ??= new Map(from)),
  };
}

/** Whether an endpoint's entry has the same content as the current one. */
function isSame(a: Endpoint | undefined, b: Endpoint): boolean {
  if (a?.id !== b.id || a.address !== b.address || a.domain !== b.domain) return false;
  if (a.seats !== b.seats || a.leaving !== b.leaving) return false;
  const names = Object.keys(b.labels);
  if (names.length !== Object.keys(a.labels).length) return false;
  return names.every((name) => a.labels[name] === b.labels[name]);
}

/** Whether this incarnation of an endpoint is the registered one, with the same software, and is not leaving. */
export function isUsable(catalog: Catalog, e: Endpoint): boolean {
  const current = catalog.endpoints.get(incarnation.workerOf(e.id));
  return current?.id === e.id && !current.leaving && softwareOf(current) === softwareOf(e);
}

/**
 * Whether an endpoint's worker has announced that it leaves: by its entry, or by the entry's removal. An entry of a later
 * incarnation announces nothing about this one.
 */
export function isLeaving(catalog: Catalog, e: Endpoint): boolean {
  return catalog.endpoints.get(incarnation.workerOf(e.id))?.leaving ?? true;
}

/** Cache of the endpoints that each service's selector selects, for each value of {@link Catalog.endpoints}. */
const selectedEndpoints = new WeakMap<
  Catalog["endpoints"],
  WeakMap<Service, readonly Endpoint[]>
>();

/** The endpoints that a service's selector selects. */
export function endpointsOf(catalog: Catalog, service: Service): readonly Endpoint[] {
  const byService =
    selectedEndpoints.get(catalog.endpoints) ?? new WeakMap<Service, readonly Endpoint[]>();
  selectedEndpoints.set(catalog.endpoints, byService);
  const cached = byService.get(service);
  if (cached) return cached;
  const all = [...catalog.endpoints.values()];
  const selected = all.filter((e) => selector.matches(service.endpoints, e.labels));
  byService.set(service, selected);
  return selected;
}

/** Finds the route of `host` with the longest prefix that matches `path`. */
export function findRoute(config: Config, host: string, path: string): Route | undefined {
  let best: Route | undefined;
  for (const r of config.routes) {
    if (r.host !== host || !path.startsWith(r.prefix)) continue;
    if (!best || r.prefix.length > best.prefix.length) best = r;
  }
  return best;
}

/** Picks the service of one request at random, by the weights of the route. `random` returns a number in [0, 1). */
export function pickService(
  config: Config,
  route: Route,
  random: () => number,
): Service | undefined {
  const total = route.shares.reduce((sum, s) => sum + s.weight, 0);
  let remaining = random() * total;
  for (const s of route.shares) {
    remaining -= s.weight;
    if (remaining < 0) return config.services.get(s.service);
  }
  return config.services.get(route.shares.at(-1)?.service ?? "");
}

/** Whether a request of this route may run more than once. */
export function isRepeatable(r: Route): boolean {
  return r.kind === "idempotent" || (r.kind === "stream" && r.resumable);
}
