/**
 * Splits a stream of server-sent events into whole events, so that a stream that breaks off within an event can be resumed
 * at another endpoint without lost or repeated events.
 * @module
 */
import * as eventEnds from "./event-end.js";

/** Most bytes of one event that are held back; a longer one is passed on in parts. */
const MAX_EVENT_BYTES = 1_048_576;
const LF = 0x0a;
const CR = 0x0d;
const COLON = 0x3a;
const ID_LINE = "id:";
/** Bytes that are held back of a longer event: all but the last byte of the longest end of an event, two CRLF. */
const HELD_END_BYTES = 3;

/** An event as received, with its id if it has one, or a part of an event that is too long to be held back. */
export interface Event {
  readonly bytes: Buffer;
  readonly id: string | undefined;
  /** Whether it has no id and consists of comments, which may be lost or repeated. */
  readonly isComment: boolean;
  /** Whether more of the same event follows. */
  readonly isPartial: boolean;
}

/** Splits chunks into events; keeps the beginning of an event that is still incomplete. */
export class EventSplitter {
  private readonly eventEnd = new eventEnds.EventEnd();
  /** Bytes of an incomplete event, at the beginning of a buffer that grows with them. */
  private held: Buffer = Buffer.alloc(0);
  private heldBytes = 0;
  /** The event that is being passed on in parts. */
  private open: { readonly id: string | undefined } | undefined;
  private eventSeen = false;

  /** Whether there was an event; comments are none. */
  get hasEvent(): boolean {
    return this.eventSeen;
  }

  /**
   * Adds a chunk and returns the events that it completes. Stops after `maxEvents` events; a stream that has as many must be
   * broken off.
   */
  push(chunk: Buffer, maxEvents = Infinity): readonly Event[] {
    const events: Event[] = [];
    const lastCr = chunk.lastIndexOf(CR);
    const text = lastCr < 0 ? undefined : chunk.toString("latin1");
    let start = 0;
    while (events.length < maxEvents) {
      const end = this.eventEnd.find(chunk, start, lastCr < start ? undefined : text);
      if (end < 0) break;
      const bytes = this.take(chunk.subarray(start, end));
      const id = this.open ? this.open.id : idOf(bytes);
      // What remains of an event that was passed on in parts may look like a comment.
      const isComment = !this.open && id === undefined && isCommentary(bytes);
      this.open = undefined;
      events.push({ bytes, id, isComment, isPartial: false });
      this.eventSeen ||= !isCommentary(bytes);
      start = end;
    }
    if (start < chunk.length) this.hold(chunk.subarray(start));
    if (this.heldBytes > (this.open ? HELD_END_BYTES : MAX_EVENT_BYTES)) {
      const unread = this.take(Buffer.alloc(0));
      const bytes = unread.subarray(0, -HELD_END_BYTES);
      this.open ??= { id: idOf(bytes) };
      events.push({ bytes, id: this.open.id, isComment: false, isPartial: true });
      this.hold(unread.subarray(-HELD_END_BYTES));
    }
    return events;
  }

  /** Keeps bytes of an incomplete event. */
  private hold(bytes: Buffer): void {
    const size = this.heldBytes + bytes.length;
    if (this.heldBytes === 0) {
      this.held = bytes;
    } else {
      if (size > this.held.length) {
        // Twice as large, so that each byte is copied a few times at most.
        const larger = Buffer.allocUnsafe(2 * size);
        this.held.copy(larger, 0, 0, this.heldBytes);
        this.held = larger;
      }
      bytes.copy(this.held, this.heldBytes);
    }
    this.heldBytes = size;
  }

  /** Returns what was held, with `last` after it, and holds nothing any more. */
  private take(last: Buffer): Buffer {
    if (this.heldBytes === 0) return last;
    if (last.length > 0) this.hold(last);
    const bytes = this.remainder();
    this.held = last.subarray(0, 0);
    this.heldBytes = 0;
    return bytes;
  }

  /** Bytes after the last whole event, or after the last part of one. */
  remainder(): Buffer {
    return this.held.subarray(0, this.heldBytes);
  }

  /** Whether the stream would be cut if it ended now. Complete comments and blank lines may follow its last event. */
  isInsideEvent(): boolean {
    if (this.open) return true;
    const rest = this.remainder();
    const last = rest.at(-1);
    if (last === undefined) return false;
    return (last !== LF && last !== CR) || !isCommentary(rest);
  }
}

/** Whether all lines are blank or comments. */
function isCommentary(bytes: Buffer): boolean {
  for (let start = 0; start < bytes.length; start++) {
    const first = bytes[start];
    if (first === LF || first === CR) continue;
    if (first !== COLON) return false;
    while (start < bytes.length && bytes[start] !== LF && bytes[start] !== CR) start++;
  }
  return true;
}

/** Id of an event. Most events have it in their first line, so that line is read without parsing the others. */
function idOf(event: Buffer): string | undefined {
  if (event.indexOf(ID_LINE) === 0 && !event.includes(CR)) {
    const end = event.indexOf(LF);
    return event.toString("latin1", ID_LINE.length, end < 0 ? event.length : end).trimStart();
  }
  return /^id: ?(.*?)\r?$/m.exec(event.toString("latin1"))?.[1];
}
