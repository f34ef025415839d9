/**
 * Keeps clients from taking a response for something else: breaks responses off so that the client sees it.
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

/**
 * Breaks off those of a server's responses that are not complete, before its process ends and the kernel closes their connections
 * normally. A response whose last bytes the kernel has taken is complete, and still reaches its client. Calls `before` with each of
 * the others first.
 */
export function breakOffAll(
  open: Iterable<http.ServerResponse>,
  before: (res: http.ServerResponse) => void = () => undefined,
): void {
  for (const res of open) {
    if (res.writableFinished) continue;
    before(res);
    breakOff(res);
  }
}
