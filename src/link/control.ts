/**
 * Control calls between daemons, and from the command line to daemons, over tRPC. Each call is signed
 * with the cluster's key, and the signature covers its body.
 * @module
 */
import type * as http from "node:http";
import * as client from "@trpc/client";
import * as server from "@trpc/server";
import * as observables from "@trpc/server/observable";
import * as undici from "undici";
import * as zod from "zod";
import type * as clock from "../host/clock.js";
import * as intent from "../contract/intent.js";
import * as objects from "../contract/objects.js";
import * as outcome from "../request/outcome.js";
import * as body from "./body.js";
import * as keys from "./keys.js";
import * as wire from "./wire.js";

/**
 * Schema of an update of the intent: the changesets after some revision, or the whole intent if the log no
 * longer reaches back to that revision.
 */
export const intentUpdate = zod.discriminatedUnion("kind", [
  zod.object({ kind: zod.literal("changes"), changes: zod.array(intent.changeset).readonly() }),
  zod.object({
    kind: zod.literal("whole"),
    revision: zod.int(),
    id: zod.string(),
    objects: zod.array(objects.schema).readonly(),
  }),
]);
export type IntentUpdate = zod.infer<typeof intentUpdate>;

/** What became of an attempt, according to the endpoint daemon that it was addressed to. */
export type AttemptFate =
  /** The attempt was not dispatched and never will be. */
  | { readonly kind: "not_run" }
  /** The attempt was dispatched; it may still be running. */
  | { readonly kind: "dispatched" }
  /** The attempt was addressed to an earlier run of the daemon, of which this one has no record. */
  | { readonly kind: "unknown_epoch" };

/** State and counters of one daemon, for `sumacfield status`. */
export interface Status {
  readonly name: string;
  readonly role: "entry" | "endpoint";
  readonly failureDomain: string;
  readonly state: string;
  readonly revision: number;
  readonly running: number;
  readonly waiting: number;
  readonly loaded: readonly string[];
  readonly storeCalls: number;
  readonly storeRefused: number;
  readonly watching: boolean;
  readonly controlBytes: number;
  readonly rssBytes: number;
  readonly cpuMs: number;
  readonly histograms: readonly {
    readonly name: string;
    readonly caller: string;
    readonly class: string;
    readonly count: number;
    readonly p50: number;
    readonly p95: number;
    readonly p99: number;
  }[];
}

/** Schema of a request for a turn to load weights from the deployment's weight store. */
export const turnRequest = zod.object({
  endpoint: zod.string(),
  /** `adapter@version`. */
  target: zod.string(),
  /** Priority: a request with a larger score is served first. */
  score: zod.number(),
});
export type TurnRequest = zod.infer<typeof turnRequest>;

/** Whether an endpoint may load now, or in how many ms it should ask again. */
export type TurnAnswer =
  { readonly kind: "go" } | { readonly kind: "wait"; readonly askAgainMs: number };

/** A daemon's implementation of the control calls. */
export interface Handler {
  readonly endpointReport: () => wire.EndpointReport | undefined;
  readonly status: () => Status;
  readonly changesAfter: (revision: number) => IntentUpdate;
  /** Applies an update of the intent, and returns the revision in effect afterwards. */
  readonly receiveIntent: (page: IntentUpdate) => number;
  /** Withdraws an attempt unless it was dispatched, and returns what became of it. */
  readonly cancel: (attempt: string, epoch: string) => AttemptFate;
  readonly askTurn: (ask: TurnRequest) => TurnAnswer;
  readonly endTurn: (endpoint: string) => void;
  readonly explain: (caller: string, model: string) => readonly string[];
}

const t = server.initTRPC.context<{ readonly handler: Handler }>().create();

const router = t.router({
  news: t.procedure.query(({ ctx }) => ctx.handler.endpointReport() ?? null),
  status: t.procedure.query(({ ctx }) => ctx.handler.status()),
  changesAfter: t.procedure
    .input(zod.object({ revision: zod.int() }))
    .query(({ ctx, input }) => ctx.handler.changesAfter(input.revision)),
  learn: t.procedure
    .input(intentUpdate)
    .mutation(({ ctx, input }) => ctx.handler.receiveIntent(input)),
  cancel: t.procedure
    .input(zod.object({ attempt: zod.string(), epoch: zod.string() }))
    .mutation(({ ctx, input }) => ctx.handler.cancel(input.attempt, input.epoch)),
  askTurn: t.procedure.input(turnRequest).mutation(({ ctx, input }) => ctx.handler.askTurn(input)),
  endTurn: t.procedure.input(zod.object({ endpoint: zod.string() })).mutation(({ ctx, input }) => {
    ctx.handler.endTurn(input.endpoint);
  }),
  explain: t.procedure
    .input(zod.object({ caller: zod.string(), model: zod.string() }))
    .query(({ ctx, input }) => ctx.handler.explain(input.caller, input.model)),
});
type Router = typeof router;

/** A client for control calls to one peer. Calls throw a `StepError`; a lost reply has the outcome `unknown`. */
export type Peer = client.TRPCClient<Router>;

/** Bytes of control calls that this daemon sent and received. */
export interface Traffic {
  bytes: number;
}

/** Maximum body of a control call, in bytes: the whole intent at its expected future size, with a margin. */
const MAX_BODY_BYTES = 32 * 1024 * 1024;
/** Estimated size of the request line and headers of a control call, in bytes. */
const CALL_OVERHEAD_BYTES = 400;

/**
 * Returns a request listener for control calls under {@link wire.CONTROL_PATH}. A call without a valid
 * signature is answered with 401.
 */
export function serve(
  name: string,
  handler: Handler,
  verify: ReturnType<typeof keys.createVerifier>,
  traffic: Traffic,
): (req: http.IncomingMessage, res: http.ServerResponse) => Promise<void> {
  const procedures = t.createCallerFactory(router)({ handler });
  return async (req, res) => {
    const peer = req.socket.remoteAddress ?? "gone";
    try {
      const text = await body.read(req, MAX_BODY_BYTES, peer);
      const method = req.method ?? "";
      const path = req.url ?? "";
      const covers = [keys.sha256(text)];
      verify(req.headers.authorization, { method, path, audience: name, covers }, peer);
      const out = JSON.stringify(await callProcedure(procedures, path, text.toString()));
      traffic.bytes += CALL_OVERHEAD_BYTES + path.length + text.length + out.length;
      const size = Buffer.byteLength(out);
      res.writeHead(200, { "content-type": "application/json", "content-length": size });
      res.end(out);
    } catch (err) {
      body.sendFailure(res, outcome.toFailure(err, "control", peer, "not_run"));
    }
  };
}

type Procedures = Readonly<Record<string, (input: unknown) => Promise<unknown>>>;

/** Calls a procedure without the library's HTTP adapter, which would account for most of a call's cost. */
async function callProcedure(procedures: object, path: string, text: string): Promise<Envelope> {
  const name = path.slice(wire.CONTROL_PATH.length + 1);
  if (!Object.hasOwn(router._def.procedures, name)) {
    throw outcome.notRun("not_found", "control", name, "There is no such control call.");
  }
  const procedure = (procedures as Procedures)[name];
  const input: unknown = text === "" ? undefined : JSON.parse(text);
  return { result: { data: await procedure?.(input) } };
}

/** The JSON body of a successful response. */
interface Envelope {
  readonly result: { readonly data: unknown };
}

/** Creates a client for the daemon `name` at `address` (`ip:port`). */
export function connect(
  address: string,
  name: string,
  clusterKeys: keys.ClusterKeys,
  clk: clock.Clock,
  timeoutMs: number,
  traffic: Traffic,
): Peer {
  const post = async (procedure: string, input: unknown): Promise<unknown> => {
    const path = `${wire.CONTROL_PATH}/${procedure}`;
    const text = input === undefined ? "" : JSON.stringify(input);
    const signed = { method: "POST", path, audience: name, covers: [keys.sha256(text)] };
    const res = await undici.request(`http://${address}${path}`, {
      method: "POST",
      headers: { authorization: keys.sign(clusterKeys, signed, clk) },
      body: text,
      signal: AbortSignal.timeout(timeoutMs),
    });
    const out = await res.body.text();
    traffic.bytes += CALL_OVERHEAD_BYTES + path.length + text.length + out.length;
    if (res.statusCode === 200) return (JSON.parse(out) as Envelope).result.data;
    const failure = outcome.fromBody(out);
    throw failure ? new outcome.StepError(failure) : new Error(`status ${res.statusCode}`);
  };
  const link: client.TRPCLink<Router> = () => (opts) =>
    observables.observable((observer) => {
      post(opts.op.path, opts.op.input).then(
        (data) => {
          observer.next({ result: { type: "data", data } });
          observer.complete();
        },
        (err: unknown) => {
          observer.error(
            client.TRPCClientError.from(
              err instanceof Error ? err : new Error("the reply was lost"),
            ),
          );
        },
      );
    });
  return client.createTRPCClient<Router>({ links: [link] });
}
