/**
 * Reads callers' connections so that none of them occupies the event loop or grows without bound: in slices, in turn with others once it
 * has used much time, and not further while its earlier requests or their bodies wait, or once its close is decided. HTTP/1.1 lets a
 * server leave bytes unread, so nobody is refused by this.
 * @module
 */
import type * as http from "node:http";
import type * as net from "node:net";
import type * as clock from "../clock.js";
import type * as connections from "../connections/connections.js";
import * as connectionState from "../connections/state.js";
import * as requestFields from "../request-fields.js";
import * as recentUse from "./recent-use.js";
import * as slices from "./slices.js";
import * as turnQueue from "./turn-queue.js";

/** Requests of one connection that are open at most; clients that send ahead send fewer. */
export const MAX_OPEN = 8;
/** Slices of one connection that are parsed as soon as they arrive; a request takes one or two. */
const SLICES_AT_ONCE = 2;
/** Bytes of a body that are parsed before its reader wants them. */
const UNWANTED_BYTES = 4096;
/** Milliseconds of one turn of the event loop after which what arrives has to wait its turn, too. */
const AT_ONCE_MS = 5;
/** The same while connections are accepted. Node.js accepts one in each turn, so that others may wait for the next. */
const AT_ONCE_ACCEPTING_MS = 2;
/** Slices of waiting connections that are parsed at most in one turn. */
const SLICES_PER_TURN = 16;
/** Callbacks that a turn schedules for each connection that waits, up to the slices of a turn. */
const CALLBACKS_PER_CONNECTION = 2;
/** Milliseconds of a turn after which no further slice of them is parsed, and the same while connections are accepted. */
const TURN_MS = 2;
const TURN_ACCEPTING_MS = 0.5;
/** Requests of waiting connections that are parsed in a turn while connections are accepted. */
const REQUESTS_ACCEPTING = 1;
/** Connections accepted in turns in a row from which on more are taken to wait. */
const CROWD = 2;
/**
 * Bytes of a head that are parsed at most. Node.js limits names and values alone, so that one of thousands of short fields would take
 * megabytes.
 */
export const MAX_HEAD_BYTES = 65_536;
/** Bytes beside a body that are more than one request: of those that wait, a connection that has brought so many goes later. */
const AHEAD_BYTES = 16_384;
/** Milliseconds that a request costs at least beside the parsing of its bytes. */
const REQUEST_MS = 0.5;
/** Bytes that wait over all connections; while there are more, connections are closed. */
const MAX_WAITING_BYTES = 16_777_216;
/** Bytes that wait from which on large bodies are read as if no connections were accepted. */
const MANY_WAITING_BYTES = MAX_WAITING_BYTES / 2;
/** Bytes that a connection which waits counts for at least, since the kernel holds more for it. */
const LEAST_WAITING_BYTES = 16_384;
/** Bytes that are read and discarded of a connection of which this side has ended. */
const MAX_DISCARD_BYTES = 262_144;

type Push = (chunk: Buffer | null) => boolean;

/** One connection. */
interface Connection {
  readonly socket: net.Socket;
  readonly push: Push;
  /** Refuses what it brings, as the server does with what is no request. */
  readonly refuse: (err: Error) => void;
  /** Has more bytes read. */
  readonly read: () => void;
  /** Bytes that were read and are not parsed yet. */
  held: Buffer | undefined;
  use: recentUse.Use;
  /** Requests seen so far. */
  requests: number;
  /** The latest request. */
  latest: http.IncomingMessage | undefined;
  /** Bytes, at least, of its body that have not been parsed. */
  bodyBytes: number;
  /** Bytes parsed since that request while nobody wanted its body. */
  unwantedBytes: number;
  /** Bytes parsed of a head that has not ended. */
  headBytes: number;
  discardedBytes: number;
  isQueued: boolean;
}

/** Reads the connections of one or more servers. */
export class PacedReader {
  private readonly readings = new WeakMap<net.Socket, Connection>();
  /** Connections with bytes that wait, the one without progress for the longest time first, and for how many bytes each counts. */
  private readonly waiting = new Map<Connection, number>();
  private waitingBytes = 0;
  /** Connections to be parsed in turn. */
  private readonly queue = new turnQueue.TurnQueue<Connection>(recentUse.CLASSES);
  private isTurnDue = false;
  /** Turns that have ended in which something arrived or waited, and their number when a connection was last accepted. */
  private turns = 0;
  private acceptedAt = -Infinity;
  /** Connections accepted in turns in a row. */
  private accepts = 0;
  private turnBeganAt = 0;
  /** Requests of waiting connections that this turn has parsed. */
  private turnRequests = 0;
  private hasTurnBegun = false;
  /** Milliseconds of this turn in which what had just arrived was parsed. */
  private atOnceMs = 0;
  /** The connection parsed last in this turn, and when that was done; what it causes until the next callback is charged to it. */
  private last: { readonly connection: Connection; readonly at: number } | undefined;
  /** Called when a connection is closed because too many others wait as well. */
  onClosed: (() => void) | undefined;

  constructor(
    private readonly clk: Pick<clock.Clock, "steady">,
    private readonly connections: connections.Connections,
  ) {}

  /** Number of connections with bytes that wait. */
  get waitingCount(): number {
    return this.waiting.size;
  }

  /** Reads all later connections of a server. To be called after their state is kept, and before other listeners of its requests are added. */
  install(server: http.Server): void {
    server.on("connection", (socket) => {
      this.accepts = this.isAccepting() ? this.accepts + 1 : 1;
      this.acceptedAt = this.turns;
      this.beginTurn();
      this.attach(server, socket);
    });
    server.prependListener("request", (req, res) => {
      this.recordRequest(req, res);
    });
  }

  private attach(server: http.Server, socket: net.Socket): void {
    const ignore = (): void => undefined;
    // A listener for data keeps Node.js from parsing in the read itself.
    socket.on("data", ignore).off("data", ignore);
    const read = socket._read.bind(socket);
    const c: Connection = {
      socket,
      refuse: (err) => {
        server.emit("clientError", err, socket);
      },
      read: () => {
        read(socket.readableHighWaterMark);
      },
      push: socket.push.bind(socket) as Push,
      held: undefined,
      use: recentUse.NONE,
      requests: 0,
      latest: undefined,
      bodyBytes: 0,
      unwantedBytes: 0,
      headBytes: 0,
      discardedBytes: 0,
      isQueued: false,
    };
    this.readings.set(socket, c);
    this.connections.onDropUnparsed(socket, () => {
      this.drop(c);
    });
    // The two halves of a readable stream's contract: what arrives is held, and more is read once nothing is held.
    socket.push = (chunk: Buffer | null): boolean => this.arrive(c, chunk);
    socket._read = (): void => {
      if (c.held === undefined && this.mayRead(c)) c.read();
    };
    socket.on("resume", () => {
      this.continue(c);
    });
    socket.once("finish", () => {
      // This side has ended; reading goes on for the end of the other.
      this.drop(c);
      if (!socket.destroyed && this.mayRead(c)) c.read();
    });
    socket.once("close", () => {
      this.drop(c);
    });
  }

  private recordRequest(req: http.IncomingMessage, res: http.ServerResponse): void {
    const c = this.readings.get(req.socket);
    if (!c) return;
    c.requests++;
    c.latest = req;
    c.bodyBytes = Number(req.headers["content-length"] ?? 0);
    c.unwantedBytes = 0;
    req.on("resume", () => {
      this.continue(c);
    });
    res.once("close", () => {
      if (c.latest === req && req.complete) c.latest = undefined;
      if (res.writableFinished) requestFields.release(req);
      this.continue(c);
    });
  }

  /** Takes what the connection has brought. Returns whether more may be read. */
  private arrive(c: Connection, chunk: Buffer | null): boolean {
    if (chunk === null) {
      // What waits is of a client that has left.
      this.drop(c);
      return c.push(null);
    }
    this.connections.recordArrived(c.socket, slices.isBlank(chunk));
    if (!connectionState.mayParse(this.stateOf(c))) {
      c.discardedBytes += chunk.length;
      return c.discardedBytes < MAX_DISCARD_BYTES && this.mayRead(c);
    }
    c.held = c.held ? Buffer.concat([c.held, chunk]) : chunk;
    this.parseAtOnce(c);
    return this.deferRest(c) && this.mayRead(c);
  }

  private stateOf({ socket }: Connection): connectionState.State {
    return this.connections.stateOf(socket);
  }

  private mayRead(c: Connection): boolean {
    return this.connections.mayRead(c.socket);
  }

  /** Lets what is left of a connection wait its turn. Returns whether nothing is. */
  private deferRest(c: Connection): boolean {
    if (c.held === undefined) return true;
    this.wait(c);
    this.enqueue(c);
    return false;
  }

  /** Parses what has just arrived, unless the connection or this turn has used much time. */
  private parseAtOnce(c: Connection): void {
    const from = this.clk.steady();
    if (recentUse.classOf(c.use, from) > 0) return;
    this.beginTurn();
    const mostMs = this.isAccepting() ? AT_ONCE_ACCEPTING_MS : AT_ONCE_MS;
    for (let n = 0; n < SLICES_AT_ONCE && this.atOnceMs < mostMs && this.mayParse(c); n++) {
      if (n > 0 && this.classOf(c) > 0) return;
      // Copies and calls that follow a large body would delay the accepts.
      if (c.bodyBytes > slices.SLICE_BYTES && this.mustBodiesWait()) return;
      const { requests } = c;
      const tookMs = this.parse(c, slices.SLICE_BYTES);
      this.atOnceMs += tookMs;
      this.charge(c, tookMs + REQUEST_MS * (c.requests - requests));
    }
  }

  private charge(c: Connection, ms: number): void {
    c.use = recentUse.add(c.use, this.clk.steady(), ms);
  }

  private wait(c: Connection): void {
    this.recordWaiting(c);
    while (this.waitingBytes > MAX_WAITING_BYTES) {
      const closed = this.toClose();
      if (!closed) return;
      this.onClosed?.();
      closed.socket.destroy();
      this.drop(closed);
    }
  }

  /** The connection that has waited longest of those with more than one request, or of all if each has no more. */
  private toClose(): Connection | undefined {
    for (const c of this.waiting.keys()) if (holdsMuch(c)) return c;
    const [longest] = this.waiting.keys();
    return longest;
  }

  /** Counts what waits of a connection, which has made progress or begins to wait. */
  private recordWaiting(c: Connection): void {
    this.waitingBytes -= this.waiting.get(c) ?? 0;
    this.waiting.delete(c);
    if (!c.held) return;
    const bytes = Math.max(LEAST_WAITING_BYTES, c.held.length);
    this.waiting.set(c, bytes);
    this.waitingBytes += bytes;
  }

  private drop(c: Connection): void {
    c.held = undefined;
    this.recordWaiting(c);
  }

  /** Whether a slice of a connection may be parsed now. */
  private mayParse(c: Connection): boolean {
    const { held, socket, latest, unwantedBytes } = c;
    if (held === undefined || socket.destroyed || socket.isPaused()) return false;
    const state = this.stateOf(c);
    if (!connectionState.mayParse(state)) return false;
    if (latest && !latest.complete)
      return latest.readableFlowing === true || unwantedBytes < UNWANTED_BYTES;
    return state.open.length < MAX_OPEN;
  }

  /** Parses one slice, of `mostBytes` unless it lies within a body of known length. Returns the ms that it took. */
  private parse(c: Connection, mostBytes: number): number {
    const { held, requests } = c;
    if (!held) return 0;
    const size = slices.sliceBytes(held, c.bodyBytes, mostBytes);
    c.held = size < held.length ? held.subarray(size) : undefined;
    if (this.waiting.has(c)) this.recordWaiting(c);
    const isWanted = c.latest?.readableFlowing === true;
    const { bodyBytes } = c;
    const isBody = c.latest?.complete === false;
    const slice = held.subarray(0, size);
    const from = this.clk.steady();
    c.push(slice);
    const tookMs = this.clk.steady() - from;
    c.bodyBytes = Math.max(0, c.bodyBytes - size);
    if (!isWanted && c.requests === requests) c.unwantedBytes += size;
    if (isBody || c.requests !== requests) c.headBytes = 0;
    else if (slices.hasFields(slice)) this.countHead(c, size);
    if (c.held === undefined) {
      // A slice may begin with the end of a body.
      const head = isBody ? slice.subarray(bodyBytes || size) : slice;
      const isHeadPartial = c.requests === requests && !slices.isBlank(head);
      this.connections.recordParsed(c.socket, isHeadPartial);
    }
    return tookMs;
  }

  /** Counts what was parsed of a head that has not ended, and refuses one that is too long. */
  private countHead(c: Connection, bytes: number): void {
    c.headBytes += bytes;
    if (c.headBytes <= MAX_HEAD_BYTES || c.socket.destroyed) return;
    c.headBytes = 0;
    c.refuse(Object.assign(new Error("the head is too long"), { code: "HPE_HEADER_OVERFLOW" }));
  }

  /** Parses what waits of a connection in one of the next turns, if it may be parsed now. */
  private continue(c: Connection): void {
    if (c.held !== undefined) this.enqueue(c);
  }

  private enqueue(c: Connection): void {
    if (c.isQueued || !this.mayParse(c)) return;
    c.isQueued = true;
    this.queue.push(c, this.classOf(c));
    this.scheduleTurn();
  }

  /** Class in which a connection waits: one that has sent ahead does so behind those that bring one request, also if it is new. */
  private classOf(c: Connection): number {
    const used = recentUse.classOf(c.use, this.clk.steady());
    const isAhead = c.latest?.complete !== false && holdsMuch(c);
    return isAhead ? Math.max(1, used) : used;
  }

  /** Notes that something has arrived or waits in this turn, which ends with the next call of immediate callbacks. */
  private beginTurn(): void {
    if (this.hasTurnBegun) return;
    this.hasTurnBegun = true;
    setImmediate(() => {
      this.hasTurnBegun = false;
      this.atOnceMs = 0;
      this.turns++;
    });
  }

  /** Whether this turn or the one before has accepted a connection, so that others may wait to be. */
  private isAccepting(): boolean {
    return this.turns - this.acceptedAt <= 1;
  }

  /** Whether large bodies wait for their turn because many connections are accepted. */
  private mustBodiesWait(): boolean {
    return this.isAccepting() && this.accepts >= CROWD && this.waitingBytes < MANY_WAITING_BYTES;
  }

  private scheduleTurn(): void {
    if (this.isTurnDue) return;
    this.isTurnDue = true;
    this.beginTurn();
    const count = Math.min(SLICES_PER_TURN, CALLBACKS_PER_CONNECTION * this.queue.size);
    // What a slice has caused runs between two of these callbacks.
    for (let n = 0; n < count; n++)
      setImmediate(() => {
        this.step(n);
      });
    setImmediate(() => {
      this.endTurn();
    });
  }

  private step(n: number): void {
    const now = this.clk.steady();
    if (n === 0) {
      this.turnBeganAt = now;
      this.turnRequests = 0;
    }
    this.chargeLast(now);
    const isAccepting = this.isAccepting();
    if (isAccepting && this.turnRequests >= REQUESTS_ACCEPTING) return;
    if (now - this.turnBeganAt < (isAccepting ? TURN_ACCEPTING_MS : TURN_MS)) this.parseNext();
  }

  private endTurn(): void {
    this.chargeLast(this.clk.steady());
    this.isTurnDue = false;
    if (this.queue.size > 0) this.scheduleTurn();
  }

  private chargeLast(now: number): void {
    if (this.last) this.charge(this.last.connection, now - this.last.at);
    this.last = undefined;
  }

  private parseNext(): void {
    for (;;) {
      const c = this.queue.shift();
      if (!c) return;
      c.isQueued = false;
      if (!this.mayParse(c)) continue;
      const { requests } = c;
      this.charge(c, this.parse(c, slices.SMALL_SLICE_BYTES));
      this.turnRequests += c.requests - requests;
      this.last = { connection: c, at: this.clk.steady() };
      this.enqueue(c);
      return;
    }
  }
}

/** Whether more waits of a connection than one request takes beside its body. */
function holdsMuch({ held }: Connection): boolean {
  return held !== undefined && held.length > AHEAD_BYTES;
}
