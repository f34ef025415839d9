/**
 * Closes connections in stages (RFC 9112, section 9.6): ends this side, reads and discards what still arrives, and closes when the
 * other side has ended or has had time to. A connection that is closed at once resets if more arrives, and its client may lose a
 * response that it has not read yet.
 * @module
 */
import type * as stream from "node:stream";
import * as clock from "./clock.js";

/** Milliseconds that a client has to read the last response and to end its side: some round trips. */
export const LINGER_MS = 1000;

/** Closes a connection in stages, after what has been written to it; to be called once. */
export function close(socket: stream.Duplex, clk: clock.Clock = clock.system): void {
  if (socket.destroyed) return;
  if (!socket.writableEnded) socket.end();
  const timer = clk.after(LINGER_MS, () => {
    socket.destroy();
  });
  socket.once("close", () => {
    timer.cancel();
  });
}
