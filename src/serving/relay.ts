/**
 * The endpoint daemon's side of finding requests that crash their workers: it keeps what entry
 * daemons report, and sends it to all other connected entry daemons and to those that connect
 * later. It outlives the worker beside it.
 * @module
 */
import type * as announcer from "./announcer.js";
import * as hearsay from "./hearsay.js";

/** Relays suspicion messages between the connected entry daemons. */
export class Relay {
  private readonly state: hearsay.Hearsay;
  private readonly clients = new Set<announcer.Client>();

  constructor(deps: hearsay.Deps) {
    this.state = new hearsay.Hearsay(deps);
  }

  /** An entry daemon connected: sends it all known records. */
  join(c: announcer.Client): void {
    this.clients.add(c);
    for (const m of this.state.retold()) c.send(m);
  }

  /** An entry daemon disconnected. */
  leave(c: announcer.Client): void {
    this.clients.delete(c);
  }

  /** Takes in an entry daemon's report; what is new is sent to the other entry daemons. */
  hear(from: announcer.Client, m: hearsay.Message): void {
    for (const news of hearsay.messages(this.state.hear(m, from.host))) {
      for (const c of this.clients) if (c !== from) c.send(news);
    }
  }
}
