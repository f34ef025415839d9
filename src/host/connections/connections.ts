/**
 * Keeps the state of a server's connections: takes their requests, announces and carries out their closes. What is read of them follows
 * from the same state; see {@link state}.
 * @module
 */
import type * as http from "node:http";
import * as net from "node:net";
import type * as stream from "node:stream";
import * as timers from "node:timers/promises";
import type * as clock from "../clock.js";
import * as lingeringClose from "../lingering-close.js";
import * as responses from "../response.js";
import * as state from "./state.js";

const BAD_REQUEST = 400;
const EXPECTATION_FAILED = 417;

/** What clients get whose request is not read to its end, as whole responses that announce the close. */
export interface Refusals {
  /** For bytes that are no request. */
  readonly unreadable: (err: Error) => string;
  /** For a request of which only a part has arrived when the host stops. */
  readonly stopping: string;
}

/** How a connection was left, for the log; `unsentBytes` were written and not taken by the kernel. */
export interface Description {
  readonly openRequests: number;
  readonly closeReason: state.CloseReason | undefined;
  /** Milliseconds since its close was decided. */
  readonly closingMs: number | undefined;
  readonly isAnnounced: boolean;
  readonly isUnparsed: boolean;
  readonly unsentBytes: number;
}

/** One connection. */
interface Entry {
  readonly socket: net.Socket;
  state: state.State;
  /** Responses that have not ended, by the number of their request. */
  readonly responses: Map<number, http.ServerResponse>;
  /** The latest request, until it has arrived whole. */
  receiving: http.IncomingMessage | undefined;
  /** The response that bears the announcement. */
  announcing: http.ServerResponse | undefined;
  /** Drops what was read and not parsed. */
  dropUnparsed: () => void;
}

/** The connections of one or more servers. */
export class Connections {
  /** Called when a request crosses the close of its connection, so that it is not served. */
  onCrossed: (() => void) | undefined;
  /** Called when this side has closed a connection before it sent the whole response to a request that was taken. */
  onUnanswered: ((res: http.ServerResponse, d: Description) => void) | undefined;
  private readonly entries = new Map<stream.Duplex, Entry>();
  private readonly taken = new WeakSet<http.IncomingMessage>();
  /** Why each connection closes after the requests that were taken from it; undefined unless it does. */
  private draining: state.CloseReason | undefined;

  constructor(
    private readonly clk: clock.Clock,
    private readonly refusals: Refusals,
  ) {}

  /** Keeps the state of all later connections of a server. To be called before other listeners are added. */
  install(server: http.Server): void {
    server.on("connection", (socket) => {
      this.attach(socket);
    });
    server.prependListener("request", (req, res) => {
      this.take(req, res);
    });
    server.on("clientError", (err, socket) => {
      this.refuseUnreadable(err, socket);
    });
    // Node.js would refuse it without regard to the other requests.
    server.on("checkExpectation", (req, res) => {
      server.emit("request", req, res);
    });
    server.on("connect", (req, socket) => {
      this.refuseUnreadable(new Error(`${req.method ?? ""} is not supported`), socket);
    });
  }

  /**
   * A listener for requests that passes those on which are taken, once what was read with them has been parsed: only then is it known
   * which response announces the close.
   */
  listener(handler: http.RequestListener): http.RequestListener {
    return (req, res) => {
      if (!this.taken.has(req)) {
        req.resume();
        this.onCrossed?.();
      } else if (req.httpVersion === "1.1" && req.headers.host === undefined) {
        this.closeBehind(req.socket, "unreadable");
        res.writeHead(BAD_REQUEST, { "content-length": 0 }).end();
      } else if (isUnknownExpectation(req)) {
        this.closeBehind(req.socket, "unread_body");
        res.writeHead(EXPECTATION_FAILED, { "content-length": 0 }).end();
      } else
        queueMicrotask(() => {
          handler(req, res);
        });
    };
  }

  /** State of an open connection. */
  stateOf(socket: net.Socket): state.State {
    const e = this.entries.get(socket);
    return e ? this.current(e) : { ...state.NEW, isFinal: true, isEnded: true };
  }

  /** Whether more bytes of a connection are to be read now. */
  mayRead(socket: net.Socket): boolean {
    return state.mayRead(this.stateOf(socket), this.clk.mono());
  }

  /** Has `drop` called when what was read of a connection and not parsed is not needed any more. */
  onDropUnparsed(socket: net.Socket, drop: () => void): void {
    const e = this.entries.get(socket);
    if (e) e.dropUnparsed = drop;
  }

  /** Notes that bytes were read from a connection; `isBlank`: they are empty lines. */
  recordArrived(socket: net.Socket, isBlank: boolean): void {
    this.step(socket, { kind: "arrived", isBlank });
  }

  /** Notes that all bytes that were read from a connection have been parsed. */
  recordParsed(socket: net.Socket, isHeadPartial: boolean): void {
    this.step(socket, { kind: "parsed", isHeadPartial, at: this.clk.mono() });
  }

  /** Closes a connection after the responses to the requests that are taken from what was read. */
  close(socket: net.Socket, reason: state.CloseReason): void {
    this.step(socket, { kind: "close", reason, at: this.clk.mono() });
  }

  /** The same where what follows the latest request, or the rest of its body, is not needed. */
  closeBehind(socket: net.Socket, reason: state.CloseReason): void {
    this.step(socket, { kind: "unneeded" });
    this.close(socket, reason);
  }

  /** Closes the connections with open requests, and each other one after its next. */
  drain(reason: state.CloseReason): void {
    this.draining ??= reason;
    for (const e of this.entries.values())
      if (this.current(e).open.length > 0) this.close(e.socket, reason);
  }

  private closeAll(reason: state.CloseReason): void {
    this.draining ??= reason;
    for (const { socket } of this.entries.values()) this.close(socket, reason);
  }

  /**
   * Stops accepting connections and closes all, the ones without open requests at once. Resolves when they have closed: the requests
   * that were taken have ended, and their clients have had time to read the responses.
   */
  async stop(server: http.Server): Promise<void> {
    const closed = stopListening(server);
    // What has arrived is read in the next poll.
    await timers.setImmediate();
    this.closeAll("stopping");
    await closed;
  }

  /**
   * Takes no further request, as the process ends. Refuses those of which something was read on connections without open requests,
   * and closes these connections.
   */
  takeNoMore(): void {
    const at = this.clk.mono();
    for (const { socket } of this.entries.values()) this.step(socket, { kind: "take_no_more", at });
  }

  /** How the connection of a request stands. */
  describe(socket: net.Socket): Description {
    const { open, close, isFinal, isUnparsed } = this.stateOf(socket);
    return {
      openRequests: open.length,
      closeReason: close?.reason,
      closingMs: close && Math.round(this.clk.mono() - close.at),
      isAnnounced: isFinal,
      isUnparsed,
      unsentBytes: socket.writableLength,
    };
  }

  private attach(socket: net.Socket): void {
    const e: Entry = {
      socket,
      state: state.NEW,
      responses: new Map(),
      receiving: undefined,
      announcing: undefined,
      dropUnparsed: () => undefined,
    };
    this.entries.set(socket, e);
    // Node.js calls this after a response that announced the close.
    socket.destroySoon = () => {
      this.end(e);
    };
    socket.once("close", () => {
      if (!socket.readableEnded && !socket.errored) this.reportUnanswered(e);
      this.entries.delete(socket);
      giveUpQueued(e.responses.values());
    });
  }

  private reportUnanswered(e: Entry): void {
    for (const res of e.responses.values())
      if (!res.writableFinished) this.onUnanswered?.(res, this.describe(e.socket));
  }

  /** The state, with what the parser has found meanwhile. */
  private current(e: Entry): state.State {
    if (e.receiving?.complete) {
      e.receiving = undefined;
      e.state = state.apply(e.state, { kind: "received" });
    }
    if (e.announcing?.headersSent && !e.state.isFinal)
      e.state = state.apply(e.state, { kind: "announced" });
    return e.state;
  }

  private take(req: http.IncomingMessage, res: http.ServerResponse): void {
    const e = this.entries.get(req.socket);
    if (!e || !state.mayTake(this.current(e))) return;
    this.taken.add(req);
    const request = e.state.taken + 1;
    e.responses.set(request, res);
    e.receiving = req;
    const ended = (): void => {
      if (!e.responses.delete(request)) return;
      if (e.announcing === res) e.announcing = undefined;
      this.step(e.socket, { kind: "responded", request });
    };
    res.once("finish", ended).once("close", ended);
    this.step(e.socket, { kind: "taken", isLast: !res.shouldKeepAlive, at: this.clk.mono() });
    if (this.draining) this.close(e.socket, this.draining);
  }

  private step(socket: net.Socket, step: state.Step): void {
    const e = this.entries.get(socket);
    if (!e) return;
    e.state = state.apply(this.current(e), step);
    this.announce(e);
    switch (state.dueOf(e.state)) {
      case "nothing":
        break;
      case "refuse":
        socket.write(this.refusals.stopping);
        this.end(e);
        break;
      case "end":
        this.end(e);
        break;
    }
    if (!state.mayParse(e.state)) e.dropUnparsed();
  }

  /** Has the response announce the close that is to, and no other. */
  private announce(e: Entry): void {
    const request = state.announcerOf(e.state);
    const res = request === undefined ? undefined : e.responses.get(request);
    if (res === e.announcing || e.announcing?.headersSent) return;
    e.announcing?.removeHeader("connection");
    e.announcing = res?.headersSent ? undefined : res;
    e.announcing?.setHeader("connection", "close");
  }

  private end(e: Entry): void {
    if (e.state.isEnded) return;
    e.state = state.apply(e.state, { kind: "ended" });
    e.dropUnparsed();
    lingeringClose.close(e.socket, this.clk);
  }

  /**
   * Refuses bytes that are no request, on a connection with no response under way. A refusal would become part of an earlier
   * response; the connection then ends after those that are open.
   */
  private refuseUnreadable(err: Error, socket: stream.Duplex): void {
    const e = this.entries.get(socket);
    // What arrives on a connection that is being closed is discarded.
    if (!e || socket.writableEnded) return;
    if (!socket.writable) {
      socket.destroy();
      return;
    }
    const [current] = e.responses.values();
    if (current && !current.req.complete) {
      if (current.headersSent) {
        responses.breakOff(current);
        return;
      }
    } else if (current) {
      this.closeBehind(e.socket, "unreadable");
      return;
    }
    socket.write(this.refusals.unreadable(err));
    this.end(e);
  }
}

function isUnknownExpectation({ headers }: http.IncomingMessage): boolean {
  return headers.expect !== undefined && headers.expect.toLowerCase() !== "100-continue";
}

/** Ends the responses behind the first one, as Node.js tells only that one that the connection has closed. */
function giveUpQueued(open: Iterable<http.ServerResponse>): void {
  for (const res of [...open]) {
    if (res.socket !== null || res.closed) continue;
    res.destroy();
    res.emit("close");
  }
}

/** Stops accepting connections, without closing any as Node.js does with those it takes for idle. Resolves once all have closed. */
function stopListening(server: http.Server): Promise<void> {
  return new Promise((resolve) => {
    net.Server.prototype.close.call(server, () => {
      // Ends the checks of timeouts.
      server.close();
      resolve();
    });
  });
}
