/**
 * Decides on the seats of one engine: grants or denies what entry daemons ask for, and ends seats. Each decision is made
 * from the engine's state.
 * @module
 */
import type * as clock from "../host/clock.js";
import type * as structuredLog from "../host/structured-log.js";
import type * as announcer from "./announcer.js";
import * as backlog from "./backlog.js";
import * as catalog from "./catalog.js";
import * as diversion from "./diversion.js";
import type * as engineState from "./engine-state.js";
import * as engineView from "./engine-view.js";
import * as prefillSpeed from "./prefill-speed.js";
import * as residency from "./residency.js";
import type * as seatMessages from "./seat-messages.js";
import * as seatQueue from "./seat-queue.js";
import * as seatTable from "./seat-table.js";
import * as fairShares from "./sharing/fair-shares.js";

export interface Deps {
  readonly clock: clock.Clock;
  readonly log: structuredLog.Log;
  readonly state: engineState.EngineState;
  readonly announcer: Pick<announcer.Announcer, "announceNow" | "stateChanged">;
  /** Whether the worker has announced that it leaves. */
  readonly isLeaving: () => boolean;
}

/** Identifies a seat among those of all connections; `n` is its number on the client's connection. */
function idOf(c: announcer.Client, n: number): string {
  return `${c.host}#${n}`;
}

/** Admission control of the seats on one engine. */
export class SeatAdmission {
  private readonly state: engineState.EngineState;
  /** The snapshot by which nothing is left to grant or deny. */
  private settled: engineState.Snapshot | undefined;
  /** Why the requests that wait for a seat waited when last decided, by seat; only with steady streams. */
  private readonly waitReasons = new Map<string, residency.WaitReason>();

  constructor(private readonly deps: Deps) {
    this.state = deps.state;
  }

  /** Handles a request for a seat. Returns false if it was denied at once, without a place in the queue. */
  ask(c: announcer.Client, m: seatMessages.Ask): boolean {
    const now = this.deps.clock.mono();
    const key = m.adapter === undefined ? m.model : catalog.adapterKey(m.model, m.adapter);
    const id = idOf(c, m.seat);
    if (m.version > 0)
      this.state.set({ held: residency.declareVersion(this.state.held, key, m.version, now) });
    const ownMs = prefillSpeed.firstEventMs(this.state.seats.speed, m.promptTokens);
    if (this.deps.isLeaving()) {
      this.denyAtOnce(c, m, key, "leaving");
      return false;
    }
    if (!m.firm && this.state.instance !== "" && this.isDiverted(m, key, ownMs)) {
      this.denyAtOnce(c, m, key, "busy");
      return false;
    }
    const waiter = seatQueue.waiterFor(id, key, m, ownMs, now);
    // A request that will be late in any case yields to others, so it gets the last rank and adds to
    // nobody's wait.
    const rank = seatQueue.isLate(waiter, now) ? backlog.RANK_COUNT : m.rank;
    this.state.seats.add(id, seatTable.newSeat(c, key, m, now), m.promptTokens, rank);
    this.state.admission?.add(id, m, rank);
    this.state.set({ held: residency.addWaiter(this.state.held, waiter, now) });
    if (this.state.instance === "") this.deny(id, "out");
    else this.settle();
    return true;
  }

  /** Whether a request should go to another engine, as it would be late here because of the wait. */
  private isDiverted(m: seatMessages.Ask, key: string, ownMs: number): boolean {
    const isHeld = m.adapter === undefined || this.state.held.slots.has(key);
    const waitMs = engineView.waitMs(this.state.snapshot(), m.rank, isHeld, m.team);
    return diversion.isDiverted({ waitMs, ownMs, targetMs: m.targetMs });
  }

  /**
   * Denies a seat at once, and sends the current state first, so that the entry daemon can find a better
   * engine.
   */
  private denyAtOnce(
    c: announcer.Client,
    m: seatMessages.Ask,
    adapter: string,
    reason: seatMessages.DenyReason,
  ): void {
    this.deps.announcer.announceNow(c, { kind: "deny", seat: m.seat, reason });
    this.logDenied({ request: m.request, key: adapter, team: m.team }, reason, 0);
  }

  private logDenied(
    { request, key: adapter, team }: Pick<seatTable.Seat, "request" | "key" | "team">,
    reason: seatMessages.DenyReason,
    waitedMs: number,
  ): void {
    const overShare = this.state.snapshot().standing?.over.has(team ?? fairShares.NO_TEAM);
    const shares = overShare === undefined ? {} : { team, overShare };
    this.deps.log.info("A seat was denied.", { request, adapter, reason, waitedMs, ...shares });
  }

  /** Records that the first event of a run came, `ms` after its request was sent. */
  recordFirstEvent(c: announcer.Client, n: number, ms: number): void {
    const id = idOf(c, n);
    const now = this.deps.clock.mono();
    this.state.seats.recordFirstEvent(id, ms, now);
    this.state.admission?.recordFirstEvent(id, now);
    this.state.changed();
  }

  /** Ends a seat that its entry daemon does not need any more; `stream` is the timing of its answer. */
  end(
    c: announcer.Client,
    n: number,
    how: seatTable.SeatOutcome,
    stream?: seatMessages.StreamTiming,
  ): void {
    const id = idOf(c, n);
    const eventTokens = this.state.spec()?.batch?.eventTokens;
    if (stream && eventTokens !== undefined)
      this.state.admission?.recordStream(id, stream, eventTokens, this.deps.clock.mono());
    this.remove(id, how);
  }

  /** Ends the seats of a connection that closed. */
  endAll(c: announcer.Client): void {
    for (const id of this.state.seats.idsOf(c)) this.remove(id, "left");
  }

  /** Removes a seat that ended, whether it was granted or not. */
  private remove(id: string, how: seatTable.SeatOutcome): void {
    const s = this.state.seats.remove(id);
    this.forget(id);
    this.state.changed();
    if (!s) return;
    if (s.grantedAt === undefined) {
      this.state.set({ held: residency.removeWaiter(this.state.held, id) });
      return;
    }
    this.state.set({ held: residency.addPin(this.state.held, s.key, -1) });
    this.state.seats.recordEnd(s, how, this.deps.clock.mono());
    this.state.changed();
  }

  /** Removes an ended or denied seat from the admission control. */
  private forget(id: string): void {
    this.state.admission?.remove(id);
    this.waitReasons.delete(id);
  }

  /** Grants the seats that the state allows, and denies the expired ones. */
  settle(): void {
    const at = this.state.snapshot();
    if (at === this.settled) return;
    const { held, now, options, prefill, admission } = at;
    this.state.shares.logChanges(at.standing, now);
    for (const a of residency.seatActions(held, now, options, prefill, admission)) {
      switch (a.kind) {
        case "grant":
          this.grant(a.waiter, a.version);
          break;
        case "expire":
          this.deny(a.waiter.seat, "full");
          break;
        case "wait":
          this.waitReasons.set(a.waiter.seat, a.why);
          break;
        case "load":
        case "unload":
        case "close":
          break;
      }
    }
    this.settled = this.state.isLatest(at) ? at : undefined;
  }

  private grant(w: seatQueue.Waiter, version: number | undefined): void {
    const now = this.deps.clock.mono();
    const waitedFor = this.waitReasons.get(w.seat);
    this.waitReasons.delete(w.seat);
    this.state.admission?.grant(w.seat, now);
    const s = this.state.seats.grant(w.seat, now);
    this.state.set({ held: residency.removeWaiter(this.state.held, w.seat) });
    if (!s) return;
    this.state.shares.recordGrant(w, now);
    this.state.set({ held: residency.addPin(this.state.held, w.key, 1) });
    s.client.send({ kind: "grant", seat: s.seatNumber, instance: this.state.instance, version });
    const waitedMs = now - s.askedAt;
    this.deps.log.info("A seat was granted.", {
      request: s.request,
      adapter: w.key,
      version,
      ...this.newestFields(w.key, now),
      instance: this.state.instance,
      waitedMs,
      ...(waitedFor && { waitedFor, ...this.loggedPace() }),
    });
    this.deps.announcer.stateChanged();
  }

  /** The newest known version of an adapter and how long it has been known here, for the log. */
  private newestFields(key: string, now: number): structuredLog.Fields {
    const newest = this.state.held.newest.get(key);
    return newest ? { newest: newest.version, newestMs: Math.round(now - newest.at) } : {};
  }

  /** Learned times of the engine and its slowness, rounded, for the log. */
  private loggedPace(): structuredLog.Fields {
    const inputs = this.state.snapshot().paceInputs;
    if (!inputs) return {};
    const { baseMs, msPerToken, slowness } = inputs;
    return {
      baseMs: Math.round(baseMs),
      msPerToken: Number(msPerToken.toFixed(4)),
      slowness: Number(slowness.toFixed(1)),
    };
  }

  private deny(id: string, reason: seatMessages.DenyReason): void {
    const s = this.state.seats.remove(id);
    this.forget(id);
    this.state.set({ held: residency.removeWaiter(this.state.held, id) });
    if (!s) return;
    s.client.send({ kind: "deny", seat: s.seatNumber, reason });
    this.logDenied(s, reason, this.deps.clock.mono() - s.askedAt);
    this.deps.announcer.stateChanged();
  }

  /** Denies all seats that requests wait for. */
  denyAll(reason: seatMessages.DenyReason): void {
    for (const w of this.state.held.waiting) this.deny(w.seat, reason);
  }
}
