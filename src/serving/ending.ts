/**
 * Final answers to requests that are given up. An answer claims no more than is certain about the request.
 * @module
 */
import type * as clock from "../host/clock.js";
import * as admission from "./admission.js";
import type * as callerRequest from "./caller-request.js";
import type * as overloadReturns from "./overload/returns.js";
import type * as progress from "./progress.js";

const UNAVAILABLE = 503;

/**
 * Gives a request up; `deadlinePassed` says that its deadline is the cause. With `returns`, a caller that is refused because
 * of the wait is told a booked retry time.
 */
export function giveUp(
  clk: clock.Clock,
  req: callerRequest.CallerRequest,
  res: progress.CallerResponse,
  p: progress.Progress,
  deadlinePassed: boolean,
  returns?: Pick<overloadReturns.Returns, "book">,
): progress.Ending {
  if (res.disconnected.aborted) return "left";
  if (p.hasResponseBegun) {
    res.abort();
    return "broken";
  }
  if (p.runs > 0) {
    res.refuse(deadlinePassed ? 504 : 502, p.why);
    return deadlinePassed ? "late" : "unknown";
  }
  if (p.refusalStatus !== UNAVAILABLE) {
    res.refuse(p.refusalStatus, p.why);
    return "refused";
  }
  // A known time is told as it is, even if it lies beyond the caller's deadline.
  const knownMs = p.releaseMs ?? p.opensInMs;
  if (knownMs === undefined && p.isRefusedForWait) p.booked = returns?.book(req, p.retryAfterMs);
  const retryAfterMs =
    knownMs ?? p.booked?.inMs ?? admission.retryAfterMs(p.retryAfterMs, req.dueAt - clk.mono());
  res.refuse(UNAVAILABLE, p.why, retryAfterMs);
  return "refused";
}
