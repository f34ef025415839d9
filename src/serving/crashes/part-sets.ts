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
 * and requests without one of them are still served.
 *
 * A request that is in quarantine by itself explains its crashes too, so that they don't count for the parts of all the others
 * on its workers. It is weighed as a part is: a part that crashed more workers is still the better explanation. Pure.
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
  /** Its identity if it is in quarantine by itself. */
  readonly quarantined?: string;
  readonly at: number;
  /** Whether its answer had not begun, or had only just. */
  readonly isBeginning: boolean;
  readonly parts: readonly string[];
}

/** What is known of one part, or of one request. */
interface CrashCount {
  readonly workers: Set<string>;
  /** Number of requests with the part under which a worker crashed, or of crashes under the request. */
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
  const isProvable = [...counts.values()].some((c) => c.workers.size >= suspicion.MIN_CRASHES);
  if (!isProvable) return { sets: [], suspects, recheckAt };
  const withCauses = crashedRequests(known, quarantinedRequests(known, now));
  return { sets: explain(withCauses, excused), suspects, recheckAt };
}

/** Identities of the requests that are in quarantine by themselves. */
function quarantinedRequests(known: records.CrashRecords, now: number): ReadonlySet<string> {
  const repeated = [...known.crashes].filter(([, { size }]) => size >= suspicion.MIN_CRASHES);
  return new Set(
    repeated.flatMap(([identity]) =>
      suspicion.evaluate(known, identity, now).kind === "quarantined" ? [identity] : [],
    ),
  );
}

/** The requests under which workers crashed, without the parts that were cleared since. */
function crashedRequests(
  known: records.CrashRecords,
  quarantined?: ReadonlySet<string>,
): readonly CrashedRequest[] {
  return records
    .crashesOf(known)
    .map(({ identity, worker, at, answeringMs, parts }): CrashedRequest => {
      const isBeginning = answeringMs < ANSWER_BEGINS_MS;
      const suspects = parts.filter((part) => at > (known.cleared.get(part) ?? -Infinity));
      const own = quarantined?.has(identity) ? { quarantined: identity } : undefined;
      return { worker, at, isBeginning, parts: suspects, ...own };
    })
    .filter(hasCause);
}

function hasCause(s: CrashedRequest): boolean {
  return s.parts.length > 0 || s.quarantined !== undefined;
}

function countParts(all: readonly CrashedRequest[]): ReadonlyMap<string, CrashCount> {
  return countBy(all, (s) => s.parts);
}

function countQuarantined(all: readonly CrashedRequest[]): ReadonlyMap<string, CrashCount> {
  return countBy(all, (s) => (s.quarantined === undefined ? [] : [s.quarantined]));
}

function countBy(
  all: readonly CrashedRequest[],
  causesOf: (s: CrashedRequest) => readonly string[],
): ReadonlyMap<string, CrashCount> {
  const counts = new Map<string, CrashCount>();
  for (const s of all) {
    for (const cause of causesOf(s)) {
      const c = counts.get(cause) ?? { workers: new Set(), requests: 0, firstAt: s.at };
      c.workers.add(s.worker);
      c.requests++;
      c.firstAt = Math.min(c.firstAt, s.at);
      counts.set(cause, c);
    }
  }
  return counts;
}

/**
 * Explains the crashes by sets of parts and by requests in quarantine, each of which accounts for all crashes of its workers;
 * returns the sets.
 */
function explain(all: readonly CrashedRequest[], excused: ReadonlySet<string>): readonly PartSet[] {
  const sets: PartSet[] = [];
  let open = likelyCauses(
    all
      .map((s) => ({ ...s, parts: s.parts.filter((part) => !excused.has(part)) }))
      .filter(hasCause),
  );
  for (;;) {
    const part = likeliest(countParts(open));
    const request = likeliest(countQuarantined(open));
    const best = request && request.score >= (part?.score ?? 0) ? request : part;
    if (!best) return sets;
    if (best === part) sets.push(setAround(part.cause, open));
    open = open.filter((s) => !best.workers.has(s.worker));
  }
}

/** Of the requests on each worker those whose answers were beginning, if there are any, and those in quarantine. */
function likelyCauses(all: readonly CrashedRequest[]): readonly CrashedRequest[] {
  const workers = new Set(all.filter((s) => s.isBeginning).map((s) => s.worker));
  return all.filter((s) => s.quarantined !== undefined || s.isBeginning || !workers.has(s.worker));
}

/** A part or a request that may be the cause of crashes. */
interface Explanation {
  readonly cause: string;
  readonly workers: ReadonlySet<string>;
  readonly score: number;
}

/** The cause that explains the crashes best; undefined if none has enough of them. */
function likeliest(counts: ReadonlyMap<string, CrashCount>): Explanation | undefined {
  let best: Explanation | undefined;
  for (const [cause, { workers, requests }] of counts) {
    if (workers.size < suspicion.MIN_CRASHES) continue;
    const score = workers.size ** CRASH_WEIGHT / requests;
    const isBetter = !best || score > best.score || (score === best.score && cause < best.cause);
    if (isBetter) best = { cause, workers, score };
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
