/**
 * Keeps clients from taking a response for something else: breaks responses off so that the client sees it, and lets nothing
 * be written into one that has not ended.
 * @module
 */
import type * as http from "node:http";
import type * as net from "node:net";
import type * as stream from "node:stream";
import * as lingeringClose from "./lingering-close.js";

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
 * normally. A response whose last bytes the kernel has taken is complete, and still reaches its client.
 */
export function breakOffAll(open: Iterable<http.ServerResponse>): void {
  for (const res of open) if (!res.writableFinished) breakOff(res);
}

/**
 * Answers bytes that are not an HTTP request with the text that `refusal` returns, a whole response that announces the close. While
 * a response to an earlier, whole request has not ended, a refusal would become part of it; the connection then ends after that
 * response instead.
 */
export function onUnreadableRequest(server: http.Server, refusal: (err: Error) => string): void {
  const open = new WeakMap<stream.Duplex, Set<http.ServerResponse>>();
  const ending = new WeakSet<stream.Duplex>();
  server.on("request", (req, res) => {
    const { socket } = req;
    const responses = open.get(socket) ?? new Set();
    open.set(socket, responses.add(res));
    res.once("close", () => {
      responses.delete(res);
      if (responses.size === 0 && ending.has(socket)) lingeringClose.close(socket);
    });
  });
  server.on("clientError", (err, socket) => {
    // What arrives on a connection that is being closed is discarded.
    if (socket.writableEnded) return;
    if (!socket.writable) {
      socket.destroy();
      return;
    }
    const [current] = open.get(socket) ?? [];
    if (current?.req.complete) ending.add(socket);
    else if (current?.headersSent) breakOff(current);
    else {
      socket.write(refusal(err));
      lingeringClose.close(socket);
    }
  });
}
