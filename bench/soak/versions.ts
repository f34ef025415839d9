/**
 * Checks that no request begins on an outdated version of its adapter where the platform's rules excuse nothing.
 * @module
 */
import type * as journals from "../platform/journal.js";
import * as disturbances from "./disturbances.js";
import * as history from "./history.js";

/** A version of an adapter, and when the store acknowledged its declaration. */
export interface Declaration {
  readonly adapter: string;
  readonly version: number;
  readonly at: number;
}

/** Describes a run of a request that began on an outdated version; undefined if none did. */
export function violation(
  h: history.History,
  s: history.RequestRecord,
  runs: readonly journals.Run[],
): string | undefined {
  const found = runs.flatMap((r) => {
    const newer = h.declared.find((d) => d.adapter === r.adapter && d.version > r.version);
    if (!newer || r.at - newer.at <= history.VERSION_MS) return [];
    const sentOn = h.kept.arrivals.findLast(
      (a) => a.id === r.id && a.instance === r.instance && a.at <= r.at,
    );
    if (
      !wasCalm(h, r.at - history.VERSION_MS, r.at) ||
      history.outOfTouch(h, s.entry, sentOn?.at ?? r.at)
    )
      return [];
    return [
      `began on version ${r.version} of ${r.adapter} at ${r.instance}, ${Math.round(r.at - newer.at)} ms after ` +
        `version ${newer.version} was declared`,
    ];
  });
  return found[0];
}

/** Whether the store was stable and no link was disrupted between two times. */
function wasCalm(h: history.History, from: number, to: number): boolean {
  return !h.disturbances.some((d) => {
    if (d.from >= to) return false;
    return disturbances.isLink(d)
      ? d.to > from
      : d.on === "store" && d.to + disturbances.CONTACT_MS > from;
  });
}
