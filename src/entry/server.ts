/**
 * The callers' side of an entry daemon: the usual HTTP API of language-model services, and plain
 * services under a path of their own.
 * @module
 */
import * as crypto from "node:crypto";
import * as http from "node:http";
import * as intents from "../contract/intent.js";
import type * as objects from "../contract/objects.js";
import * as service from "../endpoint/service.js";
import type * as clock from "../host/clock.js";
import * as errors from "../host/why.js";
import * as log from "../host/log.js";
import type * as metrics from "../host/metrics.js";
import * as body from "../link/body.js";
import * as keys from "../link/keys.js";
import * as pump from "../link/pump.js";
import * as wire from "../link/wire.js";
import type * as claims from "../request/claims.js";
import * as outcome from "../request/outcome.js";
import * as admission from "./admission.js";
import * as ask from "./ask.js";
import * as job from "./job.js";

export interface Options {
  readonly name: string;
  readonly deadlineMs: number;
  readonly requestLimit: number;
  /** Requests under way on this host at most; bounds its memory. */
  readonly requests: number;
  /** Milliseconds within which a caller must have sent its headers. */
  readonly headersMs: number;
  /** Milliseconds within which a caller must have sent a request for a model. */
  readonly requestMs: number;
  readonly retryAfterMs: number;
  readonly job: job.Options;
}

export interface Deps {
  readonly clock: clock.Clock;
  readonly log: log.Log;
  readonly metrics: metrics.Metrics;
  readonly intent: () => intents.Intent;
  readonly ready: () => boolean;
  readonly leaving: () => boolean;
  readonly admission: admission.Admission;
  readonly claims: claims.Claims;
  readonly job: job.Deps;
  /** One request is let in; feeds the budget of retries. */
  readonly letIn: () => void;
}

const MODEL_PATHS = new Set(["/v1/completions", "/v1/chat/completions"]);
const SERVICE_PREFIX = "/services/";
/** A body for a service up to this size is held, so that a refused attempt can go elsewhere. */
const HELD_LIMIT = 65_536;
const HEADER_BYTES = 16_384;

/** Makes the server; the caller listens and closes. */
export function create(opts: Options, deps: Deps): http.Server {
  let underWay = 0;
  const server = http.createServer(
    {
      headersTimeout: opts.headersMs,
      requestTimeout: opts.requestMs,
      // The platform looks for slow callers every 30 s unless told otherwise.
      connectionsCheckingInterval: Math.max(1, opts.headersMs / 2),
      maxHeaderSize: HEADER_BYTES,
      requireHostHeader: true,
    },
    (req, res) => {
      if (deps.leaving()) res.setHeader("connection", "close");
      underWay++;
      res.on("close", () => {
        underWay--;
      });
      handle(opts, deps, req, res, underWay).catch((err: unknown) => {
        deps.log.error(`A request broke off: ${errors.why(err)}`);
        res.destroy();
      });
    },
  );
  server.on("clientError", body.refuseBytes);
  return server;
}

async function handle(
  opts: Options,
  deps: Deps,
  req: http.IncomingMessage,
  res: http.ServerResponse,
  underWay: number,
): Promise<void> {
  const id = crypto.randomUUID();
  res.setHeader("x-request-id", id);
  const url = targetOf(req.url ?? "/");
  switch (url.pathname) {
    case "/healthz":
      say(res, 200, { status: "ok" });
      return;
    case "/readyz": {
      const ready = deps.ready() && !deps.leaving();
      say(res, ready ? 200 : 503, { status: ready ? "ready" : "not ready" });
      return;
    }
  }
  const peer = req.socket.remoteAddress ?? "gone";
  try {
    const now = deps.intent();
    const wishes = ask.wishes(req, opts.deadlineMs);
    const caller = intents.callerOf(now, keys.sha256(wishes.key));
    if (!caller)
      throw outcome.notRun("unauthorized", "authenticate", peer, "The key is not known.");
    if (underWay > opts.requests) {
      throw outcome.notRun(
        "overloaded",
        "admit",
        opts.name,
        "The host is full.",
        opts.retryAfterMs,
      );
    }
    if (url.pathname === "/v1/models" && req.method === "GET") {
      say(res, 200, models(now, caller));
      return;
    }
    const asked: Asked = { id, peer, now, wishes, caller, url };
    if (MODEL_PATHS.has(url.pathname)) await serveModel(opts, deps, asked, req, res);
    else if (url.pathname.startsWith(SERVICE_PREFIX))
      await serveService(opts, deps, asked, req, res);
    else throw outcome.notRun("not_found", "read", peer, `There is no ${url.pathname}.`);
  } catch (err) {
    if (!req.readableEnded) req.resume();
    body.refuse(res, outcome.toFailure(err, "serve", opts.name, "unknown"));
  }
}

function say(res: http.ServerResponse, status: number, what: object): void {
  const text = JSON.stringify(what);
  const size = Buffer.byteLength(text);
  res.writeHead(status, { "content-type": "application/json", "content-length": size });
  res.end(text);
}

/** The models a caller may use, in the shape of the language-model API. */
function models(now: intents.Intent, caller: objects.Caller): object {
  const data = intents
    .list(now, "Adapter")
    .filter((a) => intents.grantFor(now, caller, a))
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

/** What a request line asks for. */
interface Target {
  readonly pathname: string;
  /** With its question mark; empty when there is none. */
  readonly search: string;
}

/** Splits a request's target as it stands; a URL parser would refuse or rewrite some. */
function targetOf(text: string): Target {
  const at = text.indexOf("?");
  if (at < 0) return { pathname: text, search: "" };
  return { pathname: text.slice(0, at), search: text.slice(at) };
}

/** A request whose caller is known. */
interface Asked {
  readonly id: string;
  readonly peer: string;
  readonly now: intents.Intent;
  readonly wishes: ask.Wishes;
  readonly caller: objects.Caller;
  readonly url: Target;
}

async function serveModel(
  opts: Options,
  deps: Deps,
  a: Asked,
  req: http.IncomingMessage,
  res: http.ServerResponse,
): Promise<void> {
  if (req.method !== "POST") {
    throw outcome.notRun("not_found", "read", a.peer, `${a.url.pathname} takes POST alone.`);
  }
  const text = await body.read(req, opts.requestLimit, a.peer);
  const generation = ask.generationOf(text);
  const found = intents.resolve(a.now, generation.model);
  const grant = found && intents.grantFor(a.now, a.caller, found.adapter);
  // A caller without a grant is not told whether the adapter exists.
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
    repeatable: a.wishes.repeatable,
    headers: { "content-type": "application/json" },
    body: text,
  });
}

async function serveService(
  opts: Options,
  deps: Deps,
  a: Asked,
  req: http.IncomingMessage,
  res: http.ServerResponse,
): Promise<void> {
  const [name = "", ...rest] = a.url.pathname.slice(SERVICE_PREFIX.length).split("/");
  const target = intents.find(a.now, "Service", name);
  const grant = target && intents.grantFor(a.now, a.caller, target);
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
  const held = size <= HELD_LIMIT;
  await serve(opts, deps, a, res, {
    grant,
    target,
    work: { kind: "service", service: name, method, path: `/${rest.join("/")}${a.url.search}` },
    repeatable: a.wishes.repeatable && target.spec.repeatable.includes(method),
    headers: service.passable(req.headers),
    body: held ? await body.read(req, HELD_LIMIT, a.peer) : req,
  });
}

interface Wanted extends Pick<job.Job, "target" | "work" | "repeatable" | "headers" | "body"> {
  readonly grant: objects.Grant;
}

async function serve(
  opts: Options,
  deps: Deps,
  a: Asked,
  res: http.ServerResponse,
  w: Wanted,
): Promise<void> {
  const labels = { caller: a.caller.metadata.name, class: a.caller.spec.class };
  const began = deps.clock.mono();
  deps.metrics.count("requests", labels);
  const gone = new AbortController();
  res.on("close", () => {
    if (!res.writableFinished) gone.abort();
  });
  let leave: (() => void) | undefined;
  let claim: claims.Claim | undefined;
  try {
    leave = deps.admission.enter(w.grant, a.caller);
    deps.letIn();
    const key = a.wishes.idempotencyKey;
    if (key !== undefined) claim = await deps.claims.make(a.caller.metadata.name, key, a.id);
    const limits = w.grant.spec.limits;
    const begun = await job.run(
      {
        id: a.id,
        intent: a.now,
        target: w.target,
        work: w.work,
        caller: a.caller,
        worth: ask.worthOf(a.wishes, limits.worth ?? 1),
        queue: limits.queue ?? Number.MAX_SAFE_INTEGER,
        repeatable: w.repeatable,
        dueAt: began + a.wishes.deadlineMs,
        headers: w.headers,
        body: w.body,
        gone: gone.signal,
      },
      opts.job,
      deps.job,
    );
    if (begun.attempts > 1) deps.metrics.count("retries", labels);
    const streamed = w.work.kind === "model" && w.work.stream;
    let last = began;
    await pass(deps, w.work, begun, res, (at) => {
      const name = last === began ? "first_token" : "between_tokens";
      if (streamed || last === began) deps.metrics.observe(name, at - last, labels);
      last = at;
    });
  } catch (err) {
    const f = outcome.toFailure(err, "serve", opts.name, "unknown");
    deps.metrics.count(f.outcome === "not_run" ? "refused" : f.outcome, labels);
    if (claim && f.outcome === "not_run") void deps.claims.release(claim);
    throw err;
  } finally {
    leave?.();
  }
}

/** Passes an answer on as it comes; one that breaks off is never ended as if whole. */
async function pass(
  deps: Deps,
  work: wire.Attempt["work"],
  begun: job.Begun,
  res: http.ServerResponse,
  arrived: (at: number) => void,
): Promise<void> {
  const headers: Record<string, string | string[]> = {};
  for (const [name, value] of Object.entries(begun.res.headers)) {
    if (value === undefined || HIDDEN.has(name)) continue;
    headers[name] = value;
  }
  res.writeHead(begun.res.statusCode, { ...headers, "sumacfield-attempts": begun.attempts });
  begun.res.body.on("data", () => {
    begun.alive();
    arrived(deps.clock.mono());
  });
  try {
    await pump.pump(begun.res.body, res);
    res.end();
    begun.done(true);
  } catch (err) {
    begun.done(false);
    const message = `The answer broke off: ${errors.why(err)}.`;
    const code = "link_broken";
    const f: outcome.Failure = {
      code,
      outcome: "unknown",
      step: "answer",
      peer: begun.endpoint,
      message,
    };
    if (work.kind === "model" && work.stream && !res.destroyed) {
      // The error event goes out, but not the end of the body: no client takes this for the whole.
      res.write(`data: ${JSON.stringify(outcome.toBody(f))}\n\n`, () => res.destroy());
      return;
    }
    throw new outcome.StepError(f);
  }
}

const HIDDEN = new Set<string>([
  wire.HEADER.attempt,
  wire.HEADER.news,
  wire.HEADER.outcome,
  "connection",
  "keep-alive",
  "transfer-encoding",
  "date",
]);
