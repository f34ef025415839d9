/**
 * Bounds what a server may send on a connection beside the body of an answer: heads, informational answers, and the lines that
 * divide a body into chunks. undici reads some of these without a limit and without an event, so bytes are counted where they
 * are read.
 * @module
 */
import type * as net from "node:net";

/** Bytes of framing that each byte of a body allows; a chunk of one byte has six. */
const FRAMING_PER_BODY_BYTE = 32;

/** The meter of the connection read last. undici parses what it has read before it reads on, from any connection. */
let lastRead: ReadMeter | undefined;

/** The meter of the connection whose bytes undici parses; holds only inside its callbacks for an answer. */
export function current(): ReadMeter | undefined {
  return lastRead;
}

function remember(meter: ReadMeter): void {
  lastRead = meter;
}

/** Counts the bytes read from a connection since the last progress, and destroys it once they exceed a limit. */
export class ReadMeter {
  private left: number;
  /** Bytes read so far, without those that undici has put back. */
  private readBytes = 0;
  private writtenBytes = 0;

  /** Allows `maxBytes` after each request, and again after each progress that is recorded. */
  constructor(
    private readonly socket: net.Socket,
    private readonly maxBytes: number,
  ) {
    this.left = maxBytes;
    const read = socket.read.bind(socket);
    socket.read = (size?: number): unknown => {
      if (!this.begin()) return null;
      const bytes: unknown = read(size);
      this.charge();
      return bytes;
    };
  }

  /** Begins a read, unless the limit is exceeded. */
  private begin(): boolean {
    this.charge();
    if (this.left < 0) {
      this.socket.destroy(new Error(`the answer goes on beyond ${this.maxBytes} bytes`));
      return false;
    }
    remember(this);
    return true;
  }

  /** Records that a final head was read. */
  recordHead(): void {
    this.left = this.maxBytes;
  }

  /** Records that `bytes` of a body were read. */
  recordBody(bytes: number): void {
    this.left = Math.min(this.maxBytes, this.left + bytes * (1 + FRAMING_PER_BODY_BYTE));
  }

  private charge(): void {
    const { bytesRead, readableLength, bytesWritten } = this.socket;
    if (bytesWritten !== this.writtenBytes) this.left = this.maxBytes;
    this.writtenBytes = bytesWritten;
    this.left = Math.min(this.maxBytes, this.left - (bytesRead - readableLength - this.readBytes));
    this.readBytes = bytesRead - readableLength;
  }
}
