/**
 * Checks that no stream has events of two software versions, over all attempts of its caller, and that streams mostly go on
 * where their callers resume them.
 * @module
 */
import * as workers from "../platform/worker.js";
import * as history from "./history.js";

/** Resumed streams from which on their share that goes on counts, and the least it may be of that of new streams that begin. */
const MIN_RESUMED = 12;
const MIN_SHARE = 0.5;

/** One line for each stream with events of two versions, and one if too few resumed streams went on. */
export function violations(h: history.History): readonly string[] {
  const versions = new Map<string, Set<string>>();
  for (const s of h.seen) {
    const stream = s.resumed?.first ?? s.id;
    const found = versions.get(stream) ?? new Set();
    for (const v of workers.softwareIn(history.wholeEvents(s))) found.add(v);
    versions.set(stream, found);
  }
  const mixed = [...versions].filter(([, found]) => found.size > 1);
  return [
    ...mixed.map(([id, found]) => `software: ${id} has events of ${[...found].sort().join(", ")}`),
    ...resumptionViolations(h),
    ...unknownViolations(h),
  ];
}

/** Text of a refusal of a stream whose origin is not known. */
const UNKNOWN_ORIGIN = "not known which software version";
/** Streams of unknown origin from which on their share counts, and the largest that it may be. */
const MIN_UNKNOWN = 7;
const MAX_UNKNOWN_SHARE = 0.5;

/**
 * Whatever daemons ended, the origins of most resumed streams must be known where the store was reached all the while. Streams that
 * were refused for other reasons are not counted.
 */
function unknownViolations(h: history.History): readonly string[] {
  const begun = new Map(h.seen.map((s) => [s.id, s.sentAt]));
  const resumed = h.seen.filter(
    (s) =>
      s.resumed !== undefined &&
      !history.storeDisturbed(h, begun.get(s.resumed.first) ?? s.sentAt, s.endedAt),
  );
  const unknown = resumed.filter(
    (s) => s.end.kind === "answer" && s.end.status === 503 && s.end.text.includes(UNKNOWN_ORIGIN),
  );
  const known = resumed.filter((s) => history.wholeEvents(s).length > 0);
  const count = unknown.length + known.length;
  if (unknown.length < MIN_UNKNOWN || unknown.length <= MAX_UNKNOWN_SHARE * count) return [];
  return [`software: of ${count} resumed streams ${unknown.length} had no known origin`];
}

/** Where only one version served all the time, resumed streams must go on about as often as new ones begin. */
function resumptionViolations(h: history.History): readonly string[] {
  if (new Set(h.kept.runs.flatMap((r) => r.software ?? [])).size > 1) return [];
  const inTouch = h.seen.filter(
    (s) => s.kind === "stream" && !history.outOfTouch(h, s.entry, s.sentAt, s.endedAt),
  );
  const resumed = inTouch.filter((s) => s.resumed !== undefined);
  const share = (of: readonly history.RequestRecord[]): number =>
    of.filter((s) => history.wholeEvents(s).length > 0).length / Math.max(1, of.length);
  const least = MIN_SHARE * share(inTouch.filter((s) => s.resumed === undefined));
  if (resumed.length < MIN_RESUMED || share(resumed) >= least) return [];
  return [`software: of ${resumed.length} resumed streams ${share(resumed).toFixed(2)} went on`];
}
