/**
 * Writes lines to a file descriptor without ever holding the process up: writes run in the thread
 * pool, one at a time, and what does not fit into a bounded buffer is dropped and counted. A plain
 * write to standard output would block while the reader of the pipe is slow.
 * @module
 */
import * as fs from "node:fs";

/** Bytes held while the reader is slow; some seconds of lines under load. */
const HELD_LIMIT = 262_144;
/** Milliseconds for which lines are gathered into one write. */
const GATHER_MS = 100;

/** The write that a sink uses; that of `node:fs`, or a test's own. */
export type Write = (text: string, done: (err: Error | null) => void) => void;

export function toDescriptor(fd: number): Write {
  return (text, done) => {
    fs.write(fd, text, null, "utf8", done);
  };
}

/** A bounded, never blocking writer of lines. */
export class Sink {
  private held: string[] = [];
  private size = 0;
  private dropped = 0;
  private total = 0;
  private busy = false;
  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly write: Write,
    /** Makes the line that tells of dropped ones. */
    private readonly tellDropped: (lines: number) => string,
  ) {}

  /** Takes a line without its end; drops it when too much is held already. */
  line(text: string): void {
    if (this.size + text.length > HELD_LIMIT) {
      this.dropped++;
      this.total++;
      return;
    }
    this.held.push(text);
    this.size += text.length + 1;
    this.timer ??= setTimeout(() => {
      this.flush();
    }, GATHER_MS);
  }

  /** Lines dropped since the start. */
  lost(): number {
    return this.total;
  }

  /** Writes what is held; `done` is called once nothing is held any more. */
  flush(done?: () => void): void {
    clearTimeout(this.timer);
    this.timer = undefined;
    if (this.busy || this.held.length === 0) {
      if (this.busy && done) this.after.push(done);
      else done?.();
      return;
    }
    if (done) this.after.push(done);
    if (this.dropped > 0) this.held.push(this.tellDropped(this.dropped));
    this.dropped = 0;
    const text = `${this.held.join("\n")}\n`;
    this.held = [];
    this.size = 0;
    this.busy = true;
    this.write(text, (err) => {
      this.busy = false;
      // Nobody reads standard output any more: there is nowhere left to say so.
      if (err) this.dropped++;
      if (this.held.length > 0) this.flush();
      else for (const call of this.after.splice(0)) call();
    });
  }

  private readonly after: (() => void)[] = [];
}
