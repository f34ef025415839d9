/**
 * Books the retries of callers that an entry daemon refuses because of the wait, by service. Kept in memory and lost on
 * restart.
 * @module
 */
import type * as clock from "../../host/clock.js";
import * as admission from "../admission.js";
import type * as callerRequest from "../caller-request.js";
import type * as catalog from "../catalog.js";
import type * as metrics from "../metrics.js";
import * as steady from "../pacing/steady.js";
import * as returnSchedule from "./return-schedule.js";

/** What booking needs of the entry daemon. */
export interface Deps {
  readonly clock: clock.Clock;
  readonly metrics: Pick<metrics.Metrics, "recordReturn">;
  readonly catalog: () => catalog.Catalog;
}

/** The schedules of one entry daemon. */
export class Returns {
  private readonly schedules = new Map<string, returnSchedule.Schedule>();

  constructor(private readonly deps: Deps) {}

  /** Records that a request is admitted to an engine. */
  recordAdmission(req: callerRequest.CallerRequest): void {
    if (!this.isInForce()) return;
    const schedule = returnSchedule.recordAdmission(this.of(req), this.deps.clock.mono());
    this.schedules.set(req.service.name, schedule);
  }

  /**
   * Books the retry of a request that is refused because it would wait for `waitMs`; undefined where the configuration has
   * no steady streams.
   */
  book(req: callerRequest.CallerRequest, waitMs: number): returnSchedule.Booked | undefined {
    if (!this.isInForce()) return undefined;
    const now = this.deps.clock.mono();
    const leftMs = req.dueAt - now;
    const booked = returnSchedule.book(
      this.of(req),
      {
        rank: req.route.rank,
        waitMs: admission.retryAfterMs(waitMs, leftMs),
        latestMs: admission.retryAfterMs(Infinity, leftMs),
      },
      now,
    );
    this.schedules.set(req.service.name, booked.schedule);
    this.deps.metrics.recordReturn(req.route.rank, booked.isLimited ? "limited" : "booked");
    return booked;
  }

  private of(req: callerRequest.CallerRequest): returnSchedule.Schedule {
    return this.schedules.get(req.service.name) ?? returnSchedule.EMPTY;
  }

  private isInForce(): boolean {
    const { config } = this.deps.catalog();
    return config !== undefined && steady.hasSteadyStreams(config);
  }
}
