/**
 * A fleet in virtual time in which adapters get newer versions while daemons are disturbed: on which version requests begin,
 * and how long callers wait. The sender's limits and its watch are the real ones.
 * @module
 */
import * as hash from "../../src/host/hash.js";
import * as beginWatch from "../../src/serving/versions/begin-watch.js";
import * as declared from "../../src/serving/versions/declared.js";
import * as usage from "../../src/serving/versions/usage.js";
import * as time from "../measure/time.js";
import * as engine from "./engine.js";

/** A way to decide when an older version may be used. */
export interface Way {
  /** Limits with a seat and without one; undefined if the endpoint daemon alone decides, by its time of hearing. */
  readonly limits?: { readonly seated: usage.Limits; readonly seatless: usage.Limits };
}

export interface Site {
  readonly name: string;
  readonly hosts: number;
  readonly engines: number;
  readonly adapters: number;
  readonly perS: number;
}

/** What callers and workers saw of the requests that are counted. */
export interface Outcome {
  requests: number;
  /** Requests that began late, sent by hosts in touch with the store, and by others. */
  late: number;
  lateCut: number;
  served: number;
  servedIn1S: number;
  waitMs: number;
  /** Sends that a worker refused, requests that were broken off, and those of them that could not be sent again. */
  refused: number;
  brokenOff: number;
  lost: number;
  loads: number;
}

/** When the first newer version is declared; requests are counted from a second before, for a while. */
export const START_MS = 6000;
const COUNTED_MS = 11_000;
const DUE_MS = 5000;
/** No requests come from then on. */
export const LAST_MS = START_MS + COUNTED_MS;
const END_MS = LAST_MS + DUE_MS;
const ANSWER_TIMEOUT_MS = 350;
const PATIENCE_MS = 2000;
/** Milliseconds for which a request looks for a usable engine, and from one look to the next. */
const ENDPOINT_WAIT_MS = 1000;
const RETRY_MS = 100;
const EXPECTED_MS = 120;
/** Milliseconds from one call of a host to the store to the next, and for which it waits for changes; the first for daemons. */
const CALL_MS = 1000;
const OPEN_MS = 300;
const ENGINE_CALL_MS = 1500;
/** When a request that waits first compares engines, and the gain for which it moves, in ms. */
const FIRST_COMPARE_MS = 60;
const MIN_GAIN_MS = 200;
/** Engines that are compared for a request, and its sends at most. */
const WIDTH = 12;
const MAX_SENDS = 4;

/** A host's view of the store: when its last answered call began, and the one under way. */
interface Host {
  readonly known: Map<string, declared.Declared>;
  upToDateAt: number;
  declarations: number;
  calledAt: number;
  /** While it is cut off from the store. */
  cutFrom: number;
  cutUntil: number;
  /** Engines whose daemons did not answer, until when they are not asked. */
  readonly silent: Map<number, number>;
}

interface Req {
  readonly n: number;
  readonly host: Host;
  readonly key: string;
  readonly arrivedAt: number;
  readonly lengthMs: number;
  /** Engines that are compared for it, and those that it was sent to or left. */
  readonly order: readonly number[];
  readonly tried: Set<number>;
  moves: number;
}

/** What a send goes out with. */
interface Grant {
  readonly version: number | undefined;
  /** Start of the daemon that granted a seat; undefined without a seat. */
  readonly life?: number;
}

export class Fleet {
  readonly clk = new time.Time();
  readonly newest = new Map<string, number>();
  readonly keys: readonly string[];
  readonly hosts: readonly Host[];
  readonly engines: readonly engine.Engine[];
  /** Virtual ms until which engines begin late. */
  readonly slowUntil = new Map<number, number>();
  readonly out: Outcome = {
    ...{ requests: 0, late: 0, lateCut: 0, served: 0, servedIn1S: 0, waitMs: 0 },
    ...{ refused: 0, brokenOff: 0, lost: 0, loads: 0 },
  };
  private declarations = 0;
  private readonly declaredAt = new Map<string, number[]>();
  private readonly orders: readonly (readonly number[])[];

  constructor(
    readonly site: Site,
    private readonly way: Way,
    private readonly seed: number,
  ) {
    const { clk } = this;
    const range = (n: number): readonly number[] => Array.from({ length: n }, (_, i) => i);
    this.keys = range(site.adapters).map((n) => `m/a${n}`);
    for (const key of this.keys) this.newest.set(key, 1);
    const first = declared.declare(undefined, 1, -Infinity);
    this.hosts = range(site.hosts).map(() => {
      const known = new Map(first ? this.keys.map((key) => [key, first]) : []);
      const cut = { cutFrom: Infinity, cutUntil: Infinity };
      return { known, upToDateAt: 0, declarations: 0, calledAt: 0, ...cut, silent: new Map() };
    });
    this.engines = range(site.engines).map(() => new engine.Engine(clk, this.newest));
    const rank = (a: number): readonly number[] =>
      [...range(site.engines)].sort((x, y) => this.draw(a, x) - this.draw(a, y));
    this.orders = range(site.adapters).map((a) => rank(a).slice(0, WIDTH));
    for (const [n, h] of this.hosts.entries()) this.look(h, CALL_MS * this.draw(n, 1));
  }

  async play(): Promise<Outcome> {
    this.clk.after(START_MS, () => {
      this.out.loads -= this.loads();
    });
    await this.clk.runUntil(END_MS);
    this.out.loads += this.loads();
    return this.out;
  }

  private loads(): number {
    return this.engines.reduce((sum, e) => sum + e.loads, 0);
  }

  /** A number from 0 to 1 that is the same for all ways. */
  private draw(a: number, b: number): number {
    return hash.mix32(hash.mix32(this.seed, a), b) / 2 ** 32;
  }

  private isCut(h: Host): boolean {
    const now = this.clk.mono();
    return now >= h.cutFrom && now < h.cutUntil;
  }

  /** A host calls the store, at first in `inMs`; a call is open for a while if nothing has changed. */
  private look(h: Host, inMs: number): void {
    this.clk.after(inMs, () => {
      this.look(h, CALL_MS);
      if (this.isCut(h)) return;
      h.calledAt = this.clk.mono();
      this.answer(h);
    });
  }

  /** A host's call to the store is answered with all changes so far. */
  private answer(h: Host): void {
    if (h.declarations < this.declarations) {
      h.declarations = this.declarations;
      for (const [key, version] of this.newest) {
        const next = declared.declare(h.known.get(key), version, h.upToDateAt);
        if (next) h.known.set(key, next);
      }
    }
    h.upToDateAt = h.calledAt;
  }

  /** A newer version of adapters is declared; hosts and daemons in touch hear of it by their calls. */
  declare(keys: readonly string[]): void {
    const { clk } = this;
    const now = clk.mono();
    this.declarations++;
    for (const key of keys) {
      this.newest.set(key, (this.newest.get(key) ?? 0) + 1);
      this.declaredAt.set(key, [...(this.declaredAt.get(key) ?? []), now]);
    }
    for (const h of this.hosts) if (!this.isCut(h) && now < h.calledAt + OPEN_MS) this.answer(h);
    for (const [n, e] of this.engines.entries()) {
      if (e.hearsAt > now) continue;
      e.hearsAt = Math.max(now + 20 + 130 * this.draw(n, now), e.hearsAt + ENGINE_CALL_MS);
      clk.after(e.hearsAt - now, () => {
        e.hear(this.newest);
      });
    }
  }

  /** A request comes to a host. */
  async request(n: number, host: number, adapter: number, lengthMs: number): Promise<void> {
    const { clk, out } = this;
    const at = this.hosts[host];
    const key = this.keys[adapter];
    if (!at || key === undefined) return;
    const arrivedAt = clk.mono();
    const order = this.orders[adapter] ?? [];
    const r: Req = { n, host: at, key, order, arrivedAt, lengthMs, tried: new Set(), moves: 0 };
    const isCounted = arrivedAt >= START_MS - 1000 && arrivedAt < START_MS - 1000 + COUNTED_MS;
    if (isCounted) out.requests++;
    const began = await this.serve(r);
    if (!isCounted || !began) return;
    const waitMs = clk.mono() - arrivedAt;
    out.served++;
    out.waitMs += waitMs;
    if (waitMs <= 1000) out.servedIn1S++;
  }

  /** Whether a request begins before it is due. */
  private async serve(r: Req): Promise<boolean> {
    const { clk } = this;
    let lookedFrom = clk.mono();
    for (let sends = 0; sends < MAX_SENDS && clk.mono() < r.arrivedAt + DUE_MS;) {
      const best = this.rank(r)[0]?.n;
      if (best === undefined) {
        if (clk.mono() - lookedFrom >= ENDPOINT_WAIT_MS) return false;
        await clk.wait(RETRY_MS);
        r.tried.clear();
        continue;
      }
      const e = this.engines[best];
      const grant = await this.grant(r, best);
      lookedFrom = clk.mono();
      if (grant === "moved") continue;
      if (!e || !grant) {
        r.tried.add(best);
        continue;
      }
      await clk.wait(5 + 20 * this.draw(r.n, sends));
      const isSent = this.isUsable(r, grant);
      if (isSent) sends++;
      const end = isSent ? await this.send(r, e, best, grant) : "elsewhere";
      if (end !== "began" && grant.life !== undefined) {
        e.begun(grant.life);
        e.release(r.key, grant.life);
      }
      if (end === "began" || end === "lost") return end === "began";
      r.tried.add(best);
    }
    return false;
  }

  private newestOf({ host, key }: Req): declared.Declared | undefined {
    return host.known.get(key);
  }

  /** Whether a request may be written, by what its host knows. */
  private isUsable(r: Req, { version = 0, life }: Grant): boolean {
    const { limits } = this.way;
    if (!limits) return true;
    const by = life === undefined ? limits.seatless : limits.seated;
    return version >= usage.oldestUsable(this.newestOf(r), by, this.clk.mono(), EXPECTED_MS);
  }

  private isReached(r: Req, n: number): boolean {
    const e = this.engines[n];
    const now = this.clk.mono();
    return e !== undefined && e.isUp && now >= e.linkedAt && now >= (r.host.silent.get(n) ?? 0);
  }

  /** Estimated ms until each usable engine serves a request that may wait at one, least first, as its host knows. */
  private rank(r: Req, waitsAt?: number): readonly { readonly n: number; readonly ms: number }[] {
    const { seatless } = this.way.limits ?? {};
    const oldest = seatless ? usage.oldestUsable(this.newestOf(r), seatless, this.clk.mono()) : 0;
    const list = r.order.flatMap((n, i) => {
      const { state } = this.engines[n] ?? {};
      const slot = state?.slots.get(r.key);
      const isHeld = slot?.phase === "resident" || slot?.phase === "loading";
      const isReached = this.isReached(r, n);
      if (r.tried.has(n) || (!isReached && (!isHeld || slot.version < oldest))) return [];
      const waiting = (state?.waiting.length ?? 0) - (n === waitsAt ? 1 : 0);
      const reachedMs = (isHeld ? 0 : 550) + waiting * EXPECTED_MS;
      return [{ n, ms: 12 * i + 15 * (slot?.pins ?? 0) + (isReached ? reachedMs : 700) }];
    });
    return list.sort((a, b) => a.ms - b.ms);
  }

  private isSoonerElsewhere(r: Req, n: number): boolean {
    const ranking = this.rank(r, n);
    const [best] = ranking;
    const current = ranking.find((e) => e.n === n);
    return best !== undefined && best.ms + MIN_GAIN_MS < (current?.ms ?? Infinity);
  }

  /** Gets a seat, or leave to send without one; undefined if the request must go elsewhere. */
  private async grant(r: Req, n: number): Promise<Grant | "moved" | undefined> {
    const { clk, way } = this;
    const e = this.engines[n];
    if (!e) return undefined;
    const seat = await new Promise<Grant | "denied" | "unreachable" | "moved">((resolve) => {
      if (!this.isReached(r, n)) {
        resolve("unreachable");
        return;
      }
      const newest = this.newestOf(r);
      const waiter = {
        ...{ seat: `${r.n}/${clk.mono()}`, key: r.key, model: "m", adapter: r.key, rank: 1 },
        ...{ version: way.limits && newest?.version, serviceMs: EXPECTED_MS },
        ...{ targetAt: r.arrivedAt + 1000, expiresAt: r.arrivedAt + PATIENCE_MS },
      };
      const older = way.limits && usage.olderFor(newest, way.limits.seated, clk.mono());
      const ask: engine.Ask = {
        ...{ waiter, newest: newest?.version ?? 0, older, isOver: false },
        answer: (a) => {
          resolve(typeof a === "string" ? a : { ...a, life: e.life });
        },
      };
      clk.after(2, () => {
        e.ask(ask);
      });
      // A daemon answers at once that a request waits; one that stands still does not.
      const check = (): void => {
        if (ask.isOver) return;
        if (e.isUp && !e.isFrozen) {
          clk.after(ANSWER_TIMEOUT_MS, check);
          return;
        }
        e.withdraw(ask);
        r.host.silent.set(n, clk.mono() + 500);
        resolve("unreachable");
      };
      clk.after(ANSWER_TIMEOUT_MS, check);
      const compare = (everyMs: number): void => {
        if (ask.isOver) return;
        if (this.isSoonerElsewhere(r, n)) {
          e.withdraw(ask);
          r.moves++;
          resolve("moved");
        } else {
          clk.after(2 * everyMs, () => {
            compare(2 * everyMs);
          });
        }
      };
      const firstMs = FIRST_COMPARE_MS * 2 ** r.moves;
      clk.after(firstMs, () => {
        compare(firstMs);
      });
    });
    if (seat === "moved") return seat;
    if (seat === "denied") return undefined;
    if (seat !== "unreachable") return seat;
    const slot = e.state.slots.get(r.key);
    if (slot?.phase !== "resident" && slot?.phase !== "loading") return undefined;
    return { version: way.limits && slot.version };
  }

  /** Sends a request to an engine, and says how that ends; `lost` if it may not be sent again. */
  private async send(
    r: Req,
    e: engine.Engine,
    n: number,
    { version: named, life }: Grant,
  ): Promise<"began" | "elsewhere" | "lost"> {
    const { clk, out } = this;
    const version = e.accept(r.key, named);
    if (version === undefined) {
      out.refused++;
      return "elsewhere";
    }
    const isSlow = clk.mono() < (this.slowUntil.get(n) ?? 0);
    const beginMs = (isSlow ? 500 : 60) + (isSlow ? 5000 : 90) * this.draw(r.n, -n - 2);
    const hasBegun = await new Promise<boolean>((resolve) => {
      const watch = beginWatch.start(
        clk,
        () => this.leftMs(r, named),
        () => {
          resolve(false);
        },
      );
      clk.after(Math.min(beginMs + 15 * e.busy(r.key), r.arrivedAt + DUE_MS - clk.mono()), () => {
        watch.cancel();
        resolve(clk.mono() < r.arrivedAt + DUE_MS);
      });
    });
    if (!hasBegun) {
      e.end(r.key);
      if (clk.mono() >= r.arrivedAt + DUE_MS) return "lost";
      out.brokenOff++;
      // One request in three may not be repeated.
      if (r.n % 3 > 0) return "elsewhere";
      out.lost++;
      return "lost";
    }
    this.judge(r, version);
    if (life !== undefined) e.begun(life);
    clk.after(r.lengthMs, () => {
      e.end(r.key);
      if (life !== undefined) e.release(r.key, life);
    });
    return "began";
  }

  /** Milliseconds within which a request under way must begin. */
  private leftMs(r: Req, named: number | undefined): number {
    const { limits } = this.way;
    if (!limits) return Infinity;
    return usage.beginsWithinMs(this.newestOf(r), named, limits.seated, this.clk.mono());
  }

  /** Counts a request that begins late: a newer version was declared so long before, in one stretch in touch. */
  private judge({ host: h, key }: Req, version: number): void {
    const newerAt = this.declaredAt.get(key)?.[version - 1] ?? Infinity;
    const now = this.clk.mono();
    if (now <= newerAt + engine.VERSION_MS) return;
    const beforeMs = Math.min(h.cutFrom, now) - newerAt;
    const afterMs = now - Math.max(h.cutUntil, newerAt);
    if (Math.max(beforeMs, afterMs) > engine.VERSION_MS) this.out.late++;
    else this.out.lateCut++;
  }
}
