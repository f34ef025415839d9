/**
 * Breaks off responses so that the client sees it.
 * @module
 */
import type * as http from "node:http";
import type * as net from "node:net";

/** Resets a connection. One whose writing side was ended has passed everything on, and can only be closed. */
export function resetConnection(socket: net.Socket): void {
  if (socket.writableEnded) socket.destroy();
  else socket.resetAndDestroy();
}

/**
 * Breaks off a response that may have begun. A response without chunks or a length, as HTTP/1.0 clients get, ends with its
 * connection, so a normal close would make it look complete; only a reset does not.
 */
export function breakOff(res: http.ServerResponse): void {
  const { socket } = res;
  if (socket && res.headersSent && !res.chunkedEncoding) resetConnection(socket);
  res.destroy();
}
