/**
 * Bounds a server's connections, so that descriptors are left for the store, workers and other daemons, and closes the ones that are
 * missed least when new ones come.
 * @module
 */
import type * as http from "node:http";
import type * as net from "node:net";
import type * as connections from "../connections/connections.js";

/** What a connection is doing. */
export type Activity =
  /** It has brought nothing. */
  | "silent"
  /** No request is open on it. */
  | "idle"
  /** The body of its only open request arrives. */
  | "receiving"
  /** It waits for a response, or takes one. */
  | "busy";

/** In which order connections are closed for new ones. Busy ones are not: their requests may run. */
const CLOSED_FIRST: readonly Activity[] = ["silent", "idle", "receiving"];

/**
 * The connection to be closed for a new one: of the activity that goes first, the one that has had it for the longest time.
 * `connections` come in that order. Undefined if all are busy.
 */
export function toClose<T>(
  connections: Iterable<T>,
  activityOf: (connection: T) => Activity,
): T | undefined {
  let best: { readonly connection: T; readonly order: number } | undefined;
  for (const connection of connections) {
    const order = CLOSED_FIRST.indexOf(activityOf(connection));
    if (order < 0 || (best && best.order <= order)) continue;
    best = { connection, order };
    if (order === 0) break;
  }
  return best?.connection;
}

/** Keeps the number of a server's connections below a limit. */
export class ConnectionLimit {
  /** The connections, the one whose activity has changed longest ago first. */
  private readonly sockets = new Set<net.Socket>();
  /** Called when a connection is closed for a new one, or a new one because all others are busy. */
  onClosed: (() => void) | undefined;

  /** Allows `max` connections at the same time. */
  constructor(
    public max: number,
    private readonly connections: connections.Connections,
  ) {}

  /** Number of open connections. */
  get size(): number {
    return this.sockets.size;
  }

  /** Limits all later connections of a server. To be called after their state is kept. */
  install(server: http.Server): void {
    server.on("connection", (socket) => {
      if (this.sockets.size >= this.max) this.makeRoom(socket);
      if (socket.destroyed) return;
      this.sockets.add(socket);
      socket.once("close", () => {
        this.sockets.delete(socket);
      });
    });
    server.prependListener("request", ({ socket }, res) => {
      this.renew(socket);
      res.once("close", () => {
        this.renew(socket);
      });
    });
  }

  private makeRoom(newest: net.Socket): void {
    const closed = toClose(this.sockets, (s) => this.activityOf(s)) ?? newest;
    this.sockets.delete(closed);
    closed.destroy();
    this.onClosed?.();
  }

  private activityOf(socket: net.Socket): Activity {
    const { open, isReceiving } = this.connections.stateOf(socket);
    if (open.length === 0) return socket.bytesRead === 0 ? "silent" : "idle";
    return open.length === 1 && isReceiving ? "receiving" : "busy";
  }

  private renew(socket: net.Socket): void {
    if (this.sockets.delete(socket)) this.sockets.add(socket);
  }
}
