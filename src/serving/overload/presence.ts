/**
 * Whether the caller of a request is still there. While the event loop is behind, the end of a caller's connection may wait
 * in the kernel, so that the loop must poll before the answer is known.
 * @module
 */
import type * as net from "node:net";
import type * as clock from "../../host/clock.js";
import type * as lagMonitor from "./lag-monitor.js";
import * as loopLag from "./loop-lag.js";

/** Presence of the caller of one request. */
export interface Presence {
  /** Whether the caller has closed or ended its side of the connection, as far as was read. */
  readonly hasLeft: () => boolean;
  /** Whether the event loop is so far behind that it must poll before `hasLeft` is certain enough for a send. */
  readonly isStale: () => boolean;
  /** Whether the event loop is behind. */
  readonly isBehind: () => boolean;
  /** Resolves once the event loop has polled. */
  readonly confirm: () => Promise<void>;
}

/** What to call when a connection ends, with one listener for all requests that are pipelined on it. */
const callbacks = new WeakMap<net.Socket, Set<() => void>>();

/** Calls `callback` when the caller's side of a connection has ended; returns the function that unregisters it. */
export function onEnd(socket: net.Socket, callback: () => void): () => void {
  const existing = callbacks.get(socket);
  const registered = existing ?? new Set();
  registered.add(callback);
  if (!existing) {
    callbacks.set(socket, registered);
    socket.once("end", () => {
      for (const each of [...registered]) each();
    });
  }
  return () => {
    registered.delete(callback);
  };
}

/** Presence of the caller on a connection. `onLeft` is called each time that the caller is found to have left. */
export function watch(
  socket: net.Socket,
  clk: clock.Clock,
  lag: lagMonitor.LagMonitor,
  onLeft: () => void,
): Presence {
  let confirmedAt = -Infinity;
  const isBehind = (): boolean => lag.lag().ms > loopLag.NORMAL_MS;
  return {
    hasLeft: () => {
      // The stream's state changes before its events are emitted.
      const hasLeft = socket.destroyed || socket.readableEnded;
      if (hasLeft) onLeft();
      return hasLeft;
    },
    // What was confirmed in this turn stays certain enough for a while; otherwise long turns would never let it be sent.
    isStale: () => isBehind() && clk.mono() - confirmedAt > loopLag.NORMAL_MS,
    isBehind,
    confirm: async () => {
      confirmedAt = await lag.afterPoll();
    },
  };
}
