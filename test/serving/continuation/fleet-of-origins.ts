/**
 * A fleet in virtual time, for tests of the origins of streams: entry hosts and keepers that learn of software versions with a
 * delay, lose what they know when they restart, and can be cut off from one another.
 * @module
 */
import type * as clock from "../../../src/host/clock.js";
import type * as catalog from "../../../src/serving/catalog.js";
import type * as messages from "../../../src/serving/continuation/messages.js";
import * as originKeeper from "../../../src/serving/continuation/origin-keeper.js";
import * as origins from "../../../src/serving/continuation/origins.js";
import * as catalogs from "../../../src/serving/catalog.js";
import * as fixtures from "../fixtures.js";

const STEP_MS = 20;
/** Milliseconds that a caller waits for a stream in all. */
export const WAIT_MS = 10_000;
/** Milliseconds for which a version is registered at least, longer than any daemon takes to learn of it. */
const MIN_LIFE_MS = 3000;
const ROUTE: catalog.Route = {
  ...fixtures.ROUTE,
  kind: "stream",
  resumable: true,
  timeoutMs: WAIT_MS,
};
const CONFIG: catalog.Config = { ...fixtures.CONFIG, routes: [ROUTE] };

function catalogOf(versions: ReadonlySet<string>): catalog.Catalog {
  const endpoints = [...versions].map((v): [string, catalog.Endpoint] => {
    const e = fixtures.endpoint(v, "10.0.0.1:1");
    return [v, { ...e, labels: { ...e.labels, [catalogs.SOFTWARE_LABEL]: v } }];
  });
  return { ...catalogs.EMPTY, config: CONFIG, endpoints: new Map(endpoints) };
}

/** A daemon that follows the registered versions with a delay. */
class Follower {
  startedAt: number;
  private shown: ReadonlySet<string> | undefined;

  constructor(
    readonly fleet: Fleet,
    readonly lagMs: number,
    public onChange: (at: catalog.Catalog) => void = () => undefined,
  ) {
    this.startedAt = fleet.now;
  }

  /** The versions that it knows: those at its start, then those of `lagMs` ago. */
  get view(): ReadonlySet<string> {
    return this.fleet.versionsAt(Math.max(this.startedAt, this.fleet.now - this.lagMs));
  }

  readonly watchedMs = (): number => this.fleet.now - this.startedAt;
  readonly catalogAgeMs = (): number => Math.min(this.watchedMs(), this.lagMs);

  restart(): void {
    this.startedAt = this.fleet.now;
    this.shown = undefined;
  }

  refresh(): void {
    const { view } = this;
    if (view === this.shown) return;
    this.shown = view;
    this.onChange(catalogOf(view));
  }
}

interface Keeper {
  readonly follower: Follower;
  part: originKeeper.OriginKeeper;
}

interface Host {
  readonly follower: Follower;
  part: origins.Origins;
  isCutOff: boolean;
}

/** A stream as it really began. */
export interface Begun {
  readonly attempt: string;
  readonly software: string;
  readonly at: number;
}

export class Fleet {
  now = 0;
  readonly streams: Begun[] = [];
  readonly hosts: readonly Host[];
  private readonly keepers: readonly Keeper[];
  private changes: readonly { readonly at: number; readonly versions: ReadonlySet<string> }[];
  private timers: readonly { readonly at: number; readonly run: () => void }[] = [];
  private readonly clock: clock.Clock = {
    now: () => new Date(this.now),
    mono: () => this.now,
    steady: () => this.now,
    after: (ms, run) => {
      const timer = { at: this.now + ms, run };
      this.timers = [...this.timers, timer];
      return { cancel: () => (this.timers = this.timers.filter((t) => t !== timer)) };
    },
  };

  /** The daemons learn of a change after these ms each. */
  constructor(hostLags: readonly number[], keeperLags: readonly number[]) {
    this.changes = [{ at: 0, versions: new Set(["v1"]) }];
    this.keepers = keeperLags.map((lag) => {
      const follower = new Follower(this, lag);
      return { follower, part: this.createKeeper(follower) };
    });
    this.hosts = hostLags.map((lag) => {
      const follower = new Follower(this, lag);
      const host: Host = { follower, part: this.createHost(follower, () => host), isCutOff: false };
      return host;
    });
  }

  versionsAt(at: number): ReadonlySet<string> {
    return this.changes.findLast((c) => c.at <= at)?.versions ?? new Set();
  }

  /** The `n`th stream that began. */
  stream(n: number): Begun {
    const s = this.streams[n];
    if (!s) throw new RangeError(`no stream ${n} has begun`);
    return s;
  }

  private createKeeper(follower: Follower): originKeeper.OriginKeeper {
    const { watchedMs, catalogAgeMs } = follower;
    const part = new originKeeper.OriginKeeper({ clock: this.clock, watchedMs, catalogAgeMs });
    follower.onChange = (at) => {
      part.history.catalogChanged(at);
    };
    return part;
  }

  private createHost(follower: Follower, host: () => Host): origins.Origins {
    const { watchedMs, catalogAgeMs } = follower;
    const part = new origins.Origins({
      clock: this.clock,
      watchedMs,
      catalogAgeMs,
      keepers: () => this.keepers.map((k, n) => this.linkTo(k, n, host)),
    });
    follower.onChange = (at) => {
      part.catalogChanged(at);
    };
    return part;
  }

  private linkTo(k: Keeper, n: number, host: () => Host): origins.Keeper {
    return {
      address: String(n),
      send: (m) => {
        if (m.kind === "stream_begun" && !host().isCutOff) k.part.record(m);
      },
      findOrigin: (q): Promise<messages.Found | undefined> =>
        Promise.resolve(
          host().isCutOff ? undefined : k.part.find({ kind: "find_origin", question: 0, ...q }),
        ),
    };
  }

  async pass(ms: number): Promise<void> {
    for (const until = this.now + ms; this.now < until;) {
      this.now += STEP_MS;
      for (const f of [...this.keepers, ...this.hosts]) f.follower.refresh();
      const due = this.timers.filter((t) => t.at <= this.now);
      this.timers = this.timers.filter((t) => t.at > this.now);
      for (const t of due) t.run();
      await Promise.resolve();
    }
  }

  /** Registers the workers of a version, or removes them if they were registered for {@link MIN_LIFE_MS}. */
  register({ add, remove }: { readonly add?: string; readonly remove?: string }): void {
    const versions = new Set(this.versionsAt(this.now));
    const isYoung = this.changes.some(
      (c, n) =>
        c.at > this.now - MIN_LIFE_MS &&
        c.versions.has(remove ?? "") &&
        !this.changes[n - 1]?.versions.has(remove ?? ""),
    );
    if (add !== undefined) versions.add(add);
    if (remove !== undefined && versions.size > 1 && !isYoung) versions.delete(remove);
    this.changes = [...this.changes, { at: this.now, versions }];
  }

  /** A caller's stream begins on one of the versions that a host knows. */
  begin(host: Host, choice: number): void {
    const known = [...host.follower.view];
    const software = known[choice % known.length] ?? "v1";
    const attempt = `s${this.streams.length}`;
    const meta = { ...fixtures.request().meta, id: attempt, waitMs: WAIT_MS };
    const req = fixtures.request({ route: ROUTE, meta });
    host.part.begun(req, { service: fixtures.SERVICE.name, software });
    this.streams.push({ attempt, software, at: this.now });
  }

  /** Resumes a stream at a host, by its attempt's name if the caller tells it; returns the version that it goes on at, or undefined if it is refused. */
  async resume(host: Host, s: Begun, isNamed = true): Promise<string | undefined> {
    const waitMs = s.at + WAIT_MS - this.now;
    const named = isNamed ? { resumes: s.attempt } : {};
    const meta = { ...fixtures.request().meta, id: "next", waitMs, resumeAfter: "1", ...named };
    const req = fixtures.request({ route: ROUTE, meta, dueAt: this.now + waitMs });
    const found: { readonly software: string | undefined }[] = [];
    void host.part.find(req).then((k) => {
      found.push({ software: k.kind === "known" ? k.origin.software : undefined });
    });
    while (found.length === 0) await this.pass(STEP_MS);
    return found[0]?.software;
  }

  /** A host's process is killed and starts again. */
  restartHost(host: Host): void {
    host.follower.restart();
    host.part = this.createHost(host.follower, () => host);
    host.follower.refresh();
  }

  /** A keeper's process is killed and starts again; hosts connect to it again and tell it what it must know. */
  restartKeeper(n: number): void {
    const k = this.keepers[n % this.keepers.length];
    if (!k) return;
    k.follower.restart();
    k.part = this.createKeeper(k.follower);
    k.follower.refresh();
    const address = String(this.keepers.indexOf(k));
    for (const h of this.hosts)
      if (!h.isCutOff) for (const m of h.part.messagesFor(address)) k.part.record(m);
  }
}
