/**
 * The HTTP server of the endpoint daemon: handles attempts from entry daemons and control calls.
 * @module
 */
import * as http from "node:http";
import type * as clock from "../host/clock.js";
import * as errors from "../host/errors.js";
import type * as connections from "../host/connections/connections.js";
import * as log from "../host/log.js";
import * as responses from "../host/response.js";
import * as body from "../link/body.js";
import type * as keys from "../link/keys.js";
import * as pump from "../link/pump.js";
import * as wire from "../link/wire.js";
import * as outcome from "../request/outcome.js";
import * as answer from "./answer.js";
import type * as engine from "./engine.js";
import * as gate from "./gate.js";
import type * as service from "./service.js";

/** Name and limits of the server. */
export interface Options {
  /** Name of this endpoint. */
  readonly name: string;
  /** Largest request for a model, in bytes. */
  readonly requestLimit: number;
  /** Largest answer that is not streamed, and largest event of one that is, in bytes. */
  readonly answerLimit: number;
}

/** Dependencies of the server. */
export interface Deps {
  readonly clock: clock.Clock;
  readonly log: log.Log;
  /** State of the connections. */
  readonly connections: connections.Connections;
  /** The admission gate; undefined until the intent with this endpoint is known. */
  readonly gate: () => gate.Gate | undefined;
  readonly verify: ReturnType<typeof keys.createVerifier>;
  readonly control: (req: http.IncomingMessage, res: http.ServerResponse) => Promise<void>;
  readonly engine: engine.Engine | undefined;
  readonly service: service.Service | undefined;
}

const STATUS_NOT_FOUND = 404;
const STATUS_SERVER_ERROR = 500;
/** Largest number of characters of an engine's refusal to include in an error message. */
const MAX_REFUSAL_CHARS = 300;
/** Largest number of calls to the engine for one attempt, if it keeps losing the adapter. */
const MAX_ENGINE_CALLS = 3;

/** Creates the server; the caller must call `listen` and `close`. */
export function create(opts: Options, deps: Deps): http.Server {
  const server = http.createServer(
    deps.connections.listener((req, res) => {
      const path = req.url ?? "";
      if (path.startsWith(`${wire.CONTROL_PATH}/`)) {
        void deps.control(req, res);
        return;
      }
      handleAttempt(opts, deps, req, res).catch((err: unknown) => {
        deps.log.error(`Handling an attempt failed unexpectedly: ${errors.messageOf(err)}`);
        responses.breakOff(res);
      });
    }),
  );
  // Node.js drops fields beyond a number of its own without an error.
  server.maxHeadersCount = 0;
  deps.connections.install(server);
  return server;
}

/** The seat that an attempt has now; undefined while it has none. */
interface SeatRef {
  seat: gate.Seat | undefined;
}

/** Handles one attempt: verifies it, waits for a seat, runs it and sends the answer. */
async function handleAttempt(
  opts: Options,
  deps: Deps,
  req: http.IncomingMessage,
  res: http.ServerResponse,
): Promise<void> {
  const peer = req.socket.remoteAddress ?? "gone";
  const callerGone = new AbortController();
  res.on("close", () => {
    if (!res.writableFinished) callerGone.abort();
  });
  let a: wire.Attempt;
  try {
    a = readAttempt(opts, deps, req, peer);
  } catch (err) {
    req.resume();
    body.sendFailure(res, outcome.toFailure(err, "accept", opts.name, "not_run"));
    return;
  }
  res.setHeader(wire.HEADER.attempt, a.id);
  const seatRef: SeatRef = { seat: undefined };
  try {
    const currentGate = deps.gate();
    if (!currentGate)
      throw outcome.notRun("not_ready", "run", opts.name, "The intent is not known yet.");
    switch (a.work.kind) {
      case "model": {
        const fields = parseJson(await body.read(req, opts.requestLimit, peer), peer);
        seatRef.seat = await currentGate.admit(a, callerGone.signal);
        await runModel(opts, deps, a, a.work, fields, seatRef, callerGone.signal, res);
        break;
      }
      case "service":
        seatRef.seat = await currentGate.admit(a, callerGone.signal);
        await runService(deps, a, a.work, req, seatRef.seat, callerGone.signal, res);
        break;
    }
  } catch (err) {
    seatRef.seat?.abandon();
    if (!req.readableEnded) req.resume();
    sendFailure(
      deps,
      res,
      outcome.toFailure(err, "run", opts.name, seatRef.seat ? "unknown" : "not_run"),
    );
  }
}

function readAttempt(
  opts: Options,
  deps: Deps,
  req: http.IncomingMessage,
  peer: string,
): wire.Attempt {
  const header = req.headers[wire.HEADER.attempt];
  const covers = [typeof header === "string" ? header : ""];
  const signed = { method: req.method ?? "", path: req.url ?? "", audience: opts.name, covers };
  deps.verify(req.headers.authorization, signed, peer);
  if (req.url !== wire.RUN_PATH) {
    throw outcome.notRun("not_found", "accept", peer, `Path ${req.url ?? ""} does not exist.`);
  }
  try {
    return wire.decode(wire.attempt, header);
  } catch (err) {
    throw outcome.notRun(
      "bad_request",
      "accept",
      peer,
      `The attempt header is not valid: ${errors.messageOf(err)}.`,
    );
  }
}

function parseJson(text: Buffer, peer: string): Readonly<Record<string, unknown>> {
  try {
    return JSON.parse(text.toString()) as Readonly<Record<string, unknown>>;
  } catch {
    throw outcome.notRun("bad_request", "accept", peer, "The request is not JSON.");
  }
}

function reportHeader(deps: Deps): Record<string, string> {
  const currentGate = deps.gate();
  return currentGate ? { [wire.HEADER.news]: wire.encode(currentGate.news()) } : {};
}

function sendFailure(deps: Deps, res: http.ServerResponse, f: outcome.Failure): void {
  if (!res.headersSent) {
    for (const [name, value] of Object.entries(reportHeader(deps))) res.setHeader(name, value);
  }
  body.sendFailure(res, f);
}

type ModelWork = Extract<wire.Attempt["work"], { kind: "model" }>;
type ServiceWork = Extract<wire.Attempt["work"], { kind: "service" }>;

async function runModel(
  opts: Options,
  deps: Deps,
  a: wire.Attempt,
  work: ModelWork,
  fields: Readonly<Record<string, unknown>>,
  seatRef: SeatRef,
  signal: AbortSignal,
  res: http.ServerResponse,
): Promise<void> {
  const { seat, response } = await callEngine(opts, deps, a, work, fields, seatRef, signal);
  const expected: answer.ExpectedAnswer = {
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
    const checked = await answer.readAll(response.body, expected, opts.answerLimit);
    seat.end();
    const size = Buffer.byteLength(checked);
    res.writeHead(200, { ...head, ...reportHeader(deps), "content-length": size });
    res.end(checked);
    return;
  }
  // Sends the head with the first event, so that an earlier failure can still be sent as an error.
  let headSent = false;
  for await (const event of answer.readEvents(response.body, expected, opts.answerLimit)) {
    if (!headSent) res.writeHead(200, { ...head, ...reportHeader(deps) });
    headSent = true;
    if (!res.write(event)) await waitForDrain(res, signal);
  }
  seat.end();
  res.end();
}

/** Waits until a slow reader has read the written data; throws if it disconnects. */
function waitForDrain(res: http.ServerResponse, signal: AbortSignal): Promise<void> {
  return new Promise((resolve, reject) => {
    const onAbort = (): void => {
      reject(new Error("the reader disconnected"));
    };
    if (signal.aborted) {
      onAbort();
      return;
    }
    signal.addEventListener("abort", onAbort, { once: true });
    res.once("drain", () => {
      signal.removeEventListener("abort", onAbort);
      resolve();
    });
  });
}

/**
 * Calls the engine. If it answers that the adapter is not loaded, it has run nothing, and is called
 * again once the adapter is loaded.
 */
async function callEngine(
  opts: Options,
  deps: Deps,
  a: wire.Attempt,
  work: ModelWork,
  fields: Readonly<Record<string, unknown>>,
  seatRef: SeatRef,
  signal: AbortSignal,
): Promise<{ readonly seat: gate.Seat; readonly response: engine.Answer }> {
  if (!deps.engine)
    throw outcome.notRun("not_found", "run", opts.name, "This endpoint has no engine.");
  for (let n = 0; n < MAX_ENGINE_CALLS && seatRef.seat; n++) {
    const { seat } = seatRef;
    const call: engine.Call = {
      name: seat.name,
      id: a.id,
      path: work.path,
      fields,
      priority: -Math.round(a.worth),
    };
    const response = await deps.engine.run(call, signal);
    if (response.status === 200) return { seat, response };
    const why = `The engine answered ${response.status}: ${await readRefusal(response)}`;
    if (response.status !== STATUS_NOT_FOUND) {
      seat.end();
      throw engineFailed(opts, response.status, why);
    }
    seatRef.seat = undefined;
    seatRef.seat = await seat.again();
  }
  seatRef.seat?.end();
  throw outcome.notRun("not_ready", "engine", opts.name, "The engine keeps losing the adapter.", 0);
}

/** Reads the first characters of an engine's refusal. */
async function readRefusal(response: engine.Answer): Promise<string> {
  let text = "";
  response.body.setEncoding("utf8");
  for await (const part of response.body as AsyncIterable<string>) {
    if (text.length < MAX_REFUSAL_CHARS) text += part;
  }
  return text.slice(0, MAX_REFUSAL_CHARS);
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
    throw outcome.notRun("not_found", "run", a.id, "This endpoint has no plain service.");
  }
  const response = await deps.service.run(work.method, work.path, req, signal);
  const headers: Record<string, string | string[]> = {};
  for (const [name, value] of Object.entries(response.headers)) {
    if (value === undefined || name === "connection" || name === "transfer-encoding") continue;
    if (name === "keep-alive" || name.startsWith("sumacfield-")) continue;
    headers[name] = value;
  }
  res.writeHead(response.statusCode, {
    ...headers,
    [wire.HEADER.attempt]: a.id,
    [wire.HEADER.outcome]: "ran",
    ...reportHeader(deps),
  });
  await pump.pump(response.body, res);
  seat.end();
  res.end();
}
