/**
 * The last gate before an engine or service. This task owns what waits and what runs, and carries out
 * the plan; what the engine holds is in its holdings, which alone give the engine orders.
 * @module
 */
import type * as clock from "../host/clock.js";
import type * as control from "../link/control.js";
import type * as wire from "../link/wire.js";
import * as outcome from "../request/outcome.js";
import * as holdings from "./holdings.js";
import * as life from "./life.js";
import * as plan from "./plan.js";
import * as register from "./register.js";
import type * as setup from "./setup.js";
import * as slot from "./slot.js";
import * as smooth from "./smooth.js";

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

/** `adapter@version` of an attempt for a model, the service's name otherwise. */
export function targetOf(work: wire.Attempt["work"]): string {
  return work.kind === "model" ? `${work.adapter}@${work.version}` : work.service;
}

export class Gate {
  private readonly cell: holdings.Cell;
  private readonly holdings: holdings.Holdings;
  private readonly life: ReturnType<typeof life.start>;
  private readonly register: register.Register;
  private readonly offers = new Map<string, Offer>();
  private wake: clock.Timer | undefined;
  private seq = 0;
  private serviceMs: number;
  private idleWaiters: (() => void)[] = [];
  private stopped = false;

  constructor(
    private readonly opts: setup.Options,
    private readonly deps: setup.Deps,
  ) {
    this.cell = { state: plan.idle(opts.plan, opts.slots, opts.halfLifeMs) };
    this.holdings = new holdings.Holdings(opts, deps, this.cell, {
      serving: () => !this.stopped && this.life.state() === "serving",
      learned: () => {
        if (this.life.state() === "learning") this.life.send({ type: "learned" });
      },
      lost: () => {
        this.life.send({ type: "lost" });
      },
      engineOut: () => {
        this.withdrawAll("not_ready", "The engine is out.", opts.healthMs);
      },
      refuseTarget: (target, code, message) => {
        this.refuseTarget(target, code, message);
      },
      release: (id) => {
        this.release(id);
      },
      changed: () => {
        this.tick();
      },
    });
    this.register = new register.Register(deps.clock);
    this.serviceMs = opts.guessServiceMs;
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
      running: this.cell.state.running.size,
      waiting: this.cell.state.waiting.length,
      seats: this.cell.state.opts.seats,
      loaded: slot.targets(this.cell.state.slots, "loaded"),
      coming: this.coming(),
      serviceMs: Math.round(this.serviceMs),
      loadMs: Math.round(this.holdings.loadMs()),
      revision: this.deps.revision(),
    };
  }

  private coming(): readonly string[] {
    const wanted = this.cell.state.waiting
      .filter((w) => w.needsAdapter && !slot.has(this.cell.state.slots, w.target))
      .map((w) => w.target);
    return [...new Set([...slot.targets(this.cell.state.slots, "loading"), ...wanted])];
  }

  /** The slots, for tests and `status`. */
  slots(): slot.Slots {
    return this.cell.state.slots;
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
    this.cell.state = plan.arrive(this.cell.state, {
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
    const backoff = this.holdings.backoffMs(target);
    if (backoff > 0) {
      return this.refuse("load_failed", `The last load of ${target} failed.`, backoff);
    }
    if (!plan.hasRoom(this.cell.state, a.caller, a.queue)) {
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
    const ahead =
      this.cell.state.waiting.length +
      this.cell.state.running.size +
      1 -
      this.cell.state.opts.seats;
    return Math.max(0, (ahead / this.cell.state.opts.seats) * this.serviceMs);
  }

  private estimate(a: wire.Attempt): number {
    const loaded = a.work.kind === "service" || slot.has(this.cell.state.slots, targetOf(a.work));
    return this.waitMs() + (loaded ? 0 : this.holdings.loadMs());
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
    this.cell.state = plan.leave(this.cell.state, id);
    this.register.giveUp(id);
    offer.reject(this.refuse(code, message, retryAfterMs));
    this.settled();
  }

  private withdrawAll(code: outcome.Code, message: string, retryAfterMs?: number): void {
    for (const id of [...this.offers.keys()]) this.withdraw(id, code, message, retryAfterMs);
  }

  /** Takes new sizes from the intent; slots over a smaller size are emptied as they fall idle. */
  resize(seats: number, slots: number): void {
    const { opts, slots: now } = this.cell.state;
    if (opts.seats === seats && now.capacity === slots) return;
    this.cell.state = {
      ...this.cell.state,
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

  /** One look at the engine; see {@link holdings.Holdings.look}. */
  look(): Promise<void> {
    return this.holdings.look();
  }

  private refuseTarget(target: string, code: outcome.Code, message: string): void {
    for (const w of this.cell.state.waiting) {
      if (w.target === target) this.withdraw(w.id, code, message, this.opts.retryLoadMs);
    }
  }

  /** Resolves when nothing waits and nothing runs. */
  quiet(): Promise<void> {
    if (this.cell.state.running.size === 0 && this.offers.size === 0) return Promise.resolve();
    return new Promise((resolve) => this.idleWaiters.push(resolve));
  }

  /** No action is taken after this. */
  stop(): void {
    this.stopped = true;
    this.wake?.cancel();
  }

  private settled(): void {
    if (this.cell.state.running.size > 0 || this.offers.size > 0) return;
    for (const done of this.idleWaiters) done();
    this.idleWaiters = [];
  }

  private tick(): void {
    if (this.stopped) return;
    this.wake?.cancel();
    const now = this.deps.clock.mono();
    for (const action of plan.next(this.cell.state, now)) {
      switch (action.kind) {
        case "dispatch":
          this.dispatch(action.id, action.name, now);
          break;
        case "expire":
          this.withdraw(action.id, "deadline", "The deadline passed before the work began.", 0);
          break;
        case "load":
          void this.holdings.load();
          break;
      }
    }
    const due = this.cell.state.waiting.reduce((least, w) => Math.min(least, w.dueAt), Infinity);
    if (due === Infinity) return;
    this.wake = this.deps.clock.after(Math.max(1, due - now), () => {
      this.tick();
    });
  }

  private dispatch(id: string, name: string, now: number): void {
    const offer = this.offers.get(id);
    const waited = this.cell.state.waiting.find((w) => w.id === id);
    if (!offer || !waited || this.life.state() !== "serving") return;
    this.offers.delete(id);
    this.cell.state = plan.dispatch(this.cell.state, id, name, now);
    this.register.dispatched(id);
    const labels = { caller: waited.caller, class: offer.attempt.class };
    const loadedAt = this.cell.state.slots.byName.get(name)?.since ?? 0;
    const stallMs = waited.needsAdapter ? Math.max(0, loadedAt - waited.arrivedAt) : 0;
    this.deps.metrics.observe("queue_wait", now - waited.arrivedAt - stallMs, labels);
    if (waited.needsAdapter) this.deps.metrics.observe("load_stall", stallMs, labels);
    const fill = (100 * this.cell.state.running.size) / this.cell.state.opts.seats;
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
        this.serviceMs = smooth.towards(this.serviceMs, this.deps.clock.mono() - dispatchedAt);
        this.release(id);
      }),
      abandon: once(() => {
        this.holdings.abandon(id);
      }),
      again: () => {
        once(() => {
          this.cell.state = plan.end(this.cell.state, id);
          this.holdings.forget(name);
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
      this.cell.state = { ...this.cell.state, waiting: [...this.cell.state.waiting, waited] };
      this.tick();
    });
  }

  private release(id: string): void {
    this.cell.state = plan.end(this.cell.state, id);
    this.settled();
    this.tick();
  }
}
