/**
 * What an engine holds, as its daemon knows it, and the orders that change it. It shares the plan's
 * state with the gate; both change it by the plan's and the slots' steps alone.
 * @module
 */
import * as errors from "../host/why.js";
import * as metrics from "../host/metrics.js";
import * as outcome from "../request/outcome.js";
import type * as engine from "./engine.js";
import * as plan from "./plan.js";
import type * as setup from "./setup.js";
import * as slot from "./slot.js";
import * as smooth from "./smooth.js";

/** The state that gate and holdings share. */
export interface Cell {
  state: plan.State;
}

/** What the holdings ask of the gate. */
export interface Client {
  /** Whether the daemon takes work now. */
  readonly serving: () => boolean;
  /** The engine answered, and what it holds is known. */
  readonly learned: () => void;
  /** What the engine holds is not known any more. */
  readonly lost: () => void;
  /** Hands back everything that waits. */
  readonly engineOut: () => void;
  /** Hands back what waits for `target`. */
  readonly refuseTarget: (target: string, code: outcome.Code, message: string) => void;
  /** The place of an attempt is free. */
  readonly release: (id: string) => void;
  /** Something changed that the plan may act on. */
  readonly changed: () => void;
}

/** Looks at the engine that must fail before it counts as out. */
const MISSES = 2;
/** Looks that must agree that nothing but this daemon's work is on the engine. */
const QUIET_LOOKS = 2;
const EPOCH_MARK = "~";

export class Holdings {
  /** Cancelled attempts whose place the engine may still use, and when they were cancelled. */
  private readonly ghosts = new Map<string, number>();
  /** Names of other holders that may be in use, and when they were found. */
  private readonly strangers = new Map<string, number>();
  private readonly failedLoads = new Map<string, number>();
  /** Whether the engine was looked at before, and when it said then that it had started. */
  private looked = false;
  private engineStart: number | undefined;
  private misses = 0;
  /** Looks in a row whose counts showed no work but this daemon's. */
  private quietLooks = 0;
  private loading = 0;
  private names = 0;
  private typicalMs: number;

  constructor(
    private readonly opts: setup.Options,
    private readonly deps: setup.Deps,
    private readonly cell: Cell,
    private readonly client: Client,
  ) {
    this.typicalMs = opts.guessLoadMs;
  }

  /** Smoothed milliseconds of one load. */
  loadMs(): number {
    return this.typicalMs;
  }

  /** Milliseconds until `target` may be tried again after a failed load; 0 when it may. */
  backoffMs(target: string): number {
    const since = this.failedLoads.get(target);
    if (since === undefined) return 0;
    return Math.max(0, since + this.opts.retryLoadMs - this.deps.clock.mono());
  }

  /** Keeps the place of a cancelled attempt until the engine's counts show that it stopped. */
  abandon(id: string): void {
    if (this.deps.engine) this.ghosts.set(id, this.deps.clock.mono());
    else this.client.release(id);
  }

  /** Moves a slot on; one that a cold start took away needs nothing. */
  private move(name: string, event: slot.SlotEvent): void {
    if (!this.cell.state.slots.byName.has(name)) return;
    const now = this.deps.clock.mono();
    this.cell.state = {
      ...this.cell.state,
      slots: slot.move(this.cell.state.slots, name, event, now),
    };
  }

  /** The engine does not hold `name` any more. */
  forget(name: string): void {
    this.move(name, { type: "unloaded" });
  }

  /** Asks for a turn until it is granted, then loads what is most wanted by then. */
  async load(): Promise<void> {
    if (this.loading >= this.opts.plan.loads) return;
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
      this.deps.log.error(`A load broke off: ${errors.why(err)}.`);
    } finally {
      this.loading--;
      this.client.changed();
    }
  }

  private wanted(): Extract<plan.Action, { kind: "load" }> | undefined {
    if (!this.client.serving() || this.deps.hold.lost()) return undefined;
    const actions = plan.next(this.cell.state, this.deps.clock.mono());
    return actions.find((a) => a.kind === "load");
  }

  private async loadNow(target: string, evict: string | undefined): Promise<void> {
    const source = this.deps.source(target);
    if (source === undefined) {
      this.client.refuseTarget(target, "not_found", `The intent names no ${target}.`);
      return;
    }
    if (evict !== undefined && !(await this.unload(evict))) return;
    this.names++;
    const name = `${target}${EPOCH_MARK}${this.opts.epoch}.${this.names}`;
    const began = this.deps.clock.mono();
    this.cell.state = {
      ...this.cell.state,
      slots: slot.begin(this.cell.state.slots, name, target, began),
    };
    try {
      await this.deps.engine?.load(name, source, this.deps.hold.fence());
      this.move(name, { type: "loaded" });
      this.failedLoads.delete(target);
      this.typicalMs = smooth.towards(this.typicalMs, this.deps.clock.mono() - began);
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
    this.client.refuseTarget(target, "load_failed", f.message);
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
    const known = new Set(this.cell.state.slots.byName.keys());
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
    const first = !this.looked;
    this.looked = true;
    if (!first && health.startedAt !== this.engineStart) {
      this.deps.log.warn("The engine came back cold.");
    }
    this.engineStart = health.startedAt;
    // After a cold start too: what was loaded since, and is in use, is in the list by its own name.
    if (first) await this.learn(names, began);
    else await this.reconcile(names, known, began);
    this.releaseGhosts(health, began);
    this.client.learned();
    this.client.changed();
  }

  private missed(err: unknown): void {
    this.misses++;
    if (this.misses !== MISSES) return;
    this.deps.log.warn(`The engine is out: ${errors.why(err)}`);
    this.client.lost();
    this.client.engineOut();
  }

  /** The first look at an engine: what others left there is taken over. */
  private async learn(names: readonly string[], now: number): Promise<void> {
    const barred = await this.barOthers();
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
    let slots = slot.adopt(this.cell.state.slots, name, target, now);
    if (target === undefined) {
      slots = slot.pin(slots, name);
      this.strangers.set(name, now);
    }
    this.cell.state = { ...this.cell.state, slots };
  }

  /** Holds what this daemon knew before it asked (`known`) against what the engine listed. */
  private async reconcile(
    names: readonly string[],
    known: ReadonlySet<string>,
    began: number,
  ): Promise<void> {
    const listed = new Set(names);
    for (const s of this.cell.state.slots.byName.values()) {
      if (s.since >= began) continue;
      if (s.phase === "loaded" && !listed.has(s.name)) {
        this.deps.log.warn(`The engine no longer holds ${s.name}.`);
        this.strangers.delete(s.name);
        this.move(s.name, { type: "unloaded" });
      }
      if (s.phase === "doubtful") await this.settleDoubt(s, listed.has(s.name), began);
    }
    for (const name of names) {
      if (!known.has(name) && !this.cell.state.slots.byName.has(name))
        this.adopt(name, false, began);
    }
  }

  private async settleDoubt(s: slot.Slot, listed: boolean, now: number): Promise<void> {
    if (listed) await this.unload(s.name);
    else if (now - s.since > this.opts.orderMs) this.move(s.name, { type: "unloaded" });
  }

  /**
   * Gives back the places of cancelled attempts, and strangers' slots, once the engine's counts show
   * no more work than this daemon surely has there. Counts lag, and do not tell requests apart: what
   * was sent lately may not be in them and must not stand in for a cancelled one, and two looks in a
   * row must agree.
   */
  private releaseGhosts(health: engine.Health, now: number): void {
    const { running, waiting } = health;
    // Counts that are not given never show that a cancelled attempt stopped.
    const counted = running !== undefined && waiting !== undefined;
    const quiet = counted && running + waiting <= this.surelyThere(now);
    this.quietLooks = quiet ? this.quietLooks + 1 : 0;
    const agreed = this.quietLooks >= QUIET_LOOKS;
    for (const [id, at] of this.ghosts) {
      // Under steady work the counts never agree; then only time tells that a cancel took effect.
      if (now - at < (agreed ? this.opts.lagMs : this.opts.cancelMs)) continue;
      this.ghosts.delete(id);
      this.client.release(id);
    }
    if (!agreed) return;
    for (const [name, at] of this.strangers) {
      if (now - at < this.opts.lagMs) continue;
      this.strangers.delete(name);
      this.cell.state = { ...this.cell.state, slots: slot.unpin(this.cell.state.slots, name) };
    }
  }

  /** Attempts of this daemon that the engine's counts of a look at `now` surely hold. */
  private surelyThere(now: number): number {
    let count = 0;
    for (const r of this.cell.state.running.values()) {
      if (!this.ghosts.has(r.id) && now - r.dispatchedAt >= this.opts.lagMs) count++;
    }
    return count;
  }
}
