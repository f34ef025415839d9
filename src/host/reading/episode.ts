/**
 * Logs what happens many times in a row once when it begins, and once when it has ended, with how often it happened.
 * @module
 */
import type * as clock from "../clock.js";
import type * as structuredLog from "../structured-log.js";

/** Milliseconds without an occurrence after which an episode has ended. */
const CALM_MS = 5000;

export interface Deps {
  readonly clock: Pick<clock.Clock, "mono" | "after">;
  readonly log: Pick<structuredLog.Log, "warn" | "info">;
}

/** What is logged when an episode begins and ends, with its fields. */
export interface Sentences {
  readonly begins: string;
  readonly ends: string;
  readonly fields?: structuredLog.Fields;
}

/** Counts occurrences of one kind. */
export class Episode {
  private count = 0;
  private lastAt = 0;

  constructor(
    private readonly sentences: Sentences,
    private readonly deps: Deps,
  ) {}

  /** Records an occurrence. */
  record(): void {
    this.lastAt = this.deps.clock.mono();
    if (++this.count > 1) return;
    this.deps.log.warn(this.sentences.begins, this.sentences.fields);
    this.endAfter(CALM_MS);
  }

  private endAfter(ms: number): void {
    this.deps.clock.after(ms, () => {
      const leftMs = this.lastAt + CALM_MS - this.deps.clock.mono();
      if (leftMs > 0) {
        this.endAfter(leftMs);
        return;
      }
      this.deps.log.info(this.sentences.ends, { ...this.sentences.fields, count: this.count });
      this.count = 0;
    });
  }
}
