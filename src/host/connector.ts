/**
 * Connects HTTP clients so that an answer without a length that was reset is told from a complete one, and that an answer may
 * end while its reader has it paused.
 * @module
 */
import type * as net from "node:net";
import * as undici from "undici";
import * as readMeter from "./read-meter.js";

/** Error code that replaces those of a reset connection; undici does not know it. */
const RESET_CODE = "SUMACFIELD_RESET";
/** Bytes written to find out whether a connection was reset; HTTP servers ignore an empty line. */
const PROBE = "\r\n";
/** Most bytes of an answer's head with the informational answers before it, and of framing beyond that of its body. */
const MAX_BARE_BYTES = 131_072;

/**
 * Returns undici's connector, changed to tell a reset from a normal close. An answer without a length is complete only if
 * its connection closed normally, and two layers hide a reset: libuv reports a reset that arrives together with the last
 * bytes as an end, and undici treats a reset as the end of such an answer. So an end is passed on only after a write has
 * shown that the connection was not reset, and the error of a reset gets a code that undici does not know.
 */
export function resetAware(
  opts: undici.buildConnector.BuildOptions,
): undici.buildConnector.connector {
  return preparing(opts, probeAtEnd);
}

/**
 * Returns what {@link resetAware} does, for clients that record each head and body on {@link readMeter.current}: a connection on
 * which other bytes arrive without end is destroyed.
 */
export function metered(opts: undici.buildConnector.BuildOptions): undici.buildConnector.connector {
  return preparing(opts, (socket) => {
    probeAtEnd(socket);
    new readMeter.ReadMeter(socket, MAX_BARE_BYTES);
  });
}

/**
 * Delays a socket's `end` event while undici's parser is paused. undici would take the end of the connection for the end of
 * the answer and fail an assertion, outside of any call, or give up an answer of which all bytes have arrived.
 *
 * A parser that pauses puts back what it has not parsed, even if that is nothing, and reads again once it resumes; the reads of
 * Node.js itself have a size. The socket must allow half-open connections, as it is otherwise closed after the delayed event.
 */
function holdEndWhilePaused(socket: net.Socket): void {
  const emit = socket.emit.bind(socket);
  const read = socket.read.bind(socket);
  const unshift = socket.unshift.bind(socket);
  let isPaused = false;
  let isEndHeld = false;
  const end = (): boolean => {
    const hasListeners = emit("end");
    socket.end();
    return hasListeners;
  };
  const endIfResumed = (): void => {
    if (isPaused || !isEndHeld || socket.destroyed) return;
    isEndHeld = false;
    end();
  };
  socket.unshift = (chunk: unknown, encoding?: BufferEncoding): void => {
    isPaused = true;
    unshift(chunk, encoding);
  };
  socket.read = (size?: number): unknown => {
    if (size === undefined) {
      isPaused = false;
      // The parser first parses what has been read.
      if (isEndHeld) process.nextTick(endIfResumed);
    }
    return read(size);
  };
  socket.emit = (name: string | symbol, ...args: unknown[]): boolean => {
    if (name !== "end") return emit(name, ...args);
    isEndHeld = isPaused;
    return isEndHeld || end();
  };
}

/** Delays a socket's `end` event until a write has succeeded; a failed write destroys the socket. */
function probeAtEnd(socket: net.Socket): void {
  const emit = socket.emit.bind(socket);
  let endSeen = false;
  socket.emit = (name: string | symbol, ...args: unknown[]): boolean => {
    if (name !== "end" || endSeen || socket.destroyed) return emit(name, ...args);
    endSeen = true;
    socket.write(PROBE, (err) => {
      if (!err) emit("end");
    });
    return true;
  };
}

/**
 * Returns undici's connector for calls whose answers are read whole. A connection on which more than `maxBytes` arrive for one
 * request, in whatever part of an answer, is destroyed.
 */
export function bounded(
  opts: undici.buildConnector.BuildOptions,
  maxBytes: number,
): undici.buildConnector.connector {
  return preparing(opts, (socket) => {
    new readMeter.ReadMeter(socket, maxBytes);
  });
}

/** Returns undici's connector, changed so that an answer may end, or be reset, while its reader has it paused. */
export function pausable(
  opts: undici.buildConnector.BuildOptions,
): undici.buildConnector.connector {
  return preparing(opts, () => undefined);
}

/** Returns what {@link pausable} does, with `prepare` called for each new connection before it is used. */
function preparing(
  opts: undici.buildConnector.BuildOptions,
  prepare: (socket: net.Socket) => void,
): undici.buildConnector.connector {
  const connect = undici.buildConnector({ ...opts, allowHalfOpen: true });
  return (target, done) => {
    connect(target, (...[err, socket]) => {
      if (err) {
        done(err, null);
        return;
      }
      socket.prependListener("error", (e: NodeJS.ErrnoException) => {
        if (e.code === "ECONNRESET" || e.code === "EPIPE") e.code = RESET_CODE;
      });
      holdEndWhilePaused(socket);
      prepare(socket);
      done(null, socket);
    });
  };
}
