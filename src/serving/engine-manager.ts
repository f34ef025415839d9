/**
 * Manages the engine on the endpoint daemon's host. The manager alone orders what the engine loads and
 * unloads, and grants seats on it to entry daemons. It sends one order at a time, bound to the engine's
 * incarnation and to the sequence number that the engine last reported, so that an order that arrives
 * late cannot undo a later decision.
 * @module
 */
import type * as clock from "../host/clock.js";
import type * as structuredLog from "../host/structured-log.js";
import * as waker from "../host/waker.js";
import * as announcer from "./announcer.js";
import * as backlog from "./backlog.js";
import * as baseModelLoader from "./base-model-loader.js";
import * as catalog from "./catalog.js";
import * as diversion from "./diversion.js";
import type * as engine from "./engine.js";
import * as incarnation from "./incarnation.js";
import * as seatTable from "./seat-table.js";
import * as engineState from "./engine-state.js";
import * as engineView from "./engine-view.js";
import * as probe from "./probe.js";
import * as prefillSpeed from "./prefill-speed.js";
import type * as noticeRelay from "./notice-relay.js";
import * as orderSender from "./order-sender.js";
import * as residency from "./residency.js";
import type * as seatMessages from "./seat-messages.js";
import * as seatQueue from "./seat-queue.js";
import * as loadHistory from "./load-history.js";
import * as fairShares from "./sharing/fair-shares.js";
import type * as teamShares from "./sharing/team-shares.js";

export interface Deps {
  readonly clock: clock.Clock;
  readonly log: structuredLog.Log;
  readonly engine: engine.Engine;
  /** Returns the configuration as currently known to this host. */
  readonly catalog: () => catalog.Catalog;
  /** Name of the service that the engine belongs to. */
  readonly service: string;
  /** Milliseconds after its declaration from which a version must be the only one in use. */
  readonly versionMs: number;
  /**
   * Claims a turn to load a base model from the weight store; resolves to false, after a delay, if none
   * is free.
   */
  readonly modelTurn: () => Promise<boolean>;
  /** What workers have announced about themselves, such as that they leave. */
  readonly notices: Pick<noticeRelay.NoticeRelay, "isLeaving" | "observe">;
  /** Weights of the teams' shares; equal where left out. */
  readonly teamWeights?: fairShares.Weights | undefined;
  /** Called with the tokens of each granted seat, if the configuration has teams. */
  readonly onGrant?: teamShares.Deps["onGrant"] | undefined;
}

/** Runs the engine on this host and serves the seats that entry daemons ask for. */
export class EngineManager {
  private readonly state: engineState.EngineState;
  /** The snapshot by which nothing is left to grant or deny. */
  private settled: engineState.Snapshot | undefined;
  /** Why the requests that wait for a seat waited when last decided, by seat; only with steady streams. */
  private readonly waitReasons = new Map<string, residency.WaitReason>();
  private readonly announcer: announcer.Announcer;
  private readonly modelLoader = new baseModelLoader.BaseModelLoader();
  private readonly orders: orderSender.OrderSender;
  private readonly probe: probe.Probe;
  private readonly waker: waker.Waker;
  private stopped = false;

  constructor(private readonly deps: Deps) {
    this.waker = new waker.Waker(deps.clock);
    this.probe = new probe.Probe(deps.clock, deps.engine);
    this.state = new engineState.EngineState({
      clock: deps.clock,
      log: deps.log,
      config: () => deps.catalog().config,
      service: deps.service,
      versionMs: deps.versionMs,
      weights: deps.teamWeights ?? new Map(),
      onGrant: deps.onGrant ?? (() => undefined),
    });
    this.orders = new orderSender.OrderSender(deps.clock, deps.log, deps.engine);
    this.announcer = new announcer.Announcer(
      deps.clock,
      (silenceMs) =>
        engineView.stateMessage(this.state.snapshot(), this.announcer.clientCount(), silenceMs),
      () => engineView.holdingsMessage(this.state.held, this.state.loadHistory.reach),
      () => loadHistory.warmAdapters(this.state.loadHistory),
    );
  }

  /** Polls the engine, grants seats and sends orders until {@link stop} is called. */
  async run(): Promise<void> {
    while (!this.stopped) {
      if (this.pollInMs() === 0) await this.poll();
      if (this.state.instance === "") {
        this.denyAll("out");
        await this.waker.pause(this.probe.retryMs);
        continue;
      }
      if (this.isLeaving()) {
        this.denyAll("leaving");
        await this.waker.pause(this.idleMs());
        continue;
      }
      this.settleSeats();
      const next = this.nextOrder();
      if (next) await this.carryOut(next);
      else if (!(await this.loadModel())) await this.waker.pause(this.idleMs());
    }
  }

  /** The next order, unless the engine is busy with another one. */
  private nextOrder(): residency.Action | undefined {
    if (this.orders.busyMs(this.deps.clock.mono()) > 0) return undefined;
    const { held, now, options } = this.state.snapshot();
    return residency.nextOrder(held, now, options);
  }

  /** Stops {@link run} and the announcements. */
  stop(): void {
    this.stopped = true;
    this.announcer.close();
    this.waker.wake();
  }

  /** Takes over declared versions after the catalog changed. */
  catalogChanged(): void {
    const now = this.deps.clock.mono();
    for (const [key, version] of this.deps.catalog().versions) {
      this.state.set({ held: residency.declareVersion(this.state.held, key, version, now) });
    }
    this.waker.wake();
  }

  /** Reacts to a change of what workers have announced. */
  noticesChanged(): void {
    this.waker.wake();
  }

  /** Whether the worker has announced that it leaves. */
  private isLeaving(): boolean {
    return this.deps.notices.isLeaving(this.state.instance);
  }

  /** Adds an entry daemon's connection. */
  join(c: announcer.Client): void {
    this.announcer.join(c);
  }

  /** Removes a connection that closed, and ends its seats. */
  leave(c: announcer.Client): void {
    for (const id of this.state.seats.idsOf(c)) this.removeSeat(id, "left");
    this.announcer.leave(c);
  }

  /** Handles a request for a seat. */
  ask(c: announcer.Client, m: seatMessages.Ask): void {
    const now = this.deps.clock.mono();
    const key = m.adapter === undefined ? m.model : catalog.adapterKey(m.model, m.adapter);
    const id = `${c.host}#${m.seat}`;
    if (m.version > 0)
      this.state.set({ held: residency.declareVersion(this.state.held, key, m.version, now) });
    const ownMs = prefillSpeed.firstEventMs(this.state.seats.speed, m.promptTokens);
    if (this.isLeaving()) {
      this.denyAtOnce(c, m, key, "leaving");
      return;
    }
    if (!m.firm && this.state.instance !== "" && this.isDiverted(m, key, ownMs)) {
      this.denyAtOnce(c, m, key, "busy");
      return;
    }
    const waiter = seatQueue.waiterFor(id, key, m, ownMs, now);
    // A request that will be late in any case yields to others, so it gets the last rank and adds to
    // nobody's wait.
    const rank = seatQueue.isLate(waiter, now) ? backlog.RANK_COUNT : m.rank;
    this.state.seats.add(id, seatTable.newSeat(c, key, m, now), m.promptTokens, rank);
    this.state.admission.add(id, m, rank);
    this.state.set({ held: residency.addWaiter(this.state.held, waiter, now) });
    if (this.state.instance === "") this.deny(id, "out");
    else this.settleSeats();
    this.waker.wake();
    this.announcer.announceSoon(c);
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
    this.announcer.announceNow(c);
    c.send({ kind: "deny", seat: m.seat, reason });
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
    const id = `${c.host}#${n}`;
    const now = this.deps.clock.mono();
    this.state.seats.recordFirstEvent(id, ms, now);
    this.state.admission.recordFirstEvent(id);
    this.state.changed();
    this.waker.wake();
    this.announcer.stateChanged();
  }

  /** Ends a seat that its entry daemon does not need any more; `stream` is the timing of its answer. */
  endSeat(
    c: announcer.Client,
    n: number,
    how: seatTable.SeatOutcome,
    stream?: seatMessages.StreamTiming,
  ): void {
    const id = `${c.host}#${n}`;
    const eventTokens = this.state.spec()?.batch?.eventTokens;
    if (stream && eventTokens !== undefined)
      this.state.admission.recordStream(id, stream, eventTokens, this.deps.clock.mono());
    this.removeSeat(id, how);
    if (how === "absent") this.probe.makeDue();
    this.waker.wake();
    this.announcer.stateChanged();
  }

  /** Number of seats asked for or granted. */
  seatCount(): number {
    return this.state.seats.count;
  }

  /** How full an engine with steady streams is, 1 if full; 0 for others. */
  crowding(): number {
    return this.state.snapshot().steady?.crowding ?? 0;
  }

  /** Removes a seat that ended, whether it was granted or not. */
  private removeSeat(id: string, how: seatTable.SeatOutcome): void {
    const s = this.state.seats.remove(id);
    this.forgetSeat(id);
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
  private forgetSeat(id: string): void {
    this.state.admission.remove(id);
    this.waitReasons.delete(id);
  }

  /** Number of teams that exceed their share of the engine while others ask. */
  overTeamCount(): number {
    return this.state.shares.overCount;
  }

  /** Grants the seats that the state allows, and denies the expired ones. */
  private settleSeats(): void {
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
    this.state.admission.grant(w.seat, now);
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
      instance: this.state.instance,
      waitedMs,
      ...(waitedFor && { waitedFor }),
    });
    this.announcer.stateChanged();
  }

  private deny(id: string, reason: seatMessages.DenyReason): void {
    const s = this.state.seats.remove(id);
    this.forgetSeat(id);
    this.state.set({ held: residency.removeWaiter(this.state.held, id) });
    if (!s) return;
    s.client.send({ kind: "deny", seat: s.seatNumber, reason });
    this.logDenied(s, reason, this.deps.clock.mono() - s.askedAt);
    this.announcer.stateChanged();
  }

  private denyAll(reason: seatMessages.DenyReason): void {
    for (const w of this.state.held.waiting) this.deny(w.seat, reason);
  }

  /** Milliseconds until the next poll or timeout, that is, how long to sleep unless something happens. */
  private idleMs(): number {
    const { held, now, options, prefill, admission } = this.state.snapshot();
    const timeoutMs = residency.nextTimeoutMs(held, now, options) ?? Infinity;
    const roomMs = residency.prefillRoomInMs(held, now, options, prefill, admission) ?? Infinity;
    const busyMs = this.orders.busyMs(now) || Infinity;
    return Math.max(1, Math.min(this.pollInMs(), timeoutMs, roomMs, busyMs));
  }

  /** Milliseconds until the next poll of the engine is due. */
  private pollInMs(): number {
    return this.probe.dueInMs(this.state.instance !== "", this.state.held, this.state.loadHistory);
  }

  /** Polls the engine and updates the state. */
  private async poll(): Promise<void> {
    const isKnown = this.state.instance !== "";
    const result = await this.probe.run(isKnown ? undefined : () => this.identify());
    switch (result.kind) {
      case "paused":
        this.deps.log.warn("The engine asks for a pause.", { forMs: result.forMs });
        return;
      case "missed":
        if (result.isOut) this.handleNoAnswer(result.why);
        return;
      case "report":
        this.handleReport(result);
    }
  }

  private handleReport({
    name,
    report,
    askedAt,
    answer,
  }: Extract<probe.ProbeResult, { kind: "report" }>): void {
    if (name !== undefined) this.engineFound(incarnation.idOf(name, report.born));
    const isRestarted = incarnation.startOf(this.state.instance) !== report.born;
    if (isRestarted || !this.orders.syncSequence(report.sequence)) {
      this.deps.log.warn("The engine restarted.", { instance: this.state.instance });
      this.engineLost();
      return;
    }
    this.deps.notices.observe(this.state.instance, answer);
    this.applyReport(report, askedAt);
  }

  /** Asks for the name of the worker that runs now. */
  private identify(): Promise<string> {
    const service = this.deps.catalog().config?.services.get(this.deps.service);
    if (!service) throw new Error(`the configuration has no service ${this.deps.service}`);
    return this.deps.engine.identify(service.healthPath);
  }

  /** Starts to manage an incarnation of the engine that was found. */
  private engineFound(instance: string): void {
    this.state.set({ instance });
    this.orders.reset();
    this.announcer.announceSoonToAll();
    this.deps.log.info("The engine answers.", { instance });
  }

  private handleNoAnswer(why: string): void {
    this.deps.log.warn("The engine does not answer.", { instance: this.state.instance, why });
    this.engineLost();
  }

  /** Resets the state of an engine that is out or was restarted, and denies all seats that wait for it. */
  private engineLost(): void {
    this.state.set({ instance: "" });
    this.orders.reset();
    this.state.set({ loadHistory: loadHistory.afterRestart(this.state.loadHistory) });
    const { newest, adapterPopularity, waiting } = this.state.held;
    this.state.set({ held: { ...residency.empty(), newest, adapterPopularity, waiting } });
    this.denyAll("out");
    this.announcer.announceSoonToAll();
  }

  /** Updates the state from a report that was requested at `askedAt`. */
  private applyReport(report: engine.Report, askedAt: number): void {
    const models = report.models.map((m) => m.name);
    const before = this.state.held;
    this.modelLoader.setLocalModels(report.localModels);
    const listed = engineView.listedAdapters(report);
    this.state.set({ held: residency.reconcile(before, models, listed, askedAt) });
    for (const { key, phaseSince } of residency.finishedLoads(before, this.state.held)) {
      this.state.set({
        loadHistory: loadHistory.recordLoad(this.state.loadHistory, key, askedAt - phaseSince),
      });
    }
    for (const key of before.slots.keys())
      if (!this.state.held.slots.has(key)) this.adapterLeft(key);
    this.announcer.stateChanged();
  }

  /** Records that an adapter is in no slot any more; the engine's host keeps it in memory for a while. */
  private adapterLeft(key: string): void {
    this.state.set({ loadHistory: loadHistory.recordHeld(this.state.loadHistory, key) });
    this.announcer.adapterLeft(key);
  }

  /** Carries out one action on the engine. */
  private async carryOut(a: residency.Action): Promise<void> {
    const now = this.deps.clock.mono();
    switch (a.kind) {
      case "grant":
      case "expire":
      case "wait":
        return;
      case "close":
        this.state.set({
          held: residency.putSlot(this.state.held, {
            ...a.slot,
            phase: "closing",
            phaseSince: now,
          }),
        });
        this.deps.log.info("An adapter in use is closed to new requests.", {
          adapter: a.slot.key,
          pins: a.slot.pins,
        });
        return;
      case "load": {
        const { model, adapter, version } = a;
        this.state.set({ held: residency.startLoad(this.state.held, a, now) });
        await this.sendOrder({ kind: "load", model, adapter, version });
        return;
      }
      case "unload":
        this.state.set({
          held: residency.putSlot(this.state.held, { ...a.slot, phase: "unsure", phaseSince: now }),
        });
        await this.sendOrder({ kind: "unload", model: a.slot.model, adapter: a.slot.adapter });
        return;
    }
  }

  /** Sends one order, and records its result or polls the engine for it. */
  private async sendOrder(o: orderSender.Change): Promise<void> {
    const { sequence } = this.orders;
    const { fencingNumber } = this.deps.catalog().position;
    const result = await this.orders.send(o, this.state.instance, fencingNumber);
    if (result.kind === "moved") {
      this.engineLost();
      return;
    }
    if (result.kind !== "accepted" || o.adapter === undefined) {
      await this.poll();
      if (result.kind === "conflict") this.orders.recordConflict(sequence);
      return;
    }
    const key = catalog.adapterKey(o.model, o.adapter);
    if (o.kind === "load") {
      this.state.set({ held: residency.acceptLoad(this.state.held, key) });
      if (result.done) await this.poll();
      else this.orders.recordAccepted();
      return;
    }
    // A slot counts as empty only when a report shows it: the engine may still run a request that its
    // caller abandoned.
    await this.poll();
  }

  /** Orders the base model for an engine that has none; returns whether an order was sent. */
  private async loadModel(): Promise<boolean> {
    const wanted = this.modelLoader.modelToLoad(
      this.state.spec(),
      this.state.held.models,
      this.deps.clock.mono(),
    );
    if (!wanted) return false;
    if (this.modelLoader.needsTurn(wanted) && !(await this.deps.modelTurn())) return false;
    this.modelLoader.recordLoadOrder(this.deps.clock.mono());
    await this.sendOrder({ kind: "load", model: wanted.name });
    return true;
  }
}
