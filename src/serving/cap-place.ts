/**
 * An endpoint daemon's part in keeping usage caps: it is the place of some teams' caps for the entry daemons that say
 * so, and lets in what their part of the cap allows. It outlives the worker beside it.
 * @module
 */
import type * as clock from "../host/clock.js";
import type * as record from "../host/record.js";
import * as allowance from "./allowance.js";
import type * as announcer from "./announcer.js";
import * as messages from "./cap-messages.js";
import * as peak from "./peak.js";

/** Milliseconds for which an entry daemon that left still counts as one of the hosts. */
const REMEMBERED_MS = 10_000;
/** Milliseconds for which a cap is kept that no entry daemon keeps here. */
const KEPT_MS = 60_000;
/** Milliseconds between two log lines on one team that is at its cap. */
const TELL_MS = 1000;

interface Kept {
  readonly cap: allowance.Cap;
  /** Version of the configuration that the cap is from. */
  readonly version: number;
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
  /** Units by which a team may exceed its cap at once. */
  readonly overdraft: number;
}

export class CapPlace {
  private readonly hosts = new Map<announcer.Client, Host>();
  private readonly kept = new Map<string, Kept>();
  private readonly toldAt = new Map<string, number>();
  /** Entry daemons connected at once, over {@link REMEMBERED_MS}. */
  private counts: peak.Peak | undefined;

  constructor(private readonly deps: Deps) {}

  /** Teams whose caps are kept here. */
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
    for (const [team, k] of this.kept) if (k.attached.has(c)) this.attachment(team, k, c, false);
  }

  /** An entry daemon still keeps here what it said last. */
  keep(c: announcer.Client): void {
    this.heard(c, this.hosts.get(c)?.known ?? 1);
  }

  attach(c: announcer.Client, m: messages.Attach): void {
    this.heard(c, m.hosts);
    const named = new Map(m.caps.map(({ team, perS, burst }) => [team, { perS, burst }]));
    for (const [team, k] of this.kept) {
      if (k.attached.has(c) && !named.has(team)) this.attachment(team, k, c, false);
    }
    for (const [team, cap] of named) {
      const k = this.kept.get(team) ?? this.begun(cap, m.version);
      const newer = m.version > k.version ? { ...k, cap, version: m.version } : k;
      this.attachment(team, newer, c, true);
    }
    this.forget();
  }

  draw(c: announcer.Client, m: messages.Draw): void {
    const k = this.flowed(m.team);
    if (!k?.attached.has(c)) {
      c.send({ kind: "drawn", draw: m.draw, granted: 0 });
      return;
    }
    const part = this.part(k);
    const got = allowance.draw(k.left, k.cap, part, m.wants, this.deps.overdraft);
    this.kept.set(m.team, { ...k, left: got.left });
    c.send({
      kind: "drawn",
      draw: m.draw,
      granted: got.granted,
      ...(got.waitMs !== undefined && { waitMs: got.waitMs }),
    });
    if (got.granted < m.wants.length) this.tell(m.team, k, part, got);
  }

  refund(c: announcer.Client, m: messages.Refund): void {
    const k = this.flowed(m.team);
    if (!k?.attached.has(c)) return;
    this.kept.set(m.team, { ...k, left: allowance.refund(k.left, k.cap, m.units) });
  }

  /** An entry daemon said something; what flowed in until now counts by what was heard until now. */
  private heard(c: announcer.Client, known: number): void {
    const now = this.deps.clock.mono();
    const lapsed = now - (this.hosts.get(c)?.heardAt ?? -Infinity) > messages.LEASE_MS;
    if (lapsed) {
      for (const [team, k] of this.kept) {
        if (k.attached.has(c)) this.kept.set(team, { ...k, left: this.flow(k) });
      }
    }
    this.hosts.set(c, { known, heardAt: now });
  }

  private begun(cap: allowance.Cap, version: number): Kept {
    const left = allowance.begun(this.deps.clock.steady(), this.deps.overdraft);
    return { cap, version, left, attached: new Set() };
  }

  /** An entry daemon begins or ceases to keep a cap here; what flowed in until now counts by the part until now. */
  private attachment(team: string, k: Kept, c: announcer.Client, on: boolean): void {
    const before = this.kept.get(team);
    const left = before ? this.flow(before) : k.left;
    const attached = new Set(k.attached);
    if (on) attached.add(c);
    else attached.delete(c);
    this.kept.set(team, { ...k, left, attached });
  }

  private flow(k: Kept): allowance.Allowance {
    const now = this.deps.clock.steady();
    return allowance.flow(k.left, k.cap, this.meanPart(k, now - k.left.at), now);
  }

  private flowed(team: string): Kept | undefined {
    const k = this.kept.get(team);
    return k && { ...k, left: this.flow(k) };
  }

  /** The part of all entry daemons for which a cap is kept here now. */
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
    for (const [team, k] of this.kept) {
      if (k.attached.size > 0 || now - k.left.at < KEPT_MS) continue;
      this.kept.delete(team);
      this.toldAt.delete(team);
    }
  }

  private tell(team: string, k: Kept, part: number, got: allowance.Drawn): void {
    const now = this.deps.clock.steady();
    if (now - (this.toldAt.get(team) ?? -Infinity) < TELL_MS) return;
    this.toldAt.set(team, now);
    this.deps.log.info("A team is at its cap.", {
      team,
      perS: k.cap.perS,
      burst: k.cap.burst,
      left: Math.round(got.left.level),
      part,
      waitMs: got.waitMs,
    });
  }
}
