/**
 * Sends a request over HTTP to one endpoint and classifies the result by what is certain about whether the request ran.
 * @module
 */
import type * as undici from "undici";
import type * as clock from "../host/clock.js";
import * as connector from "../host/connector.js";
import * as errors from "../host/errors.js";
import * as evidence from "./answers/evidence.js";
import * as framings from "./answers/framing.js";
import type * as callerRequest from "./caller-request.js";
import type * as catalog from "./catalog.js";
import * as connectionPool from "./connections/connection-pool.js";
import * as livenessCheck from "./connections/liveness-check.js";
import * as exchange from "./exchange.js";
import type * as headers from "./headers.js";
import type * as notices from "./notices.js";
import type * as protocol from "./protocol.js";

/** Result of a send, before any byte of its answer is passed on. */
export type SendResult =
  /** The endpoint answered this request; the body is still to be read. */
  | {
      readonly kind: "answer";
      readonly status: number;
      readonly headers: headers.Headers;
      readonly framing: framings.Framing;
      readonly body: exchange.Body;
      readonly notice: notices.Notice;
      readonly statement: evidence.Statement;
    }
  /** The request was not run and will not be. `isAbsent`: another instance runs at the address, or it lacks the adapter. */
  | {
      readonly kind: "not_run";
      readonly why: string;
      readonly isAbsent: boolean;
      readonly notice: notices.Notice;
      readonly statement: evidence.Statement;
    }
  /** Nothing of the request was sent: no connection was made, or the request was given up before. */
  | { readonly kind: "unsent"; readonly why: string }
  /** Nothing of the request was sent: its gate withheld it. */
  | { readonly kind: "withheld" }
  /** The endpoint answered with a status that must not be passed on, since the request may have run. */
  | {
      readonly kind: "unproved";
      readonly why: string;
      readonly notice: notices.Notice;
      readonly statement: evidence.Statement;
    }
  /** It is unknown whether the request ran; `statement` is that of an answer that does not prove it. */
  | {
      readonly kind: "unknown";
      readonly why: string;
      readonly statement?: evidence.Statement;
    };

/** Timeout in milliseconds for connecting to an endpoint; across a failure domain this takes a few. */
const CONNECT_TIMEOUT_MS = 700;
/** Milliseconds by which an idle connection is closed before the endpoint would close it. */
const KEEP_ALIVE_MARGIN_MS = 300;
/** Milliseconds that an idle connection is kept if its endpoint announces no timeout. */
const DEFAULT_KEEP_ALIVE_MS = 3000;
/** Most milliseconds that an idle connection is kept. */
const MAX_KEEP_ALIVE_MS = 60_000;
/**
 * Shares that an endpoint's connections are divided into, of which each host may use one, since a worker resets connections
 * beyond its limit. What all hosts use of an engine together is bounded by the seats that its endpoint daemon grants, so a
 * host may use more of an engine: most callers of an adapter may come to one host.
 */
const CONNECTION_SHARES = { service: 8, engine: 3 } as const;
/** Most bytes of headers accepted from an endpoint. */
const MAX_HEADER_BYTES = 65_536;
/** Most bytes that are read of an answer which nobody needs, and what a chunk counts beside its own. */
const MAX_DISCARD_BYTES = 262_144;
const DISCARD_CHUNK_COST_BYTES = 64;

/** Connections to the endpoints, in one pool for each incarnation of an endpoint. */
export class Upstream {
  private readonly pools = new Map<string, connectionPool.ConnectionPool>();

  private readonly connect = connector.metered({
    timeout: CONNECT_TIMEOUT_MS,
    autoSelectFamily: false,
  });

  constructor(
    private readonly wire: protocol.Protocol,
    private readonly clk: clock.Clock,
  ) {}

  private poolOf(e: catalog.Endpoint, service: catalog.Service): connectionPool.ConnectionPool {
    const existing = this.pools.get(e.id);
    if (existing) return existing;
    const shares = CONNECTION_SHARES[service.engine ? "engine" : "service"];
    const limit = Math.max(2, Math.floor(service.connections / shares));
    const pool = new connectionPool.ConnectionPool(`http://${e.address}`, limit, {
      pipelining: 1,
      connect: this.connect,
      keepAliveTimeout: DEFAULT_KEEP_ALIVE_MS,
      keepAliveMaxTimeout: MAX_KEEP_ALIVE_MS,
      keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN_MS,
      headersTimeout: 0,
      bodyTimeout: 0,
      maxHeaderSize: MAX_HEADER_BYTES,
    });
    this.pools.set(e.id, pool);
    return pool;
  }

  /**
   * Sends `req` to `e`, unless `gate` withholds it before it is written. `attributes` is called when a connection takes the
   * request, which may wait for one. An abort of `signal` closes the connection, so that the endpoint stops.
   */
  async send(
    req: callerRequest.CallerRequest,
    e: catalog.Endpoint,
    attributes: () => protocol.SendAttributes,
    signal: AbortSignal,
    gate: exchange.Gate = exchange.ALWAYS_OPEN,
  ): Promise<SendResult> {
    const transfer = new exchange.Exchange(signal, gate);
    let head: exchange.Head;
    try {
      const opts: undici.Dispatcher.DispatchOptions = {
        method: req.method,
        path: req.path,
        headers: lazily(() => ({ ...req.headers, ...this.wire.sendHeaders(attributes()) })),
        body: req.body.length > 0 ? req.body : null,
      };
      this.poolOf(e, req.service).dispatch(opts, transfer, gate.carried);
      head = await transfer.head;
    } catch (err) {
      if (err instanceof exchange.WithheldError) return { kind: "withheld" };
      return { kind: transfer.isStarted ? "unknown" : "unsent", why: errors.messageOf(err) };
    }
    return this.classify(req, head, transfer);
  }

  /** Classifies an answer by its head. */
  private async classify(
    req: callerRequest.CallerRequest,
    head: exchange.Head,
    body: exchange.Body,
  ): Promise<SendResult> {
    const { status, headers } = head;
    const statement = evidence.read(this.wire, req.meta.id, head);
    const proof = evidence.prove(statement);
    const notice = this.wire.notice(status, headers);
    switch (proof.kind) {
      case "unknown":
        // The bytes may belong to another request, so the connection can no longer be trusted.
        body.abort();
        return { ...proof, statement };
      case "unproved":
        await discard(body);
        return { ...proof, notice, statement };
      case "not_run":
        await discard(body);
        return { ...proof, why: `status ${status}`, notice, statement };
      case "answer":
        break;
    }
    const framing = framings.framingOf(req.method, status, headers);
    return { kind: "answer", status, headers, framing, body, notice, statement };
  }

  /**
   * Whether the worker of an endpoint answers to a request that is sent now, so that its process has not ended before; false as well
   * if that is not known in time, or once `signal` aborts.
   */
  isRunning(e: catalog.Endpoint, service: catalog.Service, signal: AbortSignal): Promise<boolean> {
    const question: livenessCheck.Question = {
      address: e.address,
      ...this.wire.livenessRequest(e.id, service),
      isAnswered: (status, received) => this.wire.isFromInstance(e.id, status, received),
    };
    return livenessCheck.isRunning(question, signal, this.clk);
  }

  /**
   * Opens new connections to an endpoint for all requests from now on. The existing ones may be dead without a reset;
   * requests in flight on them end by themselves.
   */
  replaceConnections(id: string): void {
    const pool = this.pools.get(id);
    if (!pool) return;
    this.pools.delete(id);
    void pool.close();
  }

  /** Closes the connections to all endpoints that are not in `ids`. */
  retain(ids: ReadonlySet<string>): void {
    for (const [id, pool] of this.pools) {
      if (ids.has(id)) continue;
      this.pools.delete(id);
      // Requests in flight end by themselves; nothing depends on whether closing succeeds.
      void pool.close();
    }
  }

  close(): void {
    for (const pool of this.pools.values()) void pool.destroy();
    // An answer of the store that is under way may still change the endpoints to retain.
    this.pools.clear();
  }
}

/** Headers that are computed when the HTTP client reads them, which it does when a connection takes their request. */
function lazily(compute: () => headers.Headers): Iterable<Header> {
  return { [Symbol.iterator]: () => (Object.entries(compute()) as Header[])[Symbol.iterator]() };
}

/** Name and value of a header. */
type Header = [string, string | string[] | undefined];

/** Reads and discards an answer, so that its connection can be reused; a longer one has its connection closed. */
export async function discard(body: exchange.Body): Promise<void> {
  let size = 0;
  try {
    await body.pump((chunk) => {
      size += chunk.length + DISCARD_CHUNK_COST_BYTES;
      if (size > MAX_DISCARD_BYTES) body.abort();
      return undefined;
    });
  } catch {
    // The rest of the answer is not needed, and the error has closed the connection.
  }
}
