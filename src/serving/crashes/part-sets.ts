/**
 * Finds sets of prompt parts that crash the workers that begin to answer a prompt which holds them.
 *
 * Requests with such a part need not be alike in anything else, and sound requests may hold all of their other parts. A worker
 * that crashes was running several requests, of which at most a few hold the part. So crashes alone don't tell the part from
 * those that most requests hold. What does is a run to the end: none of the parts of that request crashes workers. A part
 * counts only for crashes after the last such run.
 *
 * What is left is explained by as few parts as possible. The part with the most crashes is taken first, together with all parts
 * that each request with it holds as well: as long as nothing tells them apart, only the whole set is known to crash workers,
 * and requests without one of them are still served. Pure.
 * @module
 */
import * as suspicion from "../suspicion.js";
import * as records from "./records.js";

/** A set of prompt parts; requests that hold all of them crash their workers. */
export interface PartSet {
  /** Ids of the parts, sorted. */
  readonly parts: readonly string[];
  /** Workers that crashed under requests with all of the parts, the last one first. */
  readonly workers: readonly string[];
  /** Monotonic ms of the last of these crashes. */
  readonly lastAt: number;
  /** Number of these crashes that came after the set was proved, under requests that were not yet on their way then. */
  readonly furtherCrashes: number;
  /** Whether one of these crashes has no other explanation. If not, a sound request may hold all of the parts. */
  readonly isCertain: boolean;
}

/** What the records show about prompt parts at one time. */
export interface Findings {
  readonly sets: readonly PartSet[];
  /**
   * Parts that may crash workers, with the number of workers that crashed under requests with them since such a request last
   * ran to its end.
   */
  readonly suspects: ReadonlyMap<string, number>;
  /** Monotonic ms from which the same records may show more; Infinity if they don't. */
  readonly recheckAt: number;
}

/** Findings without any crash. */
export const NONE: Findings = { sets: [], suspects: new Map(), recheckAt: Infinity };

/**
 * Milliseconds from the crash that proves a set until all hosts know of it and the requests on their way have reached their
 * workers.
 */
const SETTLE_MS = 2000;
/**
 * Milliseconds from the first crash until a part is held responsible that requests held which ran to their end on this host
 * lately. If it does not crash workers, another of these requests runs to its end in that time, and all hosts hear of it.
 */
const GRACE_MS = 2500;

/**
 * Milliseconds from the first event of an answer after which its request is no longer held responsible for a crash, if
 * another request on the worker may be: a part crashes the worker when the answer begins.
 */
const ANSWER_BEGINS_MS = 250;

/**
 * Exponent of the number of crashes under a part, which is weighed against the number of requests with it when parts are
 * compared. A worker runs few requests with a part that crashes it, and many with a part that most requests hold; but such
 * requests queue up too.
 */
const CRASH_WEIGHT = 3;

/** A request under which a worker crashed, with those of its parts that may be the cause. */
interface CrashedRequest {
  readonly worker: string;
  readonly at: number;
  /** Whether its answer had not begun, or had only just. */
  readonly isBeginning: boolean;
  readonly parts: readonly string[];
}

/** What is known of one part. */
interface PartCount {
  readonly workers: Set<string>;
  /** Number of requests with the part under which a worker crashed. */
  requests: number;
  firstAt: number;
}

/** Finds the sets that the records prove at `now`. `ranLately` tells whether a request with a part ended well here lately. */
export function find(
  known: records.CrashRecords,
  ranLately: (part: string) => boolean,
  now: number,
): Findings {
  const all = crashedRequests(known);
  if (all.length === 0) return NONE;
  const counts = countParts(all);
  const inGrace = [...counts].filter(([part, c]) => now < c.firstAt + GRACE_MS && ranLately(part));
  const excused = new Set(inGrace.map(([part]) => part));
  const recheckAt = Math.min(...inGrace.map(([, { firstAt }]) => firstAt + GRACE_MS));
  const suspects = new Map([...counts].map(([part, { workers }]) => [part, workers.size]));
  return { sets: explain(all, excused), suspects, recheckAt };
}

/** The requests under which workers crashed, without the parts that were cleared since. */
function crashedRequests(known: records.CrashRecords): readonly CrashedRequest[] {
  return records
    .crashesOf(known)
    .map(({ worker, at, answeringMs, parts }): CrashedRequest => {
      const suspects = parts.filter((part) => at > (known.cleared.get(part) ?? -Infinity));
      return { worker, at, isBeginning: answeringMs < ANSWER_BEGINS_MS, parts: suspects };
    })
    .filter((r) => r.parts.length > 0);
}

function countParts(all: readonly CrashedRequest[]): ReadonlyMap<string, PartCount> {
  const counts = new Map<string, PartCount>();
  for (const { worker, at, parts } of all) {
    for (const part of parts) {
      const c = counts.get(part) ?? { workers: new Set(), requests: 0, firstAt: at };
      c.workers.add(worker);
      c.requests++;
      c.firstAt = Math.min(c.firstAt, at);
      counts.set(part, c);
    }
  }
  return counts;
}

/** Explains the crashes by sets of parts, each of which accounts for all crashes under its requests. */
function explain(all: readonly CrashedRequest[], excused: ReadonlySet<string>): readonly PartSet[] {
  const sets: PartSet[] = [];
  let open = likelyCauses(
    all
      .map((s) => ({ ...s, parts: s.parts.filter((part) => !excused.has(part)) }))
      .filter((s) => s.parts.length > 0),
  );
  for (;;) {
    const part = likeliest(countParts(open));
    if (part === undefined) return sets;
    const set = setAround(part, open);
    sets.push(set);
    const explained = new Set(set.workers);
    open = open.filter((s) => !explained.has(s.worker));
  }
}

/** Of the requests on each worker those whose answers were beginning, if there are any. */
function likelyCauses(all: readonly CrashedRequest[]): readonly CrashedRequest[] {
  const workers = new Set(all.filter((s) => s.isBeginning).map((s) => s.worker));
  return all.filter((s) => s.isBeginning || !workers.has(s.worker));
}

/** The part that explains the crashes best; undefined if none has enough of them. */
function likeliest(counts: ReadonlyMap<string, PartCount>): string | undefined {
  let best: string | undefined;
  let bestScore = 0;
  for (const [part, { workers, requests }] of counts) {
    if (workers.size < suspicion.MIN_CRASHES) continue;
    const score = workers.size ** CRASH_WEIGHT / requests;
    const isBetter = score > bestScore || (score === bestScore && part < (best ?? ""));
    if (!isBetter) continue;
    best = part;
    bestScore = score;
  }
  return best;
}

/** The set of the parts that all requests with `part` hold. */
function setAround(part: string, all: readonly CrashedRequest[]): PartSet {
  const own = all.filter((s) => s.parts.includes(part)).sort((a, b) => b.at - a.at);
  const [first] = own;
  const shared = new Set(first?.parts);
  for (const s of own) for (const p of shared) if (!s.parts.includes(p)) shared.delete(p);
  const crashedAt = new Map(own.map((s) => [s.worker, s.at]));
  const provedAt = [...crashedAt.values()].at(-suspicion.MIN_CRASHES) ?? Infinity;
  return {
    parts: [...shared].sort(),
    workers: [...crashedAt.keys()],
    lastAt: first?.at ?? 0,
    furtherCrashes: [...crashedAt.values()].filter((at) => at > provedAt + SETTLE_MS).length,
    isCertain: own.some((s) => s.parts.every((p) => shared.has(p))),
  };
}

/** Whether a request with some parts holds all parts of a set. */
export function holds(parts: readonly string[], set: Pick<PartSet, "parts">): boolean {
  return set.parts.every((part) => parts.includes(part));
}
