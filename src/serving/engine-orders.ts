/**
 * Orders what the engine loads and unloads. No other part sends orders. One is sent at a time, bound to the engine's
 * incarnation and to the sequence number that the engine last reported, so that an order that arrives late cannot undo
 * a later decision.
 * @module
 */
import type * as clock from "../host/clock.js";
import type * as structuredLog from "../host/structured-log.js";
import * as baseModelLoader from "./base-model-loader.js";
import * as catalog from "./catalog.js";
import type * as engine from "./engine.js";
import type * as engineState from "./engine-state.js";
import * as orderSender from "./order-sender.js";
import * as residency from "./residency.js";
import * as slotOrders from "./slot-orders.js";

export interface Deps {
  readonly clock: clock.Clock;
  readonly log: structuredLog.Log;
  readonly engine: engine.Engine;
  readonly state: engineState.EngineState;
  /** The fencing number that orders carry. */
  readonly fencingNumber: () => number;
  /**
   * Claims a turn to load a base model from the weight store; resolves to false, after a delay, if none
   * is free.
   */
  readonly modelTurn: () => Promise<boolean>;
  /** Polls the engine and updates the state. */
  readonly poll: () => Promise<void>;
  /** Called when an answer shows that the engine is another incarnation now. */
  readonly onLost: () => void;
}

/** The orders to one engine. */
export class EngineOrders {
  private readonly state: engineState.EngineState;
  private readonly sender: orderSender.OrderSender;
  private readonly modelLoader = new baseModelLoader.BaseModelLoader();

  constructor(private readonly deps: Deps) {
    this.state = deps.state;
    this.sender = new orderSender.OrderSender(deps.clock, deps.log, deps.engine);
  }

  /** Milliseconds for which the engine is taken to be busy with another order; 0 if it is not. */
  busyMs(now: number): number {
    return this.sender.busyMs(now);
  }

  /** Forgets the sequence number; called when the engine is lost or another incarnation of it is found. */
  reset(): void {
    this.sender.reset();
  }

  /**
   * Takes over the sequence number of a report; returns false if it fell, as the engine must have
   * restarted.
   */
  syncSequence(sequence: number): boolean {
    return this.sender.syncSequence(sequence);
  }

  /** Takes over the base models that the engine can load without the weight store. */
  setLocalModels(names: readonly string[]): void {
    this.modelLoader.setLocalModels(names);
  }

  /** Carries out the next action on the engine; resolves to whether there was one. */
  async sendNext(): Promise<boolean> {
    const next = this.next();
    if (!next) return this.loadModel();
    await this.carryOut(next);
    return true;
  }

  /** The next order, unless the engine is busy with another one. */
  private next(): residency.Action | undefined {
    if (this.sender.busyMs(this.deps.clock.mono()) > 0) return undefined;
    const { held, now, options } = this.state.snapshot();
    return slotOrders.nextOrder(held, now, options);
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
        this.state.set({
          held: residency.putSlot(this.state.held, {
            ...a.slot,
            phase: "closing",
            phaseSince: now,
          }),
        });
        this.deps.log.info("An adapter in use is closed to new requests.", {
          adapter: a.slot.key,
          pins: a.slot.pins,
        });
        return;
      case "load": {
        const { model, adapter, version } = a;
        this.state.set({ held: residency.startLoad(this.state.held, a, now) });
        await this.send({ kind: "load", model, adapter, version });
        return;
      }
      case "unload":
        this.state.set({
          held: residency.putSlot(this.state.held, { ...a.slot, phase: "unsure", phaseSince: now }),
        });
        await this.send({ kind: "unload", model: a.slot.model, adapter: a.slot.adapter });
        return;
    }
  }

  /** Sends one order, and records its result or polls the engine for it. */
  private async send(o: orderSender.Change): Promise<void> {
    const { sequence } = this.sender;
    const result = await this.sender.send(o, this.state.instance, this.deps.fencingNumber());
    if (result.kind === "moved") {
      this.deps.onLost();
      return;
    }
    if (result.kind !== "accepted" || o.adapter === undefined) {
      await this.deps.poll();
      if (result.kind === "conflict") this.sender.recordConflict(sequence);
      return;
    }
    const key = catalog.adapterKey(o.model, o.adapter);
    if (o.kind === "load") {
      this.state.set({ held: residency.acceptLoad(this.state.held, key) });
      if (result.done) await this.deps.poll();
      else this.sender.recordAccepted();
      return;
    }
    // A slot counts as empty only when a report shows it: the engine may still run a request that its
    // caller abandoned.
    await this.deps.poll();
  }

  /** Orders the base model for an engine that has none; returns whether an order was sent. */
  private async loadModel(): Promise<boolean> {
    const wanted = this.modelLoader.modelToLoad(
      this.state.spec(),
      this.state.held.models,
      this.deps.clock.mono(),
    );
    if (!wanted) return false;
    if (this.modelLoader.needsTurn(wanted) && !(await this.deps.modelTurn())) return false;
    this.modelLoader.recordLoadOrder(this.deps.clock.mono());
    await this.send({ kind: "load", model: wanted.name });
    return true;
  }
}
