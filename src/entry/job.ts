/**
 * One request on its way: chooses an endpoint, sends an attempt, and tries another where the trail of
 * attempts allows it, until an answer begins or a final word can be said.
 * @module
 */
import * as crypto from "node:crypto";
import type * as stream from "node:stream";
import * as undici from "undici";
import type * as intents from "../contract/intent.js";
import type * as objects from "../contract/objects.js";
import type * as clock from "../host/clock.js";
import * as errors from "../host/why.js";
import * as log from "../host/log.js";
import type * as members from "../host/members.js";
import type * as control from "../link/control.js";
import * as keys from "../link/keys.js";
import * as wire from "../link/wire.js";
import * as budget from "../store/budget.js";
import type * as hosts from "../store/hosts.js";
import * as outcome from "../request/outcome.js";
import * as trail from "../request/trail.js";
import * as route from "./route.js";
import type * as views from "./views.js";

export interface Options {
  readonly failureDomain: string;
  readonly route: route.Options;
  /** Attempts for one request at most. */
  readonly attempts: number;
  /** Milliseconds told to come back after when nothing better is known. */
  readonly retryAfterMs: number;
  readonly clusterKeys: keys.Keys;
}

export interface Deps {
  readonly clock: clock.Clock;
  readonly log: log.Log;
  readonly random: () => number;
  readonly views: views.Views;
  readonly members: members.Members;
  readonly peer: (m: hosts.Member) => control.Peer;
  readonly dispatcher: undici.Dispatcher;
  /** Takes a retry of some cost from the budget, or says no. */
  readonly retry: (cost: number) => boolean;
}

/** A request that was let in. */
export interface Job {
  readonly id: string;
  readonly intent: intents.Intent;
  readonly target: objects.Adapter | objects.Of<"Service">;
  readonly work: wire.Attempt["work"];
  readonly caller: objects.Caller;
  readonly worth: number;
  readonly queue: number;
  readonly repeatable: boolean;
  /** Monotonic ms by which the first byte is wanted. */
  readonly dueAt: number;
  readonly headers: Readonly<Record<string, string | string[]>>;
  /** A stream can be sent once; the second attempt of such a request is not made. */
  readonly body: Buffer | stream.Readable;
  /** Aborts when the caller goes away. */
  readonly gone: AbortSignal;
}

/** An answer that has begun. */
export interface Begun {
  readonly endpoint: string;
  readonly attempts: number;
  readonly res: undici.Dispatcher.ResponseData;
  /** To be called when bytes of the body come. */
  readonly alive: () => void;
  /** Tells whether the body came to its end. */
  readonly done: (whole: boolean) => void;
}

/** The key an adapter and version, or a service, is known by. */
export function keyOf(work: wire.Attempt["work"]): string {
  return work.kind === "model" ? `${work.adapter}@${work.version}` : work.service;
}

/** Part of a retry that one after a refusal counts as: it took no engine's time. */
const REFUSED_COST = 0.25;
const JSON_TYPE = "application/json";

/** Codes of errors that arise before a connection stood. */
const UNCONNECTED = new Set(["ECONNREFUSED", "UND_ERR_CONNECT_TIMEOUT", "EHOSTUNREACH"]);

/** Sends attempts until one answers. Throws a `StepError` whose outcome the trail vouches for. */
export async function run(job: Job, opts: Options, deps: Deps): Promise<Begun> {
  let at = trail.start(job.repeatable);
  const tried = new Set<string>();
  let last: outcome.Failure | undefined;
  for (let n = 1; n <= opts.attempts; n++) {
    if (n > 1 && !mayRetry(job, at, deps)) break;
    const left = job.dueAt - deps.clock.mono();
    if (left <= 0) {
      last = { ...failure("deadline", "route", "The deadline passed."), retryAfterMs: 0 };
      break;
    }
    const chosen = choose(job, opts, deps, tried);
    if (!chosen) break;
    tried.add(chosen.name);
    at = trail.step(at, "send");
    const sent = await send(job, chosen, left, opts, deps, n);
    switch (sent.kind) {
      case "begun":
        trail.step(at, "begun");
        return sent.begun;
      case "refused":
        at = trail.step(at, "refused");
        last = sent.failure;
        if (sent.failure.code === "stale_epoch") tried.delete(chosen.name);
        break;
      case "failed":
        // What the engine itself refused, it would refuse elsewhere too.
        if (!job.repeatable || sent.failure.code === "engine_refused") {
          throw new outcome.StepError(sent.failure);
        }
        at = trail.step(at, "spoiled");
        last = sent.failure;
        break;
      case "broke":
        at = trail.step(at, "broke");
        if (await provedNotRun(chosen, sent.attempt, deps)) at = trail.step(at, "proved");
        last = sent.failure;
        break;
    }
    if (job.gone.aborted) break;
  }
  throw final(at, last, opts);
}

/** Another attempt after a refusal costs little; one after a doubt may run the work twice. */
function mayRetry(job: Job, at: trail.Trail, deps: Deps): boolean {
  if (!trail.maySend(at) || !Buffer.isBuffer(job.body)) return false;
  const ran = at.context.doubts + at.context.spoiled > 0;
  return deps.retry(ran ? 1 : REFUSED_COST);
}

function final(
  at: trail.Trail,
  last: outcome.Failure | undefined,
  opts: Options,
): outcome.StepError {
  const none = failure("no_endpoint", "route", "No endpoint can take the request now.");
  const f = last ?? none;
  const verdict = trail.verdict(at);
  const wait = f.retryAfterMs ?? opts.retryAfterMs;
  return new outcome.StepError({
    ...f,
    outcome: verdict,
    retryAfterMs: verdict === "not_run" ? wait : undefined,
  });
}

function failure(code: outcome.Code, step: string, message: string): outcome.Failure {
  return { code, outcome: "not_run", step, peer: "entry", message };
}

interface Chosen {
  readonly name: string;
  readonly address: string;
  readonly epoch: string;
}

function choose(
  job: Job,
  opts: Options,
  deps: Deps,
  tried: ReadonlySet<string>,
): Chosen | undefined {
  const key = keyOf(job.work);
  const candidates = deps.views.candidates(job.intent, job.target, key, tried);
  const best = route.choose(candidates, key, opts.failureDomain, opts.route, deps.random);
  const v = best?.view;
  return v?.news && { name: v.name, address: v.address, epoch: v.news.epoch };
}

type Sent =
  | { readonly kind: "begun"; readonly begun: Begun }
  | { readonly kind: "refused"; readonly failure: outcome.Failure }
  | { readonly kind: "failed"; readonly failure: outcome.Failure }
  | { readonly kind: "broke"; readonly failure: outcome.Failure; readonly attempt: string };

async function send(
  job: Job,
  to: Chosen,
  budgetMs: number,
  opts: Options,
  deps: Deps,
  attempts: number,
): Promise<Sent> {
  const attempt: wire.Attempt = {
    id: `${job.id}-${crypto.randomBytes(4).toString("hex")}`,
    epoch: to.epoch,
    caller: job.caller.metadata.name,
    class: job.caller.spec.class,
    worth: job.worth,
    queue: job.queue,
    budgetMs,
    revision: job.intent.revision,
    repeatable: job.repeatable,
    work: job.work,
  };
  const header = wire.encode(attempt);
  const signed = { method: "POST", path: wire.RUN_PATH, audience: to.name, covers: [header] };
  const abort = new AbortController();
  const hangUp = (): void => {
    abort.abort();
  };
  job.gone.addEventListener("abort", hangUp, { once: true });
  deps.views.sent(to.name, abort);
  const over = (good: boolean): void => {
    job.gone.removeEventListener("abort", hangUp);
    deps.views.done(to.name, abort, good || job.gone.aborted);
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
    hearNews(res, deps);
    if (res.headers[wire.HEADER.attempt] === attempt.id) {
      if (res.headers[wire.HEADER.outcome] === "ran") {
        const alive = (): void => {
          deps.views.alive(to.name);
        };
        const begun = { endpoint: to.name, attempts, res, alive, done: over };
        return { kind: "begun", begun };
      }
    }
    const refused = await readFailure(res, to);
    // An endpoint that refuses works; one that fails or cannot say does not.
    over(refused.outcome === "not_run");
    switch (refused.outcome) {
      case "not_run":
        return { kind: "refused", failure: refused };
      case "failed":
        return { kind: "failed", failure: refused };
      case "unknown":
        return { kind: "broke", failure: refused, attempt: attempt.id };
    }
  } catch (err) {
    over(false);
    const code = err instanceof Error && "code" in err ? String(err.code) : "";
    const f = outcome.toFailure(err, "send", to.name, "unknown");
    if (UNCONNECTED.has(code)) return { kind: "refused", failure: { ...f, outcome: "not_run" } };
    return { kind: "broke", failure: f, attempt: attempt.id };
  }
}

function hearNews(res: undici.Dispatcher.ResponseData, deps: Deps): void {
  try {
    deps.views.hear(wire.decode(wire.news, res.headers[wire.HEADER.news]));
  } catch (err) {
    deps.log.debug(`An answer carried no news: ${errors.why(err)}`);
  }
}

async function readFailure(
  res: undici.Dispatcher.ResponseData,
  to: Chosen,
): Promise<outcome.Failure> {
  const text = res.headers["content-type"] === JSON_TYPE ? await res.body.text() : "";
  if (text === "") await res.body.dump();
  const told = outcome.fromBody(text);
  if (told) return told;
  return {
    code: "link_broken",
    outcome: "unknown",
    step: "send",
    peer: to.name,
    message: `The endpoint answered ${res.statusCode} in another form.`,
  };
}

/** Whether the endpoint of a broken attempt vouches that it did not and will not run. */
async function provedNotRun(to: Chosen, attempt: string, deps: Deps): Promise<boolean> {
  const m = deps.members.byName(to.name);
  if (!m) return false;
  try {
    const fate = await deps.peer(m).cancel.mutate({ attempt, epoch: to.epoch });
    return fate.kind === "not_run";
  } catch (err) {
    deps.log.debug(`${to.name} did not tell the fate of an attempt: ${errors.why(err)}`);
    return false;
  }
}

/** Retries allowed: a share of the requests, so that a failure does not multiply the load. */
export function retryBudget(share: number, least: number, clk: clock.Clock) {
  let bucket = budget.full(least, least, clk.steady());
  return {
    /** One request was let in; a share of it flows into the budget. */
    request: (): void => {
      const at = budget.fill(bucket, clk.steady());
      bucket = { ...at, tokens: Math.min(at.size * 2, at.tokens + share) };
    },
    take: (cost: number): boolean => {
      const taken = budget.take(bucket, clk.steady(), cost);
      if (taken.ok) bucket = taken.bucket;
      return taken.ok;
    },
  };
}
