/**
 * The endpoint daemon's side of worker announcements: it keeps what entry daemons report about
 * workers and what the worker beside it says in its own reports, and sends it to all other
 * connected entry daemons and to those that connect later. It outlives the worker beside it.
 * @module
 */
import type * as clock from "../host/clock.js";
import type * as announcer from "./announcer.js";
import * as availability from "./availability.js";
import * as messages from "./notice-messages.js";

/**
 * Maximum number of workers whose state is kept; the one whose state changed longest ago is evicted
 * first.
 */
const MAX_WORKERS = 4096;

/** The announced state of workers, as one endpoint daemon knows and relays it. */
export class NoticeRelay {
  private readonly states = new Map<string, availability.Availability>();
  private readonly clients = new Set<announcer.Client>();

  constructor(
    private readonly clk: clock.Clock,
    /** Called when the state of a worker changed. */
    private readonly onChange: () => void,
  ) {}

  /** An entry daemon connected: sends it the known states. */
  join(c: announcer.Client): void {
    this.clients.add(c);
    for (const [worker, state] of this.states) c.send(messages.toMessage(worker, state));
  }

  /** An entry daemon disconnected. */
  leave(c: announcer.Client): void {
    this.clients.delete(c);
  }

  /** Whether a worker incarnation is known to be leaving. */
  isLeaving(worker: string): boolean {
    return this.states.get(worker)?.leavingAt !== undefined;
  }

  /**
   * Takes in an entry daemon's report about a worker. Changes are sent to the other entry daemons;
   * if the sender knows less than this daemon, it is sent the known state.
   */
  receive(from: announcer.Client, m: messages.Notice): void {
    const before = this.stateOf(m.worker);
    const after = availability.merge(before, messages.toUpdate(m), this.clk.steady());
    if (after !== before) this.update(m.worker, after, from);
    if (availability.hasMoreThan(after, messages.toUpdate(m)))
      from.send(messages.toMessage(m.worker, after));
  }

  /** Takes in what the worker beside this daemon announces. */
  observe(worker: string, a: availability.Answer): void {
    const before = this.stateOf(worker);
    const after = availability.observe(before, a);
    if (availability.shouldPropagate(before, after)) this.update(worker, after);
  }

  private stateOf(worker: string): availability.Availability {
    return this.states.get(worker) ?? availability.UNKNOWN;
  }

  private update(worker: string, state: availability.Availability, from?: announcer.Client): void {
    this.states.delete(worker);
    this.states.set(worker, state);
    const [oldest] = this.states.keys();
    if (this.states.size > MAX_WORKERS && oldest !== undefined) this.states.delete(oldest);
    for (const c of this.clients) if (c !== from) c.send(messages.toMessage(worker, state));
    this.onChange();
  }
}
