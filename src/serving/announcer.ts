/**
 * Tells the entry daemons that are connected how busy an engine is and what it holds: soon, and once
 * for many changes.
 * @module
 */
import * as util from "node:util";
import type * as clock from "../host/clock.js";
import type * as seat from "./seat.js";

/** Milliseconds between two states sent, so that many changes make one message. */
const STATE_MS = 20;

/** An entry daemon's connection. */
export interface Client {
  readonly host: string;
  readonly send: (m: seat.FromEndpoint) => void;
  readonly sendState: (m: seat.State) => void;
  readonly sendHoldings: (m: seat.Holdings) => void;
}

export class Announcer {
  private readonly clients = new Set<Client>();
  private told: seat.Holdings | undefined;
  private timer: clock.Timer | undefined;

  constructor(
    private readonly clk: clock.Clock,
    private readonly state: () => seat.State,
    private readonly holdings: () => seat.Holdings,
  ) {}

  /** Entry daemons connected. */
  count(): number {
    return this.clients.size;
  }

  join(c: Client): void {
    this.clients.add(c);
    c.sendHoldings(this.holdings());
    c.sendState(this.state());
    this.changed();
  }

  leave(c: Client): void {
    this.clients.delete(c);
    this.changed();
  }

  /** Something changed that entry daemons should know. */
  changed(): void {
    this.timer ??= this.clk.after(STATE_MS, () => {
      this.timer = undefined;
      this.tell();
    });
  }

  private tell(): void {
    const held = this.holdings();
    if (!util.isDeepStrictEqual(held, this.told)) {
      this.told = held;
      for (const c of this.clients) c.sendHoldings(held);
    }
    const m = this.state();
    for (const c of this.clients) c.sendState(m);
  }
}
