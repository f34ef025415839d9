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
import * as engineView from "./engine-view.js";
import * as probe from "./probe.js";
import * as prefillSpeed from "./prefill-speed.js";
import type * as noticeRelay from "./notice-relay.js";
import * as orderSender from "./order-sender.js";
import * as residency from "./residency.js";
import type * as seatMessages from "./seat-messages.js";
import * as slotOptions from "./slot-options.js";
import * as seatQueue from "./seat-queue.js";
import * as loadHistory from "./load-history.js";
import * as steady from "./pacing/steady.js";
import * as steadyAdmission from "./pacing/steady-admission.js";
import * as fairShares from "./sharing/fair-shares.js";
import * as teamShares from "./sharing/team-shares.js";

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
  private state = residency.empty();
  private readonly seatTable = new seatTable.SeatTable();
  private readonly steadyAdmission = new steadyAdmission.SteadyAdmission();
  /** Why the requests that wait for a seat waited when last decided, by seat; only with steady streams. */
  private readonly waitReasons = new Map<string, residency.WaitReason>();
  private readonly announcer: announcer.Announcer;
  private loadHistory = loadHistory.INITIAL;
  private readonly modelLoader = new baseModelLoader.BaseModelLoader();
  /** Incarnation of the engine; empty while it is out or not yet known. */
  private instance = "";
  private readonly orders: orderSender.OrderSender;
  private readonly probe: probe.Probe;
  private readonly waker: waker.Waker;
  private readonly shares: teamShares.TeamShares;
  private stopped = false;

  constructor(private readonly deps: Deps) {
    this.waker = new waker.Waker(deps.clock);
    this.probe = new probe.Probe(deps.clock, deps.engine);
    this.shares = new teamShares.TeamShares({
      log: deps.log,
      config: () => deps.catalog().config,
      weights: deps.teamWeights ?? new Map(),
      onGrant: deps.onGrant ?? (() => undefined),
    });
    this.orders = new orderSender.OrderSender(deps.clock, deps.log, deps.engine);
    this.announcer = new announcer.Announcer(
      deps.clock,
      (silenceMs) =>
        engineView.stateMessage(
          this.view(deps.clock.mono()),
          this.announcer.clientCount(),
          silenceMs,
        ),
      () => engineView.holdingsMessage(this.state, this.loadHistory.reach),
      () => loadHistory.warmAdapters(this.loadHistory),
    );
  }

  /** Polls the engine, grants seats and sends orders until {@link stop} is called. */
  async run(): Promise<void> {
    while (!this.stopped) {
      if (this.pollInMs() === 0) await this.poll();
      if (this.instance === "") {
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
    const now = this.deps.clock.mono();
    if (this.orders.busyMs(now) > 0) return undefined;
    return residency.nextOrder(this.state, now, this.options());
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
      this.state = residency.declareVersion(this.state, key, version, now);
    }
    this.waker.wake();
  }

  /** Reacts to a change of what workers have announced. */
  noticesChanged(): void {
    this.waker.wake();
  }

  /** Whether the worker has announced that it leaves. */
  private isLeaving(): boolean {
    return this.deps.notices.isLeaving(this.instance);
  }

  /** Adds an entry daemon's connection. */
  join(c: announcer.Client): void {
    this.announcer.join(c);
  }

  /** Removes a connection that closed, and ends its seats. */
  leave(c: announcer.Client): void {
    for (const id of this.seatTable.idsOf(c)) this.removeSeat(id, "left");
    this.announcer.leave(c);
  }

  /** Handles a request for a seat. */
  ask(c: announcer.Client, m: seatMessages.Ask): void {
    const now = this.deps.clock.mono();
    const key = m.adapter === undefined ? m.model : catalog.adapterKey(m.model, m.adapter);
    const id = `${c.host}#${m.seat}`;
    if (m.version > 0) this.state = residency.declareVersion(this.state, key, m.version, now);
    const ownMs = prefillSpeed.firstEventMs(this.seatTable.speed, m.promptTokens);
    if (this.isLeaving()) {
      this.denyAtOnce(c, m, key, "leaving");
      return;
    }
    if (!m.firm && this.instance !== "" && this.isDiverted(m, key, ownMs, now)) {
      this.denyAtOnce(c, m, key, "busy");
      return;
    }
    const waiter = seatQueue.waiterFor(id, key, m, ownMs, now);
    // A request that will be late in any case yields to others, so it gets the last rank and adds to
    // nobody's wait.
    const rank = seatQueue.isLate(waiter, now) ? backlog.RANK_COUNT : m.rank;
    this.seatTable.add(id, seatTable.newSeat(c, key, m, now), m.promptTokens, rank);
    this.steadyAdmission.add(id, m, rank);
    this.state = residency.addWaiter(this.state, waiter, now);
    if (this.instance === "") this.deny(id, "out");
    else this.settleSeats();
    this.waker.wake();
    this.announcer.announceSoon(c);
  }

  /** Whether a request should go to another engine, as it would be late here because of the wait. */
  private isDiverted(m: seatMessages.Ask, key: string, ownMs: number, now: number): boolean {
    const isHeld = m.adapter === undefined || this.state.slots.has(key);
    const waitMs = engineView.waitMs(this.view(now), m.rank, isHeld, m.team);
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
    const overShare = this.standing(this.deps.clock.mono())?.over.has(team ?? fairShares.NO_TEAM);
    const shares = overShare === undefined ? {} : { team, overShare };
    this.deps.log.info("A seat was denied.", { request, adapter, reason, waitedMs, ...shares });
  }

  /** Records that the first event of a run came, `ms` after its request was sent. */
  recordFirstEvent(c: announcer.Client, n: number, ms: number): void {
    const id = `${c.host}#${n}`;
    const now = this.deps.clock.mono();
    this.seatTable.recordFirstEvent(id, ms, now);
    this.steadyAdmission.recordFirstEvent(id, now);
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
    const eventTokens = this.spec()?.batch?.eventTokens;
    if (stream && eventTokens !== undefined)
      this.steadyAdmission.recordStream(id, stream, eventTokens, this.deps.clock.mono());
    this.removeSeat(id, how);
    if (how === "absent") this.probe.makeDue();
    this.waker.wake();
    this.announcer.stateChanged();
  }

  /** Number of seats asked for or granted. */
  seatCount(): number {
    return this.seatTable.count;
  }

  /** How full an engine with steady streams is, 1 if full; 0 for others. */
  crowding(): number {
    return this.steadyView(this.deps.clock.mono(), undefined)?.crowding ?? 0;
  }

  /** Removes a seat that ended, whether it was granted or not. */
  private removeSeat(id: string, how: seatTable.SeatOutcome): void {
    const s = this.seatTable.remove(id);
    this.forgetSeat(id);
    if (!s) return;
    if (s.grantedAt === undefined) {
      this.state = residency.removeWaiter(this.state, id);
      return;
    }
    this.state = residency.addPin(this.state, s.key, -1);
    this.seatTable.recordEnd(s, how, this.deps.clock.mono());
  }

  /** Removes an ended or denied seat from the admission control. */
  private forgetSeat(id: string): void {
    this.steadyAdmission.remove(id);
    this.waitReasons.delete(id);
  }

  /** Number of teams that exceed their share of the engine while others ask. */
  overTeamCount(): number {
    return this.shares.overCount;
  }

  /** How the teams stand; undefined without steady streams, as there is no limited room to share then. */
  private standing(now: number): fairShares.Standing | undefined {
    if (!this.steadyEngine(now)) return undefined;
    return this.shares.standing(this.state.waiting, now);
  }

  private options(): residency.Options {
    const overTeams = this.standing(this.deps.clock.mono())?.over;
    const opts = slotOptions.optionsFor(this.spec(), this.loadHistory, this.deps.versionMs);
    return { ...opts, overTeams };
  }

  private spec(): catalog.EngineSpec | undefined {
    return this.deps.catalog().config?.services.get(this.deps.service)?.engine;
  }

  /** Grants the seats that the state allows, and denies the expired ones. */
  private settleSeats(): void {
    const now = this.deps.clock.mono();
    this.shares.logChanges(this.standing(now), now);
    const actions = residency.seatActions(
      this.state,
      now,
      this.options(),
      this.prefillLoad(now),
      this.admission(now),
    );
    for (const a of actions) {
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
  }

  private grant(w: seatQueue.Waiter, version: number | undefined): void {
    const now = this.deps.clock.mono();
    const waitedFor = this.waitReasons.get(w.seat);
    this.waitReasons.delete(w.seat);
    this.steadyAdmission.grant(w.seat, now);
    const s = this.seatTable.grant(w.seat, now);
    this.state = residency.removeWaiter(this.state, w.seat);
    if (!s) return;
    this.shares.recordGrant(w, now);
    this.state = residency.addPin(this.state, w.key, 1);
    s.client.send({ kind: "grant", seat: s.seatNumber, instance: this.instance, version });
    const waitedMs = now - s.askedAt;
    this.deps.log.info("A seat was granted.", {
      request: s.request,
      adapter: w.key,
      version,
      instance: this.instance,
      waitedMs,
      ...(waitedFor && { waitedFor }),
    });
    this.announcer.stateChanged();
  }

  private deny(id: string, reason: seatMessages.DenyReason): void {
    const s = this.seatTable.remove(id);
    this.forgetSeat(id);
    this.state = residency.removeWaiter(this.state, id);
    if (!s) return;
    s.client.send({ kind: "deny", seat: s.seatNumber, reason });
    this.logDenied(s, reason, this.deps.clock.mono() - s.askedAt);
    this.announcer.stateChanged();
  }

  private denyAll(reason: seatMessages.DenyReason): void {
    for (const w of this.state.waiting) this.deny(w.seat, reason);
  }

  /** Milliseconds until the next poll or timeout, that is, how long to sleep unless something happens. */
  private idleMs(): number {
    const now = this.deps.clock.mono();
    const timeoutMs = residency.nextTimeoutMs(this.state, now, this.options()) ?? Infinity;
    const roomMs =
      residency.prefillRoomInMs(
        this.state,
        now,
        this.options(),
        this.prefillLoad(now),
        this.admission(now),
      ) ?? Infinity;
    const busyMs = this.orders.busyMs(now) || Infinity;
    return Math.max(1, Math.min(this.pollInMs(), timeoutMs, roomMs, busyMs));
  }

  /** The engine as its admission control sees it; undefined without steady streams. */
  private steadyEngine(now: number): steadyAdmission.EngineAt | undefined {
    const { config } = this.deps.catalog();
    const service = config?.services.get(this.deps.service);
    const batch = service?.engine?.batch;
    if (!config || !batch || !steady.isSteady(config, service)) return undefined;
    return { batch, holdMs: this.seatTable.holdMs, now };
  }

  private admission(now: number): residency.Admission | undefined {
    const at = this.steadyEngine(now);
    return at && this.steadyAdmission.admission(at);
  }

  private steadyView(
    now: number,
    standing: fairShares.Standing | undefined,
  ): engineView.SteadyView | undefined {
    const at = this.steadyEngine(now);
    if (!at) return undefined;
    return {
      waitsByRank: this.steadyAdmission.waitsByRank(at),
      fairWaitsByRank: this.steadyAdmission.waitsByRank(at, standing?.over),
      crowding: this.steadyAdmission.crowding(at),
      lateStreams: this.steadyAdmission.lateStreams(now),
    };
  }

  private prefillLoad(now: number): residency.PrefillLoad {
    return { ms: this.seatTable.prefillMs(now), unstarted: this.seatTable.unstarted(now) };
  }

  /** Milliseconds until the next poll of the engine is due. */
  private pollInMs(): number {
    return this.probe.dueInMs(this.instance !== "", this.state, this.loadHistory);
  }

  /** Polls the engine and updates the state. */
  private async poll(): Promise<void> {
    const isKnown = this.instance !== "";
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
    const isRestarted = incarnation.startOf(this.instance) !== report.born;
    if (isRestarted || !this.orders.syncSequence(report.sequence)) {
      this.deps.log.warn("The engine restarted.", { instance: this.instance });
      this.engineLost();
      return;
    }
    this.deps.notices.observe(this.instance, answer);
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
    this.instance = instance;
    this.orders.reset();
    this.announcer.announceSoonToAll();
    this.deps.log.info("The engine answers.", { instance });
  }

  private handleNoAnswer(why: string): void {
    this.deps.log.warn("The engine does not answer.", { instance: this.instance, why });
    this.engineLost();
  }

  /** Resets the state of an engine that is out or was restarted, and denies all seats that wait for it. */
  private engineLost(): void {
    this.instance = "";
    this.orders.reset();
    this.loadHistory = loadHistory.afterRestart(this.loadHistory);
    const { newest, adapterPopularity, waiting } = this.state;
    this.state = { ...residency.empty(), newest, adapterPopularity, waiting };
    this.denyAll("out");
    this.announcer.announceSoonToAll();
  }

  /** Updates the state from a report that was requested at `askedAt`. */
  private applyReport(report: engine.Report, askedAt: number): void {
    const models = report.models.map((m) => m.name);
    const before = this.state;
    this.modelLoader.setLocalModels(report.localModels);
    this.state = residency.reconcile(
      this.state,
      models,
      engineView.listedAdapters(report),
      askedAt,
    );
    for (const { key, phaseSince } of residency.finishedLoads(before, this.state)) {
      this.loadHistory = loadHistory.recordLoad(this.loadHistory, key, askedAt - phaseSince);
    }
    for (const key of before.slots.keys()) if (!this.state.slots.has(key)) this.adapterLeft(key);
    this.announcer.stateChanged();
  }

  /** Records that an adapter is in no slot any more; the engine's host keeps it in memory for a while. */
  private adapterLeft(key: string): void {
    this.loadHistory = loadHistory.recordHeld(this.loadHistory, key);
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
        this.state = residency.putSlot(this.state, {
          ...a.slot,
          phase: "closing",
          phaseSince: now,
        });
        this.deps.log.info("An adapter in use is closed to new requests.", {
          adapter: a.slot.key,
          pins: a.slot.pins,
        });
        return;
      case "load": {
        const { model, adapter, version } = a;
        this.state = residency.startLoad(this.state, a, now);
        await this.sendOrder({ kind: "load", model, adapter, version });
        return;
      }
      case "unload":
        this.state = residency.putSlot(this.state, { ...a.slot, phase: "unsure", phaseSince: now });
        await this.sendOrder({ kind: "unload", model: a.slot.model, adapter: a.slot.adapter });
        return;
    }
  }

  /** Sends one order, and records its result or polls the engine for it. */
  private async sendOrder(o: orderSender.Change): Promise<void> {
    const { sequence } = this.orders;
    const { fencingNumber } = this.deps.catalog().position;
    const result = await this.orders.send(o, this.instance, fencingNumber);
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
      this.state = residency.acceptLoad(this.state, key);
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
      this.spec(),
      this.state.models,
      this.deps.clock.mono(),
    );
    if (!wanted) return false;
    if (this.modelLoader.needsTurn(wanted) && !(await this.deps.modelTurn())) return false;
    this.modelLoader.recordLoadOrder(this.deps.clock.mono());
    await this.sendOrder({ kind: "load", model: wanted.name });
    return true;
  }

  private view(now: number): engineView.EngineView {
    const { instance, seatTable: seats, state: held, loadHistory } = this;
    const { slots } = this.options();
    const standing = this.standing(now);
    const steadyNow = this.steadyView(now, standing);
    return { instance, seats, held, loadHistory, slots, steady: steadyNow, standing, now };
  }
}
