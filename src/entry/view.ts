/**
 * What an entry daemon knows of one endpoint. Reports arrive late and some are lost, so each view
 * holds the time of its last report and counts what this daemon has sent since.
 * @module
 */
import * as circuitBreaker from "../link/circuit-breaker.js";
import type * as wire from "../link/wire.js";

/** One endpoint as this entry daemon sees it. */
export interface View {
  readonly name: string;
  readonly failureDomain: string;
  /** `ip:port` of the endpoint daemon. */
  readonly address: string;
  /** Whether the platform's list of hosts says that it is leaving. */
  readonly leaving: boolean;
  /** Its last report; undefined before the first and after it stopped responding. */
  readonly news: wire.EndpointReport | undefined;
  /** When the last report arrived, in monotonic ms. */
  readonly heardAt: number;
  /** Attempts of this entry daemon in flight there now. */
  readonly own: number;
  /** Attempts of this entry daemon in flight there when the last report arrived. */
  readonly ownAtNews: number;
  readonly circuit: circuitBreaker.CircuitBreaker;
}

/** The view of an endpoint that has sent no report yet. */
export function unheard(
  member: Pick<View, "name" | "failureDomain" | "address" | "leaving">,
): View {
  return {
    ...member,
    news: undefined,
    heardAt: -Infinity,
    own: 0,
    ownAtNews: 0,
    circuit: circuitBreaker.CLOSED,
  };
}

/**
 * The view after the report `news`; a report older than the last one of the same epoch changes
 * nothing.
 */
export function hear(v: View, news: wire.EndpointReport, now: number): View {
  if (v.news?.epoch === news.epoch && news.seq <= v.news.seq) return v;
  return { ...v, news, heardAt: now, ownAtNews: v.own };
}

/**
 * Estimated number of attempts there: those in the last report, and those that this daemon has sent
 * since.
 */
export function load(v: View): number {
  if (!v.news) return v.own;
  return v.news.running + v.news.waiting + Math.max(0, v.own - v.ownAtNews);
}

/** Why no attempt should be sent there at `now`, in words; undefined when one may be sent. */
export function unusable(v: View, now: number): string | undefined {
  if (v.leaving) return "the list of hosts says it is leaving";
  if (!v.news) return "it has not reported its state";
  if (v.news.state === "draining") return "it is draining";
  if (v.news.state === "learning") return "it does not know the state of its engine yet";
  if (!circuitBreaker.allows(v.circuit, now)) return "it failed recently";
  return undefined;
}

/**
 * Whether `target` is loaded there, is loading or wanted (`coming`), or neither, by the last
 * report.
 */
export function holding(v: View, target: string): "loaded" | "coming" | "absent" {
  if (v.news?.loaded.includes(target)) return "loaded";
  return v.news?.coming.includes(target) ? "coming" : "absent";
}
