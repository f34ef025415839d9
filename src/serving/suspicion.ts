/**
 * Finds requests that crash the workers that run them ("queries of death").
 *
 * Each run of such a request costs a worker for seconds, together with everything else that runs
 * there and its warm adapters, and the request may be sent again to any entry host. The records are
 * kept by the request's identity: the set of workers that crashed while it was on them.
 *
 * A worker that crashes was running several requests, of which at most one is the cause. So a crash
 * counts for a request only if no other request on that worker has more crashes. And the crashes
 * that count must be too many to be a coincidence, judged from how often workers crash anyway and
 * how long the request was on each. Pure.
 * @module
 */
import * as crashRecords from "./crashes/records.js";

/** Whether a request may be sent to a worker. */
export type Verdict =
  | { readonly kind: "free"; readonly workers: readonly [] }
  /** Some workers crashed while running it, which proves nothing yet. */
  | { readonly kind: "suspected"; readonly workers: readonly string[] }
  /** It must not be sent to a worker for `releaseMs`. */
  | {
      readonly kind: "quarantined";
      readonly workers: readonly string[];
      readonly releaseMs: number;
      /** The prompt parts for which it must not; undefined if it is for the request as a whole. */
      readonly parts?: readonly string[];
    };

/** The verdict on a request without known crashes. */
export const FREE: Verdict = { kind: "free", workers: [] };

/**
 * Minimum number of crashes for quarantine, of a request or of a set of prompt parts. One or two may
 * be coincidence; the users accept three.
 */
export const MIN_CRASHES = 3;
/**
 * Maximum probability that the crashes of a quarantined request are coincidence: less than one
 * request in a hundred million is quarantined in error. With 13 workers of which none crashes
 * otherwise, three crashes of a request that was on each for a quarter of a second come to 3e-13;
 * with one crash per second otherwise they come to 1e-5, and it takes six.
 */
const MAX_CHANCE = 1e-8;
/**
 * Resolution in milliseconds to which a worker's crash and the end of a request's connection can be
 * told apart.
 */
const MIN_EXPOSURE_MS = 250;
/**
 * Windows in milliseconds, centred on a crash, in which the crashes of other workers are counted to
 * estimate how often workers crashed anyway at that time; the highest rate is used. The shortest
 * window is for crashes that come together, as when a failure domain is lost. With the window of a
 * minute alone, workers that have only just begun to crash seem stable, and innocent requests are
 * quarantined.
 */
const WINDOWS_MS = [500, 5000, 20_000, 60_000] as const;
/** Crashes per millisecond assumed on a stable fleet: one in five minutes. */
const BASE_RATE_PER_MS = 1 / 300_000;

/**
 * Whether a crash is attributed to another request that was on the worker, because that one has
 * more crashes than this one.
 */
function isAttributedToOther(
  records: crashRecords.CrashRecords,
  crash: crashRecords.RecordedCrash,
  count: number,
): boolean {
  for (const [identity, crashes] of records.crashes) {
    if (identity !== crash.identity && crashes.size > count && crashes.has(crash.worker))
      return true;
  }
  return false;
}

/**
 * Probability that a worker would have crashed anyway while the request was on it, estimated from
 * how often others did around that time; `others` are the times at which workers crashed that were
 * not running the request.
 */
function chanceOf(crash: crashRecords.RecordedCrash, others: readonly number[]): number {
  const rates = WINDOWS_MS.map((ms) => {
    return others.filter((at) => Math.abs(at - crash.at) * 2 <= ms).length / ms;
  });
  const perMs = (BASE_RATE_PER_MS + Math.max(...rates)) / Math.max(1, crash.peers);
  return Math.min(1, perMs * Math.max(MIN_EXPOSURE_MS, crash.underWayMs));
}

/**
 * Times of the crashes of workers that did not crash while running a request, one per worker.
 * Crashes under another request with at least {@link MIN_CRASHES} are attributed to that request
 * and don't show how often workers crash anyway: otherwise a service of four workers lost all four
 * to the second such request in a row.
 */
function unrelatedCrashTimes(
  records: crashRecords.CrashRecords,
  ownCrashes: ReadonlyMap<string, crashRecords.RecordedCrash>,
): readonly number[] {
  const others = new Map<string, number>();
  for (const [key, at] of records.voided) {
    const worker = crashRecords.workerOf(key);
    if (!ownCrashes.has(worker)) others.set(worker, at);
  }
  for (const crashes of records.crashes.values()) {
    for (const e of crashes.values()) if (!ownCrashes.has(e.worker)) others.set(e.worker, e.at);
  }
  for (const crashes of records.crashes.values()) {
    if (crashes.size >= MIN_CRASHES) for (const worker of crashes.keys()) others.delete(worker);
  }
  return [...others.values()];
}

/** Probability that none of the counted crashes was caused by the request. */
function chanceOfAll(
  records: crashRecords.CrashRecords,
  ownCrashes: ReadonlyMap<string, crashRecords.RecordedCrash>,
  counted: readonly crashRecords.RecordedCrash[],
): number {
  const others = unrelatedCrashTimes(records, ownCrashes);
  return counted.reduce((product, e) => product * chanceOf(e, others), 1);
}

/** The verdict on a request. */
export function evaluate(
  records: crashRecords.CrashRecords,
  identity: string,
  now: number,
): Verdict {
  const ownCrashes = records.crashes.get(identity);
  if (!ownCrashes) return FREE;
  const counted = [...ownCrashes.values()]
    .filter(
      (e) =>
        now - e.at < crashRecords.EXPIRY_MS && !isAttributedToOther(records, e, ownCrashes.size),
    )
    .sort((a, b) => b.at - a.at);
  if (counted.length === 0) return FREE;
  const workers = counted.map((e) => e.worker);
  const last = counted[MIN_CRASHES - 1];
  if (!last || chanceOfAll(records, ownCrashes, counted) > MAX_CHANCE)
    return { kind: "suspected", workers };
  return { kind: "quarantined", workers, releaseMs: last.at + crashRecords.EXPIRY_MS - now };
}
