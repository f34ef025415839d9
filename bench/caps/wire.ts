/**
 * An entry daemon's connection to an endpoint daemon in virtual time, for what concerns totals over all hosts. What is on
 * its way while it is cut comes once that is over.
 * @module
 */
import type * as announcer from "../../src/serving/announcer.js";
import type * as limiter from "../../src/serving/limiter.js";
import type * as seatMessages from "../../src/serving/seat-messages.js";
import type * as time from "../measure/time.js";

/** Milliseconds that a message takes, and after which a silent place is given up. */
const WAY_MS = 1;
const SILENT_MS = 350;

/** An endpoint daemon, as far as totals are concerned. */
export interface Place {
  readonly join: (c: announcer.Client) => void;
  readonly leave: (c: announcer.Client) => void;
  readonly hear: (c: announcer.Client, m: seatMessages.FromEntry) => void;
}

/** An entry daemon, as far as totals are concerned. */
export interface Host {
  readonly greeting: (address: string) => readonly seatMessages.FromEntry[];
  readonly hear: (m: seatMessages.FromEndpoint, address: string) => void;
}

/** What a connection is between. */
export interface Ends {
  readonly clk: time.Time;
  readonly name: string;
  readonly address: string;
  readonly place: () => Place | undefined;
  readonly host: () => Host | undefined;
  /** It stands; the host hears how many hosts there are. */
  readonly stands: () => void;
  /** A message was sent. */
  readonly sent: () => void;
}

export class Wire implements limiter.Owner {
  readonly address: string;
  isHeard = false;
  private client: announcer.Client | undefined;
  private isCut = false;
  /** It is to be connected once it is no longer cut. */
  private isAwaited = false;
  private held: (() => void)[] = [];
  private next = 0;
  private readonly asked = new Map<number, (a: seatMessages.FromEndpoint | undefined) => void>();

  constructor(private readonly ends: Ends) {
    this.address = ends.address;
  }

  get isForgotten(): boolean {
    return this.client === undefined;
  }

  connect(): void {
    this.isAwaited = this.isCut;
    if (this.isCut || this.client) return;
    const { ends } = this;
    ends.stands();
    const client: announcer.Client = {
      host: ends.name,
      send: (m) => {
        this.cross(() => {
          if (this.client !== client) return;
          if (m.kind === "drawn") this.asked.get(m.draw)?.(m);
          else ends.host()?.hear(m, this.address);
        });
      },
      sendLine: () => undefined,
    };
    this.client = client;
    this.isHeard = true;
    ends.place()?.join(client);
    for (const m of ends.host()?.greeting(this.address) ?? []) this.send(m);
  }

  lose(): void {
    if (this.client) this.ends.place()?.leave(this.client);
    this.client = undefined;
    this.isHeard = false;
    this.held = [];
    for (const answer of this.asked.values()) answer(undefined);
  }

  cut(on: boolean): void {
    this.isCut = on;
    if (on) return;
    if (this.isAwaited) {
      this.connect();
      return;
    }
    this.isHeard = this.client !== undefined;
    for (const run of this.held.splice(0)) run();
  }

  private cross(run: () => void): void {
    this.ends.sent();
    if (this.isCut) this.held.push(run);
    else this.ends.clk.after(WAY_MS, run);
  }

  send = (m: seatMessages.FromEntry): void => {
    const { client } = this;
    if (!client) return;
    this.cross(() => {
      if (this.client === client) this.ends.place()?.hear(client, m);
    });
  };

  draw: limiter.Owner["draw"] = (key, wish) => {
    const n = this.next++;
    return new Promise((resolve) => {
      const settle = (a: seatMessages.FromEndpoint | undefined): void => {
        this.asked.delete(n);
        resolve(a?.kind === "drawn" ? a : undefined);
      };
      this.asked.set(n, settle);
      this.ends.clk.after(SILENT_MS, () => {
        if (!this.asked.has(n)) return;
        this.isHeard = false;
        settle(undefined);
      });
      this.send({ kind: "draw", draw: n, key, ...wish });
    });
  };
}
