/**
 * Decides when a stream is more than any sound worker sends, so that it is broken off. Pure.
 *
 * A run has at most about as many events as output tokens, and only a stream that was held back comes faster than an engine makes
 * them, with no more than the whole run at once. So a stream may have a burst of its whole run, and beyond that a rate.
 * @module
 */
import type * as eventSplitter from "./event-splitter.js";

/** Longest event in bytes, as long as the longest answer to a call. */
const MAX_EVENT_BYTES = 8_388_608;
/** Events that a stream may have for each of its output tokens. */
const EVENTS_PER_TOKEN = 4;
/** Events, comments among them, that may come at once beside those for tokens, or where the tokens are not known. */
const BURST_EVENTS = 1024;
const UNKNOWN_BURST_EVENTS = 4096;
/** Events a second beyond a burst. */
const EVENTS_PER_S = 2000;
/** Events of a whole stream beside those for its tokens, if the tokens are known; the number is large since callers may err. */
const SPARE_EVENTS = 16_384;
/** Bytes that may come at once, beside those for each token, and bytes a second beyond that. */
const BURST_BYTES = 16_777_216;
const BYTES_PER_TOKEN = 4096;
const BYTES_PER_S = 4_194_304;
/** Bytes that a chunk counts beside its own. */
const CHUNK_COST_BYTES = 2048;
/** Output tokens of a request beyond which no more is allowed. */
const MAX_TOKENS = 262_144;
const MS_PER_S = 1000;

/** An amount that may be used at once, and that comes back at a rate. */
class Bucket {
  private left: number;
  private filledAt: number;

  constructor(
    private readonly size: number,
    private readonly perMs: number,
    now: number,
  ) {
    this.left = size;
    this.filledAt = now;
  }

  /** Takes `amount` at `now`, in monotonic ms; returns what is left, which is negative if that was too much. */
  take(amount: number, now: number): number {
    const filled = this.left + Math.max(0, now - this.filledAt) * this.perMs;
    this.left = Math.min(this.size, filled) - amount;
    this.filledAt = now;
    return this.left;
  }
}

/** The bounds of one stream from one worker. */
export class StreamBounds {
  private readonly events: Bucket;
  private readonly bytes: Bucket;
  /** Events that may still come; infinite where the tokens are not known. */
  private eventsLeft: number;
  /** Bytes so far of the event that is being received in parts. */
  private openBytes = 0;

  /** `answerTokens` is the most output tokens of the request, 0 if they are not known; `now` is in monotonic ms. */
  constructor(answerTokens: number, now: number) {
    const tokens = Math.min(MAX_TOKENS, answerTokens);
    const ofTokens = EVENTS_PER_TOKEN * tokens;
    const burst = tokens > 0 ? BURST_EVENTS + ofTokens : UNKNOWN_BURST_EVENTS;
    this.events = new Bucket(burst, EVENTS_PER_S / MS_PER_S, now);
    this.bytes = new Bucket(BURST_BYTES + BYTES_PER_TOKEN * tokens, BYTES_PER_S / MS_PER_S, now);
    this.eventsLeft = tokens > 0 ? SPARE_EVENTS + ofTokens : Infinity;
  }

  /** Most events that the next chunk may have at `now`, and one more. */
  maxEvents(now: number): number {
    return Math.floor(this.events.take(0, now)) + 1;
  }

  /** Counts a chunk and the events that it completed; returns why the stream is to be broken off, if it is. */
  receive(
    chunkBytes: number,
    events: readonly eventSplitter.Event[],
    now: number,
  ): string | undefined {
    for (const e of events) {
      this.openBytes += e.bytes.length;
      if (this.openBytes > MAX_EVENT_BYTES) return `an event has over ${MAX_EVENT_BYTES} bytes`;
      if (!e.isPartial) this.openBytes = 0;
    }
    if (this.events.take(events.length, now) < 0) return "the stream's events come too fast";
    if (this.bytes.take(chunkBytes + CHUNK_COST_BYTES, now) < 0)
      return "the stream's bytes come too fast";
    this.eventsLeft -= events.filter((e) => !e.isComment).length;
    return this.eventsLeft < 0 ? "the stream has more events than its tokens allow" : undefined;
  }
}
