/**
 * The final answer to a request that is given up: it says no more than is certain of the request.
 * @module
 */
import type * as clock from "../host/clock.js";
import * as admission from "./admission.js";
import type * as ask from "./ask.js";
import type * as progress from "./progress.js";

const UNAVAILABLE = 503;

/** Ends a request that is given up; `late`: since its time is over. */
export function giveUp(
  clk: clock.Clock,
  a: ask.Ask,
  out: progress.Outlet,
  p: progress.Progress,
  late: boolean,
): progress.Ending {
  if (out.gone.aborted) return "left";
  if (p.begun) {
    out.breakOff();
    return "broken";
  }
  if (p.runs > 0) {
    out.refuse(late ? 504 : 502, p.why);
    return late ? "late" : "unknown";
  }
  if (p.refusal !== UNAVAILABLE) {
    out.refuse(p.refusal, p.why);
    return "refused";
  }
  // What is known is told as it is, also where it is later than the caller can wait.
  const knownMs = p.releaseMs ?? p.opensInMs;
  const comeBackMs = knownMs ?? admission.comeBack(p.comeBackMs, a.dueAt - clk.mono());
  out.refuse(UNAVAILABLE, p.why, comeBackMs);
  return "refused";
}
