/**
 * Sample values and servers for tests of routed requests.
 * @module
 */
import * as http from "node:http";
import * as net from "node:net";
import type * as callerRequest from "../../src/serving/caller-request.js";
import type * as catalog from "../../src/serving/catalog.js";
import type * as choice from "../../src/serving/choice.js";
import type * as origins from "../../src/serving/continuation/origins.js";
import * as notices from "../../src/serving/notices.js";
import type * as protocol from "../../src/serving/protocol.js";
import type * as residency from "../../src/serving/residency.js";
import type * as seatMessages from "../../src/serving/seat-messages.js";

/** The result of a lookup that found no origin of a stream. */
export const UNKNOWN_ORIGIN: origins.Lookup = {
  kind: "unknown",
  reason: "unrecorded",
  replies: [],
  asked: 0,
  isStoreRead: true,
};

export const ROUTE: catalog.Route = {
  name: "captions",
  host: "a.example",
  prefix: "/c/",
  kind: "once",
  resumable: false,
  timeoutMs: 2000,
  targetMs: 400,
  gapMs: 400,
  attempts: 2,
  rank: 1,
  allowsAnonymous: false,
  shares: [{ service: "guide", weight: 1 }],
};

export const SERVICE: catalog.Service = {
  name: "guide",
  endpoints: { matchLabels: { "sumacfield/service": "guide" } },
  healthPath: "/healthz",
  connections: 100,
};

export const CONFIG: catalog.Config = {
  version: 1,
  routes: [ROUTE],
  services: new Map([[SERVICE.name, SERVICE]]),
  limits: { headerBytes: 4096, bodyBytes: 1000, headersMs: 2000, idleMs: 5000 },
};

/** A protocol with its own headers, so that tests of the product don't depend on a platform. */
export const WIRE: protocol.Protocol = {
  read: (h) => ({
    id: String(h["test-id"] ?? ""),
    waitMs: Number(h["test-wait"] ?? Infinity),
    promptTokens: 0,
    answerTokens: 0,
    parts: [],
  }),
  reserved: new Set(["test-wait", "test-instance", "test-team", "last-event-id"]),
  credentials: new Set(["test-key"]),
  credential: (h) => {
    const key = text(h["test-key"]);
    return key === undefined ? { kind: "missing" } : { kind: "key", key };
  },
  sendHeaders: (m) => ({
    "test-instance": m.instance,
    "test-left": String(m.leftMs),
    ...(m.resumeAfter !== undefined && { "last-event-id": m.resumeAfter }),
    ...(m.team !== undefined && { "test-team": m.team }),
    ...(m.version !== undefined && { "test-version": String(m.version) }),
  }),
  answeredRequestId: (h) => text(h["test-id"]),
  saysNotRun: (status, h) => status === 421 || text(h["test-not-run"]) !== undefined,
  isSigned: (h) => text(h["test-signed"]) !== undefined,
  livenessRequest: (instance, { healthPath }) => ({
    path: healthPath,
    headers: { "test-instance": instance },
  }),
  isFromInstance: (_instance, status) => status !== 421,
  notice: (status, h) => ({
    limit: number(h["test-limit"]),
    leaving: text(h["test-leaving"]) === "1" ? { kind: "said", value: true } : notices.ABSENT,
    retryAfterMs: status === 503 ? number(h["test-retry-after-ms"]) : notices.ABSENT,
  }),
  retryAfterHeaders: (ms) => ({ "retry-after": String(ms / 1000) }),
};

function number(value: string | readonly string[] | undefined): notices.Announced<number> {
  const header = text(value);
  if (header === undefined) return notices.ABSENT;
  const n = Number(header);
  return Number.isNaN(n) ? { kind: "unreadable", text: header } : { kind: "said", value: n };
}

function text(value: string | readonly string[] | undefined): string | undefined {
  return typeof value === "string" ? value : value?.[0];
}

/** An endpoint of the sample service that is not leaving. */
export function endpoint(id: string, address: string): catalog.Endpoint {
  return {
    id,
    address,
    domain: "d1",
    labels: { "sumacfield/service": SERVICE.name },
    seats: 4,
    leaving: false,
  };
}

/** The state of an idle engine. */
export const STATE: seatMessages.State = {
  kind: "state",
  instance: "x",
  waitMs: new Array<number>(10).fill(0),
  msPerToken: 0.05,
  firstMs: 60,
  slotMs: 0,
  eachSlotMs: 100,
  coldMs: 250,
  warmMs: 25,
  seats: 0,
  failing: 0,
  entries: 1,
  silenceMs: 1000,
};

/** Options for the residency of adapters on an engine with `slots` slots. */
export function residencyOf(slots: number): residency.Options {
  return {
    slots,
    maxLoads: 2,
    maxColdLoads: 2,
    isWarm: () => false,
    closeAfterMs: 100,
    outdatedUseMs: 500,
  };
}

/** The view of an endpoint with an idle engine, except for the fields in `over`. */
export function view(id: string, over: Partial<choice.View> = {}): choice.View {
  const { leaving } = over.endpoint ?? { leaving: false };
  return {
    endpoint: endpoint(id, `10.0.0.${id}:1`),
    state: { ...STATE, instance: id },
    holdings: { models: ["m"], resident: [], warm: [] },
    inFlight: 0,
    pendingTokens: 0,
    pendingSlots: 0,
    failureRate: 0,
    latencyMs: 0,
    isStarting: false,
    orderIndex: 0,
    stateAgeMs: 0,
    limitWaitMs: 0,
    availableInMs: leaving ? Infinity : 0,
    ...over,
  };
}

/** A request for the sample service that arrives now, except for the fields in `over`. */
export function request(
  over: Partial<callerRequest.CallerRequest> = {},
): callerRequest.CallerRequest {
  const now = performance.now();
  return {
    meta: { id: "r1", waitMs: 1000, promptTokens: 0, answerTokens: 0, parts: [] },
    route: ROUTE,
    service: SERVICE,
    method: "POST",
    path: "/c/x",
    headers: { "test-id": "r1" },
    body: Buffer.from("body"),
    arrivedAt: now,
    dueAt: now + 1000,
    streamDueAt: over.dueAt ?? now + 1000,
    ...over,
  };
}

/** Starts a worker that answers the first data of each connection through the raw socket. */
export async function rawWorker(answer: (socket: net.Socket) => void) {
  const server = net.createServer((socket) => {
    socket.on("error", () => undefined);
    socket.once("data", () => {
      answer(socket);
    });
  });
  return listen(server);
}

/** Starts a worker that answers each request, head and body, through the raw socket. */
export async function rawServer(answer: (socket: net.Socket) => void) {
  const server = net.createServer((socket) => {
    socket.on("error", () => undefined);
    let received = "";
    socket.on("data", (part: Buffer) => {
      received += part.toString();
      for (let end = endOfRequest(received); end > 0; end = endOfRequest(received)) {
        received = received.slice(end);
        answer(socket);
      }
    });
  });
  return listen(server);
}

/** Index of the first character after the first whole request of a text; 0 if it has none. */
function endOfRequest(received: string): number {
  const headEnd = received.indexOf("\r\n\r\n");
  if (headEnd < 0) return 0;
  const length = /content-length: (\d+)/i.exec(received.slice(0, headEnd))?.[1] ?? "0";
  const end = headEnd + "\r\n\r\n".length + Number(length);
  return received.length >= end ? end : 0;
}

/** Starts a worker that answers HTTP requests. */
export async function worker(
  answer: (req: http.IncomingMessage, res: http.ServerResponse) => void,
) {
  return listen(
    http.createServer((req, res) => {
      req.resume();
      answer(req, res);
    }),
  );
}

/** The headers of a valid answer to the request `id`. */
export function good(id = "r1"): Record<string, string> {
  return { "test-id": id, "test-signed": "1" };
}

/** Listens on a free port. */
export async function listen(server: net.Server) {
  await new Promise<void>((resolve) => {
    server.listen(0, "127.0.0.1", resolve);
  });
  const { port } = server.address() as net.AddressInfo;
  const close = (): void => {
    server.close();
    if (server instanceof http.Server) server.closeAllConnections();
  };
  return { address: `127.0.0.1:${port}`, close };
}
