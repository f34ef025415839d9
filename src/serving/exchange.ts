/**
 * One request to an endpoint and its answer, built on the HTTP client's low-level events. The chunks of an answer go from
 * the socket to their consumer without a Node.js stream in between, which for answers of many small events would cost more
 * than everything else.
 * @module
 */
import type * as undici from "undici";
import * as readMeter from "../host/read-meter.js";
import * as byteQueue from "./buffering/byte-queue.js";
import type * as connections from "./connections/connection.js";
import type * as headers from "./headers.js";

/** Consumes one chunk of a body; a returned promise pauses the sender until it resolves. */
export type ChunkHandler = (chunk: Buffer) => Promise<void> | undefined;

/** Status and headers of an answer. */
export interface Head {
  readonly status: number;
  /** The reason phrase, empty where there is none. */
  readonly reason: string;
  readonly headers: headers.Headers;
}

/** The body of an answer, which can be read once. */
export interface Body {
  /** Passes each chunk on as it arrives; resolves at the end, and rejects if the answer breaks off. */
  readonly pump: (onChunk: ChunkHandler) => Promise<void>;
  /** Gives the answer up and closes its connection; `why` is the message of the error that `pump` then rejects with. */
  readonly abort: (why?: string) => void;
}

/** Error of an exchange that this side gave up, so that its end says nothing about the endpoint. */
export class GivenUpError extends Error {
  constructor(why = "the request was given up") {
    super(why);
  }
}

/** Most informational answers (1xx) before the final one. */
const MAX_INFORMATIONAL = 64;

/** Chunks of any size that a body may come in, and bytes of a body for each further one. */
const SMALL_CHUNKS = 16_384;
const TYPICAL_CHUNK_BYTES = 16;

/** Decides whether a request is withheld; it can be until its first byte is written. */
export interface Gate {
  /** Whether the request may be written to a connection; called right before that, when it is ready. */
  readonly mayStart: (use: connections.Use | undefined) => boolean;
  /** Numbers of the connections that carried the request before. */
  readonly carried: ReadonlySet<number>;
  /** Registers `callback` for when the request must no longer be written; returns the function that unregisters it. */
  readonly onClosed: (callback: () => void) => () => void;
}

/** Gate of a request that is never withheld. */
export const ALWAYS_OPEN: Gate = {
  mayStart: () => true,
  carried: new Set(),
  onClosed: () => () => undefined,
};

/** Error of a request that its gate withheld before its first byte was written. */
export class WithheldError extends Error {
  constructor() {
    super("the request was withheld");
  }
}

/** A request and its answer, as handler of the HTTP client's events. */
export class Exchange implements connections.Transfer, Body {
  private connection: connections.Connection | undefined;
  private controller: undici.Dispatcher.DispatchController | undefined;
  private onChunk: ChunkHandler | undefined;
  /** Chunks that arrived before the body was read. */
  private buffered: Buffer[] = [];
  private ended: { readonly err: Error | undefined } | undefined;
  private resolveHead: (head: Head) => void = () => undefined;
  private rejectHead: (err: Error) => void = () => undefined;
  private settlePump: ((err: Error | undefined) => void) | undefined;
  private started = false;
  private hasHead = false;
  private informational = 0;
  private meter: readMeter.ReadMeter | undefined;
  private readonly onAbort = (): void => {
    this.abort();
  };

  /** Resolves when the head of the answer arrives; rejects if there is none. */
  readonly head: Promise<Head>;

  private readonly unsubscribe: () => void;

  /** An abort of `signal` closes the connection, so that the endpoint stops. */
  constructor(
    private readonly signal: AbortSignal,
    private readonly gate: Gate,
  ) {
    this.unsubscribe = gate.onClosed(() => {
      this.settle(new WithheldError());
    });
    this.head = new Promise((resolve, reject) => {
      this.resolveHead = resolve;
      this.rejectHead = reject;
    });
    if (signal.aborted) this.settle(new GivenUpError());
    else signal.addEventListener("abort", this.onAbort, { once: true });
  }

  /** Whether anything of the request may have been written. */
  get isStarted(): boolean {
    return this.started;
  }

  assignTo(connection: connections.Connection): void {
    this.connection = connection;
  }

  fail(err: Error): void {
    this.settle(err);
  }

  /** Throws if the request must not be written; its connection is then used for the next request. */
  onRequestStart(controller: undici.Dispatcher.DispatchController): void {
    if (this.ended) throw new GivenUpError();
    if (!this.gate.mayStart(this.connection?.recordWrite())) throw new WithheldError();
    this.unsubscribe();
    this.controller = controller;
    this.started = true;
  }

  onResponseStart(
    controller: undici.Dispatcher.DispatchController,
    status: number,
    received: headers.Headers,
    reason = "",
  ): void {
    const isFinal = status >= 200;
    if (!isFinal) {
      if (++this.informational > MAX_INFORMATIONAL) this.abort("too many informational answers");
      return;
    }
    this.meter = readMeter.current();
    this.meter?.recordHead();
    // Nothing more is read until the head has been checked, so that a connection in doubt can still be closed.
    controller.pause();
    this.hasHead = true;
    this.resolveHead({ status, reason, headers: received });
  }

  onResponseData(controller: undici.Dispatcher.DispatchController, chunk: Buffer): void {
    // A parser that resumes where a read ended begins with an empty chunk, which must not pause it again.
    if (chunk.length === 0) return;
    this.meter?.recordBody(chunk.length);
    if (this.onChunk) this.deliver(this.onChunk, chunk, controller);
    else this.buffered.push(chunk);
  }

  onResponseEnd(): void {
    this.settle(undefined);
  }

  onResponseError(_controller: undici.Dispatcher.DispatchController, err: Error): void {
    this.settle(err);
  }

  pump(onChunk: ChunkHandler): Promise<void> {
    return new Promise((resolve, reject) => {
      this.settlePump = (err) => {
        if (err) reject(err);
        else resolve();
      };
      this.onChunk = onChunk;
      this.controller?.resume();
      for (const chunk of this.buffered.splice(0)) this.deliver(onChunk, chunk, this.controller);
      if (this.ended) this.settlePump(this.ended.err);
    });
  }

  abort(why?: string): void {
    const err = new GivenUpError(why);
    this.settle(err);
    this.controller?.abort(err);
  }

  /** Passes a chunk on, and pauses the connection while the consumer is busy. */
  private deliver(
    onChunk: ChunkHandler,
    chunk: Buffer,
    controller: undici.Dispatcher.DispatchController | undefined,
  ): void {
    const drained = onChunk(chunk);
    if (!drained) return;
    controller?.pause();
    void drained.then(() => {
      controller?.resume();
    });
  }

  /** Ends the exchange; only the first call counts. */
  private settle(err: Error | undefined): void {
    if (this.ended) return;
    this.ended = { err };
    this.signal.removeEventListener("abort", this.onAbort);
    this.unsubscribe();
    // An error captures its stack, too dear for each request that goes well.
    if (!this.hasHead) this.rejectHead(err ?? new Error("the answer ended before its head"));
    this.settlePump?.(err);
  }
}

/**
 * Reads a whole body. Throws if it breaks off, and a GivenUpError if it is longer than `maxBytes` or comes in too many small
 * chunks. `onSize` is called with the number of bytes read so far, and may return a promise that pauses the sender. Once
 * `isUnwanted` holds, the body is read to its end and nothing of it is kept.
 */
export async function readAll(
  body: Body,
  maxBytes: number,
  onSize: (bytes: number) => Promise<void> | undefined = () => undefined,
  isUnwanted: () => boolean = () => false,
): Promise<Buffer> {
  const received = new byteQueue.ByteQueue();
  let size = 0;
  let chunks = 0;
  let excess: string | undefined;
  await body
    .pump((chunk) => {
      size += chunk.length;
      chunks++;
      if (size > maxBytes) excess = `the answer is longer than ${maxBytes} bytes`;
      else if (chunks > SMALL_CHUNKS + size / TYPICAL_CHUNK_BYTES)
        excess = "the answer comes in too many small chunks";
      if (excess !== undefined) {
        body.abort(excess);
        return undefined;
      }
      if (isUnwanted()) {
        received.takeAll();
        return undefined;
      }
      received.push(chunk);
      return onSize(size);
    })
    .catch((err: unknown) => {
      if (excess !== undefined) throw new GivenUpError(excess);
      throw err;
    });
  return received.takeAll();
}
