/**
 * JSON messages over TCP, one a line, checked against a schema as they come.
 * @module
 */
import type * as net from "node:net";
import type * as zod from "zod";

/** A line longer than this comes from no daemon of ours: the longest message lists some 50 adapters. */
const LINE_LIMIT = 262_144;
/** Unsent bytes at which a peer counts as stuck, and the connection is closed. */
const UNSENT_LIMIT = 1_048_576;

/** Milliseconds of silence after which the peer's host is probed, ten times within as many seconds. */
const KEEP_ALIVE_MS = 1000;

export interface Handlers<In> {
  readonly message: (m: In) => void;
  /** The connection is over; `why` tells what ended it, and `byPeer` that its other side knows. */
  readonly closed: (why: string, byPeer: boolean) => void;
}

/** One connection, as either side has it. */
export interface Channel<Out> {
  readonly send: (m: Out) => void;
  /** Sends a message that is encoded already, as {@link encode} does. */
  readonly sendLine: (line: string) => void;
  readonly close: () => void;
}

/** One message as it stands on the wire. */
export function encode(m: object): string {
  return `${JSON.stringify(m)}\n`;
}

/** Takes a socket over. Anything that is no message of `schema` ends the connection. */
export function channel<In, Out extends object>(
  socket: net.Socket,
  schema: zod.ZodType<In>,
  on: Handlers<In>,
): Channel<Out> {
  let rest = "";
  let why = "the peer closed";
  let byPeer = true;
  socket.setNoDelay(true);
  // A host without power says nothing; without this, its seats would be held for good.
  socket.setKeepAlive(true, KEEP_ALIVE_MS);
  socket.setEncoding("utf8");
  socket.on("data", (chunk: string) => {
    const lines = (rest + chunk).split("\n");
    rest = lines.pop() ?? "";
    if (rest.length > LINE_LIMIT) {
      why = "a line was too long";
      socket.destroy();
      return;
    }
    for (const line of lines) {
      try {
        on.message(schema.parse(JSON.parse(line)));
      } catch (err) {
        why = `a message could not be read: ${err instanceof Error ? err.message : String(err)}`;
        socket.destroy();
        return;
      }
    }
  });
  socket.on("error", (err: NodeJS.ErrnoException) => {
    why = err.message;
    byPeer = err.code === "ECONNRESET" || err.code === "EPIPE";
  });
  socket.on("close", () => {
    on.closed(why, byPeer);
  });
  const sendLine = (line: string): void => {
    if (socket.destroyed) return;
    if (socket.writableLength > UNSENT_LIMIT) {
      why = "the peer reads no more";
      socket.destroy();
      return;
    }
    socket.write(line);
  };
  return {
    send: (m) => {
      sendLine(encode(m));
    },
    sendLine,
    close: () => {
      why = "closed here";
      byPeer = false;
      socket.destroy();
    },
  };
}
