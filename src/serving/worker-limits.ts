/**
 * What an entry daemon knows of the limits that workers name, from the answers that it passes on.
 * @module
 */
import type * as clock from "../host/clock.js";
import type * as record from "../host/record.js";
import type * as catalog from "./catalog.js";
import * as named from "./named-limits.js";

export interface Deps {
  readonly clock: clock.Clock;
  readonly log: record.Log;
}

/** One answer of a worker, and the request that it belongs to. */
export interface Heard {
  readonly request: string;
  readonly said: named.Said;
  readonly sentAt: number;
  readonly ran: boolean;
}

export class WorkerLimits {
  private readonly known = new Map<string, named.Limit>();
  /** Workers whose limit could not be read. */
  private readonly unreadable = new Set<string>();

  constructor(private readonly deps: Deps) {}

  /** Workers that name a limit. */
  get size(): number {
    return [...this.known.values()].filter((l) => l.perS !== undefined).length;
  }

  /** Requests a second that a worker takes from all hosts together; undefined where it names no limit. */
  of(e: catalog.Endpoint): number | undefined {
    return this.known.get(e.id)?.perS;
  }

  /** An answer of a worker came. */
  heard(e: catalog.Endpoint, h: Heard): void {
    if (h.said.kind === "unreadable") this.unread(e, h, h.said.text);
    const before = this.known.get(e.id);
    const after = named.observe(before, { ...h, at: this.deps.clock.mono() });
    if (!after || after === before) return;
    this.known.set(e.id, after);
    if (after.version !== before?.version) this.tell(e, h, before, after);
  }

  /** Forgets workers that are there no more. */
  keep(ids: ReadonlySet<string>): void {
    for (const id of this.known.keys()) if (!ids.has(id)) this.known.delete(id);
    for (const id of this.unreadable) if (!ids.has(id)) this.unreadable.delete(id);
  }

  private tell(
    e: catalog.Endpoint,
    h: Heard,
    before: named.Limit | undefined,
    after: named.Limit,
  ): void {
    const sentence =
      after.perS === undefined ? "A worker's limit is withdrawn." : "A worker names a limit.";
    this.deps.log.warn(sentence, {
      endpoint: e.id,
      perS: after.perS,
      before: before?.perS,
      version: after.version,
      request: h.request,
      sentMsAgo: Math.round(after.at - h.sentAt),
      namedMsAgo: before && Math.round(after.at - before.at),
    });
  }

  private unread(e: catalog.Endpoint, h: Heard, text: string): void {
    if (this.unreadable.has(e.id)) return;
    this.unreadable.add(e.id);
    this.deps.log.warn("A worker's limit cannot be read.", {
      endpoint: e.id,
      request: h.request,
      text,
    });
  }
}
