/**
 * An entry daemon's part in keeping totals over all hosts: it asks the place of a total to let requests in. The place is
 * an endpoint daemon that all entry daemons choose alike; where it is not reached the next one in their order is taken,
 * and where none is, this host keeps to its own part of the total, if it has heard how many hosts there are.
 * @module
 */
import type * as clock from "../host/clock.js";
import * as hash from "../host/hash.js";
import type * as record from "../host/record.js";
import * as allowance from "./allowance.js";
import type * as link from "./link.js";
import * as messages from "./limiter-messages.js";

/** Endpoint daemons that may be the place of one total. */
export const PLACES = 3;
/** Groups of totals that have the same place, so that a host keeps in touch with as many places at most. */
const GROUPS = 16;
/** Milliseconds for which a place that fell silent is passed over. */
const AVOIDED_MS = 2000;
/** Milliseconds between two words to each place: three in a lease. */
const KEEP_MS = 650;
/** Milliseconds that a word to a place may be on its way, after which its lease begins. */
const WAY_MS = 300;
/** Hosts taken for granted where there is no endpoint daemon that could tell. */
const HOSTS = 6;
/** Milliseconds after which a caller is told to come back where nobody can tell whether it is let in. */
const UNKNOWN_MS = 400;

/** Whether a request is let in. */
export type Verdict =
  /** It is, and may go on in `delayMs`. */
  | { readonly kind: "in"; readonly delayMs: number }
  /** The total is used up. */
  | { readonly kind: "over"; readonly comeBackMs: number }
  /** No place that knows is reached. */
  | { readonly kind: "unsure"; readonly comeBackMs: number };

/** Names what belongs to a total in the order of endpoint daemons. */
export function placeKey(key: string): string {
  return `totals/${hash.of32(key) % GROUPS}`;
}

/** Key of the total that a worker's limit is, by its incarnation. */
export function workerKey(id: string): string {
  return `worker/${id}`;
}

/** A request that waits for the place's answer. */
interface Waiting {
  readonly units: number;
  readonly patienceMs: number;
  readonly resolve: (v: Verdict) => void;
}

/** What is under way for one total. */
interface Queue {
  waiting: readonly Waiting[];
  asking: boolean;
}

/** An endpoint daemon that may be the place of a total, as an entry daemon reaches it. */
export type Place = Pick<link.Link, "address" | "isHeard" | "isForgotten" | "draw" | "send">;

/** What a place was told last, as text, and the steady ms of the last word to it. */
interface Told {
  readonly place: Place;
  readonly text: string;
  readonly at: number;
}

export interface Deps {
  readonly clock: clock.Clock;
  readonly log: record.Log;
  /** The totals there are now. */
  readonly totals: () => readonly messages.Total[];
  /** Connections to the endpoint daemons that may keep what belongs to a key, the first one first. */
  readonly places: (key: string, n: number) => readonly Place[];
  /** The most entry daemons there were in a while; undefined where none was heard of since the start. */
  readonly hosts: () => number | undefined;
}

export class Limiter {
  private readonly queues = new Map<string, Queue>();
  /** Where each total is kept for this host. */
  private readonly homes = new Map<string, Place>();
  /** Steady ms until which a place is passed over, by its address. */
  private readonly avoided = new Map<string, number>();
  /** By the address of each place. */
  private readonly told = new Map<string, Told>();
  private readonly own = new Map<string, allowance.Allowance>();
  /** Steady ms until which what was promised where a total was kept before may still go on. */
  private readonly promisedUntil = new Map<string, number>();
  private timer: clock.Timer | undefined;

  constructor(private readonly deps: Deps) {}

  /** Whether one more request is let in under a total; it counts `units`, and may wait for `patienceMs`. */
  admit(total: messages.Total, units: number, patienceMs: number): Promise<Verdict> {
    const queue = this.queues.get(total.key) ?? { waiting: [], asking: false };
    this.queues.set(total.key, queue);
    return new Promise((resolve) => {
      queue.waiting = [...queue.waiting, { units, patienceMs, resolve }];
      if (!queue.asking) void this.ask(total, queue);
    });
  }

  /** A request that was let in did not run. */
  refund(total: messages.Total, units: number): void {
    const home = this.homes.get(total.key);
    const left = this.own.get(total.key);
    if (home) home.send({ kind: "refund", key: total.key, units });
    else if (left) this.own.set(total.key, allowance.refund(left, total, units));
  }

  /** What a place must know before it is asked, when it is reached. */
  greeting(address: string): readonly messages.Attach[] {
    this.told.delete(address);
    const kept = this.deps.totals().filter((t) => this.homes.get(t.key)?.address === address);
    const home = kept[0] && this.homes.get(kept[0].key);
    if (!home) return [];
    const m = this.attaching(kept);
    this.note(home, JSON.stringify(m));
    return [m];
  }

  /** Chooses each total's place anew, tells the places what has changed, and that the rest has not. */
  refresh(): void {
    this.timer?.cancel();
    const totals = this.deps.totals();
    this.forget(totals);
    if (totals.length === 0 && this.told.size === 0) return;
    const kept = new Map<Place, messages.Total[]>();
    for (const t of totals) {
      const home = this.settle(t);
      if (home) kept.set(home, [...(kept.get(home) ?? []), t]);
    }
    for (const [place, list] of kept) this.tell(place, list);
    for (const place of this.left(kept)) this.tell(place, []);
    this.timer = this.deps.clock.after(KEEP_MS, () => {
      this.refresh();
    });
  }

  close(): void {
    this.timer?.cancel();
  }

  /** Drops what is remembered of totals that are there no more. */
  private forget(totals: readonly messages.Total[]): void {
    const keys = new Set(totals.map((t) => t.key));
    for (const [key, queue] of this.queues) {
      if (!keys.has(key) && !queue.asking) this.queues.delete(key);
    }
    for (const m of [this.homes, this.own, this.promisedUntil]) {
      for (const key of m.keys()) if (!keys.has(key)) m.delete(key);
    }
  }

  /**
   * Where a total is kept for this host now. Another place takes it over only once the one before counts this host no
   * more, so that no part of a total is given out twice.
   */
  private settle({ key, aheadMs }: messages.Total): Place | undefined {
    const wanted = this.place(key);
    const home = this.homes.get(key);
    if (home === wanted || (home && !this.isFree(home))) return home;
    const wasKept = home !== undefined || this.own.has(key);
    if (wasKept && aheadMs > 0) this.promisedUntil.set(key, this.deps.clock.steady() + aheadMs);
    this.own.delete(key);
    this.homes.delete(key);
    if (!wanted || this.promisedMs(key) > 0) return undefined;
    this.homes.set(key, wanted);
    return wanted;
  }

  /** Milliseconds for which what was promised before a move may still go on; the total flows nowhere for this host then. */
  private promisedMs(key: string): number {
    return Math.max(0, (this.promisedUntil.get(key) ?? -Infinity) - this.deps.clock.steady());
  }

  /** Whether a place counts this host no more, or is told so before it hears anything else. */
  private isFree(home: Place): boolean {
    if (home.isForgotten || this.answers(home)) return true;
    return this.freeInMs(home) <= 0;
  }

  private freeInMs(home: Place): number {
    const at = this.told.get(home.address)?.at ?? -Infinity;
    return at + messages.LEASE_MS + WAY_MS - this.deps.clock.steady();
  }

  private answers(place: Place): boolean {
    const avoidedUntil = this.avoided.get(place.address) ?? -Infinity;
    return place.isHeard && avoidedUntil <= this.deps.clock.steady();
  }

  /** Endpoint daemons that may be the place of a total, the first one first. */
  private places(key: string): readonly Place[] {
    return this.deps.places(placeKey(key), PLACES);
  }

  /** The first endpoint daemon in a total's order that is reached and answers. */
  private place(key: string): Place | undefined {
    return this.places(key).find((p) => this.answers(p));
  }

  /** Places that were told of totals which they keep no more. */
  private left(kept: ReadonlyMap<Place, unknown>): readonly Place[] {
    const addresses = new Set([...kept.keys()].map((p) => p.address));
    const others = [...this.told.values()].filter((t) => !addresses.has(t.place.address));
    for (const { place } of others) {
      if (this.freeInMs(place) <= 0) this.told.delete(place.address);
    }
    return others.map((t) => t.place);
  }

  private tell(place: Place, totals: readonly messages.Total[]): void {
    if (!this.answers(place)) return;
    const m = this.attaching(totals);
    const text = JSON.stringify(m);
    const isKnown = this.told.get(place.address)?.text === text;
    if (isKnown && totals.length === 0) return;
    place.send(isKnown ? { kind: "keep" } : m);
    this.note(place, text);
  }

  private note(place: Place, text: string): void {
    this.told.set(place.address, { place, text, at: this.deps.clock.steady() });
  }

  private attaching(totals: readonly messages.Total[]): messages.Attach {
    return { kind: "attach", hosts: this.hosts(), totals };
  }

  private hosts(): number {
    return Math.max(1, this.deps.hosts() ?? HOSTS);
  }

  /** Asks for all that wait, until none does. */
  private async ask(total: messages.Total, queue: Queue): Promise<void> {
    queue.asking = true;
    while (queue.waiting.length > 0) {
      const { waiting } = queue;
      const got = await this.drawn(total, {
        wants: waiting.map((w) => w.units),
        patienceMs: Math.min(...waiting.map((w) => w.patienceMs)),
      });
      queue.waiting = queue.waiting.slice(waiting.length);
      waiting.forEach((w, i) => {
        const delayMs = got.delaysMs[i];
        w.resolve(delayMs === undefined ? got.refusal : { kind: "in", delayMs });
      });
    }
    queue.asking = false;
  }

  private async drawn(total: messages.Total, wish: allowance.Wish): Promise<Drawn> {
    const { key } = total;
    for (let tried = 0; tried < PLACES; tried++) {
      const at = this.homes.get(key);
      const isMoving = !at && this.promisedMs(key) > 0;
      if (!isMoving && !(at && this.answers(at))) this.refresh();
      const promisedMs = this.promisedMs(key);
      if (promisedMs > 0) return { delaysMs: [], refusal: unsure(promisedMs) };
      const home = this.homes.get(key);
      if (!home) return this.ownDraw(total, wish);
      if (!this.answers(home)) {
        return { delaysMs: [], refusal: unsure(Math.max(UNKNOWN_MS, this.freeInMs(home))) };
      }
      const got = await home.draw(key, wish);
      if (got) return { delaysMs: got.delaysMs, refusal: refused(got.waitMs) };
      this.avoided.set(home.address, this.deps.clock.steady() + AVOIDED_MS);
      this.deps.log.warn("The place of a total does not answer.", {
        total: key,
        peer: home.address,
      });
    }
    return { delaysMs: [], refusal: unsure(UNKNOWN_MS) };
  }

  /** This host's part of a total where it keeps that by itself; undefined where it can't tell. */
  private ownPart(key: string): number | undefined {
    if (this.deps.hosts() === undefined && this.places(key).length > 0) return undefined;
    return 1 / this.hosts();
  }

  private ownLeft(total: messages.Total, part: number): allowance.Allowance {
    const now = this.deps.clock.steady();
    const left = this.own.get(total.key) ?? allowance.begun(now, part * total.overdraft);
    return allowance.flow(left, total, part, now);
  }

  private ownDraw(total: messages.Total, wish: allowance.Wish): Drawn {
    const part = this.ownPart(total.key);
    if (part === undefined) return { delaysMs: [], refusal: unsure(UNKNOWN_MS) };
    const left = this.ownLeft(total, part);
    const got = allowance.draw(left, total, part, wish, total.overdraft);
    this.own.set(total.key, got.left);
    return { delaysMs: got.delaysMs, refusal: refused(got.waitMs) };
  }
}

/** What came of asking for some requests: those let in, from the first on, and what the others are told. */
interface Drawn {
  readonly delaysMs: readonly number[];
  readonly refusal: Verdict;
}

function unsure(comeBackMs: number): Verdict {
  return { kind: "unsure", comeBackMs };
}

function refused(waitMs: number | undefined): Verdict {
  return waitMs === undefined ? unsure(UNKNOWN_MS) : { kind: "over", comeBackMs: waitMs };
}
