/**
 * Tracks the adapters on an engine and sends the load and unload orders that change them. The manager
 * shares the plan's state with the gate; both change it through the functions of `plan` and `slot`.
 * @module
 */
import * as errors from "../host/errors.js";
import * as statsdMetrics from "../host/statsd-metrics.js";
import * as outcome from "../request/outcome.js";
import type * as engine from "./engine.js";
import * as plan from "./plan.js";
import type * as gateSetup from "./gate-setup.js";
import * as slot from "./slot.js";
import * as movingAverage from "./moving-average.js";

/** The state that the gate and the adapter manager share. */
export interface SharedState {
  state: plan.State;
}

/** What the adapter manager needs from the gate. */
export interface GateCallbacks {
  /** Whether the daemon accepts work. */
  readonly isServing: () => boolean;
  /** Called when the engine answered and its loaded adapters are known. */
  readonly onEngineKnown: () => void;
  /** Called when the loaded adapters are no longer known. */
  readonly onEngineUnknown: () => void;
  /** Rejects all waiting attempts because the engine is unreachable. */
  readonly rejectAllWaiting: () => void;
  /** Rejects the attempts that wait for `target`. */
  readonly rejectWaitingFor: (target: string, code: outcome.Code, message: string) => void;
  /** Rejects the attempts that wait for `target`, which the intent of this daemon does not have. */
  readonly rejectUnknown: (target: string) => void;
  /** Frees the seat of an attempt. */
  readonly releaseSeat: (id: string) => void;
  /** Called after a change that may lead to new actions of the plan. */
  readonly onChange: () => void;
}

/** Number of failed polls in a row after which the engine counts as unreachable. */
const MAX_FAILED_POLLS = 2;
/** Number of polls in a row that must show no work but this daemon's on the engine. */
const MIN_CONFIRMING_POLLS = 2;
/** Separates the target from the daemon's epoch in an adapter's name on the engine. */
const EPOCH_SEPARATOR = "~";

/** Keeps the state of an engine's adapters up to date and carries out loads and evictions. */
export class AdapterManager {
  /** When each attempt was cancelled that may still run on the engine, in monotonic ms. */
  private readonly cancelledAt = new Map<string, number>();
  /** When each name of another daemon was found that may still be in use, in monotonic ms. */
  private readonly foreignFoundAt = new Map<string, number>();
  /** When the last load of each target failed, in monotonic ms. */
  private readonly failedLoadAt = new Map<string, number>();
  private hasPolled = false;
  /** Start time that the engine reported in the last successful poll. */
  private engineStartedAt: number | undefined;
  /** Number of failed polls in a row. */
  private failedPolls = 0;
  /** Number of polls in a row whose counts showed no work but this daemon's. */
  private confirmingPolls = 0;
  private activeLoads = 0;
  /** Number of names used so far; makes each name unique within this epoch. */
  private nameCount = 0;
  private averageLoadMs: number;

  constructor(
    private readonly opts: gateSetup.Options,
    private readonly deps: gateSetup.Deps,
    private readonly shared: SharedState,
    private readonly gate: GateCallbacks,
  ) {
    this.averageLoadMs = opts.initialLoadMs;
  }

  /** Moving average of the duration of a load, in ms. */
  loadMs(): number {
    return this.averageLoadMs;
  }

  /** Milliseconds until `target` may be loaded again after a failed load; 0 if it may be now. */
  backoffMs(target: string): number {
    const since = this.failedLoadAt.get(target);
    if (since === undefined) return 0;
    return Math.max(0, since + this.opts.retryLoadMs - this.deps.clock.mono());
  }

  /**
   * Marks an attempt as cancelled. Its seat stays taken until the engine's counts show that it stopped,
   * or until `maxCancelMs` has passed; a plain service reports no counts, so there the seat is freed at
   * once.
   */
  markCancelled(id: string): void {
    if (this.deps.engine) this.cancelledAt.set(id, this.deps.clock.mono());
    else this.gate.releaseSeat(id);
  }

  /**
   * Applies an event to a slot. Does nothing for a slot that no longer exists because the engine
   * restarted.
   */
  private move(name: string, event: slot.SlotEvent): void {
    if (!this.shared.state.slots.byName.has(name)) return;
    const now = this.deps.clock.mono();
    this.shared.state = {
      ...this.shared.state,
      slots: slot.move(this.shared.state.slots, name, event, now),
    };
  }

  /** Marks `name` as no longer on the engine. */
  markUnloaded(name: string): void {
    this.move(name, { type: "unloaded" });
  }

  /**
   * Asks for a turn until it is granted, then loads the adapter with the highest score at that time.
   */
  async loadNext(): Promise<void> {
    if (this.activeLoads >= this.opts.plan.loads) return;
    this.activeLoads++;
    try {
      for (;;) {
        const next = this.nextLoad();
        if (!next) return;
        const answer = await this.deps.turn.ask(next.target, next.score);
        if (answer.kind === "go") break;
        await new Promise<void>((resolve) => {
          this.deps.clock.after(answer.askAgainMs, resolve);
        });
      }
      try {
        const next = this.nextLoad();
        if (next) await this.loadNow(next.target, next.evict);
      } finally {
        this.deps.turn.end();
      }
    } catch (err) {
      this.deps.log.error(`Loading an adapter failed unexpectedly: ${errors.messageOf(err)}.`);
    } finally {
      this.activeLoads--;
      this.gate.onChange();
    }
  }

  /** The plan's next load, if the daemon may send the engine orders. */
  private nextLoad(): Extract<plan.Action, { kind: "load" }> | undefined {
    if (!this.gate.isServing() || this.deps.engineLease.isLost()) return undefined;
    const actions = plan.next(this.shared.state, this.deps.clock.mono());
    return actions.find((a) => a.kind === "load");
  }

  private async loadNow(target: string, evict: string | undefined): Promise<void> {
    const source = this.deps.sourceOf(target);
    if (source === undefined) {
      this.gate.rejectUnknown(target);
      return;
    }
    if (evict !== undefined && !(await this.unload(evict))) return;
    if (this.deps.engineLease.isLost()) return;
    this.nameCount++;
    const name = `${target}${EPOCH_SEPARATOR}${this.opts.epoch}.${this.nameCount}`;
    const began = this.deps.clock.mono();
    this.shared.state = {
      ...this.shared.state,
      slots: slot.begin(this.shared.state.slots, name, target, began),
    };
    try {
      await this.deps.engine?.load(name, source, this.deps.engineLease.fencingNumber());
      this.move(name, { type: "loaded" });
      this.failedLoadAt.delete(target);
      this.averageLoadMs = movingAverage.update(this.averageLoadMs, this.deps.clock.mono() - began);
      this.deps.metrics.count("loads", statsdMetrics.SYSTEM_LABELS);
      this.deps.log.debug(`Loaded ${target}.`);
    } catch (err) {
      this.loadFailed(name, target, err);
    }
  }

  private loadFailed(name: string, target: string, err: unknown): void {
    const f = outcome.toFailure(err, "load", this.opts.name, "unknown");
    this.move(name, { type: f.outcome === "unknown" ? "lost" : "failed" });
    this.failedLoadAt.set(target, this.deps.clock.mono());
    this.deps.log.warn(`Loading ${target} failed: ${f.message}`);
    this.gate.rejectWaitingFor(target, "load_failed", f.message);
  }

  /** Unloads `name`; returns whether its slot is free. */
  private async unload(name: string): Promise<boolean> {
    this.move(name, { type: "unload" });
    try {
      await this.deps.engine?.unload(name, this.deps.engineLease.fencingNumber());
      this.move(name, { type: "unloaded" });
      this.deps.metrics.count("evictions", statsdMetrics.SYSTEM_LABELS);
      return true;
    } catch (err) {
      const f = outcome.toFailure(err, "unload", this.opts.name, "unknown");
      this.move(name, { type: f.outcome === "unknown" ? "lost" : "failed" });
      this.deps.log.warn(`The outcome of unloading ${name} is unknown: ${f.message}`);
      return false;
    }
  }

  /**
   * Polls the engine once: takes over its adapters on the first poll, compares them with the known
   * slots on later ones, and resolves doubtful slots.
   */
  async poll(): Promise<void> {
    const { engine: eng, clock: clk } = this.deps;
    if (!eng) return;
    const began = clk.mono();
    const knownBefore = new Set(this.shared.state.slots.byName.keys());
    let health: engine.Health;
    let names: readonly string[];
    try {
      health = await eng.health();
      names = await eng.models();
    } catch (err) {
      this.recordFailedPoll(err);
      return;
    }
    this.failedPolls = 0;
    const first = !this.hasPolled;
    this.hasPolled = true;
    if (!first && health.startedAt !== this.engineStartedAt) {
      this.deps.log.warn("The engine restarted.");
    }
    this.engineStartedAt = health.startedAt;
    // An engine that restarted is reconciled as well: adapters that were loaded since then, and may be
    // in use, are in its list under their own names.
    if (first) await this.adoptAll(names, began);
    else await this.reconcile(names, knownBefore, began);
    this.releaseStopped(health, began);
    this.gate.onEngineKnown();
    this.gate.onChange();
  }

  /** Counts a failed poll; the engine counts as unreachable after `MAX_FAILED_POLLS` in a row. */
  private recordFailedPoll(err: unknown): void {
    this.failedPolls++;
    if (this.failedPolls !== MAX_FAILED_POLLS) return;
    this.deps.log.warn(`The engine is unreachable: ${errors.messageOf(err)}`);
    this.gate.onEngineUnknown();
    this.gate.rejectAllWaiting();
  }

  /** Takes over the adapters that other daemons left on the engine, on the first poll. */
  private async adoptAll(names: readonly string[], now: number): Promise<void> {
    const othersFenced = await this.fenceOffOthers();
    for (const name of names) this.adopt(name, othersFenced, now);
  }

  /**
   * Sends an order with this daemon's fencing number. Returns whether from now on the engine refuses the
   * orders of all earlier holders of the lease.
   */
  private async fenceOffOthers(): Promise<boolean> {
    if (this.opts.fencing === "ignored" || this.deps.engineLease.fencingNumber() === 0)
      return false;
    const unusedName = `none${EPOCH_SEPARATOR}${this.opts.epoch}`;
    try {
      await this.deps.engine?.unload(unusedName, this.deps.engineLease.fencingNumber());
      return true;
    } catch {
      return false;
    }
  }

  /**
   * Takes over a name found on the engine. The adapter is used if no other daemon can still unload it.
   * Otherwise it only occupies a slot, and is not evicted until the engine runs no work of others.
   */
  private adopt(name: string, othersFenced: boolean, now: number): void {
    const separator = name.lastIndexOf(EPOCH_SEPARATOR);
    const epoch = name.slice(separator + 1, name.lastIndexOf("."));
    const usable =
      separator > 0 &&
      epoch !== this.opts.epoch &&
      (othersFenced || this.deps.engineLease.hasHandedOver(epoch));
    const target = usable ? name.slice(0, separator) : undefined;
    let slots = slot.adopt(this.shared.state.slots, name, target, now);
    if (target === undefined) {
      slots = slot.pin(slots, name);
      this.foreignFoundAt.set(name, now);
    }
    this.shared.state = { ...this.shared.state, slots };
  }

  /**
   * Updates the slots from the names that the engine listed. `knownBefore` holds the names of the slots
   * before the poll, which began at `began`; slots that changed since then are skipped.
   */
  private async reconcile(
    names: readonly string[],
    knownBefore: ReadonlySet<string>,
    began: number,
  ): Promise<void> {
    const listed = new Set(names);
    for (const s of this.shared.state.slots.byName.values()) {
      if (s.since >= began) continue;
      if (s.phase === "loaded" && !listed.has(s.name)) {
        this.deps.log.warn(`${s.name} is no longer loaded on the engine.`);
        this.foreignFoundAt.delete(s.name);
        this.move(s.name, { type: "unloaded" });
      }
      if (s.phase === "doubtful") await this.resolveDoubt(s, listed.has(s.name), began);
    }
    for (const name of names) {
      if (!knownBefore.has(name) && !this.shared.state.slots.byName.has(name))
        this.adopt(name, false, began);
    }
  }

  private async resolveDoubt(s: slot.Slot, listed: boolean, now: number): Promise<void> {
    if (listed) await this.unload(s.name);
    else if (now - s.since > this.opts.orderTimeoutMs) this.move(s.name, { type: "unloaded" });
  }

  /**
   * Frees the seats of cancelled attempts, and unpins the names of other daemons, once the engine's
   * counts show no more work than this daemon certainly has there. The counts lag and do not identify
   * requests. A recent attempt may not be counted yet, so it is left out; otherwise a cancelled attempt
   * that still runs could be taken for it. Two polls in a row must agree.
   */
  private releaseStopped(health: engine.Health, now: number): void {
    const { running, waiting } = health;
    // Without both counts, nothing shows that a cancelled attempt stopped.
    const counted = running !== undefined && waiting !== undefined;
    const onlyOwnWork = counted && running + waiting <= this.certainlyCounted(now);
    this.confirmingPolls = onlyOwnWork ? this.confirmingPolls + 1 : 0;
    const confirmed = this.confirmingPolls >= MIN_CONFIRMING_POLLS;
    for (const [id, markedAt] of this.cancelledAt) {
      // Under steady load the counts may never confirm it; then the attempt is assumed to have stopped
      // after `maxCancelMs`.
      if (now - markedAt < (confirmed ? this.opts.countLagMs : this.opts.maxCancelMs)) continue;
      this.cancelledAt.delete(id);
      this.gate.releaseSeat(id);
    }
    if (!confirmed) return;
    for (const [name, foundAt] of this.foreignFoundAt) {
      if (now - foundAt < this.opts.countLagMs) continue;
      this.foreignFoundAt.delete(name);
      this.shared.state = {
        ...this.shared.state,
        slots: slot.unpin(this.shared.state.slots, name),
      };
    }
  }

  /** Number of this daemon's attempts that the counts of a poll at `now` certainly include. */
  private certainlyCounted(now: number): number {
    let count = 0;
    for (const r of this.shared.state.running.values()) {
      if (!this.cancelledAt.has(r.id) && now - r.dispatchedAt >= this.opts.countLagMs) count++;
    }
    return count;
  }
}
