/**
 * Manages the engine on the endpoint daemon's host: polls it, and has its seats granted to entry daemons and orders sent
 * to it.
 * @module
 */
import type * as clock from "../host/clock.js";
import type * as structuredLog from "../host/structured-log.js";
import * as waker from "../host/waker.js";
import * as announcer from "./announcer.js";
import type * as catalog from "./catalog.js";
import type * as engine from "./engine.js";
import * as incarnation from "./incarnation.js";
import type * as seatTable from "./seat-table.js";
import * as engineOrders from "./engine-orders.js";
import * as engineState from "./engine-state.js";
import * as engineView from "./engine-view.js";
import * as probe from "./probe.js";
import type * as noticeRelay from "./notice-relay.js";
import * as residency from "./residency.js";
import * as seatAdmission from "./seat-admission.js";
import * as slotReports from "./slot-reports.js";
import type * as seatMessages from "./seat-messages.js";
import * as loadHistory from "./load-history.js";
import type * as fairShares from "./sharing/fair-shares.js";
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
  private readonly announcer: announcer.Announcer;
  private readonly seats: seatAdmission.SeatAdmission;
  private readonly orders: engineOrders.EngineOrders;
  private readonly probe: probe.Probe;
  private readonly waker: waker.Waker;
  /** The latest state message, and the snapshot that it was built from. */
  private announced:
    { readonly at: engineState.Snapshot; readonly message: seatMessages.State } | undefined;
  /** The declared versions that were taken over last. */
  private versions: catalog.Catalog["versions"] | undefined;
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
    this.announcer = new announcer.Announcer(
      deps.clock,
      (silenceMs) => this.stateMessage(silenceMs),
      () => engineView.holdingsMessage(this.state.held, this.state.loadHistory.reach),
      () => loadHistory.warmAdapters(this.state.loadHistory),
      () => deps.catalog().config?.version,
    );
    this.seats = new seatAdmission.SeatAdmission({
      clock: deps.clock,
      log: deps.log,
      state: this.state,
      announcer: this.announcer,
      isLeaving: () => this.isLeaving(),
    });
    this.orders = new engineOrders.EngineOrders({
      clock: deps.clock,
      log: deps.log,
      engine: deps.engine,
      state: this.state,
      fencingNumber: () => deps.catalog().position.fencingNumber,
      modelTurn: deps.modelTurn,
      poll: () => this.poll(),
      onLost: () => {
        this.engineLost();
      },
    });
  }

  /** The state message; built once for a snapshot and a number of entry daemons, which `silenceMs` depends on. */
  private stateMessage(silenceMs: number): seatMessages.State {
    const at = this.state.snapshot();
    const entries = this.announcer.clientCount();
    if (this.announced?.at !== at || this.announced.message.entries !== entries)
      this.announced = { at, message: engineView.stateMessage(at, entries, silenceMs) };
    return this.announced.message;
  }

  /** Polls the engine, grants seats and sends orders until {@link stop} is called. */
  async run(): Promise<void> {
    while (!this.stopped) {
      if (this.pollInMs() === 0) await this.poll();
      if (this.state.instance === "") {
        this.seats.denyAll("out");
        await this.waker.pause(this.probe.retryMs);
        continue;
      }
      if (this.isLeaving()) {
        this.seats.denyAll("leaving");
        await this.waker.pause(this.idleMs());
        continue;
      }
      this.seats.settle();
      if (!(await this.orders.sendNext())) await this.waker.pause(this.idleMs());
    }
  }

  /** Stops {@link run} and the announcements. */
  stop(): void {
    this.stopped = true;
    this.announcer.close();
    this.waker.wake();
  }

  /** Takes over declared versions after the catalog changed. */
  catalogChanged(): void {
    const { versions } = this.deps.catalog();
    if (versions !== this.versions) {
      this.versions = versions;
      const now = this.deps.clock.mono();
      this.state.set({ held: residency.declareVersions(this.state.held, versions, now) });
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
    this.seats.endAll(c);
    this.announcer.leave(c);
  }

  /** Handles a request for a seat. */
  ask(c: announcer.Client, m: seatMessages.Ask): void {
    if (!this.seats.ask(c, m)) return;
    this.waker.wake();
    this.announcer.announceSoon(c);
  }

  /** Records that the first event of a run came, `ms` after its request was sent. */
  recordFirstEvent(c: announcer.Client, n: number, ms: number): void {
    this.seats.recordFirstEvent(c, n, ms);
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
    this.seats.end(c, n, how, stream);
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

  /** Number of teams that exceed their share of the engine while others ask. */
  overTeamCount(): number {
    return this.state.shares.overCount;
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
    const service = this.state.service();
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
    this.seats.denyAll("out");
    this.announcer.announceSoonToAll();
  }

  /** Updates the state from a report that was requested at `askedAt`. */
  private applyReport(report: engine.Report, askedAt: number): void {
    const models = report.models.map((m) => m.name);
    const before = this.state.held;
    this.orders.setLocalModels(report.localModels);
    const listed = engineView.listedAdapters(report);
    this.state.set({ held: slotReports.reconcile(before, models, listed, askedAt) });
    for (const { key, phaseSince } of slotReports.finishedLoads(before, this.state.held)) {
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
}
