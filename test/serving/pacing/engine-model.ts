/**
 * A model of an engine with a batch, in virtual time: each step makes one token for each running request and reads a
 * piece of the waiting prompts.
 * @module
 */

/** A request on the engine. */
export interface Run {
  readonly id: string;
  readonly rank: number;
  readonly promptTokens: number;
  readonly answerTokens: number;
  readonly arrivedAt: number;
  /** Tokens still to be read, and those made. */
  unread: number;
  made: number;
  /** Whether it was in the batch in the last step. */
  active: boolean;
  /** Times of its first and latest event, and its longest pause, in ms. */
  firstAt: number;
  lastAt: number;
  pauseMs: number;
}

export const STEP_MS = 5.5;
export const RUN_MS = 0.03;
export const TOKENS_PER_MS = 38.7;
export const EVENT_TOKENS = 7;
const CHUNK_TOKENS = 2048;

export class EngineModel {
  now = 0;
  preempted = 0;
  private runs: Run[] = [];

  constructor(
    private readonly speed: number,
    private readonly batch: number,
    /** Factor on all times at a time. */
    private readonly slowdown: (now: number) => number,
  ) {}

  add(r: Pick<Run, "id" | "rank" | "promptTokens" | "answerTokens" | "arrivedAt">): void {
    const none = { made: 0, active: false, firstAt: -1, lastAt: 0, pauseMs: 0 };
    this.runs.push({ ...r, ...none, unread: r.promptTokens });
  }

  /** Runs one step, or waits until `until` without requests; returns the runs with a new event. */
  step(until: number): readonly Run[] {
    const arrived = this.runs.filter((r) => r.arrivedAt <= this.now);
    if (arrived.length === 0) {
      this.now = Math.max(this.now, Math.min(until, ...this.runs.map((r) => r.arrivedAt)));
      return [];
    }
    const active = this.select(arrived);
    let left = CHUNK_TOKENS;
    for (const r of active) {
      const piece = Math.min(left, r.unread);
      r.unread -= piece;
      left -= piece;
    }
    const making = active.filter((r) => r.unread === 0);
    const stepMs = STEP_MS + RUN_MS * making.length + (CHUNK_TOKENS - left) / TOKENS_PER_MS;
    this.now += (stepMs / this.speed) * this.slowdown(this.now);
    const events = making.filter((r) => this.makeToken(r));
    this.runs = this.runs.filter((r) => r.made < r.answerTokens);
    return events;
  }

  /** The batch: the most urgent requests, the oldest first. A request that falls out is read again. */
  private select(arrived: readonly Run[]): readonly Run[] {
    const order = [...arrived].sort((a, b) => a.rank - b.rank || a.arrivedAt - b.arrivedAt);
    for (const [i, r] of order.entries()) {
      if (r.active && i >= this.batch) {
        this.preempted++;
        r.unread = r.promptTokens + r.made;
      }
      r.active = i < this.batch;
    }
    return order.slice(0, this.batch).sort((a, b) => a.arrivedAt - b.arrivedAt);
  }

  /** Makes one token; returns whether it ends an event. The first event holds the first token alone. */
  private makeToken(r: Run): boolean {
    r.made++;
    if (r.made > 1 && (r.made - 1) % EVENT_TOKENS !== 0 && r.made < r.answerTokens) return false;
    if (r.firstAt < 0) r.firstAt = this.now;
    else r.pauseMs = Math.max(r.pauseMs, this.now - r.lastAt);
    r.lastAt = this.now;
    return true;
  }
}
