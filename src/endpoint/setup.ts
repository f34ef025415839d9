/**
 * What the gate before an engine is given.
 * @module
 */
import type * as clock from "../host/clock.js";
import type * as log from "../host/log.js";
import type * as metrics from "../host/metrics.js";
import type * as control from "../link/control.js";
import type * as engine from "./engine.js";
import type * as plan from "./plan.js";

/** The deployment's turn at the weight store. */
export interface Turn {
  readonly ask: (target: string, score: number) => Promise<control.TurnAnswer>;
  readonly end: () => void;
}

/** This daemon's hold on the engine. */
export interface Hold {
  /** Fencing number for orders; 0 when none was ever had. */
  readonly fence: () => number;
  /** Whether the daemon that lived as `epoch` handed over and gives no more orders. */
  readonly trusts: (epoch: string) => boolean;
  /** Whether another daemon took the engine. */
  readonly lost: () => boolean;
}

export interface Options {
  readonly name: string;
  /** Unlike that of any other start of any daemon. */
  readonly epoch: string;
  readonly plan: plan.Options;
  readonly slots: number;
  readonly halfLifeMs: number;
  /** Milliseconds between looks at the engine. */
  readonly healthMs: number;
  /** How far the engine's counts may lag, in ms. */
  readonly lagMs: number;
  /** Milliseconds after which a cancelled request has surely ended, whatever the counts say. */
  readonly cancelMs: number;
  /** Milliseconds an order may still be on its way after its reply was lost. */
  readonly orderMs: number;
  /** Milliseconds after a failed load before the next try of that adapter here. */
  readonly retryLoadMs: number;
  /** Whether the engine refuses orders with an old fencing number. */
  readonly fencing: "honoured" | "ignored";
  /** First guess of a load and of an answer, in ms, until some were seen. */
  readonly guessLoadMs: number;
  readonly guessServiceMs: number;
}

export interface Deps {
  readonly clock: clock.Clock;
  readonly log: log.Log;
  readonly metrics: metrics.Metrics;
  /** Undefined beside a plain service. */
  readonly engine: engine.Engine | undefined;
  readonly turn: Turn;
  readonly hold: Hold;
  /** Where an adapter's weights are; undefined when the intent names no such version. */
  readonly source: (target: string) => string | undefined;
  readonly revision: () => number;
}
