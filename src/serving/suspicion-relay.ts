/**
 * The endpoint daemon's side of finding requests that crash their workers: it keeps what entry
 * daemons report, and sends it to all other connected entry daemons and to those that connect
 * later. It outlives the worker beside it.
 * @module
 */
import type * as announcer from "./announcer.js";
import * as suspicionState from "./suspicion-state.js";

/** Relays suspicion messages between the connected entry daemons. */
export class SuspicionRelay {
  private readonly state: suspicionState.SuspicionState;
  private readonly clients = new Set<announcer.Client>();

  constructor(deps: suspicionState.Deps) {
    this.state = new suspicionState.SuspicionState(deps);
  }

  /** An entry daemon connected: sends it all known records. */
  join(c: announcer.Client): void {
    this.clients.add(c);
    for (const m of this.state.snapshot()) c.send(m);
  }

  /** An entry daemon disconnected. */
  leave(c: announcer.Client): void {
    this.clients.delete(c);
  }

  /** Takes in an entry daemon's report; what is new is sent to the other entry daemons. */
  receive(from: announcer.Client, m: suspicionState.Message): void {
    for (const news of suspicionState.messages(this.state.receive(m, from.host))) {
      for (const c of this.clients) if (c !== from) c.send(news);
    }
  }
}
