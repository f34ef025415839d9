/**
 * Watches one send. One that may be repeated is broken off when its engine is known to be gone, or when it
 * gets no sign of an answer for much longer than expected; but only where it may be sent on, since it may still be served.
 * @module
 */
import type * as clock from "../host/clock.js";
import type * as record from "../host/record.js";
import type * as ask from "./ask.js";
import * as catalog from "./catalog.js";
import type * as choice from "./choice.js";
import type * as endpoints from "./endpoints.js";
import type * as progress from "./progress.js";
import type * as upstream from "./upstream.js";

/**
 * Time without a sign of an answer after which a repeatable request is sent elsewhere: as a multiple of
 * the time expected, above what endpoints take when full, and as a part of the target, before which
 * nothing is lost.
 */
const SILENT_FACTOR = 4;
const SILENT_STREAM_TARGETS = 2;
const SILENT_CALL_TARGETS = 0.75;

/** What may break one send off. */
export interface Watch {
  readonly signal: AbortSignal;
  /** The first bytes that matter came. */
  readonly answered: () => void;
  readonly end: () => void;
}

export interface Deps {
  /** Whether the request may be sent on after this send; a retry is charged for it if so. */
  readonly mayGoOn: () => boolean;
  readonly clock: clock.Clock;
  readonly log: record.Log;
  readonly endpoints: endpoints.Endpoints;
  readonly upstream: upstream.Upstream;
}

/** Watches the send of `a` to the endpoint of `best` until it ends; `cut` breaks it off in any case. */
export function open(
  a: ask.Ask,
  p: progress.Progress,
  best: choice.Estimate,
  cut: AbortSignal,
  deps: Deps,
): Watch {
  const { id } = best.view.endpoint;
  if (!catalog.repeatable(a.route)) {
    return { signal: cut, answered: () => undefined, end: () => undefined };
  }
  const own = new AbortController();
  const stop = (): void => {
    own.abort();
  };
  const gone = (): void => {
    // Where nothing was passed on, its caller is better told at once.
    if (!p.begun || deps.mayGoOn()) stop();
  };
  const unwatch = deps.endpoints.watch(id, gone);
  cut.addEventListener("abort", stop, { once: true });
  if (cut.aborted) stop();
  const targets = a.service.engine ? SILENT_STREAM_TARGETS : SILENT_CALL_TARGETS;
  const silentMs = Math.max(targets * a.route.targetMs, SILENT_FACTOR * best.firstMs);
  const silent = (): void => {
    if (!deps.mayGoOn()) return;
    deps.log.warn("An endpoint stays silent; its connections are made anew.", {
      request: a.meta.id,
      endpoint: id,
      silentMs: Math.round(silentMs),
    });
    deps.upstream.renew(id);
    stop();
  };
  const more = p.runs + 1 < a.route.attempts && !p.begun;
  const timer = more ? deps.clock.after(silentMs, silent) : undefined;
  return {
    signal: own.signal,
    answered: () => timer?.cancel(),
    end: () => {
      timer?.cancel();
      cut.removeEventListener("abort", stop);
      unwatch();
    },
  };
}
