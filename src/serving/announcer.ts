/**
 * Tells the entry daemons that are connected how busy an engine is and what it holds. One that has
 * just asked for a seat hears soon; the others hear of changes at a pace that slackens as they grow
 * in number, so that what is sent and heard does not grow with hosts times engines times requests.
 * @module
 */
import type * as clock from "../host/clock.js";
import * as lines from "./lines.js";
import type * as listing from "./listing.js";
import type * as seat from "./seat.js";

/** Milliseconds between two rounds of words, so that many changes make one message. */
const ROUND_MS = 20;
/**
 * Milliseconds by which the pace of those that ask for nothing slackens with each of the first entry daemons,
 * how many these are, and with each further one. Words are most
 * of what an entry daemon without requests spends, and older words make for worse choices.
 */
const PACE_MS_EACH = 10;
const FEW = 20;
const PACE_MS_FURTHER = 25;
/** Milliseconds between two words at most, for few entry daemons, and by how much each adds to it. */
const SILENCE_MS = 1000;
const SILENCE_MS_EACH = 20;

/** An entry daemon's connection. */
export interface Client {
  readonly host: string;
  readonly send: (m: seat.FromEndpoint) => void;
  /** Sends a message that is encoded already. */
  readonly sendLine: (line: string) => void;
}

/** What one entry daemon was told last. */
interface Told {
  /** Count of changes that the last word included. */
  readonly changes: number;
  /** Count of changes of the holdings that it was told. */
  readonly held: number;
  /** Monotonic ms of the last word. */
  readonly at: number;
  /** It is to hear in the next round. */
  readonly soon: boolean;
  /** The state that it was told, as text. */
  readonly state: string;
}

/** An adapter that left the engine, and the count of changes of the holdings when it did. */
interface Departure {
  readonly key: string;
  readonly held: number;
}

/** Departures remembered: more than an engine has between two words to one entry daemon. */
const DEPARTURES = 64;

const NOTHING: Told = { changes: -1, held: -1, at: -Infinity, soon: true, state: "" };

export class Announcer {
  private readonly clients = new Map<Client, Told>();
  private changes = 0;
  private heldChanges = 0;
  /** The holdings that were told last, as text. */
  private heldText = "";
  private departures: readonly Departure[] = [];
  private roundAt = -Infinity;
  private timer: clock.Timer | undefined;
  private timerAt = Infinity;

  constructor(
    private readonly clk: clock.Clock,
    private readonly state: (silenceMs: number) => seat.State,
    private readonly holdings: () => listing.Holdings,
    /** Adapters that the engine has in its host's memory, the latest first. */
    private readonly recent: () => readonly string[],
  ) {}

  /** Entry daemons connected. */
  count(): number {
    return this.clients.size;
  }

  join(c: Client): void {
    this.clients.set(c, NOTHING);
    this.changed();
  }

  leave(c: Client): void {
    this.clients.delete(c);
    this.changed();
  }

  /** An entry daemon asked for something; its next word comes in the next round. */
  asked(c: Client): void {
    const told = this.clients.get(c);
    if (told) this.clients.set(c, { ...told, soon: true });
    this.changed();
  }

  /** Something changed that entry daemons should know. */
  changed(): void {
    this.changes++;
    this.plan();
  }

  /** Something changed that all entry daemons must know soon: the engine came or went. */
  changedMuch(): void {
    for (const [c, told] of this.clients) this.clients.set(c, { ...told, soon: true });
    this.changed();
  }

  /** An adapter is in its place no more. */
  departed(key: string): void {
    this.heldChanges++;
    const at = { key, held: this.heldChanges };
    this.departures = [...this.departures.slice(1 - DEPARTURES), at];
  }

  /** Tells one entry daemon at once how things stand. */
  tell(c: Client): void {
    const told = this.clients.get(c);
    if (told) this.say(c, told, this.word());
  }

  close(): void {
    this.timer?.cancel();
    this.clients.clear();
  }

  private paceMs(): number {
    const few = Math.min(FEW, this.clients.size);
    const further = this.clients.size - few;
    return Math.max(ROUND_MS, PACE_MS_EACH * few + PACE_MS_FURTHER * further);
  }

  private silenceMs(): number {
    return Math.max(SILENCE_MS, SILENCE_MS_EACH * this.clients.size);
  }

  /** Monotonic ms at which a client is to hear the next word. */
  private due(told: Told): number {
    if (told.soon) return this.roundAt + ROUND_MS;
    const ms = told.changes < this.changes ? this.paceMs() : this.silenceMs();
    return Math.max(told.at + ms, this.roundAt + ROUND_MS);
  }

  /** Sets the timer for the next round. */
  private plan(): void {
    if (this.clients.size === 0) return;
    const now = this.clk.mono();
    let at = Infinity;
    for (const told of this.clients.values()) at = Math.min(at, this.due(told));
    at = Math.max(at, now);
    if (this.timer && this.timerAt <= at) return;
    this.timer?.cancel();
    this.timerAt = at;
    this.timer = this.clk.after(at - now, () => {
      this.timer = undefined;
      this.round();
      this.plan();
    });
  }

  /** Tells those whose turn it is. */
  private round(): void {
    const now = this.clk.mono();
    const due = [...this.clients].filter(([, told]) => this.due(told) <= now);
    // A timer may fire a little early.
    if (due.length === 0) return;
    this.roundAt = now;
    const word = this.word();
    for (const [c, told] of due) {
      if (this.isNews(told, word, now)) this.say(c, told, word);
      else this.clients.set(c, { ...told, changes: this.changes });
    }
  }

  /** Whether a word tells an entry daemon anything, be it that the engine's daemon is still there. */
  private isNews(told: Told, word: Word, now: number): boolean {
    if (told.soon || told.held < this.heldChanges || told.state !== word.state) return true;
    return now - told.at >= this.silenceMs();
  }

  /** How things stand, as text. */
  private word(): Word {
    const held = this.holdings();
    const heldText = lines.encode(held);
    if (heldText !== this.heldText) {
      this.heldText = heldText;
      this.heldChanges++;
    }
    return { held, heldLines: new Map(), state: lines.encode(this.state(this.silenceMs())) };
  }

  private say(c: Client, told: Told, word: Word): void {
    const held = told.held < this.heldChanges ? this.heldLine(told.held, word) : "";
    c.sendLine(held + word.state);
    const at = this.clk.mono();
    const { changes, heldChanges } = this;
    this.clients.set(c, { changes, held: heldChanges, at, soon: false, state: word.state });
  }

  /** The holdings for those who heard of them last at the count `since`. */
  private heldLine(since: number, word: Word): string {
    const known = word.heldLines.get(since);
    if (known !== undefined) return known;
    const left =
      since < 0
        ? [...this.recent()].reverse()
        : this.departures.filter((d) => d.held > since).map((d) => d.key);
    const gone = [...new Set(left)].filter((key) => !word.held.resident.includes(key));
    const line = lines.encode({ ...word.held, gone });
    word.heldLines.set(since, line);
    return line;
  }
}

/** What is said in one round. */
interface Word {
  readonly held: listing.Holdings;
  /** The holdings as they stand on the wire, by the count of changes that their hearers know. */
  readonly heldLines: Map<number, string>;
  readonly state: string;
}
