/**
 * An in-memory engine that can lose answers, carry out orders late, be out, or restart.
 * @module
 */
import type * as engine from "../../src/serving/engine.js";
import * as notices from "../../src/serving/notices.js";
import * as incarnation from "../../src/serving/incarnation.js";

/** Milliseconds that a load of an adapter takes. */
const LOAD_MS = 15;

/** What happens to the next orders. */
export type OrderBehaviour = "well" | "answer lost" | "late" | "out";

export class FakeEngine implements engine.Engine {
  behaviour: OrderBehaviour = "well";
  instance = "i1";
  /** Unix ms of its start; undefined if it does not report it. */
  startedAt: number | undefined;
  /** Number of orders accepted. */
  sequence = 0;
  /** Largest number of adapters that were held or loading at the same time. */
  peakHeld = 0;
  readonly held = new Map<string, { version: number; ready: boolean }>();
  readonly orders: string[] = [];
  /** Version that a load without a version gets. */
  newestVersion = 1;
  /** Whether the base model is loaded. */
  hasModel = true;
  /** Base models that it can load without the weight store. */
  localModels: readonly string[] = [];
  /** Milliseconds for which the old version is still listed after the order to replace it. */
  replaceMs = 0;
  /** Monotonic ms until which it refuses orders, as if busy with another. */
  busyUntil = 0;
  /** Highest fencing number of an order; orders with a lower one are refused. */
  private highestFence = 0;
  /** Milliseconds for which an adapter is still listed after its unload was accepted. */
  unloadDelayMs = 0;

  /** Notice in its reports. */
  notice = notices.EMPTY;

  report = (): Promise<engine.Report> => {
    if (this.behaviour === "out") return Promise.reject(new Error("connection refused"));
    const adapters = [...this.held];
    return Promise.resolve({
      localModels: this.localModels,
      notice: this.notice,
      models: [
        ...(this.hasModel
          ? [
              {
                name: "m",
                version: 1,
                adapters: adapters
                  .filter(([, a]) => a.ready)
                  .map(([adapter, a]) => ({ adapter, version: a.version })),
              },
            ]
          : []),
      ],
      pending: adapters
        .filter(([, a]) => !a.ready)
        .map(([adapter, a]) => ({ model: "m", adapter, version: a.version })),
      born: this.startedAt,
      busy: false,
      sequence: this.sequence,
      queued: 0,
      active: 0,
    });
  };

  identify = (): Promise<string> =>
    this.behaviour === "out"
      ? Promise.reject(new Error("connection refused"))
      : Promise.resolve(this.instance);

  order = (o: engine.Order): Promise<engine.OrderResult> => {
    this.orders.push(`${o.kind} ${o.adapter ?? ""}`);
    switch (this.behaviour) {
      case "out":
        return Promise.resolve({ kind: "unanswered", why: "out" });
      case "late":
        setTimeout(() => this.carryOut(o), 100);
        return Promise.resolve({ kind: "unanswered", why: "late" });
      case "answer lost":
        this.carryOut(o);
        return Promise.resolve({ kind: "unanswered", why: "lost" });
      case "well":
        // As with a real connection, other events happen between an order and its answer.
        return new Promise((resolve) => {
          setImmediate(() => {
            resolve(this.carryOut(o));
          });
        });
    }
  };

  /** Crashes and restarts the engine; it is then another incarnation and holds no adapters. */
  restart(): void {
    this.instance = `${this.instance}+`;
    this.sequence = 0;
    this.highestFence = 0;
    this.held.clear();
  }

  private carryOut(o: engine.Order): engine.OrderResult {
    if (incarnation.workerOf(o.instance) !== this.instance)
      return { kind: "moved", instance: undefined };
    if (o.epoch < this.highestFence) return { kind: "fenced" };
    this.highestFence = o.epoch;
    if (o.sequence !== this.sequence) return { kind: "conflict" };
    if (performance.now() < this.busyUntil) return { kind: "conflict" };
    this.sequence++;
    const { adapter } = o;
    if (adapter === undefined) {
      this.hasModel = true;
      return { kind: "accepted", done: false };
    }
    if (o.kind === "unload") {
      if (this.unloadDelayMs > 0) setTimeout(() => this.held.delete(adapter), this.unloadDelayMs);
      else this.held.delete(adapter);
      return { kind: "accepted", done: true };
    }
    if (this.held.has(adapter) && this.replaceMs > 0) {
      setTimeout(
        () => this.held.set(adapter, { version: this.newestVersion, ready: true }),
        this.replaceMs,
      );
      return { kind: "accepted", done: false };
    }
    const loading = { version: o.version ?? this.newestVersion, ready: false };
    this.held.set(adapter, loading);
    this.peakHeld = Math.max(this.peakHeld, this.held.size);
    setTimeout(() => {
      loading.ready = true;
    }, LOAD_MS);
    return { kind: "accepted", done: false };
  }
}
