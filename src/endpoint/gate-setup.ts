/**
 * Options and dependencies of the admission gate.
 * @module
 */
import type * as clock from "../host/clock.js";
import type * as log from "../host/log.js";
import type * as statsdMetrics from "../host/statsd-metrics.js";
import type * as control from "../link/control.js";
import type * as engine from "./engine.js";
import type * as plan from "./plan.js";

/** Asks for this endpoint's turn to load from the weight store, which the whole deployment shares. */
export interface TurnClient {
  readonly ask: (target: string, score: number) => Promise<control.TurnAnswer>;
  readonly end: () => void;
}

/** This daemon's exclusive lease on the engine. */
export interface EngineLease {
  /** Fencing number to send with load and unload orders; 0 if the lease was never held. */
  readonly fencingNumber: () => number;
  /** Whether the daemon with `epoch` handed over the engine and sends it no more orders. */
  readonly hasHandedOver: (epoch: string) => boolean;
  /** Whether another daemon took over the lease. */
  readonly isLost: () => boolean;
}

export interface Options {
  readonly name: string;
  /** Unique for each start of a daemon. */
  readonly epoch: string;
  readonly plan: plan.Options;
  readonly slots: number;
  readonly halfLifeMs: number;
  /** Milliseconds between polls of the engine. */
  readonly pollIntervalMs: number;
  /** Milliseconds by which the request counts of the engine may lag behind. */
  readonly countLagMs: number;
  /** Milliseconds after which a cancelled request has certainly ended, whatever the counts show. */
  readonly maxCancelMs: number;
  /** Milliseconds for which an order may still take effect after its reply was lost. */
  readonly orderTimeoutMs: number;
  /** Milliseconds to wait after a failed load before the same adapter is loaded again. */
  readonly retryLoadMs: number;
  /** Whether the engine refuses orders with an outdated fencing number. */
  readonly fencing: "honoured" | "ignored";
  /** Initial estimates of the duration of a load and of an answer, in ms. */
  readonly initialLoadMs: number;
  readonly initialServiceMs: number;
}

export interface Deps {
  readonly clock: clock.Clock;
  readonly log: log.Log;
  readonly metrics: statsdMetrics.Metrics;
  /** Undefined for a plain service. */
  readonly engine: engine.Engine | undefined;
  readonly turn: TurnClient;
  readonly engineLease: EngineLease;
  /** Location of the weights of `target`; undefined if the intent has no such version. */
  readonly sourceOf: (target: string) => string | undefined;
  /** Revision of the intent that this daemon follows. */
  readonly revision: () => number;
}
