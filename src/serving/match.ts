/**
 * Which route, service and team a request belongs to, by its headers alone, or why it is not let in. Pure but for the
 * draw among a route's services.
 * @module
 */
import type * as http from "node:http";
import * as errors from "../host/why.js";
import * as keys from "../link/keys.js";
import type * as ask from "./ask.js";
import * as authentication from "./authentication.js";
import * as caps from "./caps.js";
import * as catalog from "./catalog.js";
import type * as protocol from "./protocol.js";

/** A request that has a route, and a team where its route asks for a key. */
export interface Matched {
  readonly kind: "matched";
  readonly config: catalog.Config;
  readonly route: catalog.Route;
  readonly service: catalog.Service;
  readonly meta: ask.Meta;
  readonly caller?: ask.Caller;
}

/** A request that was not let in, and has not run. */
export interface Refused {
  readonly kind: "refused";
  readonly status: number;
  readonly why: string;
  readonly comeBackMs?: number;
  readonly team?: string;
  /** Beginning of the SHA-256 of its key. */
  readonly digest?: string | undefined;
}

/** What of a request is looked at before its body is read. */
export type Head = Pick<http.IncomingMessage, "url" | "headers" | "headersDistinct" | "rawHeaders">;

/** What is known when a request is matched. */
export interface Known {
  readonly config: catalog.Config;
  /** Milliseconds since the configuration was as new as the store. */
  readonly newsAgeMs: number;
  readonly bounds: authentication.Bounds;
  readonly protocol: protocol.Protocol;
  /** From 0 up to 1. */
  readonly random: () => number;
}

/** Milliseconds after which a caller is told to come back to a host that has not heard from the store for long. */
const UNSURE_MS = 500;
/** Letters of a key's digest that logs show. */
const DIGEST_SHOWN = 12;

/** The beginning of a key's digest, as logs show it. */
export function shortened(digest: string): string {
  return digest.slice(0, DIGEST_SHOWN);
}

/** Matches a request by its headers. */
export function match(req: Head, known: Known): Matched | Refused {
  const { config, newsAgeMs, bounds } = known;
  const path = req.url ?? "";
  if (headerBytes(req) > config.limits.headerBytes) {
    return refused(431, "the headers are too large");
  }
  if (!path.startsWith("/")) return refused(400, "the path is not absolute");
  const route = catalog.routeOf(config, hostOf(req), pathOnly(path));
  const service = route && catalog.serviceOf(config, route, known.random);
  if (!route || !service) return unrouted(known);
  const shown = shownBy(req, known);
  const digest = shown.kind === "key" ? shortened(shown.digest) : undefined;
  const verdict = authentication.judge(config, route, shown, newsAgeMs, bounds);
  switch (verdict.kind) {
    case "unknown":
      return { ...refused(401, verdict.why), digest };
    case "unsure":
      return { ...refused(503, verdict.why), digest, comeBackMs: UNSURE_MS };
    case "open":
    case "team":
      break;
  }
  let meta: ask.Meta;
  try {
    meta = known.protocol.read(req.headers);
  } catch (err) {
    return { ...refused(400, errors.why(err)), digest };
  }
  const found = { kind: "matched", config, route, service, meta } as const;
  if (verdict.kind === "open" || shown.kind !== "key") return found;
  return { ...found, ...asTeam(route, verdict.team, shown.digest, meta) };
}

/** What a request's team changes: its rank goes before its route's, and its cap counts. */
function asTeam(
  route: catalog.Route,
  team: catalog.Team,
  digest: string,
  meta: ask.Meta,
): Pick<Matched, "route" | "caller"> {
  return {
    route: team.rank === undefined ? route : { ...route, rank: team.rank },
    caller: { team, digest, units: team.cap ? caps.unitsOf(team.cap, meta) : 0 },
  };
}

function refused(status: number, why: string): Refused {
  return { kind: "refused", status, why };
}

function unrouted({ newsAgeMs, bounds }: Known): Refused {
  if (authentication.maySayNo(newsAgeMs, bounds)) return refused(404, "no route matches");
  const why = `no route matches, of those heard ${Math.round(newsAgeMs)} ms ago`;
  return { ...refused(503, why), comeBackMs: UNSURE_MS };
}

function shownBy(req: Head, { config, protocol }: Known): authentication.Shown {
  if (!config.teams) return { kind: "none", why: "no key is asked for" };
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

function headerBytes(req: Head): number {
  return req.rawHeaders.reduce((sum, text) => sum + text.length + 2, 0);
}

function hostOf(req: Head): string {
  return (req.headers.host ?? "").replace(/:\d+$/, "").toLowerCase();
}

function pathOnly(path: string): string {
  const at = path.indexOf("?");
  return at < 0 ? path : path.slice(0, at);
}
