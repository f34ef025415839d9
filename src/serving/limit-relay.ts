/**
 * An endpoint daemon's part in making known the limits that workers name: it keeps what entry daemons tell it, and tells
 * all others that are connected, and those that connect later. It outlives the worker beside it.
 * @module
 */
import type * as clock from "../host/clock.js";
import type * as announcer from "./announcer.js";
import type * as messages from "./limiter-messages.js";
import * as named from "./named-limits.js";

/** Workers of which something is kept; those whose limit changed longest ago go first. */
const MOST = 4096;

export class LimitRelay {
  private readonly known = new Map<string, named.Limit>();
  private readonly clients = new Set<announcer.Client>();

  constructor(private readonly clk: clock.Clock) {}

  join(c: announcer.Client): void {
    this.clients.add(c);
    for (const [worker, l] of this.known) c.send(messageOf(worker, l));
  }

  leave(c: announcer.Client): void {
    this.clients.delete(c);
  }

  /** An entry daemon tells of a worker's limit; what is new goes on to the others. */
  hear(from: announcer.Client, m: messages.Limit): void {
    const before = this.known.get(m.worker);
    const after = named.learn(before, m, this.clk.mono());
    if (after === before) {
      // It does not know what is newer.
      if (after.version > m.version) from.send(messageOf(m.worker, after));
      return;
    }
    this.known.delete(m.worker);
    this.known.set(m.worker, after);
    const [oldest] = this.known.keys();
    if (this.known.size > MOST && oldest !== undefined) this.known.delete(oldest);
    for (const c of this.clients) if (c !== from) c.send(messageOf(m.worker, after));
  }
}

/** A worker's limit as the daemons tell each other of it. */
export function messageOf(worker: string, { perS, version }: named.Limit): messages.Limit {
  return { kind: "limit", worker, version, ...(perS !== undefined && { perS }) };
}
