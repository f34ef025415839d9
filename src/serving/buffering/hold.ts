/**
 * What one request holds: its body, an answer that is read whole, and the bytes that its caller has not taken. Writes to
 * the caller's connection, and buffers what the connection does not take at once. Of a response that is behind others on its
 * connection nothing is written, not even the head, which may still have to announce that the connection closes.
 * @module
 */
import type * as http from "node:http";
import * as responses from "../../host/response.js";
import * as byteQueue from "./byte-queue.js";
import type * as memory from "./memory.js";
import * as memoryBudget from "./memory-budget.js";

/** Bytes of a whole answer that are written at a time, so that the caller's progress shows. */
const SLICE_BYTES = 65_536;
/** Milliseconds after which a paused worker is read once more if the caller takes bytes; less than workers wait for a reader. */
const TRICKLE_MS = 1000;
/** Rank of a request whose route is not known yet. */
const UNKNOWN_RANK = 9;

/** The bytes held for one request, until the response's connection closes. */
export class Hold implements memory.Member {
  request = "";
  rank = UNKNOWN_RANK;
  stage: memoryBudget.Stage = "receiving";
  bytes = 0;
  progressAt: number;
  /** Whether the connection was reset to free memory. */
  wasReset = false;

  /** Bytes that the fields of its head take, if these are many. */
  private headBytes = 0;
  private bodyBytes = 0;
  /** Bytes of an answer that is passed on whole. */
  private answerBytes = 0;
  /** Bytes in the connection's write buffer when last asked. */
  private socketBytes = 0;
  /** Bytes that the caller sent, or that were read of a whole answer. */
  private receivedBytes = 0;
  /** Bytes written to the caller's connection. */
  private writtenBytes = 0;
  /** Most bytes received and taken by the caller, as of any earlier sample. */
  private sampledDoneBytes = 0;
  private wasHolding = false;
  /** Bytes of a stream that the connection did not take at once. */
  private queue: byteQueue.ByteQueue | undefined;
  /** The rest of a whole answer. */
  private whole: Buffer | undefined;
  /** Bytes read from the worker when it was first paused. */
  private pauseLevel = Infinity;
  /** Whether nothing may be written now: the connection is full, or earlier responses on it have not ended. */
  private isBlocked: boolean;
  /** Writes the head once the earlier responses have ended. */
  private delayedHead: (() => void) | undefined;
  private headGiven = false;
  private isEnding = false;
  private isClosed = false;
  private unpause: (() => void) | undefined;
  /** Monotonic ms of the first pause since the last progress, and of the latest pause. */
  private heldUpSince: number | undefined;
  private pauseBeganAt = 0;
  private giveUpBody: (() => void) | undefined;

  constructor(
    private readonly owner: memory.Memory,
    private readonly req: http.IncomingMessage,
    private readonly res: http.ServerResponse,
  ) {
    this.progressAt = owner.clock.mono();
    owner.add(this);
    res.once("close", () => {
      this.close();
    });
    this.isBlocked = res.socket === null;
    if (this.isBlocked)
      res.once("socket", () => {
        this.beFirst();
      });
  }

  /** Whether the response has a head, sent or not. */
  get hasHead(): boolean {
    return this.headGiven;
  }

  get readBytes(): number {
    return this.bytes - this.bodyBytes - this.headBytes;
  }

  get pausedAt(): number | undefined {
    return this.unpause && this.heldUpSince;
  }

  /** Names the request for the log, with its urgency. */
  identify(request: string, rank: number): void {
    this.request = request;
    this.rank = rank;
  }

  /** Counts the fields of its head until the request has ended. Returns false, counting nothing, if there is no room. */
  reserveHead(): boolean {
    const bytes = memoryBudget.headBytes(this.req.rawHeaders);
    if (bytes <= memoryBudget.FLOOR_BYTES) return true;
    if (!this.owner.mayHoldHead(bytes)) return false;
    this.headBytes = bytes;
    this.update();
    return true;
  }

  /** Counts a body that will have, or already has, `bytes`. Returns false, counting nothing more, if there is no room. */
  reserveBody(bytes: number): boolean {
    if (bytes > this.bodyBytes && !this.owner.mayReadBody(bytes, this.bodyBytes)) return false;
    this.bodyBytes = bytes;
    this.update();
    return true;
  }

  /** The body is being read; `giveUp` stops that, so that the request is refused. */
  bodyBegins(giveUp: () => void): void {
    this.giveUpBody = giveUp;
  }

  /** The caller sent some bytes of its body. */
  receivedBody(bytes: number): void {
    this.receivedBytes += bytes;
  }

  /** The body is read no further; nothing depends on the caller until there is an answer. */
  bodyEnded(): void {
    this.giveUpBody = undefined;
    this.stage = "waiting";
  }

  /** The body is not needed any more. */
  releaseBody(): void {
    this.bodyBytes = 0;
    this.update();
  }

  /** Counts the bytes of a whole answer read so far. A returned promise resolves when more may be read. */
  readAnswer(bytes: number): Promise<void> | undefined {
    this.stage = "fetching";
    this.receivedBytes += bytes - this.answerBytes;
    this.answerBytes = bytes;
    this.update();
    return this.pauseIfOver();
  }

  /** The answer read so far is given up. */
  dropAnswer(): void {
    this.stage = "waiting";
    this.answerBytes = 0;
    this.update();
  }

  /** Gives the response its status and headers. */
  writeHead(status: number, headers: http.OutgoingHttpHeaders): void {
    const write = (): void => {
      this.res.writeHead(status, headers);
    };
    this.headGiven = true;
    if (this.isBlocked) this.delayedHead = write;
    else write();
  }

  /** Passes bytes of a stream on; a returned promise resolves when more may be read from the worker. */
  write(bytes: Buffer): Promise<void> | undefined {
    if (this.res.destroyed || this.isClosed) return undefined;
    this.stage = "answering";
    if (this.isBlocked) {
      this.queued().push(bytes);
      this.update();
      return this.pauseIfOver();
    }
    return this.writeNow(bytes) ? undefined : this.pauseIfOver();
  }

  /** Writes a whole answer, and ends the response. */
  sendWhole(body: Buffer): void {
    if (this.res.destroyed) return;
    this.stage = "answering";
    const isShort = body.length <= SLICE_BYTES || this.req.method === "HEAD";
    if (isShort && !this.isBlocked) {
      this.answerBytes = 0;
      this.writtenBytes += body.length;
      this.res.end(body);
      this.sampleSocket();
      return;
    }
    // Counts until the response is closed, because any slice in the write buffer keeps all of it in memory.
    this.answerBytes = body.length;
    this.whole = body;
    this.isEnding = true;
    this.flush();
  }

  /** Ends the response once everything is written. */
  end(): void {
    this.isEnding = true;
    this.flush();
  }

  sample(now: number): void {
    this.sampleSocket();
    const doneBytes = this.receivedBytes + this.writtenBytes - this.socketBytes;
    if (doneBytes > this.sampledDoneBytes || !this.wasHolding) {
      this.progressAt = now;
      this.heldUpSince = this.unpause && now;
    }
    this.sampledDoneBytes = Math.max(this.sampledDoneBytes, doneBytes);
    this.wasHolding = this.bytes > 0;
  }

  resume(now: number): void {
    if (!this.unpause) return;
    const isDrained = this.stage === "answering" && !this.isBlocked;
    if (isDrained || this.owner.mayResume(this, now)) {
      this.pauseLevel = Infinity;
      this.release();
    } else if (now - this.pauseBeganAt >= TRICKLE_MS && this.readBytes < this.pauseLevel) {
      this.release();
    }
  }

  evict(): void {
    if (this.giveUpBody) {
      this.giveUpBody();
      return;
    }
    this.wasReset = true;
    // Frees at once what the connection still holds, and looks like no end of an answer without a length.
    responses.resetConnection(this.req.socket);
    this.close();
  }

  private queued(): byteQueue.ByteQueue {
    return (this.queue ??= new byteQueue.ByteQueue());
  }

  /** The next bytes to be written. */
  private next(): Buffer | undefined {
    const { whole } = this;
    if (!whole) return this.queue?.shift();
    this.whole = whole.length > SLICE_BYTES ? whole.subarray(SLICE_BYTES) : undefined;
    return whole.subarray(0, SLICE_BYTES);
  }

  /** Writes bytes to the connection. Returns whether it takes more. */
  private writeNow(bytes: Buffer): boolean {
    const isTaken = this.res.write(bytes);
    this.writtenBytes += bytes.length;
    this.sampleSocket();
    if (isTaken) return true;
    this.isBlocked = true;
    this.res.once("drain", () => {
      this.unblock();
    });
    return false;
  }

  /** The earlier responses on the connection have ended. */
  private beFirst(): void {
    if (this.isClosed || this.res.destroyed) return;
    this.delayedHead?.();
    this.delayedHead = undefined;
    this.unblock();
  }

  private unblock(): void {
    this.isBlocked = false;
    this.flush();
    this.resume(this.owner.clock.mono());
  }

  /** Writes what waits until the connection is full again. */
  private flush(): void {
    while (!this.isBlocked && !this.res.destroyed) {
      const bytes = this.next();
      if (!bytes) break;
      this.writeNow(bytes);
    }
    const isAllWritten = !this.whole && !this.queue?.length;
    if (this.isEnding && isAllWritten && !this.res.writableEnded) this.res.end();
    this.update();
  }

  private pauseIfOver(): Promise<void> | undefined {
    if (this.isClosed || this.readBytes <= memoryBudget.FLOOR_BYTES) return undefined;
    const now = this.owner.clock.mono();
    if (!this.owner.mustPause(this, now)) return undefined;
    this.heldUpSince ??= now;
    this.pauseBeganAt = now;
    this.pauseLevel = Math.min(this.pauseLevel, this.readBytes);
    return new Promise((resolve) => {
      this.unpause = resolve;
    });
  }

  private release(): void {
    this.unpause?.();
    this.unpause = undefined;
  }

  private sampleSocket(): void {
    this.socketBytes = this.isClosed ? 0 : this.res.writableLength;
    this.update();
  }

  /** Tells the owner by how much the bytes held have changed. */
  private update(): void {
    const queued = this.queue?.heldBytes ?? 0;
    const read = this.headBytes + this.bodyBytes + this.answerBytes;
    const bytes = this.isClosed ? 0 : read + this.socketBytes + queued;
    if (bytes === this.bytes) return;
    this.owner.change(bytes - this.bytes);
    this.bytes = bytes;
  }

  private close(): void {
    if (this.isClosed) return;
    this.isClosed = true;
    this.queue = undefined;
    this.whole = undefined;
    this.update();
    this.owner.remove(this);
    this.release();
  }
}
