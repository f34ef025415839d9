/**
 * Finds requests that crash the workers that run them ("queries of death").
 *
 * Each run of such a request costs a worker for seconds, together with everything else that runs
 * there and its warm adapters, and the request may be sent again to any entry host. The records are
 * kept by the request's identity: the set of workers that crashed while it was on them. These sets
 * only grow, except for crashes that are voided for good. So hosts that received the same news, in
 * any order, late or twice, hold the same records.
 *
 * A worker that crashes was running several requests, of which at most one is the cause. So a crash
 * counts for a request only if no other request on that worker has more crashes. And the crashes
 * that count must be too many to be a coincidence, judged from how often workers crash anyway and
 * how long the request was on each. Pure.
 * @module
 */

/** A worker crashed while a request was on it. */
export interface Crash {
  readonly identity: string;
  /** Id of the worker's incarnation. */
  readonly worker: string;
  /** Milliseconds that the request had been on the worker. */
  readonly underWayMs: number;
  /** Number of workers of its service at that time, including itself. */
  readonly peers: number;
}

/** What hosts tell one another. */
export type News =
  | (Crash & { readonly kind: "ended"; readonly ageMs: number })
  /** The request has since run to its end, which voids the crashes that the sender knew of. */
  | {
      readonly kind: "ran";
      readonly identity: string;
      readonly workers: readonly string[];
      readonly ageMs: number;
    };

/** A crash as one host recorded it; `at` in monotonic ms. */
interface RecordedCrash extends Crash {
  readonly at: number;
}

/** The known crashes under requests. */
export interface CrashRecords {
  /** By identity, then by worker. */
  readonly crashes: ReadonlyMap<string, ReadonlyMap<string, RecordedCrash>>;
  /**
   * Crashes that no longer count against their request, by {@link pair}, with the monotonic ms of
   * each. The worker did crash, so they still show how often workers crash without that request.
   */
  readonly voided: ReadonlyMap<string, number>;
}

/** Records without crashes. */
export const EMPTY: CrashRecords = { crashes: new Map(), voided: new Map() };

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
    };

/** The verdict on a request without known crashes. */
export const FREE: Verdict = { kind: "free", workers: [] };

/**
 * Minimum number of crashes for quarantine. One or two may be coincidence; the users accept three.
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
 * Milliseconds for which a crash counts. That gives an operator time to look, and a request that
 * does crash its workers costs no more than three of them in that time.
 */
export const EXPIRY_MS = 600_000;
/**
 * Maximum number of requests and of voided crashes kept. A worker that crashes is running about ten
 * requests, so this is room for a hundred crashes. Beyond it the request with the fewest crashes is
 * evicted first, and among those the oldest.
 */
const MAX_REQUESTS = 1024;
const MAX_VOIDED = 4096;

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

function pair(identity: string, worker: string): string {
  return `${identity} ${worker}`;
}

function workerOf(key: string): string {
  return key.slice(key.indexOf(" ") + 1);
}

/** The records after one piece of news; the same object if it changes nothing. */
export function apply(records: CrashRecords, news: News, now: number): CrashRecords {
  const at = now - news.ageMs;
  if (now - at >= EXPIRY_MS) return records;
  switch (news.kind) {
    case "ended":
      return recordCrash(records, { ...news, at });
    case "ran":
      return voidCrashes(records, news.identity, news.workers, at);
  }
}

function recordCrash(records: CrashRecords, crash: RecordedCrash): CrashRecords {
  const { identity, worker, underWayMs, peers, at } = crash;
  const known = records.crashes.get(identity);
  if (records.voided.has(pair(identity, worker))) return records;
  const before = known?.get(worker);
  // Two hosts may report the same crash; all keep the longer time on the worker, which is the
  // weaker evidence, whichever report came first.
  if (before && before.underWayMs >= underWayMs) return records;
  const kept = { identity, worker, underWayMs, peers, at: Math.min(at, before?.at ?? at) };
  const crashes = new Map(records.crashes).set(identity, new Map(known).set(worker, kept));
  if (crashes.size > MAX_REQUESTS) crashes.delete(evictionCandidate(crashes));
  return { ...records, crashes };
}

/** The identity with the fewest crashes, and among those the oldest. */
function evictionCandidate(ends: CrashRecords["crashes"]): string {
  let least = "";
  let fewest = Infinity;
  for (const [identity, crashes] of ends) {
    if (crashes.size >= fewest) continue;
    least = identity;
    fewest = crashes.size;
  }
  return least;
}

function voidCrashes(
  records: CrashRecords,
  identity: string,
  workers: readonly string[],
  at: number,
): CrashRecords {
  const newlyVoided = workers.filter((w) => !records.voided.has(pair(identity, w)));
  if (newlyVoided.length === 0) return records;
  const voided = new Map(records.voided);
  const ownCrashes = records.crashes.get(identity);
  for (const w of newlyVoided) voided.set(pair(identity, w), ownCrashes?.get(w)?.at ?? at);
  for (const oldest of voided.keys()) {
    if (voided.size <= MAX_VOIDED) break;
    voided.delete(oldest);
  }
  const remaining = new Map(ownCrashes);
  for (const w of newlyVoided) remaining.delete(w);
  const crashes = new Map(records.crashes);
  if (remaining.size > 0) crashes.set(identity, remaining);
  else crashes.delete(identity);
  return { crashes, voided };
}

/** The records without those that have expired; the same object if none has. */
export function expire(records: CrashRecords, now: number): CrashRecords {
  const isExpired = (at: number): boolean => now - at >= EXPIRY_MS;
  const crashes = new Map<string, ReadonlyMap<string, RecordedCrash>>();
  let dropped = 0;
  for (const [identity, byWorker] of records.crashes) {
    const remaining = [...byWorker].filter(([, e]) => !isExpired(e.at));
    dropped += byWorker.size - remaining.length;
    if (remaining.length > 0) crashes.set(identity, new Map(remaining));
  }
  const voided = new Map([...records.voided].filter(([, at]) => !isExpired(at)));
  if (dropped === 0 && voided.size === records.voided.size) return records;
  return { crashes, voided };
}

/**
 * Whether a crash is attributed to another request that was on the worker, because that one has
 * more crashes than this one.
 */
function isAttributedToOther(records: CrashRecords, crash: RecordedCrash, count: number): boolean {
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
function chanceOf(crash: RecordedCrash, others: readonly number[]): number {
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
  records: CrashRecords,
  ownCrashes: ReadonlyMap<string, RecordedCrash>,
): readonly number[] {
  const others = new Map<string, number>();
  for (const [key, at] of records.voided) {
    const worker = workerOf(key);
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
  records: CrashRecords,
  ownCrashes: ReadonlyMap<string, RecordedCrash>,
  counted: readonly RecordedCrash[],
): number {
  const others = unrelatedCrashTimes(records, ownCrashes);
  return counted.reduce((product, e) => product * chanceOf(e, others), 1);
}

/** The verdict on a request. */
export function evaluate(records: CrashRecords, identity: string, now: number): Verdict {
  const ownCrashes = records.crashes.get(identity);
  if (!ownCrashes) return FREE;
  const counted = [...ownCrashes.values()]
    .filter((e) => now - e.at < EXPIRY_MS && !isAttributedToOther(records, e, ownCrashes.size))
    .sort((a, b) => b.at - a.at);
  if (counted.length === 0) return FREE;
  const workers = counted.map((e) => e.worker);
  const last = counted[MIN_CRASHES - 1];
  if (!last || chanceOfAll(records, ownCrashes, counted) > MAX_CHANCE)
    return { kind: "suspected", workers };
  return { kind: "quarantined", workers, releaseMs: last.at + EXPIRY_MS - now };
}

/** All records as news, for a newly connected host. */
export function snapshot(records: CrashRecords, now: number): readonly News[] {
  const ended = [...records.crashes.values()].flatMap((crashes) =>
    [...crashes.values()].map(({ at, ...e }): News => ({
      kind: "ended",
      ...e,
      ageMs: Math.max(0, now - at),
    })),
  );
  const ran = [...records.voided].map(([key, at]): News => {
    const identity = key.slice(0, key.indexOf(" "));
    return { kind: "ran", identity, workers: [workerOf(key)], ageMs: Math.max(0, now - at) };
  });
  return [...ended, ...ran];
}
