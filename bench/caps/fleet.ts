/**
 * A fleet in virtual time that keeps one team's usage cap: entry daemons' and endpoint daemons' parts, or other ways to
 * keep it, with links between them that a play cuts, and hosts that it restarts.
 * @module
 */
import * as structuredLog from "../../src/host/structured-log.js";
import * as tokenBalance from "../../src/serving/token-balance.js";
import * as caps from "../../src/serving/caps.js";
import * as catalog from "../../src/serving/catalog.js";
import * as limiter from "../../src/serving/limiter.js";
import * as limiterOwner from "../../src/serving/limiter-owner.js";
import type * as time from "../measure/time.js";
import * as wire from "./wire.js";

export const TEAM = "team";
/** Milliseconds between two exchanges of what each host is asked for, where shares follow demand. */
const EXCHANGE_MS = 1000;

/** A way to keep a cap, as requests meet it at a host. */
export interface Fleet {
  readonly admit: (host: number, units: number) => Promise<limiter.Decision> | limiter.Decision;
  /** A new cap at all hosts. */
  readonly change: (cap: tokenBalance.Cap) => void;
  /** Cuts a host from all places, or ends that. */
  readonly cut: (host: number, on: boolean) => void;
  /** Kills the first place and starts it again `downMs` later. */
  readonly kill: (downMs: number) => void;
  readonly restart: (host: number) => void;
  readonly messages: () => number;
}

export interface Options {
  readonly hosts: number;
  readonly places: number;
  readonly cap: tokenBalance.Cap;
  readonly overdraft: number;
}

export type Way = "equal" | "following" | "places";

export function open(way: Way, opts: Options, clk: time.Time): Fleet {
  switch (way) {
    case "equal":
      return shares(opts, clk, () => 1 / opts.hosts);
    case "following":
      return following(opts, clk);
    case "places":
      return new Places(opts, clk);
  }
}

/** Each host keeps a part of the cap by itself. */
function shares(opts: Options, clk: time.Time, partOf: (host: number) => number): Fleet {
  let { cap } = opts;
  const left = new Map<number, tokenBalance.Balance>();
  const nothing = (): void => undefined;
  return {
    admit: (host, units) => {
      const part = partOf(host);
      const before = left.get(host) ?? tokenBalance.initial(0, part * opts.overdraft);
      const now = tokenBalance.refill(before, cap, part, clk.steady());
      const wish = { wants: [units], patienceMs: 0 };
      const got = tokenBalance.draw(now, cap, part, wish, opts.overdraft);
      left.set(host, got.left);
      if (got.granted > 0) return { kind: "in", delayMs: 0 };
      return got.waitMs === undefined
        ? { kind: "unsure", retryAfterMs: 0 }
        : { kind: "over", retryAfterMs: got.waitMs };
    },
    change: (next) => {
      cap = next;
    },
    cut: nothing,
    kill: nothing,
    restart: (host) =>
      left.set(host, tokenBalance.initial(clk.steady(), partOf(host) * opts.overdraft)),
    messages: () => 0,
  };
}

/** Each host's part follows what it was asked for, as all hosts knew it at the last exchange. */
function following(opts: Options, clk: time.Time): Fleet {
  const asked = new Array<number>(opts.hosts).fill(0);
  const seen = new Array<readonly number[]>(opts.hosts).fill(asked.map(() => 1));
  const away = new Set<number>();
  let messages = 0;
  const exchange = (): void => {
    const told = [...asked];
    messages += opts.hosts;
    for (let h = 0; h < opts.hosts; h++) if (!away.has(h)) seen[h] = told;
    asked.forEach((n, h) => (asked[h] = n / 2));
    clk.after(EXCHANGE_MS, exchange);
  };
  exchange();
  const partOf = (host: number): number => {
    const known = seen[host] ?? [];
    const sum = known.reduce((a, b) => a + b, 0);
    const least = sum / opts.hosts / 10 + 1;
    return ((known[host] ?? 0) + least) / (sum + least * opts.hosts);
  };
  const base = shares(opts, clk, partOf);
  return {
    ...base,
    admit: (host, units) => {
      asked[host] = (asked[host] ?? 0) + units;
      return base.admit(host, units);
    },
    cut: (host, on) => {
      if (on) away.add(host);
      else away.delete(host);
    },
    messages: () => messages,
  };
}

/** The product's own way: {@link limiter.Limiter} at the hosts and {@link limiterOwner.LimiterOwner} at the places. */
class Places implements Fleet {
  private readonly places: wire.Place[];
  private readonly links: wire.Wire[][];
  private readonly hosts: limiter.Limiter[];
  /** Hosts that have heard how many there are since they started. */
  private readonly told = new Set<number>();
  private catalog: catalog.Catalog;
  private sent = 0;

  constructor(
    private readonly opts: Options,
    readonly clk: time.Time,
  ) {
    this.catalog = withCap(opts.cap, 1);
    this.places = Array.from({ length: opts.places }, () => this.place());
    this.links = Array.from({ length: opts.hosts }, (_, h) =>
      this.places.map((_place, p) => this.wire(h, p)),
    );
    this.hosts = this.links.map((_links, h) => this.host(h));
    this.links.flat().forEach((l) => {
      l.connect();
    });
    for (const h of this.hosts) h.refresh();
  }

  private place(): wire.Place {
    return placeOf(new limiterOwner.LimiterOwner({ clock: this.clk, log: structuredLog.silent }));
  }

  private wire(h: number, p: number): wire.Wire {
    return new wire.Wire({
      clk: this.clk,
      name: `host-${h}`,
      address: `place-${p}`,
      place: () => this.places[p],
      host: () => {
        const at = this.hosts[h];
        return at && { greeting: (to) => at.attachMessagesFor(to), hear: () => undefined };
      },
      stands: () => this.told.add(h),
      sent: () => {
        this.sent++;
      },
    });
  }

  private host(h: number): limiter.Limiter {
    return new limiter.Limiter({
      clock: this.clk,
      log: structuredLog.silent,
      totals: () => caps.totals(this.catalog.config, this.opts.overdraft),
      ownerCandidates: (_key, n) => (this.links[h] ?? []).slice(0, n),
      hostCount: () => (this.told.has(h) ? this.opts.hosts : undefined),
    });
  }

  admit(host: number, units: number): Promise<limiter.Decision> | limiter.Decision {
    const [total] = caps.totals(this.catalog.config, this.opts.overdraft);
    const at = this.hosts[host];
    return total && at ? at.admit(total, units, 0) : { kind: "in", delayMs: 0 };
  }

  change(cap: tokenBalance.Cap): void {
    this.catalog = withCap(cap, (this.catalog.config?.version ?? 0) + 1);
    for (const h of this.hosts) h.refresh();
  }

  cut(host: number, on: boolean): void {
    for (const l of this.links[host] ?? []) l.cut(on);
  }

  kill(downMs: number): void {
    const all = this.links.flatMap((links) => links.slice(0, 1));
    for (const l of all) l.lose();
    this.places[0] = this.place();
    this.clk.after(downMs, () => {
      for (const l of all) l.connect();
    });
  }

  restart(host: number): void {
    this.hosts[host]?.close();
    for (const l of this.links[host] ?? []) l.lose();
    this.told.delete(host);
    this.hosts[host] = this.host(host);
    for (const l of this.links[host] ?? []) l.connect();
    this.hosts[host].refresh();
  }

  messages(): number {
    return this.sent;
  }
}

/** An endpoint daemon that keeps totals, as a connection meets it. */
export function placeOf(at: limiterOwner.LimiterOwner): wire.Place {
  return {
    join: (c) => {
      at.join(c);
    },
    leave: (c) => {
      at.leave(c);
    },
    hear: (c, m) => {
      if (m.kind === "attach") at.attach(c, m);
      if (m.kind === "keep") at.keep(c);
      if (m.kind === "draw") at.draw(c, m);
      if (m.kind === "refund") at.refund(c, m);
    },
  };
}

/** A catalog whose only team has a cap in tokens. */
function withCap(cap: tokenBalance.Cap, version: number): catalog.Catalog {
  const team: catalog.Team = { name: TEAM, cap: { ...cap, unit: "tokens", defaultTokens: 1 } };
  return {
    ...catalog.EMPTY,
    config: {
      version,
      routes: [],
      services: new Map(),
      limits: { headerBytes: 0, bodyBytes: 0, headersMs: 0, idleMs: 0 },
      teams: { all: [team], byDigest: new Map(), malformedCount: 0 },
    },
  };
}
