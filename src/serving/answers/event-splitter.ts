/**
 * Splits a stream of server-sent events into whole events, so that a stream that breaks off within an event can be resumed
 * at another endpoint without lost or repeated events.
 * @module
 */

/** Most bytes of one event that are held back; anything longer is passed on unsplit. */
const MAX_EVENT_BYTES = 1_048_576;
const LF = 0x0a;
const CR = 0x0d;
const ID_LINE = "id:";

/** One whole event as received, with its id if it has one. */
export interface Event {
  readonly bytes: Buffer;
  readonly id: string | undefined;
}

/** Splits chunks into events; keeps the beginning of an event that is still incomplete. */
export class EventSplitter {
  private partial: Buffer = Buffer.alloc(0);

  /** Adds a chunk and returns the events that it completes. */
  push(chunk: Buffer): readonly Event[] {
    let unread = this.partial.length === 0 ? chunk : Buffer.concat([this.partial, chunk]);
    const events: Event[] = [];
    for (let end = eventEnd(unread); end > 0; end = eventEnd(unread)) {
      const bytes = unread.subarray(0, end);
      events.push({ bytes, id: idOf(bytes) });
      unread = unread.subarray(end);
    }
    if (unread.length > MAX_EVENT_BYTES) {
      events.push({ bytes: unread, id: undefined });
      unread = Buffer.alloc(0);
    }
    this.partial = unread;
    return events;
  }

  /** Bytes after the last whole event. */
  remainder(): Buffer {
    return this.partial;
  }
}

/** Offset after the first event and the blank line that ends it; 0 if the event is incomplete. */
function eventEnd(bytes: Buffer): number {
  for (let i = bytes.indexOf(LF); i >= 0; i = bytes.indexOf(LF, i + 1)) {
    if (bytes[i + 1] === LF) return i + 2;
    if (bytes[i + 1] === CR && bytes[i + 2] === LF) return i + 3;
  }
  return 0;
}

/** Id of an event. Most events have it in their first line, so that line is read without parsing the others. */
function idOf(event: Buffer): string | undefined {
  if (event.indexOf(ID_LINE) === 0) {
    const end = event.indexOf(LF);
    return event
      .toString("latin1", ID_LINE.length, event[end - 1] === CR ? end - 1 : end)
      .trimStart();
  }
  return /^id: ?(.*?)\r?$/m.exec(event.toString("latin1"))?.[1];
}
