/**
 * Checks whether workers that announced a limit, left or asked for a pause got requests against the platform's rules that
 * no disturbance excuses.
 * @module
 */
import type * as journals from "../platform/journal.js";
import * as limits from "../platform/limits.js";
import * as notices from "../platform/notices.js";
import * as daemons from "./daemon.js";
import * as disturbances from "./disturbances.js";
import type * as history from "./history.js";

/** One line for each broken rule. */
export function violations(h: history.History): readonly string[] {
  const { arrivals } = h.kept;
  const sent = new Map(h.seen.map((s) => [s.id, { entry: s.entry, at: s.sentAt }]));
  const told = h.seen.flatMap((s) =>
    s.end.kind === "answer" && s.end.leaving && s.end.by !== ""
      ? [{ entry: s.entry, instance: s.end.by, at: s.endedAt }]
      : [],
  );
  return [
    ...limits.limitViolations(arrivals, (a) => countsAgainstLimit(h, a)),
    ...notices.leavingViolations(arrivals, sent, told, daemons.DRAIN_MS, (entry, _by, from, to) =>
      ranThroughout(h, entry, from, to),
    ),
    ...notices.pauseViolations(arrivals, sent, (entry, by, from, to) => {
      const parts = new Set([entry, disturbances.placeOf(by)]);
      return !disturbances.anyDisturbed(h.disturbances, from, to, (d) => parts.has(d.on));
    }),
  ];
}

/** Whether an entry daemon's process ran without interruption between two times: it was not ended or frozen. */
function ranThroughout(h: history.History, entry: string, from: number, to: number): boolean {
  return !h.disturbances.some(
    (d) => d.on === entry && !disturbances.isReload(d) && d.from < to && d.to > from,
  );
}

/** Whether an arrival counts against its worker's limit: its entry host had passed the limit on, and nothing excuses it. */
function countsAgainstLimit(h: history.History, a: journals.Arrival): boolean {
  const entry = h.seen.find((s) => s.id === a.id)?.entry;
  if (entry === undefined) return false;
  const parts = new Set([entry, disturbances.placeOf(a.instance)]);
  if (
    disturbances.anyDisturbed(h.disturbances, a.at - limits.LIMIT_GRACE_MS, a.at, (d) =>
      parts.has(d.on),
    )
  )
    return false;
  const before = h.disturbances
    .filter((d) => d.on === entry && !disturbances.isReload(d) && d.to <= a.at)
    .map((d) => d.to);
  const since = Math.max(0, ...before);
  return h.seen.some(
    (s) =>
      s.entry === entry &&
      s.sentAt >= since &&
      s.endedAt + limits.PROPAGATION_MS <= a.at &&
      s.end.kind === "answer" &&
      s.end.by === a.instance &&
      s.end.limitPerS === a.limitPerS,
  );
}
