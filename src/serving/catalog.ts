/**
 * What a host knows of routes, services, adapters' versions and endpoints, as one read-only value
 * that changes by steps. The platform's adapter makes the steps; the decisions read the value.
 * @module
 */
import * as selector from "../contract/selector.js";
import type * as allowance from "./allowance.js";
import * as incarnation from "./incarnation.js";

/** What may be repeated. A `stream` is a series of events; it counts as `once` unless resumable. */
export type RequestKind = "idempotent" | "once" | "stream";

/** One of the services that a route's requests are spread over. */
export interface Share {
  readonly service: string;
  /** Part of the requests, against the sum of the route's weights. */
  readonly weight: number;
}

/** Which requests go to which service, and within which bounds. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Path prefix; begins and ends with a slash. */
  readonly prefix: string;
  readonly kind: RequestKind;
  /** Whether a broken stream may go on at another endpoint. */
  readonly resumable: boolean;
  /** Longest time that the operator wants a caller kept waiting, in ms. */
  readonly timeoutMs: number;
  /** Time within which an answer is on time, in ms; to the first event for streams. */
  readonly targetMs: number;
  /** Longest pause between two events of a stream that is on time, in ms. */
  readonly gapMs: number;
  /** Endpoints that one request may run on at most. */
  readonly attempts: number;
  /** Urgency; 0 goes first. */
  readonly rank: number;
  /** Whether it takes requests without a key. */
  readonly open: boolean;
  readonly shares: readonly Share[];
}

/** What the requests of a team may use, over all hosts together. */
export interface Cap extends allowance.Cap {
  /** What a request counts as: itself, or its tokens. */
  readonly unit: "requests" | "tokens";
  /** Tokens of a request that does not say how many it has. */
  readonly defaultTokens: number;
}

/** Callers that share their keys, their rank and their cap. */
export interface Team {
  readonly name: string;
  /** Urgency of its requests, which goes before that of their routes; undefined where the routes' holds. */
  readonly rank?: number | undefined;
  /** Left out where nothing bounds what the team uses. */
  readonly cap?: Cap | undefined;
}

/** The teams of a configuration. */
export interface Teams {
  readonly all: readonly Team[];
  /** The team that holds a key, by the key's SHA-256; a key that two teams list is held by neither. */
  readonly byDigest: ReadonlyMap<string, Team>;
  /** Entries that could not be read. Their keys are unknown. */
  readonly malformed: number;
}

/** A base model that engines of a service run. */
export interface Model {
  readonly name: string;
  readonly sizeMb: number;
  readonly loadMs: number;
}

/** What the engines of a service have room for. */
export interface EngineSpec {
  /** Adapters held at once. */
  readonly slots: number;
  /** Loads of base models that the weight store allows a second, over all engines. */
  readonly loadsPerS: number;
  readonly models: readonly Model[];
}

/** A group of endpoints that serve the same requests. */
export interface Service {
  readonly name: string;
  /** Picks the endpoints of this service by their labels. */
  readonly endpoints: selector.Selector;
  /** Where an endpoint answers whether it is well. */
  readonly healthPath: string;
  /** Connections that one endpoint takes from all hosts together. */
  readonly connections: number;
  /** Present for language-model engines. */
  readonly engine?: EngineSpec | undefined;
}

/** Bounds on what callers send, and on how long they stay idle. */
export interface Limits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headersMs: number;
  readonly idleMs: number;
}

/** One incarnation of a worker, as it registered itself. */
export interface Endpoint {
  /** New with every start of the worker that tells its start: see {@link incarnation.idOf}. */
  readonly id: string;
  /** `ip:port`. */
  readonly address: string;
  readonly domain: string;
  readonly labels: selector.Labels;
  /** Requests it takes at once. */
  readonly seats: number;
  readonly leaving: boolean;
}

/** The configuration in force: routes and services at one version. */
export interface Config {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: ReadonlyMap<string, Service>;
  readonly limits: Limits;
  /** Undefined where requests need no key. */
  readonly teams?: Teams | undefined;
}

export interface Catalog {
  readonly config: Config | undefined;
  /** Newest declared version of an adapter, by {@link adapterKey}. */
  readonly versions: ReadonlyMap<string, number>;
  /** The newest incarnation of each worker, by the worker's name. */
  readonly endpoints: ReadonlyMap<string, Endpoint>;
  /** Identities of requests that must reach no worker. */
  readonly quarantined: ReadonlySet<string>;
  /** Revision of the store that this value is as new as. */
  readonly revision: number;
}

/** The catalog of a host that has heard nothing yet. */
export const EMPTY: Catalog = {
  config: undefined,
  versions: new Map(),
  endpoints: new Map(),
  quarantined: new Set(),
  revision: 0,
};

/** Label that names the service an endpoint registered for. */
export const SERVICE_LABEL = "sumacfield/service";
/** Label that names an endpoint's failure domain. */
export const DOMAIN_LABEL = "sumacfield/failure-domain";

/** The key of an adapter of a model. */
export function adapterKey(model: string, adapter: string): string {
  return `${model}/${adapter}`;
}

/** One change of the catalog. */
export type Step =
  | { readonly kind: "config"; readonly config: Config }
  | { readonly kind: "version"; readonly key: string; readonly version: number }
  | { readonly kind: "endpoint"; readonly endpoint: Endpoint }
  | { readonly kind: "endpoint_gone"; readonly worker: string }
  /** A request must reach no worker; by its {@link identity.of | identity}. */
  | { readonly kind: "quarantine"; readonly identity: string }
  | { readonly kind: "release"; readonly identity: string };

/**
 * The catalog after one step. An older configuration or adapter version, and an entry of an older start of a
 * worker, changes nothing.
 */
export function step(at: Catalog, change: Step): Catalog {
  return steps(at, [change]).at;
}

/** The catalog after some steps, and those of them that changed it. */
export function steps(
  from: Catalog,
  changes: readonly Step[],
): { readonly at: Catalog; readonly taken: readonly Step[] } {
  const versions = copied(from.versions);
  const endpoints = copied(from.endpoints);
  let { config, quarantined } = from;
  const taken = changes.filter((c) => {
    switch (c.kind) {
      case "config":
        if (config && config.version >= c.config.version) return false;
        config = c.config;
        return true;
      case "version":
        if ((versions.now().get(c.key) ?? 0) >= c.version) return false;
        versions.change().set(c.key, c.version);
        return true;
      case "endpoint": {
        const worker = incarnation.workerOf(c.endpoint.id);
        const known = endpoints.now().get(worker);
        // Workers write their entries again and again, mostly without a change that matters here.
        if (isSame(known, c.endpoint)) return false;
        if (known && incarnation.isOlder(c.endpoint.id, known.id)) return false;
        endpoints.change().set(worker, c.endpoint);
        return true;
      }
      case "endpoint_gone":
        return endpoints.now().has(c.worker) && endpoints.change().delete(c.worker);
      case "quarantine":
        if (quarantined.has(c.identity)) return false;
        quarantined = new Set([...quarantined, c.identity]);
        return true;
      case "release":
        if (!quarantined.has(c.identity)) return false;
        quarantined = new Set([...quarantined].filter((i) => i !== c.identity));
        return true;
    }
  });
  if (taken.length === 0) return { at: from, taken };
  return {
    at: { ...from, config, versions: versions.now(), endpoints: endpoints.now(), quarantined },
    taken,
  };
}

/** A map that is copied at its first change, once for any number of them. */
function copied<K, V>(from: ReadonlyMap<K, V>) {
  let copy: Map<K, V> | undefined;
  return {
    now: (): ReadonlyMap<K, V> => copy ?? from,
    change: (): Map<K, V> => (copy ??= new Map(from)),
  };
}

function isSame(a: Endpoint | undefined, b: Endpoint): boolean {
  if (a?.id !== b.id || a.address !== b.address || a.domain !== b.domain) return false;
  if (a.seats !== b.seats || a.leaving !== b.leaving) return false;
  const names = Object.keys(b.labels);
  if (names.length !== Object.keys(a.labels).length) return false;
  return names.every((name) => a.labels[name] === b.labels[name]);
}

/** Whether this very incarnation of an endpoint is there and does not leave. */
export function isInUse(at: Catalog, e: Endpoint): boolean {
  const known = at.endpoints.get(incarnation.workerOf(e.id));
  return known?.id === e.id && !known.leaving;
}

/** What selectors picked, remembered for as long as the endpoints and the service are the same. */
const picked = new WeakMap<Catalog["endpoints"], WeakMap<Service, readonly Endpoint[]>>();

/** The endpoints that a service's selector picks. */
export function endpointsOf(at: Catalog, service: Service): readonly Endpoint[] {
  const byService = picked.get(at.endpoints) ?? new WeakMap<Service, readonly Endpoint[]>();
  picked.set(at.endpoints, byService);
  const known = byService.get(service);
  if (known) return known;
  const all = [...at.endpoints.values()];
  const list = all.filter((e) => selector.matches(service.endpoints, e.labels));
  byService.set(service, list);
  return list;
}

/** The route with the longest prefix of `path`, among those of `host`. */
export function routeOf(config: Config, host: string, path: string): Route | undefined {
  let best: Route | undefined;
  for (const r of config.routes) {
    if (r.host !== host || !path.startsWith(r.prefix)) continue;
    if (!best || r.prefix.length > best.prefix.length) best = r;
  }
  return best;
}

/** The service one request goes to. `random` gives numbers from 0 up to 1. */
export function serviceOf(config: Config, route: Route, random: () => number): Service | undefined {
  const total = route.shares.reduce((sum, s) => sum + s.weight, 0);
  let at = random() * total;
  for (const s of route.shares) {
    at -= s.weight;
    if (at < 0) return config.services.get(s.service);
  }
  return config.services.get(route.shares.at(-1)?.service ?? "");
}

/** Whether a request of this route may run more than once. */
export function repeatable(r: Route): boolean {
  return r.kind === "idempotent" || (r.kind === "stream" && r.resumable);
}
