/**
 * Decides which base model an engine without one should load, and when. Keeps state, but does no I/O.
 * @module
 */
import type * as catalog from "./catalog.js";

type Model = catalog.EngineSpec["models"][number];

export class BaseModelLoader {
  /** Monotonic ms of the last order to load a base model. */
  private orderedAt = -Infinity;
  /** Base models that the engine can load from its own memory or disk. */
  private localModels: readonly string[] = [];

  /** Sets the base models that the engine can load without the weight store, as it reports. */
  setLocalModels(localModels: readonly string[]): void {
    this.localModels = localModels;
  }

  /**
   * Returns the model to load at `now` (monotonic ms); undefined if the engine holds one, if none is
   * configured, or while the last order may still be in progress.
   */
  modelToLoad(
    spec: catalog.EngineSpec | undefined,
    held: readonly string[],
    now: number,
  ): Model | undefined {
    const first = spec?.models[0];
    if (!first || held.length > 0) return undefined;
    return this.orderedAt + first.loadMs > now ? undefined : first;
  }

  /** Whether a load needs a turn at the weight store; a model that the engine has locally needs none. */
  needsTurn(m: Model): boolean {
    return !this.localModels.includes(m.name);
  }

  /** Records that a load was ordered at `now` (monotonic ms). */
  recordLoadOrder(now: number): void {
    this.orderedAt = now;
  }
}
