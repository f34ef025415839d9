/**
 * Builds the documents that operators and workers write to the platform's store, for tests and the soak.
 * @module
 */

/** Name of the only base model. */
export const MODEL = "m";
/** Value of the `host` header that every route matches. */
export const HOST = "a.example";

/** A route; fields left out get the defaults of {@link config}. */
export interface Route {
  readonly name: string;
  readonly prefix: string;
  readonly kind: "idempotent" | "non_idempotent" | "streaming";
  readonly service: string;
  readonly attempts?: number;
  readonly resumable?: boolean;
  readonly timeoutMs?: number;
}

const LIMITS = {
  maxHeaderBytes: 8192,
  maxBodyBytes: 100_000,
  headerTimeoutMs: 3000,
  idleTimeoutMs: 5000,
};

/** A service of model workers with `slots` adapter slots each. */
export function engineService(name: string, slots: number): object {
  return {
    name,
    healthPath: "/healthz",
    maxConnections: 100,
    engine: {
      slots: 8,
      kvCapacity: 10_000,
      models: [{ name: MODEL, weightsMb: 100, loadTimeS: 0.1 }],
      weightsMb: 200,
      maxAdapters: slots,
      loadsPerS: 2,
    },
  };
}

/** A service of plain workers. */
export function plainService(name: string): object {
  return { name, healthPath: "/healthz", maxConnections: 100 };
}

/** The configuration document with these routes, services and teams. */
export function config(
  version: number,
  routes: readonly Route[],
  services: readonly object[],
  teams?: readonly object[],
): object {
  return {
    version,
    routes: routes.map((r) => ({
      host: HOST,
      timeoutMs: 4000,
      targetLatencyMs: 1000,
      priority: 1,
      attempts: 1,
      resumable: false,
      ...r,
      ...(r.kind === "streaming" && { targetGapMs: 400 }),
    })),
    services,
    limits: LIMITS,
    ...(teams && { tenants: teams }),
  };
}

/** The entry by which a worker registers in the store; `born` is the Unix time of its start in ms, `version` its software's. */
export function workerEntry(
  service: string,
  address: string,
  state: "ready" | "draining" = "ready",
  born?: number,
  version?: string,
): object {
  return {
    service,
    address,
    zone: "a",
    slots: 8,
    state,
    ...(born !== undefined && { born }),
    ...(version !== undefined && { version }),
  };
}
