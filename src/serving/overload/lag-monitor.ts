/**
 * Measures the lag of this process's event loop while requests are open, and logs when it begins and ends.
 * @module
 */
import type * as net from "node:net";
import type * as clock from "../../host/clock.js";
import type * as structuredLog from "../../host/structured-log.js";
import * as acceptQueue from "./accept-queue.js";
import * as loopLag from "./loop-lag.js";
import * as servedPart from "./served-part.js";

export interface Deps {
  readonly clock: clock.Clock;
  readonly log: structuredLog.Log;
  /** Connects to the server whose connections are accepted; undefined once it has stopped listening. */
  readonly connect: () => net.Socket | undefined;
}

/** Milliseconds without lag after which it has ended, so that a busy loop does not log each of its long turns. */
const CALM_MS = 1000;

/** A time during which the loop lags, for the log. */
interface Episode {
  readonly beganAt: number;
  lastSeenAt: number;
  highestMs: number;
  refused: number;
}

/** A new connection, of which the first request may have waited as long as the connection. */
interface Accepted {
  readonly at: number;
  readonly lag: loopLag.Lag;
  readonly mostWaitMs: number;
}

/** What is known of a request when it is read. */
export interface Reading {
  readonly lag: loopLag.Lag;
  /** The larger of that lag and the one of connections that wait to be accepted. */
  readonly hostLag: loopLag.Lag;
  /** The request may have waited so long that its caller has left. */
  readonly isOld: boolean;
  /** Whether the host would catch up sooner if it refused requests. */
  readonly doRefusalsHelp: boolean;
}

function larger(a: loopLag.Lag, b: loopLag.Lag): loopLag.Lag {
  return a.ms >= b.ms ? a : b;
}

/** Measures the lag of the event loop. */
export class LagMonitor {
  private beats: loopLag.Beats;
  private run: acceptQueue.Run;
  private counts = servedPart.NONE;
  private openRequests = 0;
  private episode: Episode | undefined;
  private readonly accepted = new WeakMap<net.Socket, Accepted>();
  /** Connections accepted since the end of the last poll, and in the poll before. */
  private newSockets: net.Socket[] = [];
  private olderSockets: net.Socket[] = [];
  private isWatchingAccepts = false;
  private nextPoll: Promise<void> | undefined;
  private polledAt = -Infinity;
  /** Connections to this host itself that are not accepted yet, and when they were sent. */
  private readonly probes = new Map<net.Socket, number>();

  constructor(private readonly deps: Deps) {}

  /** To be called when a request is read; beats run from then until no request is open and no lag lasts. */
  requestOpened(): void {
    this.openRequests++;
    if (this.beats) return;
    this.beats = loopLag.start(this.deps.clock.mono());
    this.scheduleBeat();
  }

  /** To be called when a request has ended. */
  requestClosed(): void {
    this.openRequests--;
  }

  /** The lag of what is read now. */
  lag(): loopLag.Lag {
    return loopLag.lagAt(this.beats, this.deps.clock.mono());
  }

  /** Milliseconds of the lag of what is read now, or of the connections that are accepted now. */
  lagMs(): number {
    const now = this.deps.clock.mono();
    return Math.max(this.lag().ms, this.run ? acceptQueue.lagAt(this.run, now).ms : 0);
  }

  /** To be called when a request is passed on to be served. */
  recordServed(): void {
    this.counts = servedPart.record(this.counts, "served", this.deps.clock.mono());
  }

  /** To be called when a connection is accepted. */
  recordAccept(socket: net.Socket): void {
    const now = this.deps.clock.mono();
    this.counts = servedPart.record(this.counts, "brought", now);
    // The end of a connection takes time as well, and many may end at once.
    socket.once("close", () => {
      this.counts = servedPart.record(this.counts, "brought", this.deps.clock.mono());
    });
    this.run = acceptQueue.recordAccept(this.run, now, loopLag.lagAt(this.beats, now));
    if (this.probes.size > 0) this.recordProbeAccepted(socket);
    if (acceptQueue.isProbeDue(this.run, now)) this.probe(this.run, now);
    this.newSockets.push(socket);
    const mostWaitMs = acceptQueue.mostWaitMs(this.run, now);
    if (mostWaitMs > loopLag.NORMAL_MS) {
      const lag = acceptQueue.lagAt(this.run, now);
      this.accepted.set(socket, { at: now, lag, mostWaitMs });
    }
    if (this.isWatchingAccepts) return;
    this.isWatchingAccepts = true;
    this.watchAccepts();
  }

  /** Connects to this host itself, to learn how long connections wait. */
  private probe(run: NonNullable<acceptQueue.Run>, now: number): void {
    const socket = this.deps.connect();
    if (!socket) return;
    this.probes.set(socket, now);
    this.run = acceptQueue.recordProbe(run, now);
    socket.on("error", (err) => {
      this.deps.log.warn("This host could not connect to itself.", { why: err.message });
      if (this.run) this.run = acceptQueue.recordProbeFailed(this.run, now);
    });
    socket.once("close", () => {
      this.probes.delete(socket);
    });
  }

  private recordProbeAccepted({ remotePort }: net.Socket): void {
    for (const [probe, sentAt] of this.probes) {
      if (probe.localPort !== remotePort) continue;
      probe.destroy();
      this.probes.delete(probe);
      if (this.run) this.run = acceptQueue.recordProbeAccepted(this.run, sentAt);
      return;
    }
  }

  /** What is known of a request that is read from a connection now. */
  read(socket: net.Socket): Reading {
    const now = this.deps.clock.mono();
    const ofLoop = loopLag.lagAt(this.beats, now);
    const accepted = this.accepted.get(socket);
    const ofAccepts = this.run ? acceptQueue.lagAt(this.run, now) : loopLag.NO_LAG;
    this.counts = servedPart.record(this.counts, "brought", now);
    const doRefusalsHelp = servedPart.isEnough(this.counts, now);
    if (!accepted) {
      const hostLag = larger(ofLoop, ofAccepts);
      this.note(hostLag.ms, now);
      return { lag: ofLoop, hostLag, isOld: ofLoop.ms > loopLag.NORMAL_MS, doRefusalsHelp };
    }
    const ms = accepted.lag.ms + (now - accepted.at);
    const lag = larger(ofLoop, { ms, isSingle: accepted.lag.isSingle });
    this.note(lag.ms, now);
    return { lag, hostLag: larger(lag, ofAccepts), isOld: true, doRefusalsHelp };
  }

  /** Records that a request was refused because of the lag. */
  recordRefusal(): void {
    if (this.episode) this.episode.refused++;
  }

  /** Resolves once the event loop has polled after the current turn, with the monotonic ms of that. */
  async afterPoll(): Promise<number> {
    // The first callback runs at the end of this turn, the second after the poll of the next one.
    this.nextPoll ??= new Promise((resolve) => {
      setImmediate(() => {
        this.nextPoll = undefined;
        setImmediate(() => {
          this.polledAt = this.deps.clock.mono();
          resolve();
        });
      });
    });
    await this.nextPoll;
    return this.polledAt;
  }

  private scheduleBeat(): void {
    this.deps.clock.after(loopLag.BEAT_MS, () => {
      this.beat();
    });
  }

  private beat(): void {
    const now = this.deps.clock.mono();
    if (this.openRequests === 0 && !this.episode) {
      this.beats = undefined;
      return;
    }
    this.beats = loopLag.recordBeat(this.beats, now);
    const { ms } = loopLag.lagAt(this.beats, now);
    this.note(ms, now);
    if (ms > 0) {
      setImmediate(() => {
        this.beats = loopLag.recordPoll(this.beats);
      });
    }
    if (this.episode && now - this.episode.lastSeenAt > CALM_MS) this.endEpisode(now);
    this.scheduleBeat();
  }

  /** Ends the run of accepts after the first poll that accepts none. Data that waited with a connection is read by then. */
  private watchAccepts(): void {
    setImmediate(() => {
      for (const socket of this.olderSockets) this.accepted.delete(socket);
      this.olderSockets = this.newSockets;
      this.newSockets = [];
      this.isWatchingAccepts = this.olderSockets.length > 0;
      if (this.isWatchingAccepts) this.watchAccepts();
      else this.endRun();
    });
  }

  private endRun(): void {
    this.run = undefined;
    for (const probe of this.probes.keys()) probe.destroy();
    this.probes.clear();
  }

  /** Keeps the highest lag, and logs when it begins. */
  private note(ms: number, now: number): void {
    if (ms <= loopLag.NORMAL_MS) return;
    if (!this.episode) {
      this.episode = { beganAt: now, lastSeenAt: now, highestMs: ms, refused: 0 };
      this.deps.log.warn("The event loop is behind.", { lagMs: Math.round(ms) });
    }
    this.episode.lastSeenAt = now;
    this.episode.highestMs = Math.max(this.episode.highestMs, ms);
  }

  private endEpisode(now: number): void {
    if (!this.episode) return;
    const { beganAt, highestMs, refused } = this.episode;
    this.episode = undefined;
    this.deps.log.info("The event loop is no longer behind.", {
      highestMs: Math.round(highestMs),
      forMs: Math.round(now - beganAt),
      refused,
    });
  }
}
