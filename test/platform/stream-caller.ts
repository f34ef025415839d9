/**
 * A caller of streams at a site of daemons that run as processes: it begins streams, and resumes those that broke.
 * @module
 */
import * as documents from "../../bench/platform/documents.js";
import * as rawCaller from "../../bench/platform/raw-caller.js";
import * as workers from "../../bench/platform/worker.js";
import * as soak from "../../bench/soak/site.js";

/** A route whose callers wait longer than slow streams take and daemons need to start again. */
export const LONG_ROUTE = {
  name: "l",
  prefix: "/l/",
  kind: "streaming",
  service: soak.ENGINES,
  attempts: 2,
  resumable: true,
  timeoutMs: 15_000,
} as const;

/** One attempt of a caller, and what it received. */
export interface Attempt {
  readonly id: string;
  readonly adapter: string;
  readonly received: rawCaller.Received;
}

/** What a caller names to go on with a stream. */
export interface Resumed {
  /** Id of the last event that it has. */
  readonly after: number;
  /** Id of the attempt that brought the first event; left out if the caller names none. */
  readonly resumes?: string;
}

/** Settings of a caller. */
export interface Options {
  /** Path prefix of the route. */
  readonly prefix: string;
  /** Deadline of each attempt, in milliseconds. */
  readonly waitMs: number;
  /** Text at the start of the ids of attempts. */
  readonly name: string;
}

/** Number of events that an attempt brought. */
export function eventCount({ received }: Attempt): number {
  return workers.wholeEvents(received.body).length;
}

/** The software versions in the events of a caller's attempts at one stream. */
export function versionsOf(...attempts: readonly (Attempt | undefined)[]): ReadonlySet<string> {
  return workers.softwareIn(attempts.flatMap((a) => workers.wholeEvents(a?.received.body ?? "")));
}

/** Whether an attempt brought its stream to the end. */
export function isComplete({ received }: Attempt): boolean {
  return received.status === 200 && received.end === "complete";
}

/** Whether an attempt was cut after it had brought an event. */
export function isCut(a: Attempt): boolean {
  return a.received.end === "cut" && eventCount(a) > 0;
}

export class StreamCaller {
  private count = 0;

  constructor(
    private readonly site: soak.Site,
    private readonly opts: Options,
  ) {}

  /** Sends one attempt to the `entry`th entry daemon; resolves when its connection has ended, or its caller hangs up. */
  async send(
    entry: number,
    adapter: string,
    on?: Resumed,
    hangsUp?: AbortSignal,
  ): Promise<Attempt> {
    const { prefix, waitMs, name } = this.opts;
    const id = `${name}${this.count++}`;
    const headers = {
      host: documents.HOST,
      "x-sumacfield-attempt-id": id,
      "x-sumacfield-deadline-ms": String(waitMs),
      "x-sumacfield-model": `${documents.MODEL}/${adapter}`,
      "x-sumacfield-token-usage": "100,10",
      ...(on && { "last-event-id": String(on.after) }),
      ...(on?.resumes !== undefined && { resumes: on.resumes }),
    };
    const { entries } = this.site;
    const address = entries[entry % entries.length]?.callers ?? "";
    const req = { version: "1.1", path: `${prefix}x`, headers, body: id } as const;
    // Node.js warns of many listeners to one signal.
    const signal = hangsUp && AbortSignal.any([hangsUp]);
    return { id, adapter, received: await rawCaller.send(address, req, signal) };
  }
}
