/**
 * Bytes that a faulty worker sends although they prove nothing about a request.
 * @module
 */
import type * as http from "node:http";
import type * as net from "node:net";

/** What a worker sends in some of its turns. */
export type Stray =
  | "none"
  /** A rejection, and its copy where the next response on that connection is expected. */
  | "repeated"
  /** A rejection that names no request, while one runs. */
  | "unnamed"
  /** A status that promises that a request was not run, after it ran. */
  | "unmarked";

/** Share of a worker's requests that it treats so. */
const SHARE = 0.3;
const UNNAMED = [
  "HTTP/1.1 503 Service Unavailable\r\nx-sumacfield-not-executed: 1\r\ncontent-length: 0\r\n\r\n",
  "HTTP/1.1 421 Misdirected Request\r\ncontent-length: 0\r\n\r\n",
] as const;
const UNMARKED = [503, 429, 408] as const;

/** Sends the stray bytes of one worker. */
export class StrayBytes {
  kind: Stray = "none";
  private readonly copies = new WeakMap<net.Socket, string>();
  private readonly disturbed = new WeakSet<net.Socket>();
  private turns = 0;

  /** Whether the worker sends bytes of a kind in this turn. */
  isTurn(kind: Exclude<Stray, "none">): boolean {
    if (this.kind !== kind || Math.random() >= SHARE) return false;
    this.turns++;
    return true;
  }

  /** Sends the copy of a rejection, if the last response on the connection was one that is repeated. */
  sendCopy(socket: net.Socket): void {
    const copy = this.copies.get(socket);
    this.copies.delete(socket);
    if (copy === undefined) return;
    this.disturbed.add(socket);
    socket.write(copy);
  }

  /** Whether a copy was sent on a response's connection, whose host then reads no further. */
  isUnread({ socket }: http.ServerResponse): boolean {
    return socket !== null && this.disturbed.has(socket);
  }

  /** Keeps a copy of a rejection for the next request on its connection. */
  keepCopy({ socket }: http.ServerResponse, id: string): void {
    if (this.kind !== "repeated" || !socket) return;
    const head = "HTTP/1.1 503 Service Unavailable\r\nx-sumacfield-not-executed: 1\r\n";
    this.copies.set(socket, `${head}x-sumacfield-attempt-id: ${id}\r\ncontent-length: 0\r\n\r\n`);
  }

  /** Sends a rejection that names no request. */
  sendUnnamed({ socket }: http.IncomingMessage): void {
    socket.write(UNNAMED[this.turns % UNNAMED.length] ?? UNNAMED[0]);
  }

  /** The status of an answer that promises what it does not state. */
  unmarkedStatus(): number {
    return UNMARKED[this.turns % UNMARKED.length] ?? UNMARKED[0];
  }
}
