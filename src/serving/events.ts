/**
 * Cuts a stream of events into whole events, so that a stream that breaks off in the middle of one
 * can go on at another endpoint with nothing missing and nothing twice.
 * @module
 */

/** Bytes of one event at most; anything longer is passed on uncut. */
const EVENT_LIMIT = 1_048_576;
const LF = 0x0a;
const CR = 0x0d;
const ID_LINE = "id:";

/** One whole event as it came, with its id if it names one. */
export interface Event {
  readonly bytes: Buffer;
  readonly id: string | undefined;
}

/** Holds the beginning of the event that is still to come whole. */
export class Cutter {
  private rest: Buffer = Buffer.alloc(0);

  /** The events that are whole with `chunk`. */
  take(chunk: Buffer): readonly Event[] {
    let at = this.rest.length === 0 ? chunk : Buffer.concat([this.rest, chunk]);
    const out: Event[] = [];
    for (let end = endOf(at); end > 0; end = endOf(at)) {
      const bytes = at.subarray(0, end);
      out.push({ bytes, id: idOf(bytes) });
      at = at.subarray(end);
    }
    if (at.length > EVENT_LIMIT) {
      out.push({ bytes: at, id: undefined });
      at = Buffer.alloc(0);
    }
    this.rest = at;
    return out;
  }

  /** Bytes after the last whole event. */
  tail(): Buffer {
    return this.rest;
  }
}

/** Where the first event ends, with the blank line that ends it; 0 when it is not whole. */
function endOf(b: Buffer): number {
  for (let i = b.indexOf(LF); i >= 0; i = b.indexOf(LF, i + 1)) {
    if (b[i + 1] === LF) return i + 2;
    if (b[i + 1] === CR && b[i + 2] === LF) return i + 3;
  }
  return 0;
}

/** The id that an event names; most name it in their first line, which is read without the others. */
function idOf(event: Buffer): string | undefined {
  if (event.indexOf(ID_LINE) === 0) {
    const end = event.indexOf(LF);
    return event
      .toString("latin1", ID_LINE.length, event[end - 1] === CR ? end - 1 : end)
      .trimStart();
  }
  return /^id: ?(.*?)\r?$/m.exec(event.toString("latin1"))?.[1];
}
