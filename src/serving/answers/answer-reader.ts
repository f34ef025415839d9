/**
 * Reads the answer of one send, passes on the events of a stream, and judges whether the answer is complete.
 * @module
 */
import type * as clock from "../../host/clock.js";
import * as errors from "../../host/errors.js";
import * as origin from "../continuation/origin.js";
import type * as origins from "../continuation/origins.js";
import * as exchange from "../exchange.js";
import type * as sendState from "../send-state.js";
import type * as upstream from "../upstream.js";
import * as completeness from "./completeness.js";
import type * as eventSplitter from "./event-splitter.js";
import * as streamBounds from "./stream-bounds.js";

export interface Deps {
  readonly clock: clock.Clock;
  readonly origins: Pick<origins.Origins, "begun">;
  readonly upstream: Pick<upstream.Upstream, "isRunning">;
}

type SendState = sendState.SendState;
/** A send's result that carries an answer. */
export type Answer = Extract<upstream.SendResult, { kind: "answer" }>;

/** Largest answer in bytes, other than a stream, that is held in memory; a larger one counts as broken off. */
const MAX_ANSWER_BYTES = 8_388_608;

/** Reads answers. */
export class AnswerReader {
  constructor(private readonly deps: Deps) {}

  /** Reads an answer to its end; the body is empty if it broke off. */
  async readWhole(
    send: SendState,
    { framing, body }: Answer,
  ): Promise<{ readonly body: Buffer; readonly verdict: completeness.Completeness }> {
    const { readAnswer, isSuperseded } = send.res;
    const onSize = (bytes: number): Promise<void> | undefined => {
      send.beginWatch?.cancel();
      return readAnswer?.(bytes);
    };
    try {
      const bytes = await exchange.readAll(body, MAX_ANSWER_BYTES, onSize, isSuperseded);
      // Nothing is kept of an answer that is not needed any more.
      const hasBody = bytes.length > 0 || isSuperseded?.() === true;
      const found = completeness.ofWhole(framing, hasBody);
      return { body: bytes, verdict: await this.confirm(send, found) };
    } catch (err) {
      return { body: Buffer.alloc(0), verdict: this.brokenBy(send, err) };
    }
  }

  /** Passes on the whole events of a stream, without those that the caller has already; `splitter` keeps the rest. */
  async passOnEvents(
    send: SendState,
    result: Answer,
    splitter: eventSplitter.EventSplitter,
  ): Promise<completeness.Completeness> {
    return this.confirm(send, await this.pumpEvents(send, result, splitter));
  }

  private async pumpEvents(
    send: SendState,
    result: Answer,
    splitter: eventSplitter.EventSplitter,
  ): Promise<completeness.Completeness> {
    const { res, p } = send;
    const resumedAfter = p.lastEventId;
    const bounds = new streamBounds.StreamBounds(send.req.meta.answerTokens, send.sentAt);
    let isFirst = true;
    try {
      await result.body.pump((chunk) => {
        const ready: Buffer[] = [];
        const arrivedAt = this.deps.clock.mono();
        const events = splitter.push(chunk, bounds.maxEvents(arrivedAt));
        const excess = bounds.receive(chunk.length, events, arrivedAt);
        if (excess !== undefined) {
          result.body.abort(excess);
          return undefined;
        }
        for (const e of events) {
          if (p.hasResponseBegun && resumedAfter !== undefined && wasPassedOn(e.id, resumedAfter))
            continue;
          // After an event without an id, no other run can be told where to go on.
          if (!e.isPartial && !e.isComment) p.lastEventId = e.id;
          if (!e.isComment) send.beginWatch?.cancel();
          p.isEventOpen = e.isPartial;
          ready.push(e.bytes);
        }
        if (ready.length === 0) return undefined;
        send.stream.recordArrival(ready.length, arrivedAt);
        if (isFirst) {
          isFirst = false;
          send.watchdog.answerBegan();
          send.grants.seat?.began(this.deps.clock.mono() - send.sentAt);
        }
        if (!p.hasResponseBegun) {
          p.hasResponseBegun = true;
          this.recordOrigin(send);
          p.firstByteAt = this.deps.clock.mono();
          res.writeHead(result.status, result.headers);
        }
        const drained = res.write(ready.length === 1 && ready[0] ? ready[0] : Buffer.concat(ready));
        return drained?.then(() => {
          send.stream.recordWrite(this.deps.clock.mono() - arrivedAt);
        });
      });
    } catch (err) {
      return this.brokenBy(send, err);
    }
    return completeness.ofStream(result.framing, {
      isInsideEvent: splitter.isInsideEvent(),
      hasEvent: splitter.hasEvent,
      isResumed: resumedAfter !== undefined,
    });
  }

  /** Checks that the worker still runs, if only that tells the end of its answer from that of its process. */
  private async confirm(
    send: SendState,
    found: completeness.Completeness,
  ): Promise<completeness.Completeness> {
    if (!completeness.restsOnClose(found)) return found;
    const { endpoint, req, watchdog } = send;
    // The question is no request, so a worker that asked for a pause is asked too.
    const runs = await this.deps.upstream.isRunning(endpoint, req.service, watchdog.signal);
    return runs ? found : completeness.UNCONFIRMED;
  }

  /** Judges an answer that broke off with an error. */
  private brokenBy(send: SendState, err: unknown): completeness.Completeness {
    // A send that the watchdog broke off may be one whose worker has crashed.
    send.isClosedHere = err instanceof exchange.GivenUpError && !send.watchdog.signal.aborted;
    return completeness.broken(errors.messageOf(err));
  }

  /** Records what a stream that begins, or goes on here, is bound to, before its first event is passed on. */
  private recordOrigin({ req, p, endpoint }: SendState): void {
    p.origin ??= origin.of(req.service, endpoint);
    this.deps.origins.begun(req, p.origin);
  }
}

/** Whether an event of a resumed stream was already passed on, by comparing its id with the last one passed on. */
function wasPassedOn(id: string | undefined, resumedAfter: string): boolean {
  return id !== undefined && Number(id) <= Number(resumedAfter);
}
