/**
 * Admission control in front of an engine or service. The gate owns the waiting and running attempts
 * and carries out the plan. Its adapter manager tracks the adapters on the engine, and only that sends
 * the engine load and unload orders.
 * @module
 */
import type * as clock from "../host/clock.js";
import type * as control from "../link/control.js";
import type * as wire from "../link/wire.js";
import * as outcome from "../request/outcome.js";
import * as adapterManager from "./adapter-manager.js";
import * as lifecycle from "./lifecycle.js";
import * as plan from "./plan.js";
import * as attemptRegister from "./attempt-register.js";
import type * as gateSetup from "./gate-setup.js";
import * as slot from "./slot.js";
import * as movingAverage from "./moving-average.js";

/** Permission to run one attempt on the engine. */
export interface Seat {
  /** Adapter name to send to the engine. */
  readonly name: string;
  /** Milliseconds that the attempt waited for its adapter to be loaded. */
  readonly stallMs: number;
  /** Time of dispatch, in monotonic ms. */
  readonly dispatchedAt: number;
  /** Frees the seat after the last byte of the answer. */
  readonly end: () => void;
  /**
   * Marks the attempt as cancelled. The seat stays taken until the engine's counts show that the
   * attempt stopped, or until the longest time for a cancel has passed.
   */
  readonly abandon: () => void;
  /** Waits for another seat after the engine answered that the adapter is not loaded, so nothing ran. */
  readonly again: () => Promise<Seat>;
}

/** A waiting attempt and the callbacks that settle its admission. */
interface PendingAttempt {
  readonly attempt: wire.Attempt;
  readonly resolve: (seat: Seat) => void;
  readonly reject: (err: outcome.StepError) => void;
}

const ENGINE_LOST = "Another daemon holds this engine.";

/** `adapter@version` of an attempt for a model; otherwise the service's name. */
export function targetOf(work: wire.Attempt["work"]): string {
  return work.kind === "model" ? `${work.adapter}@${work.version}` : work.service;
}

/** Admits attempts, dispatches them to the engine, and requests adapter loads. */
export class Gate {
  private readonly shared: adapterManager.SharedState;
  private readonly adapters: adapterManager.AdapterManager;
  private readonly lifecycle: ReturnType<typeof lifecycle.start>;
  private readonly register: attemptRegister.AttemptRegister;
  private readonly pending = new Map<string, PendingAttempt>();
  private deadlineTimer: clock.Timer | undefined;
  private seq = 0;
  private serviceMs: number;
  private idleWaiters: (() => void)[] = [];
  private stopped = false;

  constructor(
    private readonly opts: gateSetup.Options,
    private readonly deps: gateSetup.Deps,
  ) {
    this.shared = { state: plan.idle(opts.plan, opts.slots, opts.halfLifeMs) };
    this.adapters = new adapterManager.AdapterManager(opts, deps, this.shared, {
      isServing: () => !this.stopped && this.lifecycle.state() === "serving",
      onEngineKnown: () => {
        if (this.lifecycle.state() === "learning") this.lifecycle.send({ type: "engine_known" });
      },
      onEngineUnknown: () => {
        this.lifecycle.send({ type: "engine_unknown" });
      },
      rejectAllWaiting: () => {
        this.withdrawAll("not_ready", "The engine is unreachable.", opts.pollIntervalMs);
      },
      rejectWaitingFor: (target, code, message) => {
        this.withdrawTarget(target, code, message);
      },
      rejectUnknown: (target) => {
        this.withdrawUnknown(target);
      },
      releaseSeat: (id) => {
        this.release(id);
      },
      onChange: () => {
        this.runPlan();
      },
    });
    this.register = new attemptRegister.AttemptRegister(deps.clock);
    this.serviceMs = opts.initialServiceMs;
    this.lifecycle = lifecycle.start((now) => {
      deps.log.info(`Lifecycle state: ${now}.`);
    });
    if (!deps.engine) this.lifecycle.send({ type: "engine_known" });
  }

  /** The current state of this endpoint, numbered, for entry daemons. */
  news(): wire.EndpointReport {
    this.seq++;
    return {
      endpoint: this.opts.name,
      epoch: this.opts.epoch,
      seq: this.seq,
      state: this.deps.engineLease.isLost() ? "learning" : this.lifecycle.state(),
      running: this.shared.state.running.size,
      waiting: this.shared.state.waiting.length,
      seats: this.shared.state.opts.seats,
      loaded: slot.targets(this.shared.state.slots, "loaded"),
      coming: this.upcomingAdapters(),
      serviceMs: Math.round(this.serviceMs),
      loadMs: Math.round(this.adapters.loadMs()),
      revision: this.deps.revision(),
    };
  }

  /** Adapters that are being loaded or that waiting attempts need. */
  private upcomingAdapters(): readonly string[] {
    const wanted = this.shared.state.waiting
      .filter((w) => w.needsAdapter && !slot.has(this.shared.state.slots, w.target))
      .map((w) => w.target);
    return [...new Set([...slot.targets(this.shared.state.slots, "loading"), ...wanted])];
  }

  /** The adapter slots, for tests and `status`. */
  slots(): slot.Slots {
    return this.shared.state.slots;
  }

  /**
   * Queues an attempt and resolves when it may run on the engine. Rejects with a `StepError` of
   * outcome `not_run` if the attempt was not dispatched and never will be.
   */
  admit(a: wire.Attempt, signal: AbortSignal): Promise<Seat> {
    const refusal = this.checkAdmission(a) ?? this.checkRegistered(a);
    if (refusal) return Promise.reject(refusal);
    const now = this.deps.clock.mono();
    const seat = new Promise<Seat>((resolve, reject) => {
      this.pending.set(a.id, { attempt: a, resolve, reject });
    });
    this.shared.state = plan.arrive(this.shared.state, {
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
        this.withdraw(
          a.id,
          "cancelled",
          "The caller disconnected before the attempt was dispatched.",
        );
      },
      { once: true },
    );
    this.runPlan();
    return seat;
  }

  private notRun(code: outcome.Code, message: string, retryAfterMs?: number): outcome.StepError {
    return outcome.notRun(code, "admit", this.opts.name, message, retryAfterMs);
  }

  private checkRegistered(a: wire.Attempt): outcome.StepError | undefined {
    if (this.register.add(a.id)) return undefined;
    return this.notRun("duplicate", "This attempt was already received or given up.");
  }

  private checkAdmission(a: wire.Attempt): outcome.StepError | undefined {
    if (a.epoch !== this.opts.epoch) {
      return this.notRun(
        "stale_epoch",
        "The attempt was addressed to an earlier start of this daemon.",
      );
    }
    if (this.deps.engineLease.isLost()) {
      return this.notRun("not_ready", ENGINE_LOST, this.opts.pollIntervalMs);
    }
    switch (this.lifecycle.state()) {
      case "learning":
        return this.notRun(
          "not_ready",
          "The engine's state is not known yet.",
          this.opts.pollIntervalMs,
        );
      case "draining":
        return this.notRun("leaving", "The endpoint is draining.");
      case "serving":
        break;
    }
    const target = targetOf(a.work);
    const backoff = this.adapters.backoffMs(target);
    if (backoff > 0) {
      return this.notRun("load_failed", `The last load of ${target} failed.`, backoff);
    }
    if (!plan.hasRoom(this.shared.state, a.caller, a.queue)) {
      return this.notRun("overloaded", "The queue is full.", this.expectedWaitMs());
    }
    const wait = this.expectedFirstByteMs(a);
    if (wait > a.budgetMs) {
      return this.notRun(
        "deadline",
        `The expected time to the first byte is ${Math.round(wait)} ms, but only ${Math.round(a.budgetMs)} ms are left.`,
        wait - a.budgetMs,
      );
    }
    return undefined;
  }

  /** Expected milliseconds until a new attempt would get a seat. */
  private expectedWaitMs(): number {
    const ahead =
      this.shared.state.waiting.length +
      this.shared.state.running.size +
      1 -
      this.shared.state.opts.seats;
    return Math.max(0, (ahead / this.shared.state.opts.seats) * this.serviceMs);
  }

  /** Expected milliseconds until `a` would start, including the load of its adapter. */
  private expectedFirstByteMs(a: wire.Attempt): number {
    const loaded = a.work.kind === "service" || slot.has(this.shared.state.slots, targetOf(a.work));
    return this.expectedWaitMs() + (loaded ? 0 : this.adapters.loadMs());
  }

  /** Gives up an attempt that was not dispatched, even if it has not arrived yet. */
  cancel(id: string, epoch: string): control.AttemptFate {
    if (epoch !== this.opts.epoch) return { kind: "unknown_epoch" };
    if (this.register.giveUp(id) === "dispatched") return { kind: "dispatched" };
    this.withdraw(id, "cancelled", "The entry daemon gave up the attempt.");
    return { kind: "not_run" };
  }

  private withdraw(id: string, code: outcome.Code, message: string, retryAfterMs?: number): void {
    const pending = this.pending.get(id);
    if (!pending) return;
    this.pending.delete(id);
    this.shared.state = plan.leave(this.shared.state, id);
    this.register.giveUp(id);
    pending.reject(this.notRun(code, message, retryAfterMs));
    this.resolveIfIdle();
  }

  private withdrawAll(code: outcome.Code, message: string, retryAfterMs?: number): void {
    for (const id of [...this.pending.keys()]) this.withdraw(id, code, message, retryAfterMs);
  }

  /**
   * Applies new sizes from the intent. After a reduction, a new adapter is loaded only in exchange for
   * an idle one, and the surplus slots are not emptied.
   */
  resize(seats: number, slots: number): void {
    const { opts, slots: current } = this.shared.state;
    if (opts.seats === seats && current.capacity === slots) return;
    this.shared.state = {
      ...this.shared.state,
      opts: { ...opts, seats },
      slots: { ...current, capacity: slots },
    };
    this.runPlan();
  }

  /** Rejects new and waiting attempts; running attempts continue. */
  drain(): void {
    if (this.lifecycle.state() === "draining") return;
    this.lifecycle.send({ type: "drain" });
    this.withdrawAll("leaving", "The endpoint is draining.");
  }

  /** Accepts work again after an operator ended a drain. */
  resume(): void {
    this.lifecycle.send({ type: "resume" });
    if (!this.deps.engine) this.lifecycle.send({ type: "engine_known" });
  }

  /** Polls the engine once; see {@link adapterManager.AdapterManager.poll}. */
  look(): Promise<void> {
    return this.adapters.poll();
  }

  private withdrawTarget(target: string, code: outcome.Code, message: string): void {
    for (const w of this.shared.state.waiting) {
      if (w.target === target) this.withdraw(w.id, code, message, this.opts.retryLoadMs);
    }
  }

  /** Rejects what waits for a target that is not in this daemon's intent, or not yet, by the intent that admitted it. */
  private withdrawUnknown(target: string): void {
    const revision = this.deps.revision();
    for (const { id } of this.shared.state.waiting.filter((w) => w.target === target)) {
      const isNewer = (this.pending.get(id)?.attempt.revision ?? 0) > revision;
      if (isNewer) {
        const message = `${target} is not known here yet, at revision ${revision}.`;
        this.withdraw(id, "not_ready", message, this.opts.pollIntervalMs);
      } else this.withdraw(id, "not_found", `The intent has no ${target}.`, this.opts.retryLoadMs);
    }
  }

  /** Resolves when no attempt waits or runs. */
  quiet(): Promise<void> {
    if (this.shared.state.running.size === 0 && this.pending.size === 0) return Promise.resolve();
    return new Promise((resolve) => this.idleWaiters.push(resolve));
  }

  /** Stops carrying out the plan. */
  stop(): void {
    this.stopped = true;
    this.deadlineTimer?.cancel();
  }

  private resolveIfIdle(): void {
    if (this.shared.state.running.size > 0 || this.pending.size > 0) return;
    for (const resolve of this.idleWaiters) resolve();
    this.idleWaiters = [];
  }

  private runPlan(): void {
    if (this.stopped) return;
    this.deadlineTimer?.cancel();
    if (this.deps.engineLease.isLost()) {
      // It may have been lost since these were admitted.
      this.withdrawAll("not_ready", ENGINE_LOST, this.opts.pollIntervalMs);
      return;
    }
    const now = this.deps.clock.mono();
    for (const action of plan.next(this.shared.state, now)) {
      switch (action.kind) {
        case "dispatch":
          this.dispatch(action.id, action.name, now);
          break;
        case "expire":
          this.withdraw(
            action.id,
            "deadline",
            "The deadline passed before the attempt was dispatched.",
            0,
          );
          break;
        case "load":
          void this.adapters.loadNext();
          break;
      }
    }
    const nextDueAt = this.shared.state.waiting.reduce(
      (least, w) => Math.min(least, w.dueAt),
      Infinity,
    );
    if (nextDueAt === Infinity) return;
    this.deadlineTimer = this.deps.clock.after(Math.max(1, nextDueAt - now), () => {
      this.runPlan();
    });
  }

  private dispatch(id: string, name: string, now: number): void {
    const pending = this.pending.get(id);
    const waiting = this.shared.state.waiting.find((w) => w.id === id);
    if (!pending || !waiting || this.lifecycle.state() !== "serving") return;
    this.pending.delete(id);
    this.shared.state = plan.dispatch(this.shared.state, id, name, now);
    this.register.markDispatched(id);
    const labels = { caller: waiting.caller, class: pending.attempt.class };
    const loadedAt = this.shared.state.slots.byName.get(name)?.since ?? 0;
    const stallMs = waiting.needsAdapter ? Math.max(0, loadedAt - waiting.arrivedAt) : 0;
    this.deps.metrics.observe("queue_wait", now - waiting.arrivedAt - stallMs, labels);
    if (waiting.needsAdapter) this.deps.metrics.observe("load_stall", stallMs, labels);
    const fill = (100 * this.shared.state.running.size) / this.shared.state.opts.seats;
    this.deps.metrics.observe("batch_fill", fill, labels);
    pending.resolve(this.makeSeat(pending, waiting, name, stallMs, now));
  }

  private makeSeat(
    pending: PendingAttempt,
    waiting: plan.Waiting,
    name: string,
    stallMs: number,
    dispatchedAt: number,
  ): Seat {
    const { id } = waiting;
    let isOpen = true;
    const once = (run: () => void) => () => {
      if (!isOpen) return;
      isOpen = false;
      run();
    };
    return {
      name,
      stallMs,
      dispatchedAt,
      end: once(() => {
        this.serviceMs = movingAverage.update(
          this.serviceMs,
          this.deps.clock.mono() - dispatchedAt,
        );
        this.release(id);
      }),
      abandon: once(() => {
        this.adapters.markCancelled(id);
      }),
      again: () => {
        once(() => {
          this.shared.state = plan.end(this.shared.state, id);
          this.adapters.markUnloaded(name);
        })();
        return this.readmit(pending, waiting);
      },
    };
  }

  /** Queues an attempt that the engine certainly did not run again, with its original arrival time. */
  private readmit(pending: PendingAttempt, waiting: plan.Waiting): Promise<Seat> {
    this.register.reopen(waiting.id);
    return new Promise((resolve, reject) => {
      this.pending.set(waiting.id, { ...pending, resolve, reject });
      this.shared.state = {
        ...this.shared.state,
        waiting: [...this.shared.state.waiting, waiting],
      };
      this.runPlan();
    });
  }

  private release(id: string): void {
    this.shared.state = plan.end(this.shared.state, id);
    this.resolveIfIdle();
    this.runPlan();
  }
}
