/**
 * Which base model an engine that has none should load, and when. Pure but for what it remembers.
 * @module
 */
import type * as catalog from "./catalog.js";

type Model = catalog.EngineSpec["models"][number];

export class BaseModel {
  private askedAt = -Infinity;
  /** Base models that the engine loads from its own memory or disk. */
  private nearby: readonly string[] = [];

  /** The engine says which base models it loads without the weight store. */
  heard(nearby: readonly string[]): void {
    this.nearby = nearby;
  }

  /** The model to load at `now`, on the monotonic clock in ms; undefined while there is nothing to do. */
  wanted(
    spec: catalog.EngineSpec | undefined,
    held: readonly string[],
    now: number,
  ): Model | undefined {
    const first = spec?.models[0];
    if (!first || held.length > 0) return undefined;
    return this.askedAt + first.loadMs > now ? undefined : first;
  }

  /** Whether a load takes a turn at the weight store; what the engine has itself needs none. */
  needsTurn(m: Model): boolean {
    return !this.nearby.includes(m.name);
  }

  /** A load was ordered at `now`. */
  asked(now: number): void {
    this.askedAt = now;
  }
}
