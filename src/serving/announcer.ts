/**
 * Sends connected entry daemons the engine's state (how busy it is) and its holdings (what it holds). An entry
 * daemon that has just asked for a seat gets them in the next round. The others get changes at an interval
 * that grows with their number, so that the traffic does not grow with hosts times engines times requests.
 * @module
 */
import type * as clock from "../host/clock.js";
import * as jsonLines from "./json-lines.js";
import type * as engineView from "./engine-view.js";
import type * as seatMessages from "./seat-messages.js";

/** Minimum ms between two rounds of announcements, so that many changes are sent in one message. */
const ROUND_MS = 20;
/**
 * Milliseconds that each of the first {@link FEW_CLIENTS} entry daemons adds to the interval between
 * announcements of changes. Announcements are most of what an entry daemon without requests spends, but older
 * ones make for worse choices of an engine.
 */
const INTERVAL_MS_EACH = 10;
/** Number of entry daemons up to which each adds {@link INTERVAL_MS_EACH}. */
const FEW_CLIENTS = 20;
/** Milliseconds that each further entry daemon adds to the interval. */
const INTERVAL_MS_FURTHER = 25;
/** Minimum of the longest interval without an announcement, in ms. */
const MIN_SILENCE_MS = 1000;
/** Milliseconds per entry daemon in the longest interval without an announcement, where that is more. */
const SILENCE_MS_EACH = 20;

/** An entry daemon's connection. */
export interface Client {
  /** Name of its host, with the number of the connection. */
  readonly host: string;
  readonly send: (m: seatMessages.FromEndpoint) => void;
  /** Sends messages that are already encoded. */
  readonly sendLine: (line: string) => void;
}

/** What was last sent to one entry daemon. */
interface Sent {
  /** Value of the change counter at the last announcement. */
  readonly changes: number;
  /** Value of the counter of changes of the holdings at the last announcement; -1 before the first. */
  readonly held: number;
  /** Monotonic ms of the last announcement. */
  readonly at: number;
  /** Whether it gets an announcement in the next round in any case. */
  readonly soon: boolean;
  /** The state that was sent, encoded. */
  readonly state: string;
}

/** An adapter that left the engine, and the counter of changes of the holdings at that time. */
interface Departure {
  readonly key: string;
  readonly held: number;
}

/** Number of departures kept, more than an engine has between two announcements to one entry daemon. */
const MAX_DEPARTURES = 64;

const NOTHING_SENT: Sent = { changes: -1, held: -1, at: -Infinity, soon: true, state: "" };

export class Announcer {
  private readonly clients = new Map<Client, Sent>();
  private changes = 0;
  private heldChanges = 0;
  /** The latest state, and its encoding. */
  private latestState: { readonly message: seatMessages.State; readonly text: string } | undefined;
  /** The latest holdings, encoded. */
  private heldText = "";
  private departures: readonly Departure[] = [];
  private roundAt = -Infinity;
  private timer: clock.Timer | undefined;
  private timerAt = Infinity;

  constructor(
    private readonly clk: clock.Clock,
    /** Returns the state; the same object while that is still valid. */
    private readonly state: (silenceMs: number) => seatMessages.State,
    private readonly holdings: () => engineView.Holdings,
    /** Adapters that are probably in the memory of the engine's host, the latest first. */
    private readonly recent: () => readonly string[],
    /** Version of the configuration, sent with the holdings but no reason to send them. */
    private readonly configVersion: () => number | undefined,
  ) {}

  /** Number of connected entry daemons. */
  clientCount(): number {
    return this.clients.size;
  }

  join(c: Client): void {
    this.clients.set(c, NOTHING_SENT);
    this.stateChanged();
  }

  leave(c: Client): void {
    this.clients.delete(c);
    this.stateChanged();
  }

  /** Sends an entry daemon an announcement in the next round; called when it has asked for a seat. */
  announceSoon(c: Client): void {
    const sent = this.clients.get(c);
    if (sent) this.clients.set(c, { ...sent, soon: true });
    this.stateChanged();
  }

  /** Records a change of the state or the holdings, and schedules its announcement. */
  stateChanged(): void {
    this.changes++;
    this.schedule();
  }

  /** Sends all entry daemons an announcement in the next round; called when the engine came up or went down. */
  announceSoonToAll(): void {
    for (const [c, sent] of this.clients) this.clients.set(c, { ...sent, soon: true });
    this.stateChanged();
  }

  /** Records that an adapter is in no slot any more. */
  adapterLeft(key: string): void {
    this.heldChanges++;
    const departure = { key, held: this.heldChanges };
    this.departures = [...this.departures.slice(1 - MAX_DEPARTURES), departure];
  }

  /** Sends one entry daemon the current state, the holdings if they changed, and a message after them, in one write. */
  announceNow(c: Client, m: seatMessages.FromEndpoint): void {
    const sent = this.clients.get(c);
    const line = jsonLines.encode(m);
    if (sent) this.announce(c, sent, this.compose(), line);
    else c.sendLine(line);
  }

  close(): void {
    this.timer?.cancel();
    this.clients.clear();
  }

  /** Milliseconds between announcements of changes to an entry daemon that asks for no seats. */
  private intervalMs(): number {
    const few = Math.min(FEW_CLIENTS, this.clients.size);
    const further = this.clients.size - few;
    return Math.max(ROUND_MS, INTERVAL_MS_EACH * few + INTERVAL_MS_FURTHER * further);
  }

  /** Longest interval without an announcement, in ms. */
  private silenceMs(): number {
    return Math.max(MIN_SILENCE_MS, SILENCE_MS_EACH * this.clients.size);
  }

  /** Monotonic ms at which a client's next announcement is due. */
  private dueAt(sent: Sent): number {
    if (sent.soon) return this.roundAt + ROUND_MS;
    const ms = sent.changes < this.changes ? this.intervalMs() : this.silenceMs();
    return Math.max(sent.at + ms, this.roundAt + ROUND_MS);
  }

  /** Sets the timer for the next round. */
  private schedule(): void {
    if (this.clients.size === 0) return;
    const now = this.clk.mono();
    let at = Infinity;
    for (const sent of this.clients.values()) at = Math.min(at, this.dueAt(sent));
    at = Math.max(at, now);
    if (this.timer && this.timerAt <= at) return;
    this.timer?.cancel();
    this.timerAt = at;
    this.timer = this.clk.after(at - now, () => {
      this.timer = undefined;
      this.runRound();
      this.schedule();
    });
  }

  /** Sends announcements to the entry daemons whose turn it is. */
  private runRound(): void {
    const now = this.clk.mono();
    const due = [...this.clients].filter(([, sent]) => this.dueAt(sent) <= now);
    // A timer may fire a little early.
    if (due.length === 0) return;
    this.roundAt = now;
    const announcement = this.compose();
    for (const [c, sent] of due) {
      if (this.isNews(sent, announcement, now)) this.announce(c, sent, announcement);
      else this.clients.set(c, { ...sent, changes: this.changes });
    }
  }

  /**
   * Whether an announcement is needed: it has news for the entry daemon, or must show that this daemon
   * still runs.
   */
  private isNews(sent: Sent, announcement: Announcement, now: number): boolean {
    if (sent.soon || sent.held < this.heldChanges || sent.state !== announcement.state) return true;
    return now - sent.at >= this.silenceMs();
  }

  /** Encodes the current state and holdings. */
  private compose(): Announcement {
    const held = this.holdings();
    const heldText = jsonLines.encode(held);
    if (heldText !== this.heldText) {
      this.heldText = heldText;
      this.heldChanges++;
    }
    return { held, heldLines: new Map(), state: this.encodedState() };
  }

  /** Encodes the current state; one that is still valid is encoded once. */
  private encodedState(): string {
    const message = this.state(this.silenceMs());
    if (this.latestState?.message !== message)
      this.latestState = { message, text: jsonLines.encode(message) };
    return this.latestState.text;
  }

  /** Sends an announcement, and the encoded messages in `more` after it. */
  private announce(c: Client, sent: Sent, announcement: Announcement, more = ""): void {
    const held = sent.held < this.heldChanges ? this.heldLine(sent.held, announcement) : "";
    c.sendLine(held + announcement.state + more);
    const at = this.clk.mono();
    const { changes, heldChanges } = this;
    this.clients.set(c, { changes, held: heldChanges, at, soon: false, state: announcement.state });
  }

  /** Encodes the holdings for entry daemons that last got them at the counter `since`. */
  private heldLine(since: number, announcement: Announcement): string {
    const cached = announcement.heldLines.get(since);
    if (cached !== undefined) return cached;
    const departed =
      since < 0
        ? [...this.recent()].reverse()
        : this.departures.filter((d) => d.held > since).map((d) => d.key);
    const gone = [...new Set(departed)].filter((key) => !announcement.held.resident.includes(key));
    const line = jsonLines.encode({ ...announcement.held, gone, config: this.configVersion() });
    announcement.heldLines.set(since, line);
    return line;
  }
}

/** The content of one round of announcements. */
interface Announcement {
  readonly held: engineView.Holdings;
  /** Encoded holdings messages, by the counter of changes that their receivers have. */
  readonly heldLines: Map<number, string>;
  readonly state: string;
}
