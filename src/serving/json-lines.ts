/**
 * JSON messages over TCP, one per line, each validated against a schema when it arrives.
 * @module
 */
import type * as net from "node:net";
import type * as zod from "zod";

/** Maximum length of a line in characters; the longest message lists some 50 adapters and is far shorter. */
const LINE_LIMIT = 262_144;
/** Number of unsent bytes above which a peer counts as stuck and the connection is closed. */
const UNSENT_LIMIT = 1_048_576;

/** Milliseconds of silence after which TCP keep-alive probes the peer's host, ten times within ten seconds. */
const KEEP_ALIVE_MS = 1000;

export interface Handlers<In> {
  readonly message: (m: In) => void;
  /** The connection is closed. `why` says what ended it; `byPeer` is true if the peer or its host closed it. */
  readonly closed: (why: string, byPeer: boolean) => void;
}

/** This side of a connection. */
export interface Channel<Out> {
  readonly send: (m: Out) => void;
  /** Sends messages already encoded by {@link encode}. */
  readonly sendLine: (line: string) => void;
  readonly close: () => void;
}

/** Encodes one message for the wire. */
export function encode(m: object): string {
  return `${JSON.stringify(m)}\n`;
}

/** Sends and receives messages on a socket. A message that does not match `schema` ends the connection. */
export function openChannel<In, Out extends object>(
  socket: net.Socket,
  schema: zod.ZodType<In>,
  on: Handlers<In>,
): Channel<Out> {
  /** Pieces of a line that has not ended, and their length together. */
  let pieces: string[] = [];
  let piecesLength = 0;
  let why = "closed by peer";
  let byPeer = true;
  socket.setNoDelay(true);
  // A host that lost power closes no connections; without keep-alive its seats would be held forever.
  socket.setKeepAlive(true, KEEP_ALIVE_MS);
  socket.setEncoding("utf8");
  socket.on("data", (chunk: string) => {
    // Only the chunk is searched, so that a line in many pieces costs no more than its length.
    const lines = chunk.split("\n");
    const rest = lines.pop() ?? "";
    if (lines.length > 0) {
      lines[0] = pieces.join("") + (lines[0] ?? "");
      pieces = [];
      piecesLength = 0;
    }
    pieces.push(rest);
    piecesLength += rest.length;
    if (piecesLength > LINE_LIMIT) {
      why = "line too long";
      socket.destroy();
      return;
    }
    for (const line of lines) {
      try {
        on.message(schema.parse(JSON.parse(line)));
      } catch (err) {
        why = `invalid message: ${err instanceof Error ? err.message : String(err)}`;
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
      why = "peer stopped reading";
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
      why = "closed locally";
      byPeer = false;
      socket.destroy();
    },
  };
}
