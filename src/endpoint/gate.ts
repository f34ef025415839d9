/**
 * The last gate before an engine or service. This task alone gives the engine orders; it owns what
 * is loaded, what waits and what runs, and carries out the plan.
 * @module
 */
import type * as clock from "../host/clock.js";
import * as log from "../host/log.js";
import * as metrics from "../host/metrics.js";
import type * as control from "../link/control.js";
import type * as wire from "../link/wire.js";
import * as outcome from "../request/outcome.js";
import type * as engine from "./engine.js";
import * as life from "./life.js";
import * as plan from "./plan.js";
import * as register from "./register.js";
import * as slot from "./slot.js";

/** The deployment's turn at the weight store. */
export interface Turn {
  readonly ask: (target: string, score: number) => Promise<control.TurnAnswer>;
  readonly end: () => void;
}

/** This daemon's hold on the engine. */
export interface Hold {
  /** Fencing number for orders; 0 when none was ever had. */
  readonly fence: () => number;
  /** Whether the daemon that lived as `epoch` handed over and gives no more orders. */
  readonly trusts: (epoch: string) => boolean;
  /** Whether another daemon took the engine. */
  readonly lost: () => boolean;
}

export interface Options {
  readonly name: string;
  /** Unlike that of any other start of any daemon. */
  readonly epoch: string;
  readonly plan: plan.Options;
  readonly slots: number;
  readonly halfLifeMs: number;
  /** Milliseconds between looks at the engine. */
  readonly healthMs: number;
  /** How far the engine's counts may lag, in ms. */
  readonly lagMs: number;
  /** Milliseconds an order may still be on its way after its reply was lost. */
  readonly orderMs: number;
  /** Milliseconds after a failed load before the next try of that adapter here. */
  readonly retryLoadMs: number;
  /** Whether the engine refuses orders with an old fencing number. */
  readonly fencing: "honoured" | "ignored";
  /** First guess of a load and of an answer, in ms, until some were measured. */
  readonly guessLoadMs: number;
  readonly guessServiceMs: number;
}

export interface Deps {
  readonly clock: clock.Clock;
  readonly log: log.Log;
  readonly metrics: metrics.Metrics;
  /** Undefined beside a plain service. */
  readonly engine: engine.Engine | undefined;
  readonly turn: Turn;
  readonly hold: Hold;
  /** Where an adapter's weights are; undefined when the intent names no such version. */
  readonly source: (target: string) => string | undefined;
  readonly revision: () => number;
}

/** An attempt's place on the engine. */
export interface Seat {
  /** Name to ask the engine for. */
  readonly name: string;
  /** Milliseconds the attempt waited for its adapter to be loaded. */
  readonly stallMs: number;
  readonly dispatchedAt: number;
  /** The last byte is out. */
  readonly end: () => void;
  /** Cancelled: the place is kept until the engine's counts show that it stopped. */
  readonly abandon: () => void;
  /** The engine said it does not hold the adapter, so nothing ran: waits for another place. */
  readonly again: () => Promise<Seat>;
}

interface Offer {
  readonly attempt: wire.Attempt;
  readonly resolve: (seat: Seat) => void;
  readonly reject: (err: outcome.StepError) => void;
}

const SMOOTHING = 0.2;
/** Looks at the engine that must fail before it counts as out. */
const MISSES = 2;
const EPOCH_MARK = "~";

/** `adapter@version` of an attempt for a model, the service's name otherwise. */
export function targetOf(work: wire.Attempt["work"]): string {
  return work.kind === "model" ? `${work.adapter}@${work.version}` : work.service;
}

export class Gate {
  private state: plan.State;
  private readonly life: ReturnType<typeof life.start>;
  private readonly register: register.Register;
  private readonly offers = new Map<string, Offer>();
  /** Cancelled attempts whose place the engine may still use, and when they were cancelled. */
  private readonly ghosts = new Map<string, number>();
  /** Names of other holders that may be in use, and when they were found. */
  private readonly strangers = new Map<string, number>();
  private readonly failedLoads = new Map<string, number>();
  private engineStart = 0;
  private misses = 0;
  private loading = 0;
  private wake: clock.Timer | undefined;
  private names = 0;
  private seq = 0;
  private serviceMs: number;
  private loadMs: number;
  private idleWaiters: (() => void)[] = [];
  private stopped = false;

  constructor(
    private readonly opts: Options,
    private readonly deps: Deps,
  ) {
    this.state = plan.idle(opts.plan, opts.slots, opts.halfLifeMs);
    this.register = new register.Register(deps.clock);
    this.serviceMs = opts.guessServiceMs;
    this.loadMs = opts.guessLoadMs;
    this.life = life.start((now) => {
      deps.log.info(`The daemon is ${now}.`);
    });
    if (!deps.engine) this.life.send({ type: "learned" });
  }

  /** How this endpoint is now. */
  news(): wire.News {
    this.seq++;
    return {
      endpoint: this.opts.name,
      epoch: this.opts.epoch,
      seq: this.seq,
      state: this.deps.hold.lost() ? "learning" : this.life.state(),
      running: this.state.running.size,
      waiting: this.state.waiting.length,
      seats: this.state.opts.seats,
      loaded: slot.targets(this.state.slots, "loaded"),
      coming: this.coming(),
      serviceMs: Math.round(this.serviceMs),
      loadMs: Math.round(this.loadMs),
      revision: this.deps.revision(),
    };
  }

  private coming(): readonly string[] {
    const wanted = this.state.waiting
      .filter((w) => w.needsAdapter && !slot.has(this.state.slots, w.target))
      .map((w) => w.target);
    return [...new Set([...slot.targets(this.state.slots, "loading"), ...wanted])];
  }

  /** The slots, for tests and `status`. */
  slots(): slot.Slots {
    return this.state.slots;
  }

  /**
   * Takes an attempt and resolves when it may go to the engine. Rejects with a `StepError` of
   * outcome `not_run`: then it was not dispatched and never will be.
   */
  admit(a: wire.Attempt, signal: AbortSignal): Promise<Seat> {
    const refusal = this.refusal(a) ?? this.registered(a);
    if (refusal) return Promise.reject(refusal);
    const now = this.deps.clock.mono();
    const seat = new Promise<Seat>((resolve, reject) => {
      this.offers.set(a.id, { attempt: a, resolve, reject });
    });
    this.state = plan.arrive(this.state, {
      id: a.id,
      target: targetOf(a.work),
      caller: a.caller,
      worth: a.worth,
      arrivedAt: now,
      dueAt: now + a.budgetMs,
      needsAdapter: a.work.kind === "model",
    });
    signal.addEventListener(
      "abort",
      () => {
        this.withdraw(a.id, "cancelled", "The caller went away before the work began.");
      },
      { once: true },
    );
    this.tick();
    return seat;
  }

  private refuse(code: outcome.Code, message: string, retryAfterMs?: number): outcome.StepError {
    return outcome.notRun(code, "admit", this.opts.name, message, retryAfterMs);
  }

  private registered(a: wire.Attempt): outcome.StepError | undefined {
    if (this.register.open(a.id)) return undefined;
    return this.refuse("duplicate", "This attempt was here before, or was given up.");
  }

  private refusal(a: wire.Attempt): outcome.StepError | undefined {
    if (a.epoch !== this.opts.epoch) {
      return this.refuse(
        "stale_epoch",
        "The attempt was meant for an earlier life of this daemon.",
      );
    }
    if (this.deps.hold.lost()) {
      return this.refuse("not_ready", "Another daemon holds this engine.", this.opts.healthMs);
    }
    switch (this.life.state()) {
      case "learning":
        return this.refuse("not_ready", "The engine's state is not known yet.", this.opts.healthMs);
      case "draining":
        return this.refuse("leaving", "The endpoint is leaving.");
      case "serving":
        break;
    }
    const target = targetOf(a.work);
    const since = this.failedLoads.get(target);
    const backoff =
      since === undefined ? 0 : since + this.opts.retryLoadMs - this.deps.clock.mono();
    if (backoff > 0) {
      return this.refuse("load_failed", `The last load of ${target} failed.`, backoff);
    }
    if (!plan.hasRoom(this.state, a.caller, a.queue)) {
      return this.refuse("overloaded", "The queue is full.", this.waitMs());
    }
    const wait = this.estimate(a);
    if (wait > a.budgetMs) {
      return this.refuse(
        "deadline",
        `The first byte would take about ${Math.round(wait)} ms, of which ${Math.round(a.budgetMs)} are left.`,
        wait - a.budgetMs,
      );
    }
    return undefined;
  }

  /** Milliseconds until a newcomer would get a seat. */
  private waitMs(): number {
    const ahead = this.state.waiting.length + this.state.running.size + 1 - this.state.opts.seats;
    return Math.max(0, (ahead / this.state.opts.seats) * this.serviceMs);
  }

  private estimate(a: wire.Attempt): number {
    const loaded = a.work.kind === "service" || slot.has(this.state.slots, targetOf(a.work));
    return this.waitMs() + (loaded ? 0 : this.loadMs);
  }

  /** Gives up an attempt that has not been dispatched, whether or not it has arrived yet. */
  cancel(id: string, epoch: string): control.Fate {
    if (epoch !== this.opts.epoch) return { kind: "unknown_epoch" };
    if (this.register.giveUp(id) === "dispatched") return { kind: "dispatched" };
    this.withdraw(id, "cancelled", "The entry daemon gave the attempt up.");
    return { kind: "not_run" };
  }

  private withdraw(id: string, code: outcome.Code, message: string, retryAfterMs?: number): void {
    const offer = this.offers.get(id);
    if (!offer) return;
    this.offers.delete(id);
    this.state = plan.leave(this.state, id);
    this.register.giveUp(id);
    offer.reject(this.refuse(code, message, retryAfterMs));
    this.settled();
  }

  private withdrawAll(code: outcome.Code, message: string, retryAfterMs?: number): void {
    for (const id of [...this.offers.keys()]) this.withdraw(id, code, message, retryAfterMs);
  }

  /** Takes new sizes from the intent; slots over a smaller size are emptied as they fall idle. */
  resize(seats: number, slots: number): void {
    const { opts, slots: now } = this.state;
    if (opts.seats === seats && now.capacity === slots) return;
    this.state = {
      ...this.state,
      opts: { ...opts, seats },
      slots: { ...now, capacity: slots },
    };
    this.tick();
  }

  /** Stops taking work and hands back what waits; what runs goes on. */
  drain(): void {
    if (this.life.state() === "draining") return;
    this.life.send({ type: "drain" });
    this.withdrawAll("leaving", "The endpoint is leaving.");
  }

  /** Takes work again after a drain that an operator took back. */
  resume(): void {
    this.life.send({ type: "resume" });
    if (!this.deps.engine) this.life.send({ type: "learned" });
  }

  /** Resolves when nothing waits and nothing runs. */
  quiet(): Promise<void> {
    if (this.state.running.size === 0 && this.offers.size === 0) return Promise.resolve();
    return new Promise((resolve) => this.idleWaiters.push(resolve));
  }

  /** No action is taken after this. */
  stop(): void {
    this.stopped = true;
    this.wake?.cancel();
  }

  private settled(): void {
    if (this.state.running.size > 0 || this.offers.size > 0) return;
    for (const done of this.idleWaiters) done();
    this.idleWaiters = [];
  }

  private tick(): void {
    if (this.stopped) return;
    this.wake?.cancel();
    const now = this.deps.clock.mono();
    for (const action of plan.next(this.state, now)) {
      switch (action.kind) {
        case "dispatch":
          this.dispatch(action.id, action.name, now);
          break;
        case "expire":
          this.withdraw(action.id, "deadline", "The deadline passed before the work began.", 0);
          break;
        case "load":
          if (this.loading < this.opts.plan.loads) void this.load();
          break;
      }
    }
    const due = this.state.waiting.reduce((least, w) => Math.min(least, w.dueAt), Infinity);
    if (due === Infinity) return;
    this.wake = this.deps.clock.after(Math.max(1, due - now), () => {
      this.tick();
    });
  }

  private dispatch(id: string, name: string, now: number): void {
    const offer = this.offers.get(id);
    const waited = this.state.waiting.find((w) => w.id === id);
    if (!offer || !waited || this.life.state() !== "serving") return;
    this.offers.delete(id);
    this.state = plan.dispatch(this.state, id, name, now);
    this.register.dispatched(id);
    const labels = { caller: waited.caller, class: offer.attempt.class };
    const loadedAt = this.state.slots.byName.get(name)?.since ?? 0;
    const stallMs = waited.needsAdapter ? Math.max(0, loadedAt - waited.arrivedAt) : 0;
    this.deps.metrics.observe("queue_wait", now - waited.arrivedAt - stallMs, labels);
    if (waited.needsAdapter) this.deps.metrics.observe("load_stall", stallMs, labels);
    const fill = (100 * this.state.running.size) / this.state.opts.seats;
    this.deps.metrics.observe("batch_fill", fill, labels);
    offer.resolve(this.seat(offer, waited, name, stallMs, now));
  }

  private seat(
    offer: Offer,
    waited: plan.Waiting,
    name: string,
    stallMs: number,
    dispatchedAt: number,
  ): Seat {
    const { id } = waited;
    let open = true;
    const once = (run: () => void) => () => {
      if (!open) return;
      open = false;
      run();
    };
    return {
      name,
      stallMs,
      dispatchedAt,
      end: once(() => {
        this.serviceMs = smooth(this.serviceMs, this.deps.clock.mono() - dispatchedAt);
        this.release(id);
      }),
      abandon: once(() => {
        if (this.deps.engine) this.ghosts.set(id, this.deps.clock.mono());
        else this.release(id);
      }),
      again: () => {
        once(() => {
          this.state = plan.end(this.state, id);
          this.forget(name);
        })();
        return this.readmit(offer, waited);
      },
    };
  }

  /** An attempt that the engine certainly did not run waits again, as long ago as it came. */
  private readmit(offer: Offer, waited: plan.Waiting): Promise<Seat> {
    this.register.undispatched(waited.id);
    return new Promise((resolve, reject) => {
      this.offers.set(waited.id, { ...offer, resolve, reject });
      this.state = { ...this.state, waiting: [...this.state.waiting, waited] };
      this.tick();
    });
  }

  private release(id: string): void {
    this.state = plan.end(this.state, id);
    this.settled();
    this.tick();
  }

  /** The engine does not hold `name` any more. */
  private forget(name: string): void {
    if (!this.state.slots.byName.has(name)) return;
    this.move(name, { type: "unloaded" });
  }

  private move(name: string, event: slot.SlotEvent): void {
    if (!this.state.slots.byName.has(name)) return;
    const now = this.deps.clock.mono();
    this.state = { ...this.state, slots: slot.move(this.state.slots, name, event, now) };
  }

  /** Asks for a turn until it is granted, then loads what is most wanted by then. */
  private async load(): Promise<void> {
    this.loading++;
    try {
      for (;;) {
        const wanted = this.wanted();
        if (!wanted) return;
        const answer = await this.deps.turn.ask(wanted.target, wanted.score);
        if (answer.kind === "go") break;
        await new Promise<void>((resolve) => {
          this.deps.clock.after(answer.askAgainMs, resolve);
        });
      }
      try {
        const wanted = this.wanted();
        if (wanted) await this.loadNow(wanted.target, wanted.evict);
      } finally {
        this.deps.turn.end();
      }
    } catch (err) {
      this.deps.log.error(`A load broke off: ${log.why(err)}.`);
    } finally {
      this.loading--;
      this.tick();
    }
  }

  private wanted(): Extract<plan.Action, { kind: "load" }> | undefined {
    if (this.stopped || this.life.state() !== "serving" || this.deps.hold.lost()) return undefined;
    const actions = plan.next(this.state, this.deps.clock.mono());
    return actions.find((a) => a.kind === "load");
  }

  private async loadNow(target: string, evict: string | undefined): Promise<void> {
    const source = this.deps.source(target);
    if (source === undefined) {
      this.refuseTarget(target, "not_found", `The intent names no ${target}.`);
      return;
    }
    if (evict !== undefined && !(await this.unload(evict))) return;
    this.names++;
    const name = `${target}${EPOCH_MARK}${this.opts.epoch}.${this.names}`;
    const began = this.deps.clock.mono();
    this.state = { ...this.state, slots: slot.begin(this.state.slots, name, target, began) };
    try {
      await this.deps.engine?.load(name, source, this.deps.hold.fence());
      this.move(name, { type: "loaded" });
      this.failedLoads.delete(target);
      this.loadMs = smooth(this.loadMs, this.deps.clock.mono() - began);
      this.deps.metrics.count("loads", metrics.SYSTEM);
      this.deps.log.debug(`Loaded ${target}.`);
    } catch (err) {
      this.loadFailed(name, target, err);
    }
  }

  private loadFailed(name: string, target: string, err: unknown): void {
    const f = outcome.toFailure(err, "load", this.opts.name, "unknown");
    this.move(name, { type: f.outcome === "unknown" ? "lost" : "failed" });
    this.failedLoads.set(target, this.deps.clock.mono());
    this.deps.log.warn(`The load of ${target} failed: ${f.message}`);
    this.refuseTarget(target, "load_failed", f.message);
  }

  private refuseTarget(target: string, code: outcome.Code, message: string): void {
    for (const w of this.state.waiting) {
      if (w.target === target) this.withdraw(w.id, code, message, this.opts.retryLoadMs);
    }
  }

  /** Whether the slot is free again. */
  private async unload(name: string): Promise<boolean> {
    this.move(name, { type: "unload" });
    try {
      await this.deps.engine?.unload(name, this.deps.hold.fence());
      this.move(name, { type: "unloaded" });
      this.deps.metrics.count("evictions", metrics.SYSTEM);
      return true;
    } catch (err) {
      const f = outcome.toFailure(err, "unload", this.opts.name, "unknown");
      this.move(name, { type: f.outcome === "unknown" ? "lost" : "failed" });
      this.deps.log.warn(`The unload of ${name} is in doubt: ${f.message}`);
      return false;
    }
  }

  /** One look at the engine: learns its state anew after a start, and settles what is in doubt. */
  async look(): Promise<void> {
    const { engine: eng, clock: clk } = this.deps;
    if (!eng) return;
    const began = clk.mono();
    const known = new Set(this.state.slots.byName.keys());
    let health: engine.Health;
    let names: readonly string[];
    try {
      health = await eng.health();
      names = await eng.models();
    } catch (err) {
      this.missed(err);
      return;
    }
    this.misses = 0;
    if (health.startedAt !== this.engineStart) await this.coldStart(health.startedAt, names, began);
    else await this.reconcile(names, known, began);
    this.releaseGhosts(health, began);
    if (this.life.state() === "learning") this.life.send({ type: "learned" });
    this.tick();
  }

  private missed(err: unknown): void {
    this.misses++;
    if (this.misses !== MISSES) return;
    this.deps.log.warn(`The engine is out: ${log.why(err)}`);
    this.life.send({ type: "lost" });
    this.withdrawAll("not_ready", "The engine is out.", this.opts.healthMs);
  }

  /** The engine began a new life: what this daemon knew of the former one is void. */
  private async coldStart(start: number, names: readonly string[], now: number): Promise<void> {
    const first = this.engineStart === 0;
    this.engineStart = start;
    this.life.send({ type: "lost" });
    this.strangers.clear();
    this.state = { ...this.state, slots: slot.empty(this.opts.slots) };
    if (!first) this.deps.log.warn("The engine came back cold.");
    const barred = first && (await this.barOthers());
    for (const name of names) this.adopt(name, barred, now);
  }

  /** Whether the engine refuses, from now on, the orders of every earlier holder. */
  private async barOthers(): Promise<boolean> {
    if (this.opts.fencing === "ignored" || this.deps.hold.fence() === 0) return false;
    const nothing = `none${EPOCH_MARK}${this.opts.epoch}`;
    try {
      await this.deps.engine?.unload(nothing, this.deps.hold.fence());
      return true;
    } catch {
      return false;
    }
  }

  /**
   * Takes over a name found on the engine. It may be used when nobody can still unload it; otherwise
   * it only takes up room, and is kept until the engine is seen to do no work of others.
   */
  private adopt(name: string, barred: boolean, now: number): void {
    const mark = name.lastIndexOf(EPOCH_MARK);
    const epoch = name.slice(mark + 1, name.lastIndexOf("."));
    const usable =
      mark > 0 && epoch !== this.opts.epoch && (barred || this.deps.hold.trusts(epoch));
    const target = usable ? name.slice(0, mark) : undefined;
    let slots = slot.adopt(this.state.slots, name, target, now);
    if (target === undefined) {
      slots = slot.pin(slots, name);
      this.strangers.set(name, now);
    }
    this.state = { ...this.state, slots };
  }

  /** Holds what this daemon knew before it asked (`known`) against what the engine listed. */
  private async reconcile(
    names: readonly string[],
    known: ReadonlySet<string>,
    began: number,
  ): Promise<void> {
    const listed = new Set(names);
    for (const s of this.state.slots.byName.values()) {
      if (s.since >= began) continue;
      if (s.phase === "loaded" && !listed.has(s.name)) {
        this.deps.log.warn(`The engine no longer holds ${s.name}.`);
        this.strangers.delete(s.name);
        this.move(s.name, { type: "unloaded" });
      }
      if (s.phase === "doubtful") await this.settleDoubt(s, listed.has(s.name), began);
    }
    for (const name of names) {
      if (!known.has(name) && !this.state.slots.byName.has(name)) this.adopt(name, false, began);
    }
  }

  private async settleDoubt(s: slot.Slot, listed: boolean, now: number): Promise<void> {
    if (listed) await this.unload(s.name);
    else if (now - s.since > this.opts.orderMs) this.move(s.name, { type: "unloaded" });
  }

  /**
   * Gives back the places of cancelled attempts, and strangers' slots, once the engine's counts show
   * no more work than this daemon has there. Counts lag, so they must be younger than the cancel.
   */
  private releaseGhosts(health: engine.Health, now: number): void {
    const own = this.state.running.size - this.ghosts.size;
    if (health.running + health.waiting > own) return;
    for (const [id, at] of this.ghosts) {
      if (now - at < this.opts.lagMs) continue;
      this.ghosts.delete(id);
      this.release(id);
    }
    for (const [name, at] of this.strangers) {
      if (now - at < this.opts.lagMs) continue;
      this.strangers.delete(name);
      this.state = { ...this.state, slots: slot.unpin(this.state.slots, name) };
    }
  }
}

function smooth(old: number, seen: number): number {
  return old + SMOOTHING * (seen - old);
}
