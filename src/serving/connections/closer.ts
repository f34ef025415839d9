/**
 * Closes callers' connections after the responses to all requests that were taken from them. HTTP/1.1 responses come in the order
 * of their requests, so that only the last one may announce the close.
 * @module
 */
import type * as http from "node:http";
import type * as net from "node:net";
import * as clock from "../../host/clock.js";
import * as lingeringClose from "../../host/lingering-close.js";

/** Why the close of a connection was decided. */
export type CloseReason = "stopping" | "overload";

/** How a connection was left, for the log; `unsentBytes` were written and not taken by the kernel. */
export interface Description {
  readonly openRequests: number;
  readonly closeReason: CloseReason | undefined;
  /** Milliseconds since its close was decided. */
  readonly closingMs: number | undefined;
  readonly isAnnounced: boolean;
  readonly isUnparsed: boolean;
  readonly unsentBytes: number;
}

/** State of one connection. */
interface State {
  /** Responses that have not ended, in the order of their requests. */
  readonly open: Set<http.ServerResponse>;
  isClosing: boolean;
  /** Monotonic ms at which its close was decided, and why. */
  closing: { readonly at: number; readonly reason: CloseReason } | undefined;
  /** The response that announces the close. */
  last: http.ServerResponse | undefined;
}

/** Whether bytes of a connection were read that may hold further requests; `then` is called once it is known. */
export type IsUnparsed = (socket: net.Socket, then: () => void) => boolean;

/** Takes requests from callers' connections, and closes the connections. */
export class Closer {
  private readonly states = new WeakMap<net.Socket, State>();

  constructor(
    private readonly isUnparsed: IsUnparsed = () => false,
    private readonly clk: Pick<clock.Clock, "mono"> = clock.system,
  ) {}

  /**
   * Takes a request. Returns false if it crosses the close of its connection: its response could not be sent any more, so it
   * must not be served.
   */
  take(req: http.IncomingMessage, res: http.ServerResponse): boolean {
    const s = this.stateOf(req.socket);
    if (req.socket.writableEnded || s.last?.headersSent) return false;
    s.open.add(res);
    res.once("close", () => s.open.delete(res));
    res.once("finish", () => {
      s.open.delete(res);
      if (s.isClosing) this.advance(req.socket, s);
    });
    if (s.isClosing) this.advance(req.socket, s);
    return true;
  }

  /** Closes a connection once the responses that are open on it have ended. */
  closeAfterOpen(socket: net.Socket, reason: CloseReason = "stopping"): void {
    const s = this.stateOf(socket);
    s.isClosing = true;
    s.closing ??= { at: this.clk.mono(), reason };
    this.advance(socket, s);
  }

  /** How a connection stands. */
  describe(socket: net.Socket): Description {
    const s = this.stateOf(socket);
    return {
      openRequests: s.open.size,
      closeReason: s.closing?.reason,
      closingMs: s.closing && Math.round(this.clk.mono() - s.closing.at),
      isAnnounced: s.last?.headersSent ?? false,
      isUnparsed: this.isUnparsed(socket, () => undefined),
      unsentBytes: socket.writableLength,
    };
  }

  /** Announces the close, or closes if no response is open. Requests that were read are taken before. */
  private advance(socket: net.Socket, s: State): void {
    const again = (): void => {
      this.advance(socket, s);
    };
    if (socket.writableEnded || this.isUnparsed(socket, again)) return;
    if (s.open.size === 0) lingeringClose.close(socket);
    else announce(s);
  }

  private stateOf(socket: net.Socket): State {
    const known = this.states.get(socket);
    if (known) return known;
    const created: State = {
      open: new Set(),
      isClosing: false,
      closing: undefined,
      last: undefined,
    };
    this.states.set(socket, created);
    socket.once("close", () => {
      closeQueued(created);
    });
    return created;
  }
}

/** Has the response to the latest request announce the close, unless its head was sent. */
function announce(s: State): void {
  const latest = [...s.open].at(-1);
  if (!latest || latest.headersSent || s.last?.headersSent) return;
  if (s.last !== latest) s.last?.removeHeader("connection");
  s.last = latest;
  latest.setHeader("connection", "close");
}

/** Ends the responses behind the first one, as Node.js tells only that one that the connection has closed. */
function closeQueued(s: State): void {
  for (const res of s.open) {
    if (res.socket !== null || res.closed) continue;
    res.destroy();
    res.emit("close");
  }
}
