/**
 * What an entry daemon knows of the endpoints. It is late and has gaps, so each view says when it was
 * heard, and counts what this daemon has sent since.
 * @module
 */
import * as circuit from "../link/circuit.js";
import type * as wire from "../link/wire.js";

/** One endpoint as seen from here. */
export interface View {
  readonly name: string;
  readonly failureDomain: string;
  /** `ip:port` of its daemon. */
  readonly address: string;
  /** The platform's list says that it leaves. */
  readonly leaving: boolean;
  readonly news: wire.News | undefined;
  /** Monotonic ms of the newest news. */
  readonly heardAt: number;
  /** This daemon's attempts under way there, now and when the news was heard. */
  readonly own: number;
  readonly ownAtNews: number;
  readonly circuit: circuit.Circuit;
}

/** An endpoint of which nothing was heard yet. */
export function unheard(at: Pick<View, "name" | "failureDomain" | "address" | "leaving">): View {
  return {
    ...at,
    news: undefined,
    heardAt: -Infinity,
    own: 0,
    ownAtNews: 0,
    circuit: circuit.CLOSED,
  };
}

/** The view after `news`; late news of the same life changes nothing. */
export function hear(v: View, news: wire.News, now: number): View {
  if (v.news?.epoch === news.epoch && news.seq <= v.news.seq) return v;
  return { ...v, news, heardAt: now, ownAtNews: v.own };
}

/** Attempts there by the best guess: as last heard, and what was sent from here since. */
export function load(v: View): number {
  if (!v.news) return v.own;
  return v.news.running + v.news.waiting + Math.max(0, v.own - v.ownAtNews);
}

/** Why nothing should be sent there at `now`, in words; undefined when it may. */
export function unusable(v: View, now: number): string | undefined {
  if (v.leaving) return "the list of hosts says it is leaving";
  if (!v.news) return "nothing was heard of it yet";
  if (v.news.state === "draining") return "it is draining";
  if (v.news.state === "learning") return "it does not know its engine's state yet";
  if (!circuit.allows(v.circuit, now)) return "it failed lately";
  return undefined;
}

/** Whether `target` is loaded there, on its way, or neither, as last heard. */
export function holding(v: View, target: string): "loaded" | "coming" | "absent" {
  if (v.news?.loaded.includes(target)) return "loaded";
  return v.news?.coming.includes(target) ? "coming" : "absent";
}
