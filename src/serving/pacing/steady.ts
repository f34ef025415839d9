/**
 * Decides whether the streams of a service must be steady: whether their events allow so little time per token that
 * reading the prompts of other requests between the tokens makes them late. Pure.
 * @module
 */
import type * as catalog from "../catalog.js";

/**
 * Milliseconds per token below which streams are steady. An engine reads a piece of a prompt in the step that makes a
 * token. A piece of 2,000 tokens takes about 50 ms on current engines, so below this, a piece in each step makes every
 * event late.
 */
const STEADY_TOKEN_MS = 50;

/**
 * The steady services of each configuration. Configurations do not change once they are built, and a scan of all routes
 * for each decision would be one of its largest costs.
 */
const known = new WeakMap<catalog.Config, WeakMap<catalog.Service, boolean>>();

/** Whether a route of a service asks for steady streams of its engines. */
export function isSteady(cfg: catalog.Config, service: catalog.Service): boolean {
  const services = known.get(cfg) ?? new WeakMap<catalog.Service, boolean>();
  const cached = services.get(service);
  if (cached !== undefined) return cached;
  const result = asksForSteady(cfg, service);
  known.set(cfg, services.set(service, result));
  return result;
}

function asksForSteady(cfg: catalog.Config, service: catalog.Service): boolean {
  const batch = service.engine?.batch;
  if (!batch) return false;
  return cfg.routes.some(
    (r) =>
      r.kind === "stream" &&
      r.gapMs / batch.eventTokens < STEADY_TOKEN_MS &&
      r.shares.some((s) => s.service === service.name),
  );
}

/** Whether any service of a configuration has steady streams, so that it calls for the decisions under demanding load. */
export function hasSteadyStreams(cfg: catalog.Config): boolean {
  for (const service of cfg.services.values()) if (isSteady(cfg, service)) return true;
  return false;
}
