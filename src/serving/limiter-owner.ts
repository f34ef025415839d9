/**
 * The endpoint daemon's side of totals (rate limits shared by all hosts): it owns some totals for
 * the entry daemons that attach them, and admits requests up to those daemons' part of each total.
 * It outlives the worker beside it.
 * @module
 */
import type * as clock from "../host/clock.js";
import type * as structuredLog from "../host/structured-log.js";
import * as tokenBalance from "./token-balance.js";
import type * as announcer from "./announcer.js";
import * as messages from "./limiter-messages.js";
import * as peak from "./peak.js";

/** Milliseconds for which a disconnected entry daemon still counts as one of the hosts. */
const HOST_MEMORY_MS = 10_000;
/** Milliseconds after which a total that no entry daemon attaches here is dropped. */
const UNUSED_KEEP_MS = 60_000;
/** Minimum milliseconds between two log lines about the same exhausted total. */
const LOG_INTERVAL_MS = 1000;

interface OwnedTotal {
  readonly total: messages.Total;
  readonly balance: tokenBalance.Balance;
  readonly attached: ReadonlySet<announcer.Client>;
}

/** A connected entry daemon. */
interface Host {
  /** Number of entry daemons that it knows of. */
  readonly knownHosts: number;
  /** Monotonic ms of its last message. */
  readonly lastContactAt: number;
}

export interface Deps {
  readonly clock: clock.Clock;
  readonly log: structuredLog.Log;
}

/** The totals that one endpoint daemon owns. */
export class LimiterOwner {
  private readonly hosts = new Map<announcer.Client, Host>();
  private readonly owned = new Map<string, OwnedTotal>();
  private readonly loggedAt = new Map<string, number>();
  /** The highest number of entry daemons connected at once within {@link HOST_MEMORY_MS}. */
  private peakHosts: peak.Peak | undefined;

  constructor(private readonly deps: Deps) {}

  /** Number of totals owned here. */
  get size(): number {
    return this.owned.size;
  }

  /** An entry daemon connected. */
  join(c: announcer.Client): void {
    this.hosts.set(c, { knownHosts: 1, lastContactAt: this.deps.clock.mono() });
    this.hostCount();
  }

  /** An entry daemon disconnected; its totals are detached. */
  leave(c: announcer.Client): void {
    this.hostCount();
    this.hosts.delete(c);
    for (const [key, k] of this.owned) if (k.attached.has(c)) this.setAttached(key, k, c, false);
  }

  /** An entry daemon renews its lease; the totals that it attached last stay attached. */
  keep(c: announcer.Client): void {
    this.recordContact(c, this.hosts.get(c)?.knownHosts ?? 1);
  }

  /** An entry daemon replaces its set of attached totals. */
  attach(c: announcer.Client, m: messages.Attach): void {
    this.recordContact(c, m.hosts);
    const listed = new Map(m.totals.map((t) => [t.key, t]));
    for (const [key, k] of this.owned) {
      if (k.attached.has(c) && !listed.has(key)) this.setAttached(key, k, c, false);
    }
    for (const [key, total] of listed) {
      const k = this.owned.get(key) ?? this.newTotal(total);
      const newer = total.version > k.total.version ? { ...k, total } : k;
      this.setAttached(key, newer, c, true);
    }
    this.prune();
  }

  /** Replies to a draw; a total that the sender has not attached admits nothing. */
  draw(c: announcer.Client, m: messages.Draw): void {
    const k = this.refilled(m.key);
    if (!k?.attached.has(c)) {
      c.send({ kind: "drawn", draw: m.draw, delaysMs: [] });
      return;
    }
    const part = this.part(k);
    const { overdraft, aheadMs } = k.total;
    const req = { ...m, patienceMs: Math.min(m.patienceMs, aheadMs) };
    const result = tokenBalance.draw(k.balance, k.total, part, req, overdraft);
    this.owned.set(m.key, { ...k, balance: result.left });
    c.send({
      kind: "drawn",
      draw: m.draw,
      delaysMs: result.delaysMs,
      ...(result.waitMs !== undefined && { waitMs: result.waitMs }),
    });
    if (result.granted < m.wants.length) this.logExhausted(k, part, result);
  }

  /** Returns the units of a request that did not run. */
  refund(c: announcer.Client, m: messages.Refund): void {
    const k = this.refilled(m.key);
    if (!k?.attached.has(c)) return;
    this.owned.set(m.key, { ...k, balance: tokenBalance.refund(k.balance, k.total, m.units) });
  }

  /**
   * Records contact with an entry daemon. If its lease had expired, its totals are refilled first,
   * with the lease as it was until now.
   */
  private recordContact(c: announcer.Client, knownHosts: number): void {
    const now = this.deps.clock.mono();
    const isExpired = now - (this.hosts.get(c)?.lastContactAt ?? -Infinity) > messages.LEASE_MS;
    if (isExpired) {
      for (const [key, k] of this.owned) {
        if (k.attached.has(c)) this.owned.set(key, { ...k, balance: this.refill(k) });
      }
    }
    this.hosts.set(c, { knownHosts, lastContactAt: now });
  }

  private newTotal(total: messages.Total): OwnedTotal {
    const balance = tokenBalance.initial(this.deps.clock.steady(), total.overdraft);
    return { total, balance, attached: new Set() };
  }

  /**
   * Attaches a total to an entry daemon or detaches it. The total is refilled first, by the part
   * that was attached until now.
   */
  private setAttached(key: string, k: OwnedTotal, c: announcer.Client, isAttached: boolean): void {
    const before = this.owned.get(key);
    const balance = before ? this.refill(before) : k.balance;
    const attached = new Set(k.attached);
    if (isAttached) attached.add(c);
    else attached.delete(c);
    // A total whose refill may be promised ahead keeps no burst while no entry daemon has it
    // attached.
    const isIdle = attached.size === 0 && k.total.aheadMs > 0;
    const level = isIdle ? Math.min(balance.level, 0) : balance.level;
    this.owned.set(key, { ...k, balance: { ...balance, level }, attached });
  }

  private refill(k: OwnedTotal): tokenBalance.Balance {
    const now = this.deps.clock.steady();
    return tokenBalance.refill(k.balance, k.total, this.meanPart(k, now - k.balance.at), now);
  }

  private refilled(key: string): OwnedTotal | undefined {
    const k = this.owned.get(key);
    return k && { ...k, balance: this.refill(k) };
  }

  /** The part of all entry daemons that have a total attached here now. */
  private part(k: OwnedTotal): number {
    return this.meanPart(k, 1);
  }

  /**
   * The mean of {@link part} over the last `ms`: an entry daemon counts until its lease expires.
   */
  private meanPart(k: OwnedTotal, ms: number): number {
    if (ms <= 0) return 0;
    const now = this.deps.clock.mono();
    let knownHosts = this.hostCount();
    let heldMs = 0;
    for (const c of k.attached) {
      const host = this.hosts.get(c);
      if (!host) continue;
      knownHosts = Math.max(knownHosts, host.knownHosts);
      const until = Math.min(now, host.lastContactAt + messages.LEASE_MS);
      heldMs += Math.max(0, until - (now - ms));
    }
    return Math.min(1, heldMs / ms / Math.max(1, knownHosts));
  }

  /** The highest recent number of connected entry daemons. */
  private hostCount(): number {
    this.peakHosts = peak.addReading(
      this.peakHosts,
      this.hosts.size,
      this.deps.clock.steady(),
      HOST_MEMORY_MS,
    );
    return peak.highest(this.peakHosts);
  }

  private prune(): void {
    const now = this.deps.clock.steady();
    for (const [key, k] of this.owned) {
      if (k.attached.size > 0 || now - k.balance.at < UNUSED_KEEP_MS) continue;
      this.owned.delete(key);
      this.loggedAt.delete(key);
    }
  }

  private logExhausted({ total }: OwnedTotal, part: number, result: tokenBalance.DrawResult): void {
    const now = this.deps.clock.steady();
    if (now - (this.loggedAt.get(total.key) ?? -Infinity) < LOG_INTERVAL_MS) return;
    this.loggedAt.set(total.key, now);
    this.deps.log.info("A total is exhausted.", {
      total: total.key,
      perS: total.perS,
      burst: total.burst,
      left: Math.round(result.left.level),
      part,
      waitMs: result.waitMs,
    });
  }
}
