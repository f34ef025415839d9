/**
 * An engine and its endpoint daemon: slots, seats and orders are the real ones, loads and runs are modelled.
 * @module
 */
import * as residency from "../../src/serving/residency.js";
import type * as seatQueue from "../../src/serving/seat-queue.js";
import * as slotOrders from "../../src/serving/slot-orders.js";
import type * as time from "../measure/time.js";

export const VERSION_MS = 5000;
const MODEL = "m";
const LINK_MS = 200;
const LOAD_MS = 250;
const OPTIONS: residency.Options = {
  slots: 6,
  maxLoads: 4,
  maxColdLoads: 4,
  isWarm: () => false,
  closeAfterMs: 120,
  outdatedUseMs: 0.3 * VERSION_MS,
};

/** A seat that was asked for. */
export interface Ask {
  readonly waiter: Omit<seatQueue.Waiter, "older" | "askedAt">;
  /** Newest version that its host knows, and an older one that it may use. */
  readonly newest: number;
  readonly older: { readonly version: number; readonly forMs: number } | undefined;
  /** Gets the version, undefined for a denial. */
  readonly answer: (a: { readonly version: number } | "denied" | "unreachable") => void;
  isOver: boolean;
}

export class Engine {
  state: residency.State = { ...residency.empty(), models: [MODEL] };
  /** Versions of the adapters that it has, and the requests under way, by adapter. */
  readonly listed = new Map<string, number>();
  private readonly runs = new Map<string, number>();
  /** Orders that wait for the end of an adapter's runs. */
  private readonly orders = new Map<string, () => void>();
  private readonly asks = new Map<string, Ask>();
  private unread: Ask[] = [];
  private unstarted = 0;
  private timerAt = Infinity;
  isUp = true;
  isFrozen = false;
  linkedAt = 0;
  /** When its daemon hears of changes next, or did last. */
  hearsAt = -Infinity;
  /** Starts of its daemon. */
  life = 0;
  loads = 0;

  constructor(
    private readonly clk: time.Time,
    private readonly newest: ReadonlyMap<string, number>,
  ) {}

  /** Its daemon hears of declared versions. */
  hear(versions: Iterable<readonly [string, number]>): void {
    if (!this.isUp || this.isFrozen) return;
    const named = [...versions].map(([key, version]) => [key, { version }] as const);
    this.state = residency.declareVersions(this.state, named, this.clk.mono());
    this.step();
  }

  /** Asks for a seat; the answer comes once the daemon reads it. */
  ask(a: Ask): void {
    if (a.isOver) return;
    if (this.isFrozen) {
      this.unread.push(a);
      return;
    }
    const askedAt = this.clk.mono();
    const older = a.older && { version: a.older.version, until: askedAt + a.older.forMs };
    this.asks.set(a.waiter.seat, a);
    this.state = residency.addWaiter(this.state, { ...a.waiter, older, askedAt }, askedAt);
    this.hear([[a.waiter.key, a.newest]]);
  }

  withdraw(a: Ask): void {
    a.isOver = true;
    this.asks.delete(a.waiter.seat);
    this.state = residency.removeWaiter(this.state, a.waiter.seat);
  }

  /** A request with a seat begins, or ends without that. */
  begun(life: number): void {
    if (life === this.life) this.unstarted--;
    this.step();
  }

  release(key: string, life: number): void {
    if (life === this.life) this.state = residency.addPin(this.state, key, -1);
    this.step();
  }

  kill(): void {
    this.isUp = false;
    this.life++;
    for (const a of [...this.asks.values(), ...this.unread]) {
      this.withdraw(a);
      a.answer("unreachable");
    }
    this.unread = [];
  }

  start(): void {
    if (this.isUp) return;
    this.state = { ...residency.empty(), models: [MODEL] };
    for (const [key, version] of this.listed) this.put(key, version, 0);
    this.isUp = true;
    this.unstarted = 0;
    this.linkedAt = this.clk.mono() + LINK_MS;
    this.hear(this.newest);
  }

  thaw(hearsAfterMs: number): void {
    this.isFrozen = false;
    for (const a of this.unread.splice(0)) this.ask(a);
    this.step();
    this.clk.after(hearsAfterMs, () => {
      this.hear(this.newest);
    });
  }

  put(key: string, version: number, pins: number): void {
    const phaseSince = this.clk.mono();
    const slot = { key, model: MODEL, adapter: key, version, phase: "resident", pins } as const;
    this.state = residency.putSlot(this.state, { ...slot, phaseSince });
  }

  private step(): void {
    if (!this.isUp || this.isFrozen) return;
    const now = this.clk.mono();
    const prefill = { ms: 0, unstarted: this.unstarted };
    for (const a of residency.seatActions(this.state, now, OPTIONS, prefill)) {
      if (a.kind !== "grant" && a.kind !== "expire") continue;
      const asked = this.asks.get(a.waiter.seat);
      if (!asked) continue;
      this.withdraw(asked);
      if (a.kind === "grant") {
        this.state = residency.addPin(this.state, a.waiter.key, 1);
        this.unstarted++;
      }
      asked.answer(a.kind === "grant" ? { version: a.version ?? 0 } : "denied");
    }
    for (;;) {
      const order = slotOrders.nextOrder(this.state, now, OPTIONS);
      if (!order) break;
      this.carryOut(order, now);
    }
    const inMs = residency.nextTimeoutMs(this.state, now, OPTIONS) ?? Infinity;
    if (inMs === Infinity || (this.timerAt > now && this.timerAt <= now + inMs)) return;
    this.timerAt = now + inMs;
    this.clk.after(inMs, () => {
      this.step();
    });
  }

  private carryOut(a: residency.Action, now: number): void {
    if (a.kind === "close") {
      this.state = residency.putSlot(this.state, { ...a.slot, phase: "closing" });
    } else if (a.kind === "unload") {
      this.state = residency.removeSlot(this.state, a.slot.key);
      this.afterRuns(a.slot.key, () => this.listed.delete(a.slot.key));
    } else if (a.kind === "load") {
      const { life } = this;
      const { key, version = 1 } = a;
      this.loads++;
      this.state = residency.startLoad(this.state, { ...a, version }, now);
      this.afterRuns(key, () => {
        this.listed.delete(key);
        this.clk.after(LOAD_MS, () => {
          this.listed.set(key, version);
          // A daemon that has started since finds it in the next report.
          if (!this.isUp) return;
          this.put(key, version, life === this.life ? (this.state.slots.get(key)?.pins ?? 0) : 0);
          this.step();
        });
      });
    }
  }

  private afterRuns(key: string, run: () => void): void {
    if ((this.runs.get(key) ?? 0) === 0) run();
    else this.orders.set(key, run);
  }

  /** A request reaches the engine; the version that it runs on, undefined if the engine refuses it. */
  accept(key: string, expected: number | undefined): number | undefined {
    const version = this.listed.get(key);
    if (version === undefined || (expected ?? version) !== version || this.orders.has(key))
      return undefined;
    this.runs.set(key, this.busy(key) + 1);
    return version;
  }

  busy(key: string): number {
    return this.runs.get(key) ?? 0;
  }

  end(key: string): void {
    this.runs.set(key, this.busy(key) - 1);
    const run = this.orders.get(key);
    if (this.busy(key) > 0 || !run) return;
    this.orders.delete(key);
    run();
  }
}
