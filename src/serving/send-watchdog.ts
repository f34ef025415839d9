/**
 * Watchdog of one send. It breaks off a send of a repeatable request when the engine is known to be gone, or when no answer
 * begins for much longer than expected. A send that may still succeed is broken off only if the request may be sent again.
 * @module
 */
import type * as clock from "../host/clock.js";
import type * as structuredLog from "../host/structured-log.js";
import type * as callerRequest from "./caller-request.js";
import * as catalog from "./catalog.js";
import type * as choice from "./choice.js";
import type * as endpointRegistry from "./endpoint-registry.js";
import type * as progress from "./progress.js";
import type * as upstream from "./upstream.js";

/*
 * A repeatable request is sent elsewhere once its endpoint has been silent for the larger of two times.
 */
/** Silence as a multiple of the expected time to the first event; above what endpoints take at full load. */
const SILENT_EXPECTED_FACTOR = 4;
/** Silence of an engine as a multiple of the route's latency target, before which nothing is lost. */
const SILENT_STREAM_TARGET_FACTOR = 2;
/** The same for a plain service. */
const SILENT_CALL_TARGET_FACTOR = 0.75;

/** Watchdog of one send. */
export interface Watchdog {
  /** Aborts when the send is to be broken off. */
  readonly signal: AbortSignal;
  /** Breaks the send off, whether or not the request may be repeated. */
  readonly breakOff: () => void;
  /** To be called when the first event arrives; ends the wait for an answer. */
  readonly answerBegan: () => void;
  /** To be called when the send has ended. */
  readonly close: () => void;
}

export interface Deps {
  /** Whether the request may be sent again after this send; if so, a retry is charged to the budget. */
  readonly mayGoOn: () => boolean;
  readonly clock: clock.Clock;
  readonly log: structuredLog.Log;
  readonly endpoints: endpointRegistry.EndpointRegistry;
  readonly upstream: upstream.Upstream;
}

/** Starts watching the send of `req` to the endpoint of `best`; an abort of `stopSignal` breaks it off in any case. */
export function start(
  req: callerRequest.CallerRequest,
  p: progress.Progress,
  best: choice.Estimate,
  stopSignal: AbortSignal,
  deps: Deps,
): Watchdog {
  const { id } = best.view.endpoint;
  const controller = new AbortController();
  const stop = (): void => {
    controller.abort();
  };
  stopSignal.addEventListener("abort", stop, { once: true });
  if (stopSignal.aborted) stop();
  const unsubscribe = (): void => {
    stopSignal.removeEventListener("abort", stop);
  };
  const { signal } = controller;
  if (!catalog.isRepeatable(req.route))
    return { signal, breakOff: stop, answerBegan: () => undefined, close: unsubscribe };
  const onEndpointGone = (): void => {
    // If nothing was passed on yet, the send is broken off even without a retry, so that the caller is told at once.
    if (!p.hasResponseBegun || deps.mayGoOn()) stop();
  };
  const unwatch = deps.endpoints.watch(id, onEndpointGone);
  const targetFactor = req.service.engine ? SILENT_STREAM_TARGET_FACTOR : SILENT_CALL_TARGET_FACTOR;
  const silentMs = Math.max(
    targetFactor * req.route.targetMs,
    SILENT_EXPECTED_FACTOR * best.firstMs,
  );
  const onSilence = (): void => {
    // A hedged call is read to its end, and only the connections for other calls are replaced.
    const isHedged = p.sideRuns > 0;
    if (!isHedged && !deps.mayGoOn()) return;
    deps.log.warn("An endpoint does not answer; its connections are replaced.", {
      request: req.meta.id,
      endpoint: id,
      silentMs: Math.round(silentMs),
    });
    deps.upstream.replaceConnections(id);
    if (!isHedged) stop();
  };
  const isRetryAllowed = p.runs + 1 < req.route.attempts && !p.hasResponseBegun;
  const timer = isRetryAllowed ? deps.clock.after(silentMs, onSilence) : undefined;
  return {
    signal,
    breakOff: stop,
    answerBegan: () => timer?.cancel(),
    close: () => {
      timer?.cancel();
      unsubscribe();
      unwatch();
    },
  };
}
