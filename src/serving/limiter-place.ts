/**
 * An endpoint daemon's part in keeping totals over all hosts: it is the place of some totals for the entry daemons that
 * say so, and lets in what their part of each allows. It outlives the worker beside it.
 * @module
 */
import type * as clock from "../host/clock.js";
import type * as record from "../host/record.js";
import * as allowance from "./allowance.js";
import type * as announcer from "./announcer.js";
import * as messages from "./limiter-messages.js";
import * as peak from "./peak.js";

/** Milliseconds for which an entry daemon that left still counts as one of the hosts. */
const REMEMBERED_MS = 10_000;
/** Milliseconds for which a total is kept that no entry daemon keeps here. */
const KEPT_MS = 60_000;
/** Milliseconds between two log lines on one total that is used up. */
const TELL_MS = 1000;

interface Kept {
  readonly total: messages.Total;
  readonly left: allowance.Allowance;
  readonly attached: ReadonlySet<announcer.Client>;
}

/** A connected entry daemon. */
interface Host {
  /** Entry daemons that it knows of. */
  readonly known: number;
  /** Monotonic ms of its last word. */
  readonly heardAt: number;
}

export interface Deps {
  readonly clock: clock.Clock;
  readonly log: record.Log;
}

export class LimiterPlace {
  private readonly hosts = new Map<announcer.Client, Host>();
  private readonly kept = new Map<string, Kept>();
  private readonly toldAt = new Map<string, number>();
  /** Entry daemons connected at once, over {@link REMEMBERED_MS}. */
  private counts: peak.Peak | undefined;

  constructor(private readonly deps: Deps) {}

  /** Totals that are kept here. */
  get size(): number {
    return this.kept.size;
  }

  join(c: announcer.Client): void {
    this.hosts.set(c, { known: 1, heardAt: this.deps.clock.mono() });
    this.count();
  }

  leave(c: announcer.Client): void {
    this.count();
    this.hosts.delete(c);
    for (const [key, k] of this.kept) if (k.attached.has(c)) this.attachment(key, k, c, false);
  }

  /** An entry daemon still keeps here what it said last. */
  keep(c: announcer.Client): void {
    this.heard(c, this.hosts.get(c)?.known ?? 1);
  }

  attach(c: announcer.Client, m: messages.Attach): void {
    this.heard(c, m.hosts);
    const listed = new Map(m.totals.map((t) => [t.key, t]));
    for (const [key, k] of this.kept) {
      if (k.attached.has(c) && !listed.has(key)) this.attachment(key, k, c, false);
    }
    for (const [key, total] of listed) {
      const k = this.kept.get(key) ?? this.begun(total);
      const newer = total.version > k.total.version ? { ...k, total } : k;
      this.attachment(key, newer, c, true);
    }
    this.forget();
  }

  draw(c: announcer.Client, m: messages.Draw): void {
    const k = this.flowed(m.key);
    if (!k?.attached.has(c)) {
      c.send({ kind: "drawn", draw: m.draw, delaysMs: [] });
      return;
    }
    const part = this.part(k);
    const { overdraft, aheadMs } = k.total;
    const wish = { ...m, patienceMs: Math.min(m.patienceMs, aheadMs) };
    const got = allowance.draw(k.left, k.total, part, wish, overdraft);
    this.kept.set(m.key, { ...k, left: got.left });
    c.send({
      kind: "drawn",
      draw: m.draw,
      delaysMs: got.delaysMs,
      ...(got.waitMs !== undefined && { waitMs: got.waitMs }),
    });
    if (got.granted < m.wants.length) this.tell(k, part, got);
  }

  refund(c: announcer.Client, m: messages.Refund): void {
    const k = this.flowed(m.key);
    if (!k?.attached.has(c)) return;
    this.kept.set(m.key, { ...k, left: allowance.refund(k.left, k.total, m.units) });
  }

  /** An entry daemon said something; what flowed in until now counts by what was heard until now. */
  private heard(c: announcer.Client, known: number): void {
    const now = this.deps.clock.mono();
    const lapsed = now - (this.hosts.get(c)?.heardAt ?? -Infinity) > messages.LEASE_MS;
    if (lapsed) {
      for (const [key, k] of this.kept) {
        if (k.attached.has(c)) this.kept.set(key, { ...k, left: this.flow(k) });
      }
    }
    this.hosts.set(c, { known, heardAt: now });
  }

  private begun(total: messages.Total): Kept {
    const left = allowance.begun(this.deps.clock.steady(), total.overdraft);
    return { total, left, attached: new Set() };
  }

  /** An entry daemon begins or ceases to keep a total here; what flowed in until now counts by the part until now. */
  private attachment(key: string, k: Kept, c: announcer.Client, on: boolean): void {
    const before = this.kept.get(key);
    const left = before ? this.flow(before) : k.left;
    const attached = new Set(k.attached);
    if (on) attached.add(c);
    else attached.delete(c);
    // Of a total that is promised ahead, no burst stays at a place that keeps it for nobody.
    const isIdle = attached.size === 0 && k.total.aheadMs > 0;
    const level = isIdle ? Math.min(left.level, 0) : left.level;
    this.kept.set(key, { ...k, left: { ...left, level }, attached });
  }

  private flow(k: Kept): allowance.Allowance {
    const now = this.deps.clock.steady();
    return allowance.flow(k.left, k.total, this.meanPart(k, now - k.left.at), now);
  }

  private flowed(key: string): Kept | undefined {
    const k = this.kept.get(key);
    return k && { ...k, left: this.flow(k) };
  }

  /** The part of all entry daemons for which a total is kept here now. */
  private part(k: Kept): number {
    return this.meanPart(k, 1);
  }

  /** The same over the last `ms`: an entry daemon counts until its lease is over. */
  private meanPart(k: Kept, ms: number): number {
    if (ms <= 0) return 0;
    const now = this.deps.clock.mono();
    let known = this.count();
    let heldMs = 0;
    for (const c of k.attached) {
      const host = this.hosts.get(c);
      if (!host) continue;
      known = Math.max(known, host.known);
      const until = Math.min(now, host.heardAt + messages.LEASE_MS);
      heldMs += Math.max(0, until - (now - ms));
    }
    return Math.min(1, heldMs / ms / Math.max(1, known));
  }

  /** Entry daemons there are, or were a while ago. */
  private count(): number {
    this.counts = peak.read(this.counts, this.hosts.size, this.deps.clock.steady(), REMEMBERED_MS);
    return peak.highest(this.counts);
  }

  private forget(): void {
    const now = this.deps.clock.steady();
    for (const [key, k] of this.kept) {
      if (k.attached.size > 0 || now - k.left.at < KEPT_MS) continue;
      this.kept.delete(key);
      this.toldAt.delete(key);
    }
  }

  private tell({ total }: Kept, part: number, got: allowance.Drawn): void {
    const now = this.deps.clock.steady();
    if (now - (this.toldAt.get(total.key) ?? -Infinity) < TELL_MS) return;
    this.toldAt.set(total.key, now);
    this.deps.log.info("A total is used up.", {
      total: total.key,
      perS: total.perS,
      burst: total.burst,
      left: Math.round(got.left.level),
      part,
      waitMs: got.waitMs,
    });
  }
}
