/**
 * Which requests end the workers that run them: a query of death, in the field's words.
 *
 * The load that this answers is a request whose every run ends its worker, and that comes again at any entry
 * host. Each run costs a worker for seconds, all else that runs there, and its warm adapters. What is known is kept by
 * the request's identity, as the set of workers that ended under it. Such sets only grow, apart from ends that are
 * voided for good, so hosts that heard the same in any order, late or twice, know the same.
 *
 * A worker that ends runs several requests, and one of them at most is the cause. So an end counts for a request
 * only where no other that was there has more ends; and the ends that count must be too many for chance, from how
 * often workers end anyway and how long the request was on each. Pure.
 * @module
 */

/** A worker ended while a request was on it. */
export interface End {
  readonly identity: string;
  /** Incarnation of the worker. */
  readonly worker: string;
  /** Milliseconds for which the request was on it. */
  readonly underWayMs: number;
  /** Workers of its service then, itself among them. */
  readonly peers: number;
}

/** What one host tells another. */
export type News =
  | (End & { readonly kind: "ended"; readonly ageMs: number })
  /** The request ran to its end since; the ends under it that the teller knew prove nothing. */
  | {
      readonly kind: "ran";
      readonly identity: string;
      readonly workers: readonly string[];
      readonly ageMs: number;
    };

/** An end as one host noted it; `at` in monotonic ms. */
interface Noted extends End {
  readonly at: number;
}

export interface Book {
  /** By identity, then by worker. */
  readonly ends: ReadonlyMap<string, ReadonlyMap<string, Noted>>;
  /**
   * Ends that count against their request no more, by {@link pair}, and when each was, in monotonic ms. The worker did
   * end, which tells how often workers do by themselves.
   */
  readonly voided: ReadonlyMap<string, number>;
}

export const EMPTY: Book = { ends: new Map(), voided: new Map() };

export type Verdict =
  | { readonly kind: "free"; readonly workers: readonly [] }
  /** Some workers ended under it, which proves nothing yet. */
  | { readonly kind: "suspected"; readonly workers: readonly string[] }
  /** It must not reach a worker any more, for `releaseMs`. */
  | {
      readonly kind: "quarantined";
      readonly workers: readonly string[];
      readonly releaseMs: number;
    };

export const FREE: Verdict = { kind: "free", workers: [] };

/** Ends that prove that a request is their cause. One or two may be bad company; the users bear three. */
export const PROOFS = 3;
/**
 * The ends must be so unlikely by chance that not one request in a hundred million is held for their cause in error. With
 * 13 workers of which none ends by itself, three ends under a request of a quarter of a second come to 3e-13; with one
 * end a second, to 1e-5, and it takes six.
 */
const CHANCE = 1e-8;
/**
 * Milliseconds for which an end counts. An operator has time to look, and a request that does end its workers costs
 * no more than three in that time.
 */
export const LAPSE_MS = 600_000;
/**
 * Requests kept, and voided ends. A worker that ends runs some ten requests, so this is room for a hundred ends. Beyond
 * it the request with the fewest ends goes first, and among those the oldest.
 */
const REQUESTS = 1024;
const VOIDED = 4096;

/** Milliseconds that a worker's end and a request's break are told apart by, at best. */
const LEAST_MS = 250;
/**
 * Milliseconds around an end in which the ends of other workers tell how often workers ended by themselves then; the
 * highest rate counts. The shortest is for ends that come in crowds, as when a failure domain is lost. Over a minute alone,
 * workers that have begun to end lately seem calm, and innocent requests are held for the cause.
 */
const WINDOWS_MS = [500, 5000, 20_000, 60_000] as const;
/** Ends a millisecond that are taken for granted on a calm fleet: one in five minutes. */
const CALM_PER_MS = 1 / 300_000;

function pair(identity: string, worker: string): string {
  return `${identity} ${worker}`;
}

function workerIn(key: string): string {
  return key.slice(key.indexOf(" ") + 1);
}

/** The book with one piece of news in it; the same book when it says nothing new. */
export function take(book: Book, news: News, now: number): Book {
  const at = now - news.ageMs;
  if (now - at >= LAPSE_MS) return book;
  switch (news.kind) {
    case "ended":
      return note(book, { ...news, at });
    case "ran":
      return clear(book, news.identity, news.workers, at);
  }
}

function note(book: Book, end: Noted): Book {
  const { identity, worker, underWayMs, peers, at } = end;
  const known = book.ends.get(identity);
  if (book.voided.has(pair(identity, worker))) return book;
  const before = known?.get(worker);
  // Two hosts may tell of one end; all keep what makes less of it, whichever they heard first.
  if (before && before.underWayMs >= underWayMs) return book;
  const kept = { identity, worker, underWayMs, peers, at: Math.min(at, before?.at ?? at) };
  const ends = new Map(book.ends).set(identity, new Map(known).set(worker, kept));
  if (ends.size > REQUESTS) ends.delete(leastOf(ends));
  return { ...book, ends };
}

/** The identity with the fewest ends, and among those the oldest. */
function leastOf(ends: Book["ends"]): string {
  let least = "";
  let fewest = Infinity;
  for (const [identity, own] of ends) {
    if (own.size >= fewest) continue;
    least = identity;
    fewest = own.size;
  }
  return least;
}

function clear(book: Book, identity: string, workers: readonly string[], at: number): Book {
  const fresh = workers.filter((w) => !book.voided.has(pair(identity, w)));
  if (fresh.length === 0) return book;
  const voided = new Map(book.voided);
  const own = book.ends.get(identity);
  for (const w of fresh) voided.set(pair(identity, w), own?.get(w)?.at ?? at);
  for (const oldest of voided.keys()) {
    if (voided.size <= VOIDED) break;
    voided.delete(oldest);
  }
  const left = new Map(own);
  for (const w of fresh) left.delete(w);
  const ends = new Map(book.ends);
  if (left.size > 0) ends.set(identity, left);
  else ends.delete(identity);
  return { ends, voided };
}

/** The book without what no longer counts; the same one when all of it does. */
export function lapse(book: Book, now: number): Book {
  const isOver = (at: number): boolean => now - at >= LAPSE_MS;
  const ends = new Map<string, ReadonlyMap<string, Noted>>();
  let dropped = 0;
  for (const [identity, own] of book.ends) {
    const left = [...own].filter(([, e]) => !isOver(e.at));
    dropped += own.size - left.length;
    if (left.length > 0) ends.set(identity, new Map(left));
  }
  const voided = new Map([...book.voided].filter(([, at]) => !isOver(at)));
  if (dropped === 0 && voided.size === book.voided.size) return book;
  return { ends, voided };
}

/** Whether some other request that was on the worker has more ends than this one, and so accounts for its end. */
function isExplained(book: Book, end: Noted, count: number): boolean {
  for (const [identity, own] of book.ends) {
    if (identity !== end.identity && own.size > count && own.has(end.worker)) return true;
  }
  return false;
}

/**
 * Chance that a worker like this one would have ended by itself while the request was on it, from how often others did
 * around that time; `others` are when those ended that did not end under the same request.
 */
function chance(end: Noted, others: readonly number[]): number {
  const rates = WINDOWS_MS.map((ms) => {
    return others.filter((at) => Math.abs(at - end.at) * 2 <= ms).length / ms;
  });
  const perMs = (CALM_PER_MS + Math.max(...rates)) / Math.max(1, end.peers);
  return Math.min(1, perMs * Math.max(LEAST_MS, end.underWayMs));
}

/**
 * When workers ended, each once, other than those that ended under a request. What ended under another one that has as
 * many ends as prove it is put down to that one, and says nothing of how often workers end by themselves: without this,
 * a service of four workers lost four to the second such request in a row.
 */
function othersThan(book: Book, own: ReadonlyMap<string, Noted>): readonly number[] {
  const others = new Map<string, number>();
  for (const [key, at] of book.voided) {
    const worker = workerIn(key);
    if (!own.has(worker)) others.set(worker, at);
  }
  for (const ends of book.ends.values()) {
    for (const e of ends.values()) if (!own.has(e.worker)) others.set(e.worker, e.at);
  }
  for (const ends of book.ends.values()) {
    if (ends.size >= PROOFS) for (const worker of ends.keys()) others.delete(worker);
  }
  return [...others.values()];
}

/** Chance that no end counted is the request's doing. */
function byChance(book: Book, own: ReadonlyMap<string, Noted>, counted: readonly Noted[]): number {
  const others = othersThan(book, own);
  return counted.reduce((product, e) => product * chance(e, others), 1);
}

/** What is to be thought of a request. */
export function judge(book: Book, identity: string, now: number): Verdict {
  const own = book.ends.get(identity);
  if (!own) return FREE;
  const counted = [...own.values()]
    .filter((e) => now - e.at < LAPSE_MS && !isExplained(book, e, own.size))
    .sort((a, b) => b.at - a.at);
  if (counted.length === 0) return FREE;
  const workers = counted.map((e) => e.worker);
  const last = counted[PROOFS - 1];
  if (!last || byChance(book, own, counted) > CHANCE) return { kind: "suspected", workers };
  return { kind: "quarantined", workers, releaseMs: last.at + LAPSE_MS - now };
}

/** What a host that knows nothing yet is told. */
export function retold(book: Book, now: number): readonly News[] {
  const ended = [...book.ends.values()].flatMap((own) =>
    [...own.values()].map(({ at, ...e }): News => ({
      kind: "ended",
      ...e,
      ageMs: Math.max(0, now - at),
    })),
  );
  const ran = [...book.voided].map(([key, at]): News => {
    const identity = key.slice(0, key.indexOf(" "));
    return { kind: "ran", identity, workers: [workerIn(key)], ageMs: Math.max(0, now - at) };
  });
  return [...ended, ...ran];
}
