/**
 * Finds where the events of a stream end, in one pass over its bytes. Pure.
 * @module
 */

const LF = 0x0a;
const CR = 0x0d;

/** Looks for the blank line that ends an event, in chunks that arrive one after the other. */
export class EventEnd {
  /** Whether nothing follows the last line end of the event so far. */
  private isAfterLine = false;
  /** Whether the last byte was a CR that an LF may belong to, and whether it ended a blank line. */
  private isAfterCr = false;
  private isCrBlank = false;
  /** Whether a line of the event ended with a CR alone. */
  private hasLoneCr = false;

  /**
   * Returns the offset in `chunk` after the end of the event; -1 if the event goes on in the next chunk. `hasCr` says whether
   * `chunk` may have a CR at `start` or later.
   */
  find(chunk: Buffer, start: number, hasCr: boolean): number {
    const end =
      hasCr || this.isAfterCr ? this.findAnyLine(chunk, start) : this.findLf(chunk, start);
    if (end >= 0) this.isAfterLine = this.isAfterCr = this.isCrBlank = this.hasLoneCr = false;
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
  private findAnyLine(chunk: Buffer, start: number): number {
    for (let i = start; i < chunk.length; i++) {
      const byte = chunk[i];
      if (this.isAfterCr) {
        this.isAfterCr = false;
        if (byte === LF) {
          if (this.isCrBlank) return i + 1;
          continue;
        }
        if (this.isCrBlank) return i;
        this.hasLoneCr = true;
      }
      if (byte === LF) {
        if (this.isAfterLine) return i + 1;
        this.isAfterLine = true;
      } else if (byte === CR) {
        // The LF of a CRLF may be in the next chunk, unless earlier lines have none.
        if (this.isAfterLine && this.hasLoneCr && i === chunk.length - 1) return i + 1;
        this.isCrBlank = this.isAfterLine;
        this.isAfterLine = this.isAfterCr = true;
      } else {
        this.isAfterLine = false;
      }
    }
    return -1;
  }
}
