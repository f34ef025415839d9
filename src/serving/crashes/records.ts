/**
 * Records of workers that crashed, by the requests that were on them, and the news by which hosts share them.
 *
 * The records only grow, except for crashes that are voided for good, so hosts that received the same news, in any order,
 * late or twice, hold the same records. Pure.
 * @module
 */

/** A worker crashed while a request was on it. */
export interface Crash {
  readonly identity: string;
  /** Id of the worker's incarnation. */
  readonly worker: string;
  /** Milliseconds that the request had been on the worker. */
  readonly underWayMs: number;
  /** Milliseconds since the first event of its answer; 0 if it had none, or if the answer was no stream. */
  readonly answeringMs: number;
  /** Number of workers of its service at that time, including itself. */
  readonly peers: number;
  /** Ids of the request's prompt parts that other requests may share. */
  readonly parts: readonly string[];
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
    }
  /** A request with these prompt parts has run to its end, so none of them crashes workers. */
  | { readonly kind: "cleared"; readonly parts: readonly string[]; readonly ageMs: number };

/** A crash as one host recorded it; `at` in monotonic ms. */
export interface RecordedCrash extends Crash {
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
  /** By prompt part, the monotonic ms at which a request that holds it last ran to its end; the earliest update first. */
  readonly cleared: ReadonlyMap<string, number>;
}

/** Records without crashes. */
export const EMPTY: CrashRecords = { crashes: new Map(), voided: new Map(), cleared: new Map() };

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
/** Maximum number of cleared prompt parts kept; beyond it, those that were cleared longest ago are evicted. */
const MAX_CLEARED = 4096;
/**
 * Milliseconds by which a run must be later than the last one known to count as news of its prompt parts. It bounds the
 * news of a part that all hosts see run at the same time.
 */
const CLEAR_STEP_MS = 500;

function pair(identity: string, worker: string): string {
  return `${identity} ${worker}`;
}

/** The worker in a key of {@link CrashRecords.voided}. */
export function workerOf(key: string): string {
  return key.slice(key.indexOf(" ") + 1);
}

/** All crashes, of all requests. */
export function crashesOf({ crashes }: CrashRecords): readonly RecordedCrash[] {
  return [...crashes.values()].flatMap((byWorker) => [...byWorker.values()]);
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
    case "cleared":
      return clearParts(records, news.parts, at);
  }
}

function recordCrash(records: CrashRecords, crash: RecordedCrash): CrashRecords {
  const { identity, worker, at } = crash;
  const known = records.crashes.get(identity);
  if (records.voided.has(pair(identity, worker))) return records;
  const before = known?.get(worker);
  // Two hosts may report the same crash; all keep the longer time on the worker, which is the
  // weaker evidence, whichever report came first.
  if (before && before.underWayMs >= crash.underWayMs) return records;
  const kept = { ...crash, at: Math.min(at, before?.at ?? at) };
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
  return { ...records, crashes, voided };
}

function clearParts(records: CrashRecords, parts: readonly string[], at: number): CrashRecords {
  const later = parts.filter((p) => at - (records.cleared.get(p) ?? -Infinity) > CLEAR_STEP_MS);
  if (later.length === 0) return records;
  const cleared = new Map(records.cleared);
  for (const part of later) {
    cleared.delete(part);
    cleared.set(part, at);
  }
  for (const oldest of cleared.keys()) {
    if (cleared.size <= MAX_CLEARED) break;
    cleared.delete(oldest);
  }
  return { ...records, cleared };
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
  const cleared = new Map([...records.cleared].filter(([, at]) => !isExpired(at)));
  const isSame = voided.size === records.voided.size && cleared.size === records.cleared.size;
  return dropped === 0 && isSame ? records : { crashes, voided, cleared };
}

/** All records as news, for a newly connected host. */
export function snapshot(records: CrashRecords, now: number): readonly News[] {
  const ended = crashesOf(records).map(({ at, ...e }): News => {
    return { kind: "ended", ...e, ageMs: Math.max(0, now - at) };
  });
  const ran = [...records.voided].map(([key, at]): News => {
    const identity = key.slice(0, key.indexOf(" "));
    return { kind: "ran", identity, workers: [workerOf(key)], ageMs: Math.max(0, now - at) };
  });
  const cleared = [...records.cleared].map(([part, at]): News => {
    return { kind: "cleared", parts: [part], ageMs: Math.max(0, now - at) };
  });
  return [...ended, ...ran, ...cleared];
}
