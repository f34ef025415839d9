/**
 * The entry daemon's side of worker announcements (a rate limit, that the worker is leaving, a
 * pause): it learns of them from the answers that it passes on and from other entry daemons by way
 * of endpoint daemons, and gives out permits to send under the limits, which all hosts share.
 *
 * It protects a worker in need, to which all hosts would otherwise go on sending: each send,
 * including each retry, takes one request of the limit before it is made. So in any time window a
 * worker gets at most the limit's refill during the window, the burst, and what was admitted
 * earlier and arrives late: that is bounded by the sum of {@link admission.MAX_LIMIT_WAIT_MS},
 * {@link PERMIT_VALID_MS} and the time to connect.
 * @module
 */
import type * as clock from "../host/clock.js";
import type * as structuredLog from "../host/structured-log.js";
import * as admission from "./admission.js";
import type * as catalog from "./catalog.js";
import * as limiter from "./limiter.js";
import * as incarnation from "./incarnation.js";
import type * as metrics from "./metrics.js";
import type * as messages from "./limiter-messages.js";
import * as availability from "./availability.js";
import * as noticeMessages from "./notice-messages.js";
import type * as notices from "./notices.js";

/** Milliseconds for which a permit is valid; after that a new one is needed. */
const PERMIT_VALID_MS = 600;
/** Milliseconds by which a request's turn may come later than this host expects. */
const TURN_MARGIN_MS = 60;
/** Burst of a worker's limit: requests that may be sent at once after an idle time. */
const BURST = 4;
/**
 * Minimum requests per second that a worker gets, so that its answers can show when its limit is
 * withdrawn.
 */
const MIN_PER_S = 0.2;
/**
 * Once a limit is withdrawn, each host sends without limit again after a random delay of up to this
 * many milliseconds, so that the hosts don't all return at once.
 */
const RELEASE_MS = 1500;
/**
 * Milliseconds after its last announcement for which the state of an unregistered worker is kept.
 */
const UNREGISTERED_KEEP_MS = 600_000;

export interface Deps {
  readonly clock: clock.Clock;
  readonly log: structuredLog.Log;
  readonly limiter: limiter.Limiter;
  /** Sends a worker's announcements to the other entry daemons. */
  readonly send: (e: catalog.Endpoint, m: noticeMessages.Notice) => void;
  /** Uniform random number from 0 up to, but not including, 1. */
  readonly random: () => number;
}

/** What one answer of a worker announces, and the request that it answers. */
export interface ObservedAnswer {
  readonly request: string;
  readonly notice: notices.Notice;
  /** Steady ms. */
  readonly sentAt: number;
  readonly ran: boolean;
}

/** Permission to send one request to a worker. */
export interface Granted {
  readonly kind: "in";
  readonly delayMs: number;
  /** Whether the request may still be sent; checked right before sending. */
  readonly isGood: () => boolean;
  /** Returns the permit: the request was not sent. */
  readonly release: () => void;
}

/** The decision on sending one request to a worker. */
export type Permit =
  | Granted
  /** Refused for now: its turn under the worker's limit comes in `waitMs`. */
  | { readonly kind: "out"; readonly waitMs: number };

interface WorkerState {
  readonly announced: availability.Availability;
  /** Requests per second that it announced last. */
  readonly lastPerS: number;
  /** Steady ms from which this host sends without limit again after the limit was withdrawn. */
  readonly unlimitedAt: number;
  /** Steady ms at which its state last changed. */
  readonly heardAt: number;
}

/** The announced state of all workers, as one entry daemon knows it. */
export class WorkerNotices {
  private readonly workers = new Map<string, WorkerState>();
  /**
   * Announcements that could not be parsed and were logged, by worker id: the names of the notices.
   */
  private readonly loggedUnreadable = new Map<string, Set<string>>();
  /**
   * Monotonic ms until which a worker's limit admits no request of this host, as of the last
   * refusal.
   */
  private readonly limitedUntil = new Map<string, number>();
  /** Ids of the incarnations that are registered. */
  private registered: ReadonlySet<string> = new Set();
  /** Listeners waiting for something at a worker, called when it stops taking requests. */
  private readonly closedListeners = new Map<string, Set<() => void>>();

  constructor(private readonly deps: Deps) {}

  /** Number of workers that announce a limit. */
  get size(): number {
    return this.count((a) => a.limit?.perS !== undefined);
  }

  /** Number of workers that have announced that they are leaving. */
  get leaving(): number {
    return this.count((a) => a.leavingAt !== undefined);
  }

  /** Number of workers in a pause for this host. */
  get paused(): number {
    const now = this.deps.clock.steady();
    return this.count((a) => (a.pause?.until ?? 0) > now);
  }

  private count(matches: (a: availability.Availability) => boolean): number {
    return [...this.workers.values()].filter((k) => matches(k.announced)).length;
  }

  /**
   * Requests per second that a worker accepts from all hosts together; undefined if this host may
   * send without limit.
   */
  of(id: string): number | undefined {
    const k = this.workers.get(id);
    if (!k?.announced.limit) return undefined;
    if (k.announced.limit.perS !== undefined) return k.announced.limit.perS;
    return this.deps.clock.steady() < k.unlimitedAt ? k.lastPerS : undefined;
  }

  /**
   * Milliseconds until a worker's limit admits one more request, as of the last refusal; 0 if it
   * admits one now or there is no limit.
   */
  waitMs(id: string): number {
    if (this.of(id) === undefined) return 0;
    return Math.max(0, (this.limitedUntil.get(id) ?? -Infinity) - this.deps.clock.mono());
  }

  /**
   * Milliseconds until an endpoint accepts a request of this host, leaving its limit aside;
   * Infinity if it is leaving.
   */
  opensInMs(e: catalog.Endpoint): number {
    if (e.leaving) return Infinity;
    return availability.opensInMs(this.announcedBy(e.id), this.deps.clock.steady());
  }

  /**
   * Why an endpoint accepts no request of this host now, or only a limited number; undefined if
   * there is no restriction.
   */
  reason(e: catalog.Endpoint): metrics.NoticeReason | undefined {
    if (e.leaving || this.announcedBy(e.id).leavingAt !== undefined) return "leaving";
    if (this.opensInMs(e) > 0) return "pause";
    return this.of(e.id) === undefined ? undefined : "limit";
  }

  /** Records that a request is sent to an endpoint. */
  recordSend(e: catalog.Endpoint): void {
    const known = this.workers.get(e.id);
    if (!known) return;
    const announced = availability.recordSend(known.announced, this.deps.clock.steady());
    this.workers.set(e.id, { ...known, announced });
  }

  private announcedBy(id: string): availability.Availability {
    return this.workers.get(id)?.announced ?? availability.UNKNOWN;
  }

  /**
   * Calls `listener` when a worker stops accepting requests, for good or for a while; returns a
   * function that removes the listener.
   */
  whenClosed(id: string, listener: () => void): () => void {
    const listeners = this.closedListeners.get(id) ?? new Set();
    this.closedListeners.set(id, listeners);
    listeners.add(listener);
    return () => {
      listeners.delete(listener);
      if (listeners.size === 0 && this.closedListeners.get(id) === listeners)
        this.closedListeners.delete(id);
    };
  }

  /** The workers' limits as totals, which all hosts share. */
  totals(): readonly messages.Total[] {
    return [...this.workers.keys()].flatMap((id) => this.total(id) ?? []);
  }

  /** Requests a permit to send one request to a worker, now or after waiting for its turn. */
  async admit(e: catalog.Endpoint): Promise<Permit> {
    const total = this.total(e.id);
    if (!total) return this.unlimitedPermit(e);
    const patienceMs = Math.min(admission.MAX_LIMIT_WAIT_MS, this.waitMs(e.id) + TURN_MARGIN_MS);
    const verdict = await this.deps.limiter.admit(total, 1, patienceMs);
    const now = this.deps.clock.mono();
    if (verdict.kind !== "in") {
      this.limitedUntil.set(e.id, now + verdict.retryAfterMs);
      return { kind: "out", waitMs: verdict.retryAfterMs };
    }
    const validUntil = now + verdict.delayMs + PERMIT_VALID_MS;
    return {
      kind: "in",
      delayMs: verdict.delayMs,
      isGood: () => this.deps.clock.mono() < validUntil && this.opensInMs(e) === 0,
      release: () => {
        this.deps.limiter.refund(total, 1);
      },
    };
  }

  /** Takes in an answer of a worker. */
  observe(e: catalog.Endpoint, h: ObservedAnswer): void {
    this.logUnreadable(e, h);
    const now = this.deps.clock.steady();
    const before = this.announcedBy(e.id);
    const after = availability.observe(before, { ...h, at: now });
    if (after === before) return;
    this.update(e.id, after);
    const from = { request: h.request, sentMsAgo: Math.round(now - h.sentAt) };
    this.logChanges(e.id, before, after, from);
    if (availability.shouldPropagate(before, after))
      this.deps.send(e, noticeMessages.toMessage(e.id, after));
  }

  /** Takes in a worker's state as another entry daemon knows it. */
  merge(m: noticeMessages.Notice, peer: string): void {
    const before = this.announcedBy(m.worker);
    const news = noticeMessages.toUpdate(m);
    const after = availability.merge(before, news, this.deps.clock.steady());
    if (after === before) return;
    this.update(m.worker, after);
    this.logChanges(m.worker, before, after, { peer });
  }

  /** The known state of the workers that `isOf` selects, for a newly connected daemon. */
  snapshot(isOf: (id: string) => boolean): readonly noticeMessages.Notice[] {
    return [...this.workers]
      .filter(
        ([id, { announced }]) =>
          availability.shouldPropagate(availability.UNKNOWN, announced) && isOf(id),
      )
      .map(([id, { announced }]) => noticeMessages.toMessage(id, announced));
  }

  /**
   * Forgets workers that are no longer registered, after a while: reports about a worker may arrive
   * before its registration.
   */
  retain(ids: ReadonlySet<string>): void {
    const now = this.deps.clock.steady();
    this.registered = ids;
    for (const id of this.workers.keys()) this.passPauseOn(id);
    for (const [id, { heardAt }] of this.workers) {
      if (ids.has(id) || now - heardAt < UNREGISTERED_KEEP_MS) continue;
      for (const byId of [this.workers, this.limitedUntil, this.loggedUnreadable]) byId.delete(id);
    }
  }

  /**
   * Passes a pause on to the next incarnation of its worker: requests for an incarnation that has ended are answered by the next
   * one, which may have asked for the pause before its entry was known.
   */
  private passPauseOn(id: string): void {
    const pause = this.announcedBy(id).pause;
    if (!pause || pause.until <= this.deps.clock.steady() || this.registered.has(id)) return;
    for (const next of this.registered) {
      const known = this.announcedBy(next);
      if (!incarnation.isOlder(id, next) || (known.pause?.until ?? 0) >= pause.until) continue;
      this.update(next, { ...known, pause });
      this.deps.log.info("A pause is kept for the worker's next start.", { endpoint: next });
    }
  }

  private update(id: string, announced: availability.Availability): void {
    const before = this.workers.get(id);
    const heardAt = this.deps.clock.steady();
    const isLimitChanged = announced.limit?.version !== before?.announced.limit?.version;
    const lastPerS = announced.limit?.perS ?? before?.lastPerS ?? 0;
    const unlimitedAt = isLimitChanged
      ? heardAt + this.deps.random() * RELEASE_MS
      : (before?.unlimitedAt ?? 0);
    this.workers.set(id, { announced, lastPerS, unlimitedAt, heardAt });
    this.passPauseOn(id);
    if (isLimitChanged) this.deps.limiter.refresh();
    if (availability.opensInMs(announced, heardAt) > 0)
      for (const listener of this.closedListeners.get(id) ?? []) listener();
  }

  private total(id: string): messages.Total | undefined {
    const perS = this.of(id);
    const version = this.workers.get(id)?.announced.limit?.version;
    if (perS === undefined || version === undefined) return undefined;
    return {
      key: limiter.workerKey(id),
      perS: Math.max(perS, MIN_PER_S),
      burst: BURST,
      overdraft: 0,
      aheadMs: admission.MAX_LIMIT_WAIT_MS,
      version,
    };
  }

  /** A permit for a worker without a limit, valid until it announces one. */
  private unlimitedPermit(e: catalog.Endpoint): Permit {
    return {
      kind: "in",
      delayMs: 0,
      isGood: () => this.of(e.id) === undefined && this.opensInMs(e) === 0,
      release: () => undefined,
    };
  }

  /** Logs the changes of a worker's state. */
  private logChanges(
    endpoint: string,
    before: availability.Availability,
    after: availability.Availability,
    from: Readonly<Record<string, unknown>>,
  ): void {
    const { limit, leavingAt, pause } = after;
    if (limit && limit.perS !== before.limit?.perS) {
      const sentence =
        limit.perS === undefined
          ? "A worker withdrew its rate limit."
          : "A worker announced a rate limit.";
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
      this.deps.log.warn("A worker announced that it is leaving.", { endpoint, ...from });
    }
    if (!pause && before.pause)
      this.deps.log.info("A worker accepts requests again after a pause.", { endpoint });
    if (pause && pause.until !== before.pause?.until) {
      const forMs = Math.round(pause.until - this.deps.clock.steady());
      const until = new Date(this.deps.clock.now().getTime() + forMs).toISOString();
      this.deps.log.warn("A worker requested a pause.", { endpoint, forMs, until, ...from });
    }
  }

  /** Logs announcements that can't be parsed, once per worker and kind of notice. */
  private logUnreadable(e: catalog.Endpoint, h: ObservedAnswer): void {
    for (const [notice, said] of Object.entries(h.notice) as [
      string,
      notices.Announced<unknown>,
    ][]) {
      if (said.kind !== "unreadable") continue;
      const logged = this.loggedUnreadable.get(e.id) ?? new Set();
      this.loggedUnreadable.set(e.id, logged);
      if (logged.has(notice)) continue;
      logged.add(notice);
      this.deps.log.warn("An announcement of a worker cannot be parsed.", {
        endpoint: e.id,
        notice,
        request: h.request,
        text: said.text,
      });
    }
  }
}
