/**
 * An entry daemon's connection to one endpoint daemon: requests seats, and receives the engine's state.
 * @module
 */
import * as net from "node:net";
import * as addresses from "../host/address.js";
import type * as clock from "../host/clock.js";
import type * as structuredLog from "../host/structured-log.js";
import * as catalog from "./catalog.js";
import type * as tokenBalance from "./token-balance.js";
import type * as choice from "./choice.js";
import * as pendingReplies from "./pending-replies.js";
import type * as suspicionState from "./suspicion-state.js";
import type * as limiterMessages from "./limiter-messages.js";
import type * as noticeMessages from "./notice-messages.js";
import type * as originMessages from "./continuation/messages.js";
import * as jsonLines from "./json-lines.js";
import * as seatMessages from "./seat-messages.js";
import * as loadHistory from "./load-history.js";

/** Timeout for connecting, in milliseconds; even a host in another failure domain answers within a few. */
const CONNECT_TIMEOUT_MS = 600;
/** Backoff between attempts to connect, in milliseconds: the first delay and the longest one. */
const RECONNECT_MS = 100;
const RECONNECT_MAX_MS = 800;
/**
 * Milliseconds without any message after a request for a seat or a draw, after which the endpoint daemon counts as
 * unresponsive; it normally sends something within about 30 ms of each request.
 */
const ANSWER_TIMEOUT_MS = 350;
/**
 * Limits on silence, after which the connection is closed and made again. Until the endpoint daemon has announced how
 * long it may be silent (`silenceMs`), the limit is this number of milliseconds; afterwards it is the announced time
 * multiplied by the factor.
 */
const FIRST_SILENCE_MS = 2500;
const SILENCE_FACTOR = 2.5;
/**
 * Milliseconds after which an endpoint daemon that was never connected counts as absent instead of starting. When a
 * whole site starts, all daemons are up within about a second.
 */
const STARTING_MS = 2000;

/**
 * Milliseconds after connecting during which an endpoint daemon may report no engine, since it first has to read the
 * configuration and query its engine. Within this time the engine known from before is not considered lost.
 */
const ENGINE_UNKNOWN_MS = 1500;

/** Result of a request for a seat. */
export type Answer =
  | { readonly kind: "grant"; readonly instance: string; readonly version: number | undefined }
  | { readonly kind: "deny"; readonly reason: seatMessages.DenyReason }
  /** The endpoint daemon is not connected or did not answer in time, or the caller released the seat first. */
  | { readonly kind: "unreachable" };

/** What a request for a seat tells the endpoint daemon. */
export type SeatRequest = Omit<Extract<seatMessages.FromEntry, { kind: "ask" }>, "kind" | "seat">;

/** A seat that was requested, granted or not. */
export interface PendingSeat {
  readonly answer: Promise<Answer>;
  /** Reports that the first event came after `ms` milliseconds. */
  readonly began: (ms: number) => void;
  /** Gives the seat back, or withdraws the request for it; `how` tells how the request ended. */
  readonly release: (
    how: Extract<seatMessages.FromEntry, { kind: "over" }>["how"],
    stream?: seatMessages.StreamTiming,
  ) => void;
}

/** What a connection needs, and the callbacks that it calls. */
export interface Deps {
  readonly clock: clock.Clock;
  readonly log: structuredLog.Log;
  /** Name of this host. */
  readonly host: string;
  /** Called when the endpoint daemon reports that an incarnation of the engine no longer exists. */
  readonly onEngineLost: (instance: string) => void;
  /** Called with the resident and warm adapters of the engine, before and after a change. */
  readonly onAdaptersChanged: (before: ReadonlySet<string>, now: ReadonlySet<string>) => void;
  /** Called when an engine may have become usable. */
  readonly onAvailable: () => void;
  /** Called with the number of entry daemons that the endpoint daemon says are connected to it. */
  readonly onEntryCount: (entries: number) => void;
  /** Called with a message about requests that crash workers. */
  readonly onSuspicion: (m: suspicionState.Message, peer: string) => void;
  /** Called with a message that relays what a worker announced about itself. */
  readonly onNotice: (m: noticeMessages.Notice, peer: string) => void;
  /** Called with a version of the configuration that the endpoint daemon has. */
  readonly onConfigVersion: (version: number) => void;
  /** The messages to send to the endpoint daemon at an address once it is connected. */
  readonly messagesOnConnect: (address: string) => readonly seatMessages.FromEntry[];
}

/** A seat request that has no answer yet. */
interface WaitingSeat {
  /** Monotonic ms at which it was sent. */
  readonly at: number;
  readonly resolve: (a: Answer) => void;
}

/** A connection to one endpoint daemon, which is made again whenever it breaks. */
export class Link {
  private channel: jsonLines.Channel<seatMessages.FromEntry> | undefined;
  private lastState: seatMessages.State | undefined;
  private lastHoldings: choice.Holdings | undefined;
  /** Keys of the adapters that were resident on the engine and no longer are, the latest first. */
  private recentAdapters: readonly string[] = [];
  private currentAdapters: ReadonlySet<string> = new Set();
  private lastInstance = "";
  private lastHeardAt = -Infinity;
  private stateReceivedAt = -Infinity;
  /** Monotonic ms of the last state with an open seat, or of the first one of the engine. */
  private seatOpenAt = -Infinity;
  /** Monotonic ms of the first seat request sent since the last message received; undefined where there is none. */
  private unansweredSince: number | undefined;
  private tokensSinceState = 0;
  private slotsSinceState = 0;
  private nextNumber = 0;
  private readonly waitingSeats = new Map<number, WaitingSeat>();
  private readonly draws: pendingReplies.PendingReplies<limiterMessages.Drawn>;
  private readonly origins: pendingReplies.PendingReplies<originMessages.Found>;
  /** Called once the connection is established. */
  private readonly connectWatchers = new Set<() => void>();
  private reconnectMs = RECONNECT_MS;
  private reconnectTimer: clock.Timer | undefined;
  private silenceTimer: clock.Timer | undefined;
  /** Monotonic ms at which {@link silenceTimer} fires. */
  private silenceTimerAt = Infinity;
  private closed = false;
  private closedByPeer = true;
  /** Monotonic ms at which the connection was established, and whether an engine was named on it since. */
  private connectedAt = -Infinity;
  private hasNamedEngine = false;
  private readonly createdAt: number;

  constructor(
    /** `ip:port` of the endpoint daemon. */
    readonly address: string,
    private readonly deps: Deps,
  ) {
    this.createdAt = deps.clock.mono();
    this.draws = new pendingReplies.PendingReplies(deps.clock);
    this.origins = new pendingReplies.PendingReplies(deps.clock);
    this.connect();
  }

  /** The last state received; undefined while the endpoint daemon is not connected or is unresponsive. */
  get state(): seatMessages.State | undefined {
    return this.lastState;
  }

  /** Milliseconds since the last state was received. */
  get stateAgeMs(): number {
    return this.deps.clock.mono() - this.stateReceivedAt;
  }

  /** Milliseconds since a seat was open on the engine, by the states received. */
  get idleMs(): number {
    return this.deps.clock.mono() - this.seatOpenAt;
  }

  /** The last holdings received; they are kept when the connection is lost. */
  get holdings(): choice.Holdings | undefined {
    return this.lastHoldings;
  }

  /** Keys of the adapters that are resident or warm on the engine, by the last holdings received. */
  get adaptersAtHand(): ReadonlySet<string> {
    return this.currentAdapters;
  }

  /** Whether the engine is starting: its daemon has not been connected yet, or the engine has no base model yet. */
  get isStarting(): boolean {
    if (this.lastState)
      return this.lastState.instance !== "" && (this.lastHoldings?.models.length ?? 0) === 0;
    return this.lastHoldings === undefined && this.deps.clock.mono() - this.createdAt < STARTING_MS;
  }

  /** Prompt tokens of the seats requested since the last state was received. */
  get pendingTokens(): number {
    return this.tokensSinceState;
  }

  /** Seats requested since the last state was received for adapters that were not resident on the engine. */
  get pendingSlots(): number {
    return this.slotsSinceState;
  }

  /** Whether the endpoint daemon is connected. */
  get isConnected(): boolean {
    return this.channel !== undefined;
  }

  /** Whether the endpoint daemon is connected, has sent a state and answers in time. */
  get isHeard(): boolean {
    return this.lastState !== undefined;
  }

  /**
   * Whether the endpoint daemon surely knows that the connection is closed, because its side closed it: the daemon did
   * so, or its process ended.
   */
  get isForgotten(): boolean {
    return !this.isConnected && this.closedByPeer;
  }

  /** Sends a message that has no answer; drops it while the endpoint daemon is not connected. */
  send(
    m: Exclude<
      seatMessages.FromEntry,
      { kind: "hello" | "ask" | "began" | "over" | "draw" | "find_origin" }
    >,
  ): void {
    this.channel?.send(m);
  }

  /**
   * Draws requests from a shared total. Resolves with undefined where the endpoint daemon is not connected or does not
   * answer in time.
   */
  draw(key: string, req: tokenBalance.DrawRequest): Promise<limiterMessages.Drawn | undefined> {
    const { channel } = this;
    if (!channel) return Promise.resolve(undefined);
    const n = this.nextNumber++;
    // A draw is answered at once, unlike a seat, so other messages that arrive meanwhile don't extend its timeout.
    const answer = this.draws.wait(n, ANSWER_TIMEOUT_MS, () => {
      this.lastState = undefined;
    });
    channel.send({ kind: "draw", draw: n, key, ...req });
    return answer;
  }

  /**
   * Asks for the origin of a stream. Resolves with undefined where the endpoint daemon does not answer in time, or is not
   * connected within that time.
   */
  async findOrigin(
    q: Omit<originMessages.Find, "kind" | "question">,
  ): Promise<originMessages.Found | undefined> {
    if (!this.channel) await this.untilConnected(ANSWER_TIMEOUT_MS);
    const { channel } = this;
    if (!channel) return undefined;
    const question = this.nextNumber++;
    const reply = this.origins.wait(question, ANSWER_TIMEOUT_MS, () => undefined);
    channel.send({ kind: "find_origin", question, ...q });
    return reply;
  }

  /** Resolves once the endpoint daemon is connected, or after `ms`. */
  private untilConnected(ms: number): Promise<void> {
    return new Promise((resolve) => {
      const end = (): void => {
        timer.cancel();
        this.connectWatchers.delete(end);
        resolve();
      };
      const timer = this.deps.clock.after(ms, end);
      this.connectWatchers.add(end);
    });
  }

  /** Requests a seat. */
  ask(req: SeatRequest): PendingSeat {
    const n = this.nextNumber++;
    const { channel } = this;
    if (!channel) return { answer: Promise.resolve({ kind: "unreachable" }), ...NO_CONNECTION };
    const now = this.deps.clock.mono();
    const answer = new Promise<Answer>((resolve) => {
      this.waitingSeats.set(n, { at: now, resolve });
    });
    this.unansweredSince ??= now;
    this.tokensSinceState += req.promptTokens;
    if (req.adapter !== undefined && !this.isResident(req.model, req.adapter))
      this.slotsSinceState++;
    channel.send({ kind: "ask", seat: n, ...req });
    this.scheduleSilenceCheck();
    return {
      answer,
      began: (ms) => {
        channel.send({ kind: "began", seat: n, ms });
      },
      release: (how, stream) => {
        this.settle(n, { kind: "unreachable" });
        channel.send({ kind: "over", seat: n, how, ...(stream && { stream }) });
      },
    };
  }

  private isResident(model: string, adapter: string): boolean {
    return this.lastHoldings?.resident.includes(catalog.adapterKey(model, adapter)) ?? false;
  }

  /** Closes the connection for good. */
  close(): void {
    this.closed = true;
    this.reconnectTimer?.cancel();
    this.silenceTimer?.cancel();
    this.channel?.close();
  }

  private connect(): void {
    const socket = net.connect(addresses.parse(this.address));
    const timeout = this.deps.clock.after(CONNECT_TIMEOUT_MS, () => {
      socket.destroy(new Error("connection timed out"));
    });
    let wasConnected = false;
    socket.once("connect", () => {
      timeout.cancel();
      wasConnected = true;
      this.reconnectMs = RECONNECT_MS;
      this.channel = channel;
      this.lastHeardAt = this.deps.clock.mono();
      this.connectedAt = this.lastHeardAt;
      this.hasNamedEngine = false;
      channel.send({ kind: "hello", host: this.deps.host });
      for (const m of this.deps.messagesOnConnect(this.address)) channel.send(m);
      this.deps.log.info("Connected to an endpoint daemon.", { peer: this.address });
      for (const notify of [...this.connectWatchers]) notify();
      this.scheduleSilenceCheck();
    });
    const channel = jsonLines.openChannel<seatMessages.FromEndpoint, seatMessages.FromEntry>(
      socket,
      seatMessages.fromEndpoint,
      {
        message: (m) => {
          this.receive(m);
        },
        closed: (why, byPeer) => {
          timeout.cancel();
          this.closedByPeer = byPeer;
          this.disconnected(wasConnected, why);
        },
      },
    );
  }

  private disconnected(wasConnected: boolean, why: string): void {
    if (wasConnected && !this.closed) {
      this.deps.log.warn("Lost the connection to an endpoint daemon.", { peer: this.address, why });
    }
    this.channel = undefined;
    this.lastState = undefined;
    this.unansweredSince = undefined;
    this.tokensSinceState = 0;
    for (const n of [...this.waitingSeats.keys()]) this.settle(n, { kind: "unreachable" });
    this.draws.failAll();
    this.origins.failAll();
    if (this.closed) return;
    this.reconnectTimer = this.deps.clock.after(this.reconnectMs, () => {
      this.connect();
    });
    this.reconnectMs = Math.min(RECONNECT_MAX_MS, this.reconnectMs * 2);
  }

  private receive(m: seatMessages.FromEndpoint): void {
    this.lastHeardAt = this.deps.clock.mono();
    this.unansweredSince = undefined;
    switch (m.kind) {
      case "state":
        this.updateState(m);
        break;
      case "holdings":
        this.updateHoldings(m);
        break;
      case "grant":
        this.settle(m.seat, { kind: "grant", instance: m.instance, version: m.version });
        break;
      case "deny":
        this.settle(m.seat, { kind: "deny", reason: m.reason });
        break;
      case "drawn":
        this.draws.settle(m.draw, m);
        break;
      case "origin_found":
        this.origins.settle(m.question, m);
        break;
      case "suspicion":
        this.deps.onSuspicion(m, this.address);
        break;
      case "notice":
        this.deps.onNotice(m, this.address);
        break;
    }
  }

  private updateState(m: seatMessages.State): void {
    const isSameEngine = this.lastState?.instance === m.instance;
    this.hasNamedEngine ||= m.instance !== "";
    if (this.hasNamedEngine || this.lastHeardAt - this.connectedAt >= ENGINE_UNKNOWN_MS) {
      if (this.lastInstance !== "" && m.instance !== this.lastInstance) this.engineLost();
      this.lastInstance = m.instance;
    }
    this.lastState = m;
    this.deps.onEntryCount(m.entries);
    this.stateReceivedAt = this.lastHeardAt;
    if (m.seats > 0 || !isSameEngine) this.seatOpenAt = this.lastHeardAt;
    this.tokensSinceState = 0;
    this.slotsSinceState = 0;
    if (!isSameEngine && m.instance !== "") this.deps.onAvailable();
  }

  /** Takes in the engine's holdings, and remembers the adapters that are no longer resident. */
  private updateHoldings(m: seatMessages.Holdings): void {
    if (m.config !== undefined) this.deps.onConfigVersion(m.config);
    const gone = (this.lastHoldings?.resident ?? []).filter((key) => !m.resident.includes(key));
    this.recentAdapters = [...m.gone, ...gone.filter((key) => !m.gone.includes(key))].reduce(
      loadHistory.moveToFront,
      this.recentAdapters,
    );
    const { models, resident } = m;
    const hasNewModel = models.some((name) => !this.lastHoldings?.models.includes(name));
    const versions = new Map(m.versions?.map((v, i) => [resident[i] ?? "", v]));
    this.setHoldings({ models, resident, versions, warm: this.recentAdapters.slice(0, m.reach) });
    if (hasNewModel) this.deps.onAvailable();
  }

  private setHoldings(held: choice.Holdings): void {
    const now = new Set([...held.resident, ...held.warm]);
    this.deps.onAdaptersChanged(this.currentAdapters, now);
    this.currentAdapters = now;
    this.lastHoldings = held;
  }

  /** Handles the loss of the engine's incarnation: the adapters that it kept in memory are lost with it. */
  private engineLost(): void {
    this.deps.onEngineLost(this.lastInstance);
    this.recentAdapters = [];
    if (this.lastHoldings) this.setHoldings({ ...this.lastHoldings, warm: [] });
  }

  private settle(n: number, a: Answer): void {
    this.waitingSeats.get(n)?.resolve(a);
    this.waitingSeats.delete(n);
  }

  /** Sets the timer for the moment when the silence of the connection, or after a seat request, reaches its limit. */
  private scheduleSilenceCheck(): void {
    const now = this.deps.clock.mono();
    const at = Math.min(
      this.lastHeardAt + this.maxSilenceMs(),
      (this.unansweredSince ?? Infinity) + ANSWER_TIMEOUT_MS,
    );
    // A timer that fires too early sets the next one; to reset the timer at each message would cost more.
    if (this.silenceTimer && this.silenceTimerAt <= at) return;
    this.silenceTimer?.cancel();
    this.silenceTimerAt = at;
    this.silenceTimer = this.deps.clock.after(Math.max(1, at - now), () => {
      this.silenceTimer = undefined;
      this.checkSilence();
    });
  }

  private maxSilenceMs(): number {
    return this.lastState ? SILENCE_FACTOR * this.lastState.silenceMs : FIRST_SILENCE_MS;
  }

  private checkSilence(): void {
    if (!this.channel) return;
    const now = this.deps.clock.mono();
    if (now - this.lastHeardAt >= this.maxSilenceMs()) {
      this.channel.close();
      return;
    }
    let next = Infinity;
    for (const [n, a] of this.waitingSeats) {
      if (a.at < this.lastHeardAt) continue;
      if (now - a.at < ANSWER_TIMEOUT_MS) {
        next = Math.min(next, a.at);
        continue;
      }
      this.lastState = undefined;
      this.settle(n, { kind: "unreachable" });
      // A daemon that was suspended may grant the seat when it resumes, and a seat that is never released would stay in
      // use for good.
      this.channel.send({ kind: "over", seat: n, how: "left" });
    }
    this.unansweredSince = next === Infinity ? undefined : next;
    this.scheduleSilenceCheck();
  }
}

const NO_CONNECTION = { began: () => undefined, release: () => undefined };
