/**
 * Writes lines to a file descriptor without ever blocking the process: writes run in the thread pool,
 * one at a time, and lines that don't fit into a bounded buffer are dropped and counted. A plain write
 * to standard output would block while the reader of the pipe is slow.
 * @module
 */
import * as fs from "node:fs";

/** Most characters buffered while the reader is slow: a few seconds of lines under load. */
const MAX_BUFFERED_LENGTH = 262_144;
/** Milliseconds for which lines are collected into one write. */
const FLUSH_DELAY_MS = 100;

/** The asynchronous write that a sink uses: that of `node:fs`, or a test's fake. */
export type Write = (text: string, done: (err: Error | null) => void) => void;

/** Writes to the file descriptor `fd`. */
export function descriptorWriter(fd: number): Write {
  return (text, done) => {
    fs.write(fd, text, null, "utf8", done);
  };
}

/** A non-blocking writer of lines with a bounded buffer. */
export class LineSink {
  private buffered: string[] = [];
  private bufferedLength = 0;
  private unreportedDrops = 0;
  private totalDrops = 0;
  private isWriting = false;
  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly write: Write,
    /** Makes the line that reports dropped lines. */
    private readonly dropNotice: (lines: number) => string,
  ) {}

  /** Queues a line, given without its line break; drops it when the buffer is full. */
  writeLine(text: string): void {
    if (this.bufferedLength + text.length > MAX_BUFFERED_LENGTH) {
      this.unreportedDrops++;
      this.totalDrops++;
      return;
    }
    this.buffered.push(text);
    this.bufferedLength += text.length + 1;
    this.timer ??= setTimeout(() => {
      this.flush();
    }, FLUSH_DELAY_MS);
  }

  /** Number of lines dropped since the start because the buffer was full. */
  droppedLines(): number {
    return this.totalDrops;
  }

  /** Writes the buffered lines; calls `onFlushed` once the buffer is empty. */
  flush(onFlushed?: () => void): void {
    clearTimeout(this.timer);
    this.timer = undefined;
    if (this.isWriting || this.buffered.length === 0) {
      if (this.isWriting && onFlushed) this.flushCallbacks.push(onFlushed);
      else onFlushed?.();
      return;
    }
    if (onFlushed) this.flushCallbacks.push(onFlushed);
    if (this.unreportedDrops > 0) this.buffered.push(this.dropNotice(this.unreportedDrops));
    this.unreportedDrops = 0;
    const text = `${this.buffered.join("\n")}\n`;
    this.buffered = [];
    this.bufferedLength = 0;
    this.isWriting = true;
    this.write(text, (err) => {
      this.isWriting = false;
      // Standard output has no reader any more, so the error can't be reported anywhere.
      if (err) this.unreportedDrops++;
      if (this.buffered.length > 0) this.flush();
      else for (const callback of this.flushCallbacks.splice(0)) callback();
    });
  }

  private readonly flushCallbacks: (() => void)[] = [];
}
