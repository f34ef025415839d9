/**
 * Finds where the events of a stream end, in one pass over its bytes. Pure.
 * @module
 */

const LF = 0x0a;
const CR = 0x0d;
/** A line end and the blank line after it; the CR of a CRLF ends no line by itself. */
const BLANK_LINE = /(?:\n|\r(?!\n))(?:\r\n|\r|\n)/g;

/** Looks for the blank line that ends an event, in chunks that arrive one after the other. */
export class EventEnd {
  /** Whether nothing follows the last line end of the event so far. */
  private isAfterLine = false;
  /** Whether the last byte was a CR that an LF may belong to, so that it is after a line end, and whether it ended a blank line. */
  private isAfterCr = false;
  private isCrBlank = false;

  /**
   * Returns the offset in `chunk` after the end of the event; -1 if the event goes on in the next chunk. `text` is the whole chunk
   * as latin1, or undefined if it has no CR at `start` or later.
   */
  find(chunk: Buffer, start: number, text: string | undefined): number {
    const end =
      text !== undefined || this.isAfterCr
        ? this.findAnyLine(chunk, start, text)
        : this.findLf(chunk, start);
    if (end >= 0) this.isAfterLine = this.isAfterCr = this.isCrBlank = false;
    return end;
  }

  private findLf(chunk: Buffer, start: number): number {
    if (start >= chunk.length) return -1;
    if (this.isAfterLine && chunk[start] === LF) return start + 1;
    const at = chunk.indexOf("\n\n", start);
    if (at >= 0) return at + 2;
    this.isAfterLine = chunk.at(-1) === LF;
    return -1;
  }

  /** The same for lines that end with CR, LF or CRLF. */
  private findAnyLine(chunk: Buffer, start: number, text?: string): number {
    let i = start;
    for (; i < chunk.length && this.isAfterLine; i++) {
      const end = this.readAfterLine(chunk, i);
      if (end >= 0) return end;
    }
    return text === undefined ? this.findLf(chunk, i) : this.search(text, i);
  }

  /** Reads the byte at `i` after a line end; returns the offset after the event's end if that is known now, otherwise -1. */
  private readAfterLine(chunk: Buffer, i: number): number {
    const byte = chunk[i];
    const wasAfterCr = this.isAfterCr;
    this.isAfterCr = false;
    if (wasAfterCr && byte === LF) return this.isCrBlank ? i + 1 : -1;
    if (this.isCrBlank) return i;
    if (byte === LF) return i + 1;
    if (byte === CR) {
      if (wasAfterCr && i === chunk.length - 1) return i + 1;
      this.isCrBlank = this.isAfterCr = true;
    } else {
      this.isAfterLine = false;
    }
    return -1;
  }

  /** Searches `text` from `i` on, within a line; a regular expression takes a fraction of the time of a loop over the bytes. */
  private search(text: string, i: number): number {
    if (i >= text.length) return -1;
    BLANK_LINE.lastIndex = i;
    const isFound = BLANK_LINE.test(text);
    const end = isFound ? BLANK_LINE.lastIndex : text.length;
    // The LF of a CRLF may be in the next chunk, unless the line before has none.
    const mayGoOn = end === text.length && text.endsWith("\r") && !text.endsWith("\r\r");
    if (isFound && !mayGoOn) return end;
    this.isCrBlank = isFound;
    this.isAfterCr = text.endsWith("\r");
    this.isAfterLine = this.isAfterCr || text.endsWith("\n");
    return -1;
  }
}
