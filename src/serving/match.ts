/**
 * Finds the route, service and team of a request by its headers, or the reason to refuse it. Pure except for the
 * random choice among a route's services.
 * @module
 */
import type * as http from "node:http";
import * as errors from "../host/errors.js";
import * as keys from "../link/keys.js";
import type * as callerRequest from "./caller-request.js";
import * as authentication from "./authentication.js";
import * as caps from "./caps.js";
import * as catalog from "./catalog.js";
import type * as protocol from "./protocol.js";

/** A request that has a route, and a team if its route requires a key. */
export interface Matched {
  readonly kind: "matched";
  readonly config: catalog.Config;
  readonly route: catalog.Route;
  readonly service: catalog.Service;
  readonly meta: callerRequest.Meta;
  readonly caller?: callerRequest.Caller;
}

/** Why a request is refused before it runs. */
export interface Refusal {
  readonly kind: "refused";
  readonly status: number;
  readonly why: string;
  /** Milliseconds after which the caller is told to retry. */
  readonly retryAfterMs?: number;
  readonly team?: string;
  /** Beginning of the SHA-256 of the request's key. */
  readonly digest?: string | undefined;
}

/** The parts of a request that matching reads, all available before the body. */
export type RequestHead = Pick<
  http.IncomingMessage,
  "url" | "headers" | "headersDistinct" | "rawHeaders"
>;

/** What a request is matched against. */
export interface Context {
  readonly config: catalog.Config;
  readonly freshness: authentication.Freshness;
  readonly bounds: authentication.FreshnessBounds;
  readonly protocol: protocol.Protocol;
  /** Returns a number in [0, 1). */
  readonly random: () => number;
}

/** Retry-after time, in ms, of refusals by a host whose configuration is too old to decide by. */
const STALE_RETRY_MS = 500;
/** Bytes of a field beside its name and value: a colon and the end of its line. */
const FIELD_FRAMING_BYTES = ":\r\n".length;
/** Number of hex digits of a key's digest that logs show. */
const DIGEST_LOG_LENGTH = 12;

/** The shortened digest of a key that logs show. */
export function shortDigest(digest: string): string {
  return digest.slice(0, DIGEST_LOG_LENGTH);
}

/** Finds the route, service and team of a request by its headers. */
export function matchRequest(req: RequestHead, ctx: Context): Matched | Refusal {
  const { config, freshness, bounds } = ctx;
  const path = req.url ?? "";
  if (headerBytes(req) > config.limits.headerBytes) {
    return refused(431, "the headers are too large");
  }
  if (!path.startsWith("/")) return refused(400, "the path is not absolute");
  const route = catalog.findRoute(config, hostOf(req), pathOnly(path));
  const service = route && catalog.pickService(config, route, ctx.random);
  if (!route || !service) return noRoute(ctx);
  const presented = presentedKey(req, ctx);
  const digest = presented.kind === "key" ? shortDigest(presented.digest) : undefined;
  const verdict = authentication.authenticate(config, route, presented, freshness, bounds);
  switch (verdict.kind) {
    case "unknown":
      return { ...refused(401, verdict.why), digest };
    case "unsure":
      return { ...refused(503, verdict.why), digest, retryAfterMs: STALE_RETRY_MS };
    case "open":
    case "team":
      break;
  }
  let meta: callerRequest.Meta;
  try {
    meta = ctx.protocol.read(req.headers);
  } catch (err) {
    return { ...refused(400, errors.messageOf(err)), digest };
  }
  const matched = { kind: "matched", config, route, service, meta } as const;
  if (verdict.kind === "open" || presented.kind !== "key") return matched;
  return { ...matched, ...forTeam(route, verdict.team, presented.digest, meta) };
}

/** What a team changes in its request: the team's rank overrides the route's, and its cap is charged. */
function forTeam(
  route: catalog.Route,
  team: catalog.Team,
  digest: string,
  meta: callerRequest.Meta,
): Pick<Matched, "route" | "caller"> {
  return {
    route: team.rank === undefined ? route : { ...route, rank: team.rank },
    caller: { team, digest, units: team.cap ? caps.unitsOf(team.cap, meta) : 0 },
  };
}

function refused(status: number, why: string): Refusal {
  return { kind: "refused", status, why };
}

function noRoute({ freshness, bounds }: Context): Refusal {
  if (authentication.mayReject(freshness, bounds)) return refused(404, "no route matches");
  const why = `no route matches in a configuration that is ${Math.round(freshness.ageMs)} ms old or not the newest`;
  return { ...refused(503, why), retryAfterMs: STALE_RETRY_MS };
}

function presentedKey(
  req: RequestHead,
  { config, protocol }: Context,
): authentication.PresentedKey {
  if (!config.teams) return { kind: "none", why: "no key is required" };
  const credential = protocol.credential(req.headersDistinct);
  switch (credential.kind) {
    case "key":
      return { kind: "key", digest: keys.sha256(credential.key) };
    case "missing":
      return { kind: "none", why: "a key is missing" };
    case "malformed":
      return { kind: "none", why: credential.why };
  }
}

/**
 * Bytes that the fields took as sent, at least. White space around a value is optional and not known any more, so the shortest form
 * counts: no head inside the limit is refused.
 */
function headerBytes({ rawHeaders }: RequestHead): number {
  const texts = rawHeaders.reduce((sum, text) => sum + text.length, 0);
  return texts + (rawHeaders.length / 2) * FIELD_FRAMING_BYTES;
}

function hostOf(req: RequestHead): string {
  return (req.headers.host ?? "").replace(/:\d+$/, "").toLowerCase();
}

function pathOnly(path: string): string {
  const queryStart = path.indexOf("?");
  return queryStart < 0 ? path : path.slice(0, queryStart);
}
