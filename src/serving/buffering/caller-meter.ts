/**
 * Ends callers' connections that bring bytes without end which are no request. Node's parser reads empty lines before a request,
 * spaces in its first line, and the size lines of chunks without a limit and without an event, so connections are sampled.
 * @module
 */
import type * as net from "node:net";
import type * as clock from "../../host/clock.js";
import type * as structuredLog from "../../host/structured-log.js";

/** Milliseconds between samples, while a connection is open. */
const SAMPLE_MS = 100;
/** Bytes of a request beside its body; twice the headers that the server parses. */
const BARE_BYTES = 131_072;
/** Bytes that may be read for each byte of the largest body; a chunk of one byte has six of framing. */
const READ_PER_BODY_BYTE = 8;
/** Largest body in bytes, until a configuration sets another limit. */
const DEFAULT_BODY_BYTES = 1_048_576;

export interface Deps {
  readonly clock: clock.Clock;
  readonly log: Pick<structuredLog.Log, "warn">;
}

/** Samples what callers' connections have brought since their last request began. */
export class CallerMeter {
  /** Bytes read from each open connection when its last request had arrived. */
  private readonly readBytes = new Map<net.Socket, number>();
  private timer: clock.Timer | undefined;
  private bodyBytes = DEFAULT_BODY_BYTES;

  constructor(private readonly deps: Deps) {}

  /** Sets the largest body, in bytes. */
  configure(bodyBytes: number): void {
    this.bodyBytes = bodyBytes;
  }

  /** Watches a new connection until it is closed. */
  watch(socket: net.Socket): void {
    this.readBytes.set(socket, 0);
    socket.once("close", () => {
      this.readBytes.delete(socket);
      if (this.readBytes.size > 0) return;
      this.timer?.cancel();
      this.timer = undefined;
    });
    this.timer ??= this.deps.clock.after(SAMPLE_MS, () => {
      this.sample();
    });
  }

  /** Records that the head of a request has arrived. */
  recordRequest(socket: net.Socket): void {
    if (this.readBytes.has(socket)) this.readBytes.set(socket, socket.bytesRead);
  }

  private sample(): void {
    const limit = BARE_BYTES + READ_PER_BODY_BYTE * this.bodyBytes;
    for (const [socket, before] of this.readBytes) {
      const bytes = socket.bytesRead - before;
      if (bytes <= limit) continue;
      this.deps.log.warn("A caller's connection brings bytes without end; it is closed.", {
        bytes,
      });
      socket.destroy();
    }
    this.timer = this.deps.clock.after(SAMPLE_MS, () => {
      this.sample();
    });
  }
}
