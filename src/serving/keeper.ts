/**
 * The task of an endpoint daemon: it alone orders what the engine beside it holds, and gives seats
 * on it to entry daemons. One order is under way at a time, each bound to the engine's incarnation
 * and to the count of orders that the daemon last read, so that an order that is carried out late
 * changes nothing that was decided since.
 * @module
 */
import type * as clock from "../host/clock.js";
import type * as record from "../host/record.js";
import * as waker from "../host/waker.js";
import * as announcer from "./announcer.js";
import * as backlog from "./backlog.js";
import * as baseModel from "./base-model.js";
import * as catalog from "./catalog.js";
import * as diversion from "./diversion.js";
import type * as engine from "./engine.js";
import * as incarnation from "./incarnation.js";
import * as ledger from "./ledger.js";
import * as listing from "./listing.js";
import * as probe from "./probe.js";
import * as reading from "./reading.js";
import type * as noticeRelay from "./notice-relay.js";
import * as orders from "./orders.js";
import * as residency from "./residency.js";
import type * as seat from "./seat.js";
import * as slotOptions from "./slot-options.js";
import * as waiting from "./waiting.js";
import * as warmth from "./warmth.js";

export interface Deps {
  readonly clock: clock.Clock;
  readonly log: record.Log;
  readonly engine: engine.Engine;
  /** What this host knows of the configuration. */
  readonly catalog: () => catalog.Catalog;
  /** Name of the service that the engine belongs to. */
  readonly service: string;
  /** Milliseconds after which a declared version must be the only one in use. */
  readonly versionMs: number;
  /** Waits for a turn to load a base model from the weight store; false when none is to be had. */
  readonly modelTurn: () => Promise<boolean>;
  /** What is known of workers by what they say. */
  readonly notices: Pick<noticeRelay.NoticeRelay, "isLeaving" | "observe">;
}

export class Keeper {
  private state = residency.empty();
  private readonly ledger = new ledger.Ledger();
  private readonly news: announcer.Announcer;
  private warmth = warmth.UNKNOWN;
  private readonly model = new baseModel.BaseModel();
  private instance = "";
  private readonly orders: orders.Orders;
  private readonly probe: probe.Probe;
  private readonly waker: waker.Waker;
  private stopped = false;

  constructor(private readonly deps: Deps) {
    this.waker = new waker.Waker(deps.clock);
    this.probe = new probe.Probe(deps.clock, deps.engine);
    this.orders = new orders.Orders(deps.clock, deps.log, deps.engine);
    this.news = new announcer.Announcer(
      deps.clock,
      (silenceMs) => listing.state(this.known(deps.clock.mono()), this.news.count(), silenceMs),
      () => listing.holdings(this.state, this.warmth.reach),
      () => warmth.warm(this.warmth),
    );
  }

  /** Looks after the engine until {@link stop}. */
  async run(): Promise<void> {
    while (!this.stopped) {
      if (this.lookInMs() === 0) await this.look();
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
      this.settle();
      const next = this.nextOrder();
      if (next) await this.carryOut(next);
      else if (!(await this.loadModel())) await this.waker.pause(this.idleMs());
    }
  }

  private nextOrder(): residency.Action | undefined {
    const now = this.deps.clock.mono();
    if (this.orders.busyMs(now) > 0) return undefined;
    return residency.order(this.state, now, this.options());
  }

  stop(): void {
    this.stopped = true;
    this.news.close();
    this.waker.wake();
  }

  /** The catalog changed. */
  heard(): void {
    const now = this.deps.clock.mono();
    for (const [key, version] of this.deps.catalog().versions) {
      this.state = residency.declare(this.state, key, version, now);
    }
    this.waker.wake();
  }

  /** What is known of workers by what they say has changed. */
  noticed(): void {
    this.waker.wake();
  }

  private isLeaving(): boolean {
    return this.deps.notices.isLeaving(this.instance);
  }

  join(c: announcer.Client): void {
    this.news.join(c);
  }

  /** A connection is over; its seats are, too. */
  leave(c: announcer.Client): void {
    for (const id of this.ledger.of(c)) this.over(id, "left");
    this.news.leave(c);
  }

  ask(c: announcer.Client, m: seat.Ask): void {
    const now = this.deps.clock.mono();
    const key = m.adapter === undefined ? m.model : catalog.adapterKey(m.model, m.adapter);
    const id = `${c.host}#${m.seat}`;
    if (m.version > 0) this.state = residency.declare(this.state, key, m.version, now);
    const ownMs = reading.expectedMs(this.ledger.reading, m.promptTokens);
    if (this.isLeaving()) {
      this.sendBack(c, m, key, "leaving");
      return;
    }
    if (!m.firm && this.instance !== "" && this.isDiverted(m, key, ownMs, now)) {
      this.sendBack(c, m, key, "busy");
      return;
    }
    const waiter = waiting.from(id, key, m, ownMs, now);
    // What will be late whatever is done gives way, so nobody waits for it.
    const place = waiting.isLate(waiter, now) ? backlog.RANKS : m.rank;
    this.ledger.ask(id, ledger.asked(c, key, m, now), m.promptTokens, place);
    this.state = residency.ask(this.state, waiter, now);
    if (this.instance === "") this.deny(id, "out");
    else this.settle();
    this.waker.wake();
    this.news.asked(c);
  }

  private isDiverted(m: seat.Ask, key: string, ownMs: number, now: number): boolean {
    const isHeld = m.adapter === undefined || this.state.slots.has(key);
    const waitMs = listing.waitMs(this.known(now), m.rank, isHeld);
    return diversion.isDiverted({ waitMs, ownMs, targetMs: m.targetMs });
  }

  /** Sends a request back at once, with what is to be known to find a better engine. */
  private sendBack(c: announcer.Client, m: seat.Ask, adapter: string, reason: seat.Deny): void {
    this.news.tell(c);
    c.send({ kind: "deny", seat: m.seat, reason });
    this.tellDenied(m.request, adapter, reason, 0);
  }

  private tellDenied(request: string, adapter: string, reason: seat.Deny, waitedMs: number): void {
    this.deps.log.info("A seat was denied.", { request, adapter, reason, waitedMs });
  }

  began(c: announcer.Client, n: number, ms: number): void {
    this.ledger.began(`${c.host}#${n}`, ms, this.deps.clock.mono());
    this.waker.wake();
    this.news.changed();
  }

  /** A seat is not needed any more. */
  end(c: announcer.Client, n: number, how: ledger.End): void {
    this.over(`${c.host}#${n}`, how);
    if (how === "absent") this.probe.hurry();
    this.waker.wake();
    this.news.changed();
  }

  /** Seats given or asked for. */
  count(): number {
    return this.ledger.count;
  }

  private over(id: string, how: ledger.End): void {
    const s = this.ledger.remove(id);
    if (!s) return;
    if (s.givenAt === undefined) {
      this.state = residency.answered(this.state, id);
      return;
    }
    this.state = residency.pin(this.state, s.key, -1);
    this.ledger.learn(s, how, this.deps.clock.mono());
  }

  private options(): residency.Options {
    return slotOptions.of(this.spec(), this.warmth, this.deps.versionMs);
  }

  private spec(): catalog.EngineSpec | undefined {
    return this.deps.catalog().config?.services.get(this.deps.service)?.engine;
  }

  /** Gives and takes back seats as the state allows. */
  private settle(): void {
    const now = this.deps.clock.mono();
    for (const a of residency.seats(this.state, now, this.options(), this.reading(now))) {
      switch (a.kind) {
        case "grant":
          this.grant(a.waiter, a.version);
          break;
        case "expire":
          this.deny(a.waiter.seat, "full");
          break;
        case "load":
        case "unload":
        case "close":
          break;
      }
    }
  }

  private grant(w: waiting.Waiter, version: number | undefined): void {
    const now = this.deps.clock.mono();
    const s = this.ledger.give(w.seat, now);
    this.state = residency.answered(this.state, w.seat);
    if (!s) return;
    this.state = residency.pin(this.state, w.key, 1);
    s.client.send({ kind: "grant", seat: s.n, instance: this.instance, version });
    const waitedMs = now - s.askedAt;
    this.deps.log.info("A seat was given.", {
      request: s.request,
      adapter: w.key,
      version,
      instance: this.instance,
      waitedMs,
    });
    this.news.changed();
  }

  private deny(id: string, reason: seat.Deny): void {
    const s = this.ledger.remove(id);
    this.state = residency.answered(this.state, id);
    if (!s) return;
    s.client.send({ kind: "deny", seat: s.n, reason });
    this.tellDenied(s.request, s.key, reason, this.deps.clock.mono() - s.askedAt);
    this.news.changed();
  }

  private denyAll(reason: seat.Deny): void {
    for (const w of this.state.waiting) this.deny(w.seat, reason);
  }

  /** Milliseconds until something may have to be done though nothing happens. */
  private idleMs(): number {
    const now = this.deps.clock.mono();
    const timed = residency.wakeIn(this.state, now, this.options()) ?? Infinity;
    const read = residency.readIn(this.state, now, this.options(), this.reading(now)) ?? Infinity;
    const busy = this.orders.busyMs(now) || Infinity;
    return Math.max(1, Math.min(this.lookInMs(), timed, read, busy));
  }

  private reading(now: number): residency.Reading {
    return { ms: this.ledger.readingMs(now), unbegun: this.ledger.unbegun(now) };
  }

  private lookInMs(): number {
    return this.probe.dueInMs(this.instance !== "", this.state, this.warmth);
  }

  /** Reads what the engine holds. */
  private async look(): Promise<void> {
    const isKnown = this.instance !== "";
    const found = await this.probe.ask(isKnown ? undefined : () => this.identify());
    switch (found.kind) {
      case "paused":
        this.deps.log.warn("The engine asks for a pause.", { forMs: found.forMs });
        return;
      case "missed":
        if (found.isOut) this.missed(found.why);
        return;
      case "report":
        this.read(found);
    }
  }

  private read({
    name,
    report,
    askedAt,
    answer,
  }: Extract<probe.Finding, { kind: "report" }>): void {
    if (name !== undefined) this.meet(incarnation.idOf(name, report.born));
    const isOther = incarnation.bornOf(this.instance) !== report.born;
    if (isOther || !this.orders.heard(report.sequence)) {
      this.deps.log.warn("The engine started anew.", { instance: this.instance });
      this.lost();
      return;
    }
    this.deps.notices.observe(this.instance, answer);
    this.learn(report, askedAt);
  }

  /** Asks which worker is there. */
  private identify(): Promise<string> {
    const service = this.deps.catalog().config?.services.get(this.deps.service);
    if (!service) throw new Error(`the configuration has no service ${this.deps.service}`);
    return this.deps.engine.identify(service.healthPath);
  }

  /** An incarnation of the engine is there. */
  private meet(instance: string): void {
    this.instance = instance;
    this.orders.reset();
    this.news.changedMuch();
    this.deps.log.info("The engine answers.", { instance });
  }

  private missed(why: string): void {
    this.deps.log.warn("The engine does not answer.", { instance: this.instance, why });
    this.lost();
  }

  /** What the engine holds is not known any more. */
  private lost(): void {
    this.instance = "";
    this.orders.reset();
    this.warmth = warmth.emptied(this.warmth);
    const { newest, heat, waiting } = this.state;
    this.state = { ...residency.empty(), newest, heat, waiting };
    this.denyAll("out");
    this.news.changedMuch();
  }

  private learn(report: engine.Report, askedAt: number): void {
    const models = report.models.map((m) => m.name);
    const before = this.state;
    this.model.heard(report.nearby);
    this.state = residency.reconcile(this.state, models, listing.adapters(report), askedAt);
    for (const { key, since } of residency.loaded(before, this.state)) {
      this.warmth = warmth.loaded(this.warmth, key, askedAt - since);
    }
    for (const key of before.slots.keys()) if (!this.state.slots.has(key)) this.left(key);
    this.news.changed();
  }

  /** An adapter is in its place no more; the engine's host keeps it in memory for a while. */
  private left(key: string): void {
    this.warmth = warmth.held(this.warmth, key);
    this.news.departed(key);
  }

  private async carryOut(a: residency.Action): Promise<void> {
    const now = this.deps.clock.mono();
    switch (a.kind) {
      case "grant":
      case "expire":
        return;
      case "close":
        this.state = residency.put(this.state, { ...a.slot, phase: "closing", since: now });
        this.deps.log.info("An adapter in use is given out no more.", {
          adapter: a.slot.key,
          pins: a.slot.pins,
        });
        return;
      case "load": {
        const { model, adapter, version } = a;
        this.state = residency.loading(this.state, a, now);
        await this.give({ kind: "load", model, adapter, version });
        return;
      }
      case "unload":
        this.state = residency.put(this.state, { ...a.slot, phase: "unsure", since: now });
        await this.give({ kind: "unload", model: a.slot.model, adapter: a.slot.adapter });
        return;
    }
  }

  /** Gives one order, and notes or reads what came of it. */
  private async give(o: orders.Change): Promise<void> {
    const { count } = this.orders;
    const result = await this.orders.give(o, this.instance, this.deps.catalog().revision);
    if (result.kind === "moved") {
      this.lost();
      return;
    }
    if (result.kind !== "accepted" || o.adapter === undefined) {
      await this.look();
      if (result.kind === "conflict") this.orders.refused(count);
      return;
    }
    const key = catalog.adapterKey(o.model, o.adapter);
    if (o.kind === "load") {
      this.state = residency.accepted(this.state, key);
      if (result.done) await this.look();
      else this.orders.taken();
      return;
    }
    // A place counts as empty only once the engine says so: it may still run what its caller has left.
    await this.look();
  }

  /** Loads the base model into an engine that has none; whether an order was given. */
  private async loadModel(): Promise<boolean> {
    const wanted = this.model.wanted(this.spec(), this.state.models, this.deps.clock.mono());
    if (!wanted) return false;
    if (this.model.needsTurn(wanted) && !(await this.deps.modelTurn())) return false;
    this.model.asked(this.deps.clock.mono());
    await this.give({ kind: "load", model: wanted.name });
    return true;
  }

  private known(now: number): listing.Known {
    const { instance, ledger: seats, state: held, warmth } = this;
    return { instance, seats, held, warmth, slots: this.options().slots, now };
  }
}
