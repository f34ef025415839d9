/**
 * An entry daemon's part in heeding what workers say of themselves: it learns of it from the answers that it passes on and
 * from other entry daemons, by way of endpoint daemons, and gives permits to send under the limits that all hosts share.
 *
 * The load that this answers is a worker in need that all hosts would go on sending to: each send, a retry too, takes one
 * request of the limit before it is made. In any window a worker then gets what flows in during the window, and what was
 * let in before and arrives late: {@link admission.TURN_MS}, {@link GOOD_MS} and the time of a connection together, and the burst.
 * @module
 */
import type * as clock from "../host/clock.js";
import type * as record from "../host/record.js";
import * as admission from "./admission.js";
import type * as catalog from "./catalog.js";
import * as limiter from "./limiter.js";
import type * as meters from "./meters.js";
import type * as messages from "./limiter-messages.js";
import * as availability from "./availability.js";
import * as noticeMessages from "./notice-messages.js";
import type * as notices from "./notices.js";

/** Milliseconds for which a permit is good; after that it is asked for anew. */
const GOOD_MS = 600;
/** Milliseconds by which a turn may come later than this host expects. */
const MARGIN_MS = 60;
/** Requests that may come at once after a quiet time. */
const BURST = 4;
/** Requests a second that a worker gets at least, so that its answers can tell when its limit is over. */
const LEAST_PER_S = 0.2;
/** Milliseconds within which hosts send freely again, one after the other, once a limit is withdrawn. */
const RELEASE_MS = 1500;
/** Milliseconds for which is kept what is known of a worker that is not registered, or no more. */
const UNREGISTERED_MS = 600_000;

export interface Deps {
  readonly clock: clock.Clock;
  readonly log: record.Log;
  readonly limiter: limiter.Limiter;
  /** Tells other entry daemons what a worker says of itself. */
  readonly tell: (e: catalog.Endpoint, m: noticeMessages.Notice) => void;
  /** From 0 up to 1. */
  readonly random: () => number;
}

/** One answer of a worker, and the request that it belongs to. */
export interface Heard {
  readonly request: string;
  readonly notice: notices.Notice;
  /** Steady ms. */
  readonly sentAt: number;
  readonly ran: boolean;
}

/** Leave to send one request to a worker. */
export interface Granted {
  readonly kind: "in";
  readonly delayMs: number;
  /** Whether it may still be sent; asked right before. */
  readonly isGood: () => boolean;
  /** It was not sent. */
  readonly giveBack: () => void;
}

/** Whether one request may be sent to a worker. */
export type Permit =
  | Granted
  /** Its turn under the limit that the worker names comes later. */
  | { readonly kind: "out"; readonly waitMs: number };

interface Known {
  readonly at: availability.Availability;
  /** Requests a second that it named last. */
  readonly perS: number;
  /** Steady ms from which this host sends freely again, where the limit was withdrawn. */
  readonly freeAt: number;
  /** Steady ms at which it last said something of itself. */
  readonly heardAt: number;
}

export class WorkerNotices {
  private readonly known = new Map<string, Known>();
  /** What workers said that could not be read: a worker's id and which of its notices it was. */
  private readonly unreadable = new Map<string, Set<string>>();
  /** Monotonic ms until which a worker lets in nothing of this host, as last heard. */
  private readonly outUntil = new Map<string, number>();
  /** Who waits for something at a worker, and is told when that takes no requests any more. */
  private readonly waiting = new Map<string, Set<() => void>>();

  constructor(private readonly deps: Deps) {}

  /** Workers that name a limit. */
  get size(): number {
    return this.count((at) => at.limit?.perS !== undefined);
  }

  /** Workers that say that they leave. */
  get leaving(): number {
    return this.count((at) => at.leavingAt !== undefined);
  }

  /** Workers that want nothing from this host for now. */
  get paused(): number {
    const now = this.deps.clock.steady();
    return this.count((at) => (at.pause?.until ?? 0) > now);
  }

  private count(isOne: (at: availability.Availability) => boolean): number {
    return [...this.known.values()].filter((k) => isOne(k.at)).length;
  }

  /** Requests a second that a worker takes from all hosts together; undefined where this host sends freely. */
  of(id: string): number | undefined {
    const k = this.known.get(id);
    if (!k?.at.limit) return undefined;
    if (k.at.limit.perS !== undefined) return k.at.limit.perS;
    return this.deps.clock.steady() < k.freeAt ? k.perS : undefined;
  }

  /** Milliseconds until a worker's limit lets one more request in, as last heard; 0 where it does now or has none. */
  waitMs(id: string): number {
    if (this.of(id) === undefined) return 0;
    return Math.max(0, (this.outUntil.get(id) ?? -Infinity) - this.deps.clock.mono());
  }

  /** Milliseconds until an endpoint takes a request of this host, its limit apart; Infinity where it leaves. */
  opensInMs(e: catalog.Endpoint): number {
    if (e.leaving) return Infinity;
    return availability.opensInMs(this.at(e.id), this.deps.clock.steady());
  }

  /** Why an endpoint takes no request of this host now, or how many it takes; undefined where nothing bounds it. */
  reason(e: catalog.Endpoint): meters.Reason | undefined {
    if (e.leaving || this.at(e.id).leavingAt !== undefined) return "leaving";
    if (this.opensInMs(e) > 0) return "pause";
    return this.of(e.id) === undefined ? undefined : "limit";
  }

  /** A request is sent to an endpoint. */
  sent(e: catalog.Endpoint): void {
    const known = this.known.get(e.id);
    if (!known) return;
    const at = availability.sent(known.at, this.deps.clock.steady());
    this.known.set(e.id, { ...known, at });
  }

  private at(id: string): availability.Availability {
    return this.known.get(id)?.at ?? availability.UNKNOWN;
  }

  /** Calls `tell` when a worker takes no requests any more, or none for a while; returns what takes that back. */
  whenClosed(id: string, tell: () => void): () => void {
    const at = this.waiting.get(id) ?? new Set();
    this.waiting.set(id, at);
    at.add(tell);
    return () => {
      at.delete(tell);
      if (at.size === 0 && this.waiting.get(id) === at) this.waiting.delete(id);
    };
  }

  /** The limits, as totals over all hosts. */
  totals(): readonly messages.Total[] {
    return [...this.known.keys()].flatMap((id) => this.total(id) ?? []);
  }

  /** Asks for a permit to send one request to a worker now, or after it has waited for its turn. */
  async admit(e: catalog.Endpoint): Promise<Permit> {
    const total = this.total(e.id);
    if (!total) return this.free(e);
    const patienceMs = Math.min(admission.TURN_MS, this.waitMs(e.id) + MARGIN_MS);
    const verdict = await this.deps.limiter.admit(total, 1, patienceMs);
    const now = this.deps.clock.mono();
    if (verdict.kind !== "in") {
      this.outUntil.set(e.id, now + verdict.comeBackMs);
      return { kind: "out", waitMs: verdict.comeBackMs };
    }
    const goodUntil = now + verdict.delayMs + GOOD_MS;
    return {
      kind: "in",
      delayMs: verdict.delayMs,
      isGood: () => this.deps.clock.mono() < goodUntil && this.opensInMs(e) === 0,
      giveBack: () => {
        this.deps.limiter.refund(total, 1);
      },
    };
  }

  /** An answer of a worker came. */
  heard(e: catalog.Endpoint, h: Heard): void {
    this.readable(e, h);
    const now = this.deps.clock.steady();
    const before = this.at(e.id);
    const after = availability.observe(before, { ...h, at: now });
    if (after === before) return;
    this.note(e.id, after);
    const from = { request: h.request, sentMsAgo: Math.round(now - h.sentAt) };
    this.log(e.id, before, after, from);
    if (availability.isNews(before, after)) this.deps.tell(e, noticeMessages.of(e.id, after));
  }

  /** Another entry daemon tells what a worker says of itself. */
  learn(m: noticeMessages.Notice, peer: string): void {
    const before = this.at(m.worker);
    const news = noticeMessages.newsOf(m);
    const after = availability.learn(before, news, this.deps.clock.steady());
    if (after === before) return;
    this.note(m.worker, after);
    this.log(m.worker, before, after, { peer });
  }

  /** What is known of the workers that `isOf` picks, for a daemon that has just been reached. */
  retold(isOf: (id: string) => boolean): readonly noticeMessages.Notice[] {
    return [...this.known]
      .filter(([id, { at }]) => availability.isNews(availability.UNKNOWN, at) && isOf(id))
      .map(([id, { at }]) => noticeMessages.of(id, at));
  }

  /** Forgets workers that are there no more; what is told of one may come before it is known here. */
  keep(ids: ReadonlySet<string>): void {
    const now = this.deps.clock.steady();
    for (const [id, { heardAt }] of this.known) {
      if (ids.has(id) || now - heardAt < UNREGISTERED_MS) continue;
      for (const held of [this.known, this.outUntil, this.unreadable]) held.delete(id);
    }
  }

  private note(id: string, at: availability.Availability): void {
    const before = this.known.get(id);
    const heardAt = this.deps.clock.steady();
    const isChanged = at.limit?.version !== before?.at.limit?.version;
    const perS = at.limit?.perS ?? before?.perS ?? 0;
    const freeAt = isChanged ? heardAt + this.deps.random() * RELEASE_MS : (before?.freeAt ?? 0);
    this.known.set(id, { at, perS, freeAt, heardAt });
    if (isChanged) this.deps.limiter.refresh();
    if (availability.opensInMs(at, heardAt) > 0)
      for (const tell of this.waiting.get(id) ?? []) tell();
  }

  private total(id: string): messages.Total | undefined {
    const perS = this.of(id);
    const version = this.known.get(id)?.at.limit?.version;
    if (perS === undefined || version === undefined) return undefined;
    return {
      key: limiter.workerKey(id),
      perS: Math.max(perS, LEAST_PER_S),
      burst: BURST,
      overdraft: 0,
      aheadMs: admission.TURN_MS,
      version,
    };
  }

  /** A permit for a worker that names no limit, good for as long as it does not. */
  private free(e: catalog.Endpoint): Permit {
    return {
      kind: "in",
      delayMs: 0,
      isGood: () => this.of(e.id) === undefined && this.opensInMs(e) === 0,
      giveBack: () => undefined,
    };
  }

  /** Logs what is new of a worker. */
  private log(
    endpoint: string,
    before: availability.Availability,
    after: availability.Availability,
    from: Readonly<Record<string, unknown>>,
  ): void {
    const { limit, leavingAt, pause } = after;
    if (limit && limit.perS !== before.limit?.perS) {
      const sentence =
        limit.perS === undefined ? "A worker's limit is withdrawn." : "A worker names a limit.";
      this.deps.log.warn(sentence, {
        endpoint,
        perS: limit.perS,
        before: before.limit?.perS,
        version: limit.version,
        ...from,
        namedMsAgo: before.limit && Math.round(limit.at - before.limit.at),
      });
    }
    if (leavingAt !== before.leavingAt) {
      this.deps.log.warn("A worker says that it leaves.", { endpoint, ...from });
    }
    if (!pause && before.pause) this.deps.log.info("A worker takes requests again.", { endpoint });
    if (pause && pause.until !== before.pause?.until) {
      const forMs = Math.round(pause.until - this.deps.clock.steady());
      const until = new Date(this.deps.clock.now().getTime() + forMs).toISOString();
      this.deps.log.warn("A worker asks for a pause.", { endpoint, forMs, until, ...from });
    }
  }

  /** Logs what an answer says that can't be read, once for each worker. */
  private readable(e: catalog.Endpoint, h: Heard): void {
    for (const [notice, said] of Object.entries(h.notice) as [string, notices.Said<unknown>][]) {
      if (said.kind !== "unreadable") continue;
      const told = this.unreadable.get(e.id) ?? new Set();
      this.unreadable.set(e.id, told);
      if (told.has(notice)) continue;
      told.add(notice);
      this.deps.log.warn("What a worker says of itself cannot be read.", {
        endpoint: e.id,
        notice,
        request: h.request,
        text: said.text,
      });
    }
  }
}
