/**
 * The endpoint daemon's link server: takes attempts from entry daemons, and control calls.
 * @module
 */
import * as http from "node:http";
import type * as clock from "../host/clock.js";
import * as errors from "../host/why.js";
import * as log from "../host/log.js";
import * as body from "../link/body.js";
import type * as keys from "../link/keys.js";
import * as pump from "../link/pump.js";
import * as wire from "../link/wire.js";
import * as outcome from "../request/outcome.js";
import * as answer from "./answer.js";
import type * as engine from "./engine.js";
import * as gate from "./gate.js";
import type * as service from "./service.js";

export interface Options {
  readonly name: string;
  /** Largest request for a model, in bytes. */
  readonly requestLimit: number;
  /** Largest answer that is not a stream, and largest event of one that is, in bytes. */
  readonly answerLimit: number;
}

export interface Deps {
  readonly clock: clock.Clock;
  readonly log: log.Log;
  /** Undefined until the intent tells what this endpoint is. */
  readonly gate: () => gate.Gate | undefined;
  readonly verify: ReturnType<typeof keys.verifier>;
  readonly control: (req: http.IncomingMessage, res: http.ServerResponse) => Promise<void>;
  readonly engine: engine.Engine | undefined;
  readonly service: service.Service | undefined;
}

const STATUS_NOT_FOUND = 404;
const STATUS_SERVER_ERROR = 500;
const SHOWN = 300;
/** Calls to the engine for one attempt, when it keeps losing the adapter. */
const DISPATCHES = 3;

/** Makes the server; the caller listens and closes. */
export function create(opts: Options, deps: Deps): http.Server {
  const server = http.createServer((req, res) => {
    const path = req.url ?? "";
    if (path.startsWith(`${wire.CONTROL_PATH}/`)) {
      void deps.control(req, res);
      return;
    }
    run(opts, deps, req, res).catch((err: unknown) => {
      deps.log.error(`An attempt broke off: ${errors.why(err)}`);
      res.destroy();
    });
  });
  server.on("clientError", body.refuseBytes);
  return server;
}

/** Where the attempt is on the engine now. */
interface Place {
  seat: gate.Seat | undefined;
}

async function run(
  opts: Options,
  deps: Deps,
  req: http.IncomingMessage,
  res: http.ServerResponse,
): Promise<void> {
  const peer = req.socket.remoteAddress ?? "gone";
  const gone = new AbortController();
  res.on("close", () => {
    if (!res.writableFinished) gone.abort();
  });
  let a: wire.Attempt;
  try {
    a = accept(opts, deps, req, peer);
  } catch (err) {
    req.resume();
    body.refuse(res, outcome.toFailure(err, "accept", opts.name, "not_run"));
    return;
  }
  res.setHeader(wire.HEADER.attempt, a.id);
  const place: Place = { seat: undefined };
  try {
    const at = deps.gate();
    if (!at) throw outcome.notRun("not_ready", "run", opts.name, "The intent is not known yet.");
    switch (a.work.kind) {
      case "model": {
        const fields = parse(await body.read(req, opts.requestLimit, peer), peer);
        place.seat = await at.admit(a, gone.signal);
        await runModel(opts, deps, a, a.work, fields, place, gone.signal, res);
        break;
      }
      case "service":
        place.seat = await at.admit(a, gone.signal);
        await runService(deps, a, a.work, req, place.seat, gone.signal, res);
        break;
    }
  } catch (err) {
    place.seat?.abandon();
    if (!req.readableEnded) req.resume();
    tell(deps, res, outcome.toFailure(err, "run", opts.name, place.seat ? "unknown" : "not_run"));
  }
}

function accept(opts: Options, deps: Deps, req: http.IncomingMessage, peer: string): wire.Attempt {
  const header = req.headers[wire.HEADER.attempt];
  const covers = [typeof header === "string" ? header : ""];
  const signed = { method: req.method ?? "", path: req.url ?? "", audience: opts.name, covers };
  deps.verify(req.headers.authorization, signed, peer);
  if (req.url !== wire.RUN_PATH) {
    throw outcome.notRun("not_found", "accept", peer, `There is no ${req.url ?? ""} here.`);
  }
  try {
    return wire.decode(wire.attempt, header);
  } catch (err) {
    throw outcome.notRun("bad_request", "accept", peer, `No such attempt: ${errors.why(err)}.`);
  }
}

function parse(text: Buffer, peer: string): Readonly<Record<string, unknown>> {
  try {
    return JSON.parse(text.toString()) as Readonly<Record<string, unknown>>;
  } catch {
    throw outcome.notRun("bad_request", "accept", peer, "The request is not JSON.");
  }
}

function newsHeader(deps: Deps): Record<string, string> {
  const at = deps.gate();
  return at ? { [wire.HEADER.news]: wire.encode(at.news()) } : {};
}

function tell(deps: Deps, res: http.ServerResponse, f: outcome.Failure): void {
  if (!res.headersSent) {
    for (const [name, value] of Object.entries(newsHeader(deps))) res.setHeader(name, value);
  }
  body.refuse(res, f);
}

type ModelWork = Extract<wire.Attempt["work"], { kind: "model" }>;
type ServiceWork = Extract<wire.Attempt["work"], { kind: "service" }>;

async function runModel(
  opts: Options,
  deps: Deps,
  a: wire.Attempt,
  work: ModelWork,
  fields: Readonly<Record<string, unknown>>,
  place: Place,
  signal: AbortSignal,
  res: http.ServerResponse,
): Promise<void> {
  const { seat, got } = await dispatch(opts, deps, a, work, fields, place, signal);
  const expected: answer.Expected = {
    name: seat.name,
    id: a.id,
    target: gate.targetOf(work),
    endpoint: opts.name,
  };
  const head = {
    "content-type": work.stream ? "text/event-stream" : "application/json",
    [wire.HEADER.outcome]: "ran",
    [wire.HEADER.model]: expected.target,
    "sumacfield-stall-ms": String(Math.round(seat.stallMs)),
  };
  if (!work.stream) {
    const checked = await answer.whole(got.body, expected, opts.answerLimit);
    seat.end();
    const size = Buffer.byteLength(checked);
    res.writeHead(200, { ...head, ...newsHeader(deps), "content-length": size });
    res.end(checked);
    return;
  }
  // The head waits for the first event: until then a failure can still be told as one.
  let open = false;
  for await (const event of answer.streamed(got.body, expected, opts.answerLimit)) {
    if (!open) res.writeHead(200, { ...head, ...newsHeader(deps) });
    open = true;
    if (!res.write(event)) await drained(res, signal);
  }
  seat.end();
  res.end();
}

/** Waits until a slow reader took what was written; throws when it went away instead. */
function drained(res: http.ServerResponse, signal: AbortSignal): Promise<void> {
  return new Promise((resolve, reject) => {
    const gone = (): void => {
      reject(new Error("the reader went away"));
    };
    if (signal.aborted) {
      gone();
      return;
    }
    signal.addEventListener("abort", gone, { once: true });
    res.once("drain", () => {
      signal.removeEventListener("abort", gone);
      resolve();
    });
  });
}

/** Calls the engine; one that has lost the adapter has run nothing, and is called again when it has it. */
async function dispatch(
  opts: Options,
  deps: Deps,
  a: wire.Attempt,
  work: ModelWork,
  fields: Readonly<Record<string, unknown>>,
  place: Place,
  signal: AbortSignal,
): Promise<{ readonly seat: gate.Seat; readonly got: engine.Answer }> {
  if (!deps.engine) throw outcome.notRun("not_found", "run", opts.name, "There is no engine here.");
  for (let n = 0; n < DISPATCHES && place.seat; n++) {
    const { seat } = place;
    const call: engine.Call = {
      name: seat.name,
      id: a.id,
      path: work.path,
      fields,
      priority: -Math.round(a.worth),
    };
    const got = await deps.engine.run(call, signal);
    if (got.status === 200) return { seat, got };
    const why = `The engine answered ${got.status}: ${await start(got)}`;
    if (got.status !== STATUS_NOT_FOUND) {
      seat.end();
      throw engineFailed(opts, got.status, why);
    }
    place.seat = undefined;
    place.seat = await seat.again();
  }
  place.seat?.end();
  throw outcome.notRun("not_ready", "engine", opts.name, "The engine keeps losing the adapter.", 0);
}

/** The first characters of an engine's refusal. */
async function start(got: engine.Answer): Promise<string> {
  let text = "";
  got.body.setEncoding("utf8");
  for await (const part of got.body as AsyncIterable<string>) {
    if (text.length < SHOWN) text += part;
  }
  return text.slice(0, SHOWN);
}

function engineFailed(opts: Options, status: number, message: string): outcome.StepError {
  return new outcome.StepError({
    code: status < STATUS_SERVER_ERROR ? "engine_refused" : "engine_failed",
    outcome: "failed",
    step: "engine",
    peer: opts.name,
    message,
  });
}

async function runService(
  deps: Deps,
  a: wire.Attempt,
  work: ServiceWork,
  req: http.IncomingMessage,
  seat: gate.Seat,
  signal: AbortSignal,
  res: http.ServerResponse,
): Promise<void> {
  if (!deps.service) {
    throw outcome.notRun("not_found", "run", a.id, "There is no service here.");
  }
  const got = await deps.service.run(work.method, work.path, req, signal);
  const headers: Record<string, string | string[]> = {};
  for (const [name, value] of Object.entries(got.headers)) {
    if (value === undefined || name === "connection" || name === "transfer-encoding") continue;
    if (name === "keep-alive" || name.startsWith("sumacfield-")) continue;
    headers[name] = value;
  }
  res.writeHead(got.statusCode, {
    ...headers,
    [wire.HEADER.attempt]: a.id,
    [wire.HEADER.outcome]: "ran",
    ...newsHeader(deps),
  });
  await pump.pump(got.body, res);
  seat.end();
  res.end();
}
