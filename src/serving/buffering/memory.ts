/**
 * Owns the accounting of what an entry daemon buffers for its callers: the sum over all requests, and a periodic check that
 * runs only while much of the budget is in use or a worker's answer is paused.
 * @module
 */
import type * as clock from "../../host/clock.js";
import type * as structuredLog from "../../host/structured-log.js";
import type * as metrics from "../metrics.js";
import * as memoryBudget from "./memory-budget.js";

/** A request that the check can inspect, resume and end. */
export interface Member extends memoryBudget.Holder {
  /** Id of the request, for the log. */
  readonly request: string;
  /** Updates what it holds and when it last made progress. */
  readonly sample: (now: number) => void;
  /** Resumes reading from its worker if there is room. */
  readonly resume: (now: number) => void;
  /** Refuses the request if its body is still being read, and otherwise resets the connection to its caller. */
  readonly evict: () => void;
}

export interface Deps {
  readonly clock: clock.Clock;
  readonly log: structuredLog.Log;
  readonly metrics: Pick<metrics.Metrics, "recordMemory">;
}

/** Milliseconds between two checks; a small part of a caller's patience. */
const CHECK_MS = 100;
/** Share of the budget above which the sum is checked periodically. */
const WATCH_SHARE = 0.5;
/** Milliseconds for which a sum over fresh figures decides on bodies. */
const FRESH_MS = 10;

/** The bytes held for all requests of a daemon. */
export class Memory {
  private readonly members = new Set<Member>();
  private sum = 0;
  private timer: clock.Timer | undefined;
  private sampledAt = -Infinity;
  /**
   * A request whose whole answer is read regardless of the budget. Without it, answers that are read together could all pause,
   * each holding what the others need.
   */
  private exempt: Member | undefined;
  /** Monotonic ms since which the budget is used up. */
  private usedUpSince: number | undefined;

  constructor(
    readonly budgetBytes: number,
    private readonly deps: Deps,
  ) {}

  /**
   * Bytes held. May exceed the true sum by one write of each open request, as a fast caller's connection is not asked again
   * after each write.
   */
  get heldBytes(): number {
    return this.sum;
  }

  get clock(): clock.Clock {
    return this.deps.clock;
  }

  add(m: Member): void {
    this.members.add(m);
  }

  remove(m: Member): void {
    this.members.delete(m);
    if (this.exempt === m) this.exempt = undefined;
  }

  /** Adds `bytes`, which may be negative, to the sum. Called for each write, so it does no more than that. */
  change(bytes: number): void {
    this.sum += bytes;
    if (this.sum > WATCH_SHARE * this.budgetBytes) this.watch();
  }

  /** Whether a body of `bytes` may be read, of which `own` are counted already; counted in the metrics if not. */
  mayReadBody(bytes: number, own: number): boolean {
    return this.hasRoom(bytes, own, own === 0 ? "announced_body" : "growing_body");
  }

  /** Whether a head that takes `bytes` may be held; counted in the metrics if not. */
  mayHoldHead(bytes: number): boolean {
    return this.hasRoom(bytes, 0, "head");
  }

  private hasRoom(bytes: number, own: number, reason: memoryBudget.RefusalReason): boolean {
    const isAllowed = (): boolean => memoryBudget.mayRead(bytes, this.sum - own, this.budgetBytes);
    if (isAllowed()) return true;
    const now = this.deps.clock.mono();
    if (now - this.sampledAt >= FRESH_MS) this.sample(now);
    if (isAllowed()) return true;
    this.deps.metrics.recordMemory("refused", reason);
    return false;
  }

  /** Whether reading from the worker of `m` must pause; the check then goes on until it resumes. */
  mustPause(m: Member, now: number): boolean {
    const isOver = (): boolean => memoryBudget.mustPause(m, this.sum, this.budgetBytes, now);
    if (!isOver()) return false;
    m.sample(now);
    if (!isOver() || this.isExempt(m)) return false;
    this.watch();
    return true;
  }

  mayResume(m: Member, now: number): boolean {
    return memoryBudget.mayResume(m, this.sum, this.budgetBytes, now) || this.isExempt(m);
  }

  /** Whether a request's whole answer is read regardless of the budget: the first that asks, until it is read. */
  private isExempt(m: Member): boolean {
    if (m.stage !== "fetching") return false;
    if (this.exempt?.stage !== "fetching") this.exempt = m;
    return this.exempt === m;
  }

  close(): void {
    this.timer?.cancel();
  }

  /** Schedules the next check if none is scheduled. */
  private watch(): void {
    this.timer ??= this.deps.clock.after(CHECK_MS, () => {
      this.check();
    });
  }

  private sample(now: number): void {
    this.sampledAt = now;
    for (const m of this.members) m.sample(now);
  }

  private check(): void {
    this.timer = undefined;
    const now = this.deps.clock.mono();
    this.sample(now);
    if (!memoryBudget.isUsedUp(this.sum, this.budgetBytes)) this.usedUpSince = undefined;
    else this.usedUpSince ??= now;
    const usedUpMs = now - (this.usedUpSince ?? now);
    const ended = memoryBudget.toEnd(this.members, this.budgetBytes, usedUpMs, now);
    for (const m of ended) this.end(m, now);
    let isAnyPaused = false;
    for (const m of this.members) {
      if (m.pausedAt !== undefined) m.resume(now);
      isAnyPaused ||= m.pausedAt !== undefined;
    }
    const isWatched = isAnyPaused || this.sum > WATCH_SHARE * this.budgetBytes;
    if (isWatched) this.watch();
  }

  private end(m: Member, now: number): void {
    const reason = memoryBudget.endReason(m, now) ?? "no_room";
    this.deps.metrics.recordMemory("ended", reason);
    this.deps.log.warn("A request was ended to free memory.", {
      request: m.request,
      reason,
      bytes: m.bytes,
      rank: m.rank,
      stalledMs: Math.round(now - m.progressAt),
      heldBytes: this.sum,
      budgetBytes: this.budgetBytes,
    });
    m.evict();
  }
}
