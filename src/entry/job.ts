/**
 * Runs one admitted request: chooses an endpoint, sends an attempt, and retries at another endpoint
 * while the trail of attempts allows it, until an answer begins or the request fails.
 * @module
 */
import * as crypto from "node:crypto";
import type * as stream from "node:stream";
import * as undici from "undici";
import type * as intents from "../contract/intent.js";
import type * as objects from "../contract/objects.js";
import type * as clock from "../host/clock.js";
import * as errors from "../host/errors.js";
import * as log from "../host/log.js";
import type * as members from "../host/members.js";
import type * as control from "../link/control.js";
import * as keys from "../link/keys.js";
import * as wire from "../link/wire.js";
import * as tokenBucket from "../store/token-bucket.js";
import type * as hosts from "../store/hosts.js";
import * as outcome from "../request/outcome.js";
import * as trail from "../request/trail.js";
import * as route from "./route.js";
import type * as views from "./views.js";

/** Settings of how requests are sent. */
export interface Options {
  readonly failureDomain: string;
  readonly route: route.Options;
  /** Largest number of attempts for one request. */
  readonly attempts: number;
  /** Milliseconds that a caller is told to wait before a retry when the failure names no time. */
  readonly retryAfterMs: number;
  /** Keys that requests to endpoint daemons are signed with. */
  readonly clusterKeys: keys.ClusterKeys;
}

export interface Deps {
  readonly clock: clock.Clock;
  readonly log: log.Log;
  readonly random: () => number;
  readonly views: views.EndpointViews;
  readonly members: members.Members;
  readonly peer: (m: hosts.Member) => control.Peer;
  readonly dispatcher: undici.Dispatcher;
  /** Takes the cost of a retry from the retry budget; false when the budget is used up. */
  readonly takeRetry: (cost: number) => boolean;
}

/** A request that was admitted. */
export interface AdmittedRequest {
  readonly id: string;
  readonly intent: intents.Intent;
  readonly target: objects.Adapter | objects.Of<"Service">;
  readonly work: wire.Attempt["work"];
  readonly caller: objects.Caller;
  readonly worth: number;
  /** Requests of this caller that may wait at one endpoint at once. */
  readonly maxQueue: number;
  readonly repeatable: boolean;
  /** Deadline of the first byte of the answer, in monotonic ms. */
  readonly deadlineAt: number;
  readonly headers: Readonly<Record<string, string | string[]>>;
  /** A stream can be read only once, so a request with one is never retried. */
  readonly body: Buffer | stream.Readable;
  /** Aborts when the caller disconnects. */
  readonly disconnected: AbortSignal;
}

/** An answer whose headers have arrived. */
export interface BegunAnswer {
  readonly endpoint: string;
  readonly attempts: number;
  readonly res: undici.Dispatcher.ResponseData;
  /** Records that the endpoint is alive; call it whenever bytes of the body arrive. */
  readonly recordBytes: () => void;
  /** Ends the attempt; `whole` tells whether the body was received completely. */
  readonly end: (whole: boolean) => void;
}

/**
 * The key that identifies an adapter and version, or a service, on the ring and in reports of
 * endpoints.
 */
export function targetKey(work: wire.Attempt["work"]): string {
  return work.kind === "model" ? `${work.adapter}@${work.version}` : work.service;
}

/**
 * Cost of a retry after a refusal, in retry tokens; other retries cost one. It is lower because a
 * refused attempt took no time of an engine.
 */
const REFUSED_RETRY_COST = 0.25;
const JSON_TYPE = "application/json";

/** Codes of errors that occur before a connection is established, so that nothing was sent. */
const CONNECT_ERROR_CODES = new Set(["ECONNREFUSED", "UND_ERR_CONNECT_TIMEOUT", "EHOSTUNREACH"]);

/**
 * Sends attempts until one answers. Throws a `StepError` when none does; its outcome follows from
 * the trail of attempts.
 */
export async function run(job: AdmittedRequest, opts: Options, deps: Deps): Promise<BegunAnswer> {
  let trailState = trail.start(job.repeatable);
  const tried = new Set<string>();
  let lastFailure: outcome.Failure | undefined;
  for (let n = 1; n <= opts.attempts; n++) {
    if (n > 1 && !mayRetry(job, trailState, deps)) break;
    const remainingMs = job.deadlineAt - deps.clock.mono();
    if (remainingMs <= 0) {
      lastFailure = {
        ...notRunFailure("deadline", "route", "The deadline passed."),
        retryAfterMs: 0,
      };
      break;
    }
    const destination = choose(job, opts, deps, tried);
    if (!destination) break;
    tried.add(destination.name);
    trailState = trail.step(trailState, "send");
    const result = await send(job, destination, remainingMs, opts, deps, n);
    switch (result.kind) {
      case "begun":
        trail.step(trailState, "begun");
        return result.begun;
      case "refused":
        trailState = trail.step(trailState, "refused");
        lastFailure = result.failure;
        if (result.failure.code === "stale_epoch") tried.delete(destination.name);
        break;
      case "failed":
        // A request that one engine refuses would be refused by the others too.
        if (!job.repeatable || result.failure.code === "engine_refused") {
          throw new outcome.StepError(result.failure);
        }
        trailState = trail.step(trailState, "spoiled");
        lastFailure = result.failure;
        break;
      case "broke":
        trailState = trail.step(trailState, "broke");
        if (await confirmNotRun(destination, result.attempt, deps))
          trailState = trail.step(trailState, "proved");
        lastFailure = result.failure;
        break;
    }
    if (job.disconnected.aborted) break;
  }
  throw finalError(trailState, lastFailure, opts);
}

/**
 * Whether another attempt may be sent; takes its cost from the retry budget. A retry after a
 * refusal is cheap, while one after an attempt that ran or may have run costs a full token, as the
 * work may run twice.
 */
function mayRetry(job: AdmittedRequest, trailState: trail.Trail, deps: Deps): boolean {
  if (!trail.maySend(trailState) || !Buffer.isBuffer(job.body)) return false;
  const ran = trailState.context.doubts + trailState.context.spoiled > 0;
  return deps.takeRetry(ran ? 1 : REFUSED_RETRY_COST);
}

/**
 * The error for a request without an answer, with the outcome that follows from all its attempts.
 */
function finalError(
  trailState: trail.Trail,
  lastFailure: outcome.Failure | undefined,
  opts: Options,
): outcome.StepError {
  const noEndpoint = notRunFailure("no_endpoint", "route", "No endpoint can take the request now.");
  const f = lastFailure ?? noEndpoint;
  const verdict = trail.verdict(trailState);
  const wait = f.retryAfterMs ?? opts.retryAfterMs;
  return new outcome.StepError({
    ...f,
    outcome: verdict,
    retryAfterMs: verdict === "not_run" ? wait : undefined,
  });
}

function notRunFailure(code: outcome.Code, step: string, message: string): outcome.Failure {
  return { code, outcome: "not_run", step, peer: "entry", message };
}

/** The endpoint that an attempt is sent to. */
interface Destination {
  readonly name: string;
  readonly address: string;
  readonly epoch: string;
}

function choose(
  job: AdmittedRequest,
  opts: Options,
  deps: Deps,
  tried: ReadonlySet<string>,
): Destination | undefined {
  const key = targetKey(job.work);
  const candidates = deps.views.candidates(job.intent, job.target, key, tried);
  const best = route.choose(candidates, key, opts.failureDomain, opts.route, deps.random);
  const v = best?.view;
  return v?.news && { name: v.name, address: v.address, epoch: v.news.epoch };
}

/** How an attempt went; `broke` means that it is unknown whether it ran. */
type AttemptResult =
  | { readonly kind: "begun"; readonly begun: BegunAnswer }
  | { readonly kind: "refused"; readonly failure: outcome.Failure }
  | { readonly kind: "failed"; readonly failure: outcome.Failure }
  | { readonly kind: "broke"; readonly failure: outcome.Failure; readonly attempt: string };

async function send(
  job: AdmittedRequest,
  to: Destination,
  budgetMs: number,
  opts: Options,
  deps: Deps,
  attempts: number,
): Promise<AttemptResult> {
  const attempt: wire.Attempt = {
    id: `${job.id}-${crypto.randomBytes(4).toString("hex")}`,
    epoch: to.epoch,
    caller: job.caller.metadata.name,
    class: job.caller.spec.class,
    worth: job.worth,
    queue: job.maxQueue,
    budgetMs,
    revision: job.intent.revision,
    repeatable: job.repeatable,
    work: job.work,
  };
  const header = wire.encode(attempt);
  const signed = { method: "POST", path: wire.RUN_PATH, audience: to.name, covers: [header] };
  const abort = new AbortController();
  const onDisconnect = (): void => {
    abort.abort();
  };
  job.disconnected.addEventListener("abort", onDisconnect, { once: true });
  deps.views.attemptStarted(to.name, abort);
  const endAttempt = (good: boolean): void => {
    job.disconnected.removeEventListener("abort", onDisconnect);
    deps.views.attemptEnded(to.name, abort, good || job.disconnected.aborted);
  };
  try {
    const res = await deps.dispatcher.request({
      origin: `http://${to.address}`,
      path: wire.RUN_PATH,
      method: "POST",
      signal: abort.signal,
      headers: {
        ...job.headers,
        authorization: keys.sign(opts.clusterKeys, signed, deps.clock),
        [wire.HEADER.attempt]: header,
      },
      body: job.body,
    });
    receiveReport(res, deps);
    if (res.headers[wire.HEADER.attempt] === attempt.id) {
      if (res.headers[wire.HEADER.outcome] === "ran") {
        const recordBytes = (): void => {
          deps.views.recordBytes(to.name);
        };
        const begun = {
          endpoint: to.name,
          attempts,
          res,
          recordBytes,
          end: endAttempt,
        };
        return { kind: "begun", begun };
      }
    }
    const reported = await readFailure(res, to);
    // A refusal shows that the endpoint works. A failure or an unknown outcome counts as a failure
    // for its circuit breaker.
    endAttempt(reported.outcome === "not_run");
    switch (reported.outcome) {
      case "not_run":
        return { kind: "refused", failure: reported };
      case "failed":
        return { kind: "failed", failure: reported };
      case "unknown":
        return { kind: "broke", failure: reported, attempt: attempt.id };
    }
  } catch (err) {
    endAttempt(false);
    const code = err instanceof Error && "code" in err ? String(err.code) : "";
    const f = outcome.toFailure(err, "send", to.name, "unknown");
    if (CONNECT_ERROR_CODES.has(code))
      return { kind: "refused", failure: { ...f, outcome: "not_run" } };
    return { kind: "broke", failure: f, attempt: attempt.id };
  }
}

function receiveReport(res: undici.Dispatcher.ResponseData, deps: Deps): void {
  try {
    deps.views.receive(wire.decode(wire.endpointReport, res.headers[wire.HEADER.news]));
  } catch (err) {
    deps.log.debug(
      `An answer has no valid report of its endpoint's state: ${errors.messageOf(err)}`,
    );
  }
}

async function readFailure(
  res: undici.Dispatcher.ResponseData,
  to: Destination,
): Promise<outcome.Failure> {
  const text = res.headers["content-type"] === JSON_TYPE ? await res.body.text() : "";
  if (text === "") await res.body.dump();
  const reported = outcome.fromBody(text);
  if (reported) return reported;
  return {
    code: "link_broken",
    outcome: "unknown",
    step: "send",
    peer: to.name,
    message: `The endpoint sent status ${res.statusCode} without a valid failure.`,
  };
}

/** Cancels a broken attempt; true when its endpoint confirms that it did not run and never will. */
async function confirmNotRun(to: Destination, attempt: string, deps: Deps): Promise<boolean> {
  const m = deps.members.byName(to.name);
  if (!m) return false;
  try {
    const fate = await deps.peer(m).cancel.mutate({ attempt, epoch: to.epoch });
    return fate.kind === "not_run";
  } catch (err) {
    deps.log.debug(`Cancelling a broken attempt at ${to.name} failed: ${errors.messageOf(err)}`);
    return false;
  }
}

/**
 * A retry budget: allows retries as a share of the admitted requests, and `minPerSecond` a second
 * besides, so that a failure does not multiply the load.
 */
export function retryBudget(share: number, minPerSecond: number, clk: clock.Clock) {
  let bucket = tokenBucket.fullBucket(minPerSecond, minPerSecond, clk.steady());
  return {
    /** Adds the share of one admitted request to the budget. */
    recordRequest: (): void => {
      const filled = tokenBucket.refill(bucket, clk.steady());
      bucket = { ...filled, tokens: Math.min(filled.size * 2, filled.tokens + share) };
    },
    /** Takes `cost` tokens; false when the budget holds fewer. */
    takeRetry: (cost: number): boolean => {
      const taken = tokenBucket.take(bucket, clk.steady(), cost);
      if (taken.ok) bucket = taken.bucket;
      return taken.ok;
    },
  };
}
