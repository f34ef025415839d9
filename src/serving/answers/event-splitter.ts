/**
 * Splits a stream of server-sent events into whole events, so that a stream that breaks off within an event can be resumed
 * at another endpoint without lost or repeated events.
 * @module
 */

/** Most bytes of one event that are held back; a longer one is passed on in parts. */
const MAX_EVENT_BYTES = 1_048_576;
const LF = 0x0a;
const CR = 0x0d;
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
  private rest: Buffer = Buffer.alloc(0);
  /** The event that is being passed on in parts. */
  private open: { readonly id: string | undefined } | undefined;
  private eventSeen = false;

  /** Whether there was an event; comments are none. */
  get hasEvent(): boolean {
    return this.eventSeen;
  }

  /** Adds a chunk and returns the events that it completes. */
  push(chunk: Buffer): readonly Event[] {
    let unread = this.rest.length === 0 ? chunk : Buffer.concat([this.rest, chunk]);
    const events: Event[] = [];
    for (let end = eventEnd(unread); end > 0; end = eventEnd(unread)) {
      const bytes = unread.subarray(0, end);
      const id = this.open ? this.open.id : idOf(bytes);
      // What remains of an event that was passed on in parts may look like a comment.
      const isComment = !this.open && id === undefined && isCommentary(bytes);
      this.open = undefined;
      events.push({ bytes, id, isComment, isPartial: false });
      this.eventSeen ||= !isCommentary(bytes);
      unread = unread.subarray(end);
    }
    if (unread.length > MAX_EVENT_BYTES || (this.open && unread.length > HELD_END_BYTES)) {
      const bytes = unread.subarray(0, -HELD_END_BYTES);
      this.open ??= { id: idOf(bytes) };
      events.push({ bytes, id: this.open.id, isComment: false, isPartial: true });
      unread = unread.subarray(-HELD_END_BYTES);
    }
    this.rest = unread;
    return events;
  }

  /** Bytes after the last whole event, or after the last part of one. */
  remainder(): Buffer {
    return this.rest;
  }

  /** Whether the stream would be cut if it ended now. Complete comments and blank lines may follow its last event. */
  isInsideEvent(): boolean {
    if (this.open) return true;
    const last = this.rest.at(-1);
    if (last === undefined) return false;
    return (last !== LF && last !== CR) || !isCommentary(this.rest);
  }
}

/** Whether all lines are blank or comments. */
function isCommentary(bytes: Buffer): boolean {
  const lines = bytes.toString("latin1").split(/\r\n|\r|\n/);
  return lines.every((line) => line === "" || line.startsWith(":"));
}

/** Offset after the first event and the blank line that ends it; 0 if the event is incomplete. */
function eventEnd(bytes: Buffer): number {
  if (bytes.includes(CR)) return eventEndOfAnyLines(bytes);
  const at = bytes.indexOf("\n\n");
  return at < 0 ? 0 : at + 2;
}

/** The same for lines that end with CR, LF or CRLF. */
function eventEndOfAnyLines(bytes: Buffer): number {
  let lineStart = 0;
  let hasLoneCr = false;
  for (let i = 0; i < bytes.length; i++) {
    if (bytes[i] !== LF && bytes[i] !== CR) continue;
    const isCrLf = bytes[i] === CR && bytes[i + 1] === LF;
    const isLoneCr = bytes[i] === CR && !isCrLf;
    // The LF of a CRLF may be in the next chunk, unless earlier lines have none.
    if (isLoneCr && i === bytes.length - 1 && !hasLoneCr) return 0;
    hasLoneCr ||= isLoneCr;
    const next = isCrLf ? i + 2 : i + 1;
    if (i === lineStart && lineStart > 0) return next;
    lineStart = next;
    i = next - 1;
  }
  return 0;
}

/** Id of an event. Most events have it in their first line, so that line is read without parsing the others. */
function idOf(event: Buffer): string | undefined {
  if (event.indexOf(ID_LINE) === 0 && !event.includes(CR)) {
    const end = event.indexOf(LF);
    return event.toString("latin1", ID_LINE.length, end < 0 ? event.length : end).trimStart();
  }
  return /^id: ?(.*?)\r?$/m.exec(event.toString("latin1"))?.[1];
}
