/**
 * The HTTP server for callers: the usual API of language-model services, and plain services below
 * `/services/`.
 * @module
 */
import * as crypto from "node:crypto";
import * as http from "node:http";
import * as intents from "../contract/intent.js";
import type * as objects from "../contract/objects.js";
import * as service from "../endpoint/service.js";
import type * as clock from "../host/clock.js";
import * as errors from "../host/errors.js";
import type * as connections from "../host/connections/connections.js";
import * as log from "../host/log.js";
import * as connectionLimit from "../host/reading/connection-limit.js";
import * as pacedReader from "../host/reading/paced-reader.js";
import * as responses from "../host/response.js";
import type * as statsdMetrics from "../host/statsd-metrics.js";
import * as body from "../link/body.js";
import * as keys from "../link/keys.js";
import * as pump from "../link/pump.js";
import * as wire from "../link/wire.js";
import type * as claims from "../request/claims.js";
import * as outcome from "../request/outcome.js";
import * as admission from "./admission.js";
import * as callerRequest from "./caller-request.js";
import * as job from "./job.js";

/** Settings of the callers' server. */
export interface Options {
  /** Name of this entry daemon. */
  readonly name: string;
  /** Deadline of the first byte for requests that set none, in ms. */
  readonly deadlineMs: number;
  /** Largest request for a model, in bytes. */
  readonly maxRequestBytes: number;
  /** Largest number of requests in flight on this host; bounds its memory. */
  readonly maxInFlight: number;
  /** Largest number of open connections. */
  readonly maxConnections: number;
  /** Timeout for receiving the headers of a request, in ms. */
  readonly headersTimeoutMs: number;
  /** Timeout for receiving a whole request, in ms. */
  readonly requestTimeoutMs: number;
  /** Milliseconds that a caller is told to wait before a retry when the host is full. */
  readonly retryAfterMs: number;
  readonly job: job.Options;
}

export interface Deps {
  readonly clock: clock.Clock;
  readonly log: log.Log;
  readonly metrics: statsdMetrics.Metrics;
  readonly intent: () => intents.Intent;
  /** Whether the intent has been received. */
  readonly ready: () => boolean;
  /** Whether this daemon is shutting down. */
  readonly isDraining: () => boolean;
  /** State of the callers' connections. */
  readonly connections: connections.Connections;
  readonly admission: admission.Admission;
  readonly claims: claims.Claims;
  readonly job: job.Deps;
  /** Called for each admitted request; adds to the retry budget. */
  readonly onAdmitted: () => void;
}

const MODEL_PATHS = new Set(["/v1/completions", "/v1/chat/completions"]);
const SERVICE_PREFIX = "/services/";
/**
 * Largest body for a plain service that is buffered, in bytes. Larger ones are streamed, so that a
 * refused attempt with one can't be sent to another endpoint.
 */
const MAX_BUFFERED_BODY_BYTES = 65_536;
/** Largest headers of a request, in bytes. */
const MAX_HEADER_BYTES = 16_384;

/** Creates the server; whoever calls this starts and closes it. */
export function create(opts: Options, deps: Deps): http.Server {
  let inFlight = 0;
  const server = http.createServer(
    {
      headersTimeout: opts.headersTimeoutMs,
      requestTimeout: opts.requestTimeoutMs,
      // Node.js checks connections for timeouts every 30 s by default.
      connectionsCheckingInterval: Math.max(1, opts.headersTimeoutMs / 2),
      maxHeaderSize: MAX_HEADER_BYTES,
      // A refusal by Node.js would close the connection without regard to its other requests.
      requireHostHeader: false,
    },
    deps.connections.listener((req, res) => {
      inFlight++;
      res.on("close", () => {
        inFlight--;
      });
      handle(opts, deps, req, res, inFlight).catch((err: unknown) => {
        deps.log.error(`Unexpected error while handling a request: ${errors.messageOf(err)}`);
        responses.breakOff(res);
      });
    }),
  );
  // Heads are limited by their bytes. Node.js drops fields beyond a number of its own without an error.
  server.maxHeadersCount = 0;
  deps.connections.install(server);
  new pacedReader.PacedReader(deps.clock, deps.connections).install(server);
  new connectionLimit.ConnectionLimit(opts.maxConnections, deps.connections).install(server);
  return server;
}

async function handle(
  opts: Options,
  deps: Deps,
  req: http.IncomingMessage,
  res: http.ServerResponse,
  inFlight: number,
): Promise<void> {
  const id = crypto.randomUUID();
  res.setHeader("x-request-id", id);
  const url = splitTarget(req.url ?? "/");
  switch (url.pathname) {
    case "/healthz":
      sendJson(res, 200, { status: "ok" });
      return;
    case "/readyz": {
      const ready = deps.ready() && !deps.isDraining();
      sendJson(res, ready ? 200 : 503, { status: ready ? "ready" : "not ready" });
      return;
    }
  }
  const peer = req.socket.remoteAddress ?? "gone";
  try {
    const intent = deps.intent();
    const headers = callerRequest.parseHeaders(req, opts.deadlineMs);
    const caller = intents.callerOf(intent, keys.sha256(headers.apiKey));
    if (!caller)
      throw outcome.notRun("unauthorized", "authenticate", peer, "The API key is unknown.");
    if (inFlight > opts.maxInFlight) {
      throw outcome.notRun(
        "overloaded",
        "admit",
        opts.name,
        "This host has reached its limit of requests in flight.",
        opts.retryAfterMs,
      );
    }
    if (url.pathname === "/v1/models" && req.method === "GET") {
      sendJson(res, 200, listModels(intent, caller));
      return;
    }
    const authenticated: AuthenticatedRequest = {
      id,
      peer,
      intent,
      headers,
      caller,
      url,
    };
    if (MODEL_PATHS.has(url.pathname)) await serveModel(opts, deps, authenticated, req, res);
    else if (url.pathname.startsWith(SERVICE_PREFIX))
      await serveService(opts, deps, authenticated, req, res);
    else throw outcome.notRun("not_found", "read", peer, `There is no ${url.pathname}.`);
  } catch (err) {
    const failure = outcome.toFailure(err, "serve", opts.name, "unknown");
    if (failure.code === "too_large") deps.connections.closeBehind(req.socket, "unread_body");
    if (!req.readableEnded) req.resume();
    body.sendFailure(res, failure);
  }
}

function sendJson(res: http.ServerResponse, status: number, value: object): void {
  const text = JSON.stringify(value);
  const size = Buffer.byteLength(text);
  res.writeHead(status, { "content-type": "application/json", "content-length": size });
  res.end(text);
}

/** The models that a caller may use, in the format of the language-model API. */
function listModels(intent: intents.Intent, caller: objects.Caller): object {
  const data = intents
    .list(intent, "Adapter")
    .filter((a) => intents.grantFor(intent, caller, a))
    .flatMap((a) => [
      { id: a.metadata.name, object: "model", parent: a.spec.baseModel },
      ...a.spec.versions.map((v) => ({
        id: `${a.metadata.name}@${v.version}`,
        object: "model",
        parent: a.spec.baseModel,
      })),
    ]);
  return { object: "list", data };
}

/** The target of a request line. */
interface RequestTarget {
  readonly pathname: string;
  /** The query with its question mark; empty when there is none. */
  readonly search: string;
}

/**
 * Splits a request's target without normalising it; a URL parser would reject or rewrite some
 * targets.
 */
function splitTarget(text: string): RequestTarget {
  const queryStart = text.indexOf("?");
  if (queryStart < 0) return { pathname: text, search: "" };
  return { pathname: text.slice(0, queryStart), search: text.slice(queryStart) };
}

/** A request whose caller has been authenticated. */
interface AuthenticatedRequest {
  readonly id: string;
  readonly peer: string;
  readonly intent: intents.Intent;
  readonly headers: callerRequest.RequestHeaders;
  readonly caller: objects.Caller;
  readonly url: RequestTarget;
}

async function serveModel(
  opts: Options,
  deps: Deps,
  a: AuthenticatedRequest,
  req: http.IncomingMessage,
  res: http.ServerResponse,
): Promise<void> {
  if (req.method !== "POST") {
    throw outcome.notRun("not_found", "read", a.peer, `${a.url.pathname} accepts only POST.`);
  }
  const text = await body.read(req, opts.maxRequestBytes, a.peer);
  const generation = callerRequest.parseGeneration(text);
  const found = intents.resolve(a.intent, generation.model);
  const grant = found && intents.grantFor(a.intent, a.caller, found.adapter);
  // Without a grant the answer is the same, so that a caller can't find out whether the adapter
  // exists.
  if (!found || !grant) {
    const message = `There is no model ${generation.model} for this caller.`;
    throw outcome.notRun("not_found", "resolve", a.peer, message);
  }
  const work: wire.Attempt["work"] = {
    kind: "model",
    adapter: found.adapter.metadata.name,
    version: found.version,
    path: a.url.pathname,
    stream: generation.stream,
  };
  await serve(opts, deps, a, res, {
    grant,
    target: found.adapter,
    work,
    repeatable: a.headers.repeatable,
    headers: { "content-type": "application/json" },
    body: text,
  });
}

async function serveService(
  opts: Options,
  deps: Deps,
  a: AuthenticatedRequest,
  req: http.IncomingMessage,
  res: http.ServerResponse,
): Promise<void> {
  const [name = "", ...rest] = a.url.pathname.slice(SERVICE_PREFIX.length).split("/");
  const target = intents.find(a.intent, "Service", name);
  const grant = target && intents.grantFor(a.intent, a.caller, target);
  if (!target || !grant) {
    throw outcome.notRun(
      "not_found",
      "resolve",
      a.peer,
      `There is no service ${name} for this caller.`,
    );
  }
  const method = req.method ?? "GET";
  const size = Number(
    req.headers["content-length"] ?? (req.headers["transfer-encoding"] ? Infinity : 0),
  );
  const isBuffered = size <= MAX_BUFFERED_BODY_BYTES;
  await serve(opts, deps, a, res, {
    grant,
    target,
    work: { kind: "service", service: name, method, path: `/${rest.join("/")}${a.url.search}` },
    repeatable: a.headers.repeatable && target.spec.repeatable.includes(method),
    headers: service.forwardableHeaders(req.headers),
    body: isBuffered ? await body.read(req, MAX_BUFFERED_BODY_BYTES, a.peer) : req,
  });
}

/** What to run for an authenticated request, and the grant that allows it. */
interface PreparedRequest extends Pick<
  job.AdmittedRequest,
  "target" | "work" | "repeatable" | "headers" | "body"
> {
  readonly grant: objects.Grant;
}

/** Admits and runs a request, and forwards its answer to the caller. */
async function serve(
  opts: Options,
  deps: Deps,
  a: AuthenticatedRequest,
  res: http.ServerResponse,
  w: PreparedRequest,
): Promise<void> {
  const labels = { caller: a.caller.metadata.name, class: a.caller.spec.class };
  const startedAt = deps.clock.mono();
  deps.metrics.count("requests", labels);
  const disconnect = new AbortController();
  res.on("close", () => {
    if (!res.writableFinished) disconnect.abort();
  });
  let release: (() => void) | undefined;
  let claim: claims.Claim | undefined;
  try {
    release = deps.admission.admit(w.grant, a.caller);
    deps.onAdmitted();
    const key = a.headers.idempotencyKey;
    if (key !== undefined) claim = await deps.claims.acquire(a.caller.metadata.name, key, a.id);
    const limits = w.grant.spec.limits;
    const begun = await job.run(
      {
        id: a.id,
        intent: a.intent,
        target: w.target,
        work: w.work,
        caller: a.caller,
        worth: callerRequest.effectiveWorth(a.headers, limits.worth ?? 1),
        maxQueue: limits.queue ?? Number.MAX_SAFE_INTEGER,
        repeatable: w.repeatable,
        deadlineAt: startedAt + a.headers.deadlineMs,
        headers: w.headers,
        body: w.body,
        disconnected: disconnect.signal,
      },
      opts.job,
      deps.job,
    );
    if (begun.attempts > 1) deps.metrics.count("retries", labels);
    const streamed = w.work.kind === "model" && w.work.stream;
    let lastBytesAt = startedAt;
    await forwardAnswer(deps, w.work, begun, res, (at) => {
      const name = lastBytesAt === startedAt ? "first_token" : "between_tokens";
      if (streamed || lastBytesAt === startedAt)
        deps.metrics.observe(name, at - lastBytesAt, labels);
      lastBytesAt = at;
    });
  } catch (err) {
    const f = outcome.toFailure(err, "serve", opts.name, "unknown");
    deps.metrics.count(f.outcome === "not_run" ? "refused" : f.outcome, labels);
    if (claim && f.outcome === "not_run") void deps.claims.release(claim);
    throw err;
  } finally {
    release?.();
  }
}

/**
 * Forwards an answer as it arrives; the response to a broken one is never ended as if it was
 * complete.
 */
async function forwardAnswer(
  deps: Deps,
  work: wire.Attempt["work"],
  begun: job.BegunAnswer,
  res: http.ServerResponse,
  onBytes: (at: number) => void,
): Promise<void> {
  const headers: Record<string, string | string[]> = {};
  for (const [name, value] of Object.entries(begun.res.headers)) {
    if (value === undefined || DROPPED_HEADERS.has(name)) continue;
    headers[name] = value;
  }
  res.writeHead(begun.res.statusCode, { ...headers, "sumacfield-attempts": begun.attempts });
  begun.res.body.on("data", () => {
    begun.recordBytes();
    onBytes(deps.clock.mono());
  });
  try {
    await pump.pump(begun.res.body, res);
    res.end();
    begun.end(true);
  } catch (err) {
    begun.end(false);
    const message = `The answer was interrupted: ${errors.messageOf(err)}.`;
    const code = "link_broken";
    const f: outcome.Failure = {
      code,
      outcome: "unknown",
      step: "answer",
      peer: begun.endpoint,
      message,
    };
    if (work.kind === "model" && work.stream && !res.destroyed) {
      // Send the error event, but not the end of the body, so that no client takes the answer for
      // complete.
      res.write(`data: ${JSON.stringify(outcome.toBody(f))}\n\n`, () => {
        responses.breakOff(res);
      });
      return;
    }
    throw new outcome.StepError(f);
  }
}

/** Headers of an endpoint's answer that are not forwarded to the caller. */
const DROPPED_HEADERS = new Set<string>([
  wire.HEADER.attempt,
  wire.HEADER.news,
  wire.HEADER.outcome,
  "connection",
  "keep-alive",
  "transfer-encoding",
  "date",
]);
