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

/** Whether a route of a service asks for steady streams of its engines. */
export function isSteady(cfg: catalog.Config, service: catalog.Service): boolean {
  const batch = service.engine?.batch;
  if (!batch) return false;
  return cfg.routes.some(
    (r) =>
      r.kind === "stream" &&
      r.gapMs / batch.eventTokens < STEADY_TOKEN_MS &&
      r.shares.some((s) => s.service === service.name),
  );
}

/** Results of {@link hasSteadyStreams}, which is asked for each request and scans all routes. */
const steadyConfigs = new WeakMap<catalog.Config, boolean>();

/** Whether any service of a configuration has steady streams, so that it calls for the decisions under demanding load. */
export function hasSteadyStreams(cfg: catalog.Config): boolean {
  const known = steadyConfigs.get(cfg);
  if (known !== undefined) return known;
  const found = [...cfg.services.values()].some((service) => isSteady(cfg, service));
  steadyConfigs.set(cfg, found);
  return found;
}
