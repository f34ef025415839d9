/**
 * A fleet in virtual time that keeps one team's usage cap: entry daemons' and endpoint daemons' parts, or other ways to
 * keep it, with links between them that a play cuts, and hosts that it restarts.
 * @module
 */
import * as record from "../../src/host/record.js";
import * as allowance from "../../src/serving/allowance.js";
import type * as announcer from "../../src/serving/announcer.js";
import * as capPlace from "../../src/serving/cap-place.js";
import * as caps from "../../src/serving/caps.js";
import * as catalog from "../../src/serving/catalog.js";
import type * as seat from "../../src/serving/seat.js";
import type * as time from "../measure/time.js";

export const TEAM = "team";
/** Milliseconds that a message takes, and after which a silent place is given up. */
const WAY_MS = 1;
const SILENT_MS = 350;
/** Milliseconds between two exchanges of what each host is asked for, where shares follow demand. */
const EXCHANGE_MS = 1000;

/** A way to keep a cap, as requests meet it at a host. */
export interface Fleet {
  readonly admit: (host: number, units: number) => Promise<caps.Verdict> | caps.Verdict;
  /** A new cap at all hosts. */
  readonly change: (cap: allowance.Cap) => void;
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
  readonly cap: allowance.Cap;
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
  const left = new Map<number, allowance.Allowance>();
  const nothing = (): void => undefined;
  return {
    admit: (host, units) => {
      const part = partOf(host);
      const before = left.get(host) ?? allowance.begun(0, part * opts.overdraft);
      const now = allowance.flow(before, cap, part, clk.steady());
      const got = allowance.draw(now, cap, part, [units], opts.overdraft);
      left.set(host, got.left);
      if (got.granted > 0) return { kind: "in" };
      return got.waitMs === undefined
        ? { kind: "unsure", comeBackMs: 0 }
        : { kind: "over", comeBackMs: got.waitMs };
    },
    change: (next) => {
      cap = next;
    },
    cut: nothing,
    kill: nothing,
    restart: (host) => left.set(host, allowance.begun(clk.steady(), partOf(host) * opts.overdraft)),
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

/** The product's own way: {@link caps.Caps} at the hosts and {@link capPlace.CapPlace} at the places. */
class Places implements Fleet {
  private readonly places: capPlace.CapPlace[];
  private readonly links: Wire[][];
  private readonly hosts: caps.Caps[];
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
      this.places.map((_place, p) => new Wire(this, h, p)),
    );
    this.hosts = this.links.map((_links, h) => this.host(h));
    this.links.flat().forEach((l) => {
      l.connect();
    });
    for (const h of this.hosts) h.refresh();
  }

  private place(): capPlace.CapPlace {
    const { clk, opts } = this;
    return new capPlace.CapPlace({ clock: clk, log: record.silent, overdraft: opts.overdraft });
  }

  private host(h: number): caps.Caps {
    return new caps.Caps({
      clock: this.clk,
      log: record.silent,
      catalog: () => this.catalog,
      places: (_team, n) => (this.links[h] ?? []).slice(0, n),
      hosts: () => (this.told.has(h) ? this.opts.hosts : undefined),
      overdraft: this.opts.overdraft,
    });
  }

  at(p: number): capPlace.CapPlace | undefined {
    return this.places[p];
  }

  of(h: number): caps.Caps | undefined {
    return this.hosts[h];
  }

  count(): void {
    this.sent++;
  }

  /** A host hears how many there are. */
  tell(host: number): void {
    this.told.add(host);
  }

  admit(host: number, units: number): Promise<caps.Verdict> | caps.Verdict {
    const [team] = this.catalog.config?.teams?.all ?? [];
    const at = this.hosts[host];
    return team && at ? at.admit(team, units) : { kind: "in" };
  }

  change(cap: allowance.Cap): void {
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

/** A host's connection to a place; what is on its way while it is cut comes once that is over. */
class Wire implements caps.Place {
  readonly address: string;
  isHeard = false;
  private client: announcer.Client | undefined;
  private isCut = false;
  /** It is to be connected once it is no longer cut. */
  private isAwaited = false;
  private held: (() => void)[] = [];
  private next = 0;
  private readonly asked = new Map<number, (a: seat.FromEndpoint | undefined) => void>();

  constructor(
    private readonly fleet: Places,
    private readonly h: number,
    private readonly p: number,
  ) {
    this.address = `place-${p}`;
  }

  get isForgotten(): boolean {
    return this.client === undefined;
  }

  connect(): void {
    this.isAwaited = this.isCut;
    if (this.isCut) return;
    this.fleet.tell(this.h);
    const client: announcer.Client = {
      host: `host-${this.h}`,
      send: (m) => {
        this.cross(() => {
          if (m.kind === "drawn") this.asked.get(m.draw)?.(m);
        });
      },
      sendLine: () => undefined,
    };
    this.client = client;
    this.isHeard = true;
    this.fleet.at(this.p)?.join(client);
    for (const m of this.fleet.of(this.h)?.greeting(this.address) ?? []) this.send(m);
  }

  lose(): void {
    if (this.client) this.fleet.at(this.p)?.leave(this.client);
    this.client = undefined;
    this.isHeard = false;
    this.held = [];
    for (const answer of this.asked.values()) answer(undefined);
  }

  cut(on: boolean): void {
    this.isCut = on;
    if (on) return;
    if (this.isAwaited) {
      this.connect();
      return;
    }
    this.isHeard = true;
    for (const run of this.held.splice(0)) run();
  }

  private cross(run: () => void): void {
    this.fleet.count();
    if (this.isCut) this.held.push(run);
    else this.fleet.clk.after(WAY_MS, run);
  }

  send: caps.Place["send"] = (m) => {
    const { client } = this;
    if (!client) return;
    this.cross(() => {
      const place = this.fleet.at(this.p);
      if (this.client !== client) return;
      if (m.kind === "attach") place?.attach(client, m);
      if (m.kind === "keep") place?.keep(client);
      if (m.kind === "refund") place?.refund(client, m);
    });
  };

  draw: caps.Place["draw"] = (team, wants) => {
    const { client } = this;
    const n = this.next++;
    return new Promise((resolve) => {
      const settle = (a: seat.FromEndpoint | undefined): void => {
        this.asked.delete(n);
        resolve(a?.kind === "drawn" ? a : undefined);
      };
      this.asked.set(n, settle);
      this.fleet.clk.after(SILENT_MS, () => {
        if (!this.asked.has(n)) return;
        this.isHeard = false;
        settle(undefined);
      });
      this.cross(() => {
        if (client && this.client === client) {
          this.fleet.at(this.p)?.draw(client, { kind: "draw", draw: n, team, wants });
        }
      });
    });
  };
}

/** A catalog whose only team has a cap in tokens. */
function withCap(cap: allowance.Cap, version: number): catalog.Catalog {
  const team: catalog.Team = { name: TEAM, cap: { ...cap, unit: "tokens", defaultTokens: 1 } };
  return {
    ...catalog.EMPTY,
    config: {
      version,
      routes: [],
      services: new Map(),
      limits: { headerBytes: 0, bodyBytes: 0, headersMs: 0, idleMs: 0 },
      teams: { all: [team], byDigest: new Map(), malformed: 0 },
    },
  };
}
