/**
 * A fleet in virtual time in which entry daemons end and callers resume their streams: who knows by then at which software
 * version each stream began. Streams, disturbances and delays are the same for all ways to keep the origins.
 * @module
 */
import * as uniform from "pure-rand/distribution/uniformFloat64";
import * as generators from "pure-rand/generator/xoroshiro128plus";
import * as ring from "../../src/contract/ring.js";
import * as hash from "../../src/host/hash.js";
import * as time from "../measure/time.js";
import * as disturbances from "./disturbances.js";

/** Endpoint daemons that keep the origin of a stream, and groups of streams that have the same ones. */
const KEEPERS = 3;
const GROUPS = 256;
/** Longest stream in milliseconds, so that no caller resumes an older one. */
const MAX_LENGTH_MS = 15_000;
/** Range of the milliseconds from the start of a daemon to each of its links. */
const LINK_MS = [100, 300] as const;
/** Milliseconds that copying to a keeper takes once it is linked, and that handing over takes. */
const COPY_MS = 50;
const HANDOVER_MS = 100;
/** Range of the milliseconds until a caller resumes a stream, and milliseconds until it tries the next host. */
const RESUME_MS = [200, 500] as const;
const RETRY_MS = 350;
/** Milliseconds from one look at the store to the next, the oldest view with which streams begin, and until a row is in force. */
const LOOK_MS = 1000;
const MAX_VIEW_AGE_MS = 3000;
/** Milliseconds between two counts of the entry daemons that may begin streams. */
const COUNT_MS = 250;
/** Milliseconds that are played after all is over. */
const END_MS = 3000;

/** A way to keep the origins; with nothing set, the entry daemon and three keepers remember them. */
export interface Way {
  /** Keepers that start, or keep further groups, get the records of the other keepers. */
  readonly repairs?: boolean;
  /** Keepers that stop hand their records over. */
  readonly handsOver?: boolean;
  /** Entry daemons write open streams to the store once in so many ms. */
  readonly writeMs?: number;
  /** Origins follow from the groups of adapters; nothing is recorded. */
  readonly isTable?: boolean;
}

/** A stream that begins. */
interface Stream {
  readonly kind: "begin";
  readonly at: number;
  readonly id: number;
  readonly entry: number;
  /** Its group, which gives its keepers, and that of its adapter. */
  readonly group: number;
  readonly endsAt: number;
}

type Keepers = readonly (readonly number[])[];

/** From now on each group has these keepers. */
interface KeepersChange {
  readonly kind: "keepers";
  readonly at: number;
  readonly keepers: Keepers;
}

/** A disturbance of a site, with the streams of the entry daemons that are killed in it. */
export interface Scenario {
  readonly site: disturbances.Site;
  readonly seed: number;
  readonly script: disturbances.Script;
  readonly streams: readonly Stream[];
  readonly changes: readonly KeepersChange[];
}

export function scenario(site: disturbances.Site, of: string, seed: number): Scenario {
  const rng = generators.xoroshiro128plus(seed);
  const random = (): number => uniform.uniformFloat64(rng);
  const exponential = (mean: number): number => -Math.log(1 - random()) * mean;
  const script = disturbances.DISTURBANCES[of]?.(site, random);
  if (!script) throw new RangeError(`no disturbance is named ${of}`);
  const streams: Stream[] = [];
  const intervalMs = (1000 * site.entries) / site.perS;
  for (const { at, daemon } of script.steps.filter((s) => s.kind === "kill")) {
    if (daemon >= site.entries) continue;
    for (let t = at - MAX_LENGTH_MS; (t += exponential(intervalMs)) < at;) {
      let pick = random();
      const kind = site.kinds.find((k) => (pick -= k.part) < 0);
      const endsAt = t + Math.min(MAX_LENGTH_MS, exponential(kind?.meanMs ?? 0));
      const group = Math.floor(random() * GROUPS);
      const id = streams.length;
      streams.push({ kind: "begin", at: t, id, entry: daemon, group, endsAt });
    }
  }
  return { site, seed, script, streams, changes: keepersOver(site, script, seed) };
}

function keepersOver(
  site: disturbances.Site,
  script: disturbances.Script,
  seed: number,
): readonly KeepersChange[] {
  const present = new Set(Array.from({ length: site.endpoints }, (_, i) => site.entries + i));
  const keepers = (): Keepers => {
    const places = [...present].map((n) => {
      return { name: `${seed}/${n}`, failureDomain: String(n % site.domains) };
    });
    const built = ring.build(places);
    const find = (g: number): readonly ring.Place[] =>
      ring.successors(built, `streams/${g}`, KEEPERS, KEEPERS);
    return Array.from({ length: GROUPS }, (_, g) =>
      find(g).map((p) => Number(p.name.split("/")[1])),
    );
  };
  const changes = script.steps.filter((s) => s.kind === "join" || s.kind === "leave");
  const times = [...new Set(changes.map((s) => s.at))].sort((a, b) => a - b);
  return [0, ...times].map((at) => {
    for (const { kind, daemon } of changes.filter((s) => s.at === at)) {
      if (kind === "join") present.add(daemon);
      else present.delete(daemon);
    }
    return { kind: "keepers", at, keepers: keepers() };
  });
}

/** A daemon, and the streams whose origins it knows, by group. */
class Daemon {
  isUp = true;
  isPaused = false;
  isStopping = false;
  startedAt = -Infinity;
  /** When it has read a snapshot of the store. */
  readAt = -Infinity;
  readonly records = new Map<number, Set<Stream>>();

  constructor(readonly n: number) {}

  add(s: Stream): void {
    const group = this.records.get(s.group);
    if (group) group.add(s);
    else this.records.set(s.group, new Set([s]));
  }

  copy(group: number, from: Daemon): void {
    if (from !== this) for (const s of from.records.get(group) ?? []) this.add(s);
  }
}

/** What became of a scenario's streams. */
export interface Outcome {
  /** Streams that were resumed, and those of them whose origins were known. */
  readonly resumed: number;
  readonly known: number;
  /** Streams that would have gone on at another version than their own. */
  readonly wrong: number;
  /** Part of the new streams that may begin at entry daemons that serve. */
  readonly begun: number;
  /** Most reads of the store within a second. */
  readonly readsPerS: number;
}

/** Plays a scenario with one way to keep the origins. */
export function play(made: Scenario, way: Way): Outcome {
  return new Fleet(made, way).outcome;
}

/** The most times within a second of an ascending list. */
function peak(times: readonly number[]): number {
  let first = 0;
  return times.reduce((most, t, n) => {
    while ((times[first] ?? t) <= t - 1000) first++;
    return Math.max(most, n - first + 1);
  }, 0);
}

class Fleet {
  private resumed = 0;
  private known = 0;
  private wrong = 0;
  /** Times at which the store was read for a stream. */
  private readonly reads: number[] = [];
  /** Entry daemons that served, and that might begin streams, counted over time. */
  private serving = 0;
  private beginning = 0;
  private readonly clk = new time.Time();
  private readonly daemons: Daemon[] = [];
  /** The entry daemons whose streams are played. */
  private readonly followed: readonly Daemon[];
  private keepers: Keepers = [];
  private before: Keepers = [];
  private readonly killedAt = new Map<number, number>();
  /** Whether each stream began on the new version. */
  private readonly versions = new Map<Stream, boolean>();

  constructor(
    private readonly made: Scenario,
    private readonly way: Way,
  ) {
    const { site, script, streams, changes } = made;
    for (let n = 0; n < site.entries + site.endpoints; n++) this.daemons.push(new Daemon(n));
    const withStreams = new Set(streams.map((t) => t.entry));
    this.followed = this.daemons.filter((d) => withStreams.has(d.n));
    for (const e of [...changes, ...script.steps, ...streams]) {
      this.at(e.at, () => {
        this.apply(e);
      });
    }
    this.at(disturbances.START_MS, () => {
      this.count();
    });
    const over = Math.max(...script.steps.map((s) => s.at), script.away?.until ?? 0);
    this.clk.runNow(Math.max(over, script.resumedFrom) + END_MS);
  }

  get outcome(): Outcome {
    const { resumed, known, wrong, beginning, serving } = this;
    return { resumed, known, wrong, begun: beginning / serving, readsPerS: peak(this.reads) };
  }

  private get now(): number {
    return this.clk.mono();
  }

  private at(ms: number, run: () => void): void {
    this.clk.after(ms - this.now, run);
  }

  /** A number from 0 to 1 that is the same for all ways. */
  private draw(a: number, b: number): number {
    return hash.mix32(hash.mix32(this.made.seed, a), b) / 2 ** 32;
  }

  private keepersOf(group: number): readonly Daemon[] {
    return (this.keepers[group] ?? []).flatMap((n) => this.daemons[n] ?? []);
  }

  private isAway(ms: number): boolean {
    const { away } = this.made.script;
    return away !== undefined && ms >= away.from && ms < away.until;
  }

  private linkedAt(a: Daemon, b: Daemon): number {
    const [from, to] = LINK_MS;
    return Math.max(a.startedAt, b.startedAt) + from + (to - from) * this.draw(a.n, b.n);
  }

  private isLinked(a: Daemon, b: Daemon): boolean {
    return a.isUp && b.isUp && this.linkedAt(a, b) <= this.now;
  }

  /** An entry daemon serves once it has a snapshot of the store and its links. */
  private serves(d: Daemon): boolean {
    return d.isUp && !d.isPaused && !d.isStopping && this.now >= d.readAt + LINK_MS[1];
  }

  /** The entry daemon that carries records between endpoint daemons. */
  private carrier(): Daemon | undefined {
    for (const d of this.daemons.values()) {
      if (d.n >= this.made.site.entries) return undefined;
      if (this.serves(d)) return d;
    }
    return undefined;
  }

  /** The time up to which an entry daemon knows the store. */
  private viewOf(d: Daemon): number {
    const ageMs = LOOK_MS * this.draw(d.n, 0);
    const looked = this.now - ageMs;
    const seen = this.isAway(looked) ? (this.made.script.away?.from ?? 0) - ageMs : looked;
    return Math.max(seen, d.readAt);
  }

  private mayBegin(d: Daemon): boolean {
    return !this.way.isTable || this.now - this.viewOf(d) <= MAX_VIEW_AGE_MS;
  }

  /** When the change of a row that an entry daemon knows of is in force; Infinity if it knows of none. */
  private changedAt(d: Daemon, row: number): number {
    const writtenAt = this.made.script.rowChangesAt(row);
    return writtenAt <= this.viewOf(d) ? writtenAt + MAX_VIEW_AGE_MS : Infinity;
  }

  private begin(s: Stream): void {
    const d = this.daemons[s.entry];
    const hasSeat = (e: Daemon): boolean =>
      e.n >= this.made.site.entries && !e.isPaused && d !== undefined && this.isLinked(d, e);
    if (!d || !this.serves(d) || !this.mayBegin(d) || !this.daemons.some(hasSeat)) return;
    this.versions.set(s, this.now >= this.changedAt(d, s.group));
    d.add(s);
    for (const e of this.keepersOf(s.group)) if (this.isLinked(d, e)) e.add(s);
  }

  /** A caller resumes a stream at an entry daemon that serves. */
  private resume(s: Stream, tries: number): void {
    const d = this.daemons[Math.floor(this.draw(s.id, tries) * this.made.site.entries)];
    if (!d || !this.serves(d)) {
      this.clk.after(RETRY_MS, () => {
        this.resume(s, tries + 1);
      });
      return;
    }
    const origin = this.way.isTable ? this.originOfRow(d, s) : this.recordedOrigin(d, s);
    this.resumed++;
    if (origin !== undefined) this.known++;
    if (origin !== undefined && origin !== this.versions.get(s)) this.wrong++;
  }

  private recordedOrigin(d: Daemon, s: Stream): boolean | undefined {
    const tells = (e: Daemon): boolean =>
      !e.isPaused && this.isLinked(d, e) && (e.records.get(s.group)?.has(s) ?? false);
    if (this.keepersOf(s.group).some(tells)) return this.versions.get(s);
    if (this.way.writeMs === undefined) return undefined;
    this.reads.push(this.now);
    const isRead = !this.isAway(this.now) && this.isWritten(s, this.way.writeMs);
    return isRead ? this.versions.get(s) : undefined;
  }

  private originOfRow(d: Daemon, s: Stream): boolean | undefined {
    const changed = this.changedAt(d, s.group);
    const oldest = Math.min(s.at, this.now - MAX_LENGTH_MS);
    if (!this.mayBegin(d) || (changed > oldest && changed <= this.now)) return undefined;
    return changed <= this.now;
  }

  /** Whether a stream was still open when its entry daemon wrote next, and the store took it. */
  private isWritten(s: Stream, everyMs: number): boolean {
    const offset = everyMs * this.draw(s.entry, 1);
    const killedAt = this.killedAt.get(s.entry) ?? Infinity;
    let at = offset + Math.ceil((s.at - offset) / everyMs) * everyMs;
    while (this.isAway(at)) at += everyMs;
    return at < Math.min(s.endsAt, killedAt);
  }

  private kill(d: Daemon): void {
    const known = [...d.records.values()].flatMap((group) => [...group]);
    d.isUp = false;
    d.records.clear();
    this.killedAt.set(d.n, this.now);
    for (const s of known) {
      if (s.entry !== d.n || s.endsAt <= this.now) continue;
      const [from, to] = RESUME_MS;
      const cutAt = Math.max(this.now, this.made.script.resumedFrom);
      this.at(cutAt + from + (to - from) * this.draw(s.id, -1), () => {
        this.resume(s, 0);
      });
    }
  }

  private start(d: Daemon): void {
    const startedAt = this.now;
    d.isUp = true;
    d.isStopping = false;
    d.startedAt = startedAt;
    d.readAt = this.isAway(startedAt) ? (this.made.script.away?.until ?? startedAt) : startedAt;
    if (d.n < this.made.site.entries) return;
    for (const e of this.followed) {
      if (!e.isUp) continue;
      this.at(this.linkedAt(e, d), () => {
        if (d.startedAt !== startedAt || !this.isLinked(e, d)) return;
        for (const g of e.records.keys()) if (this.keepers[g]?.includes(d.n)) d.copy(g, e);
      });
    }
    if (!this.way.repairs) return;
    const [from, to] = LINK_MS;
    this.clk.after(from + (to - from) * this.draw(d.n, startedAt) + COPY_MS, () => {
      if (d.startedAt === startedAt) this.copyGroups(d, [...this.keepers.keys()]);
    });
  }

  /** Copies to a keeper what the other keepers know of those groups that it keeps. */
  private copyGroups(d: Daemon, groups: readonly number[]): void {
    const carrier = this.carrier();
    if (!carrier || !d.isUp) return;
    for (const g of groups) {
      if (!this.keepers[g]?.includes(d.n)) continue;
      for (const n of [...this.keepers[g], ...(this.before[g] ?? [])]) {
        const from = this.daemons[n];
        if (from && !from.isPaused && this.isLinked(carrier, from)) d.copy(g, from);
      }
    }
  }

  private handOver(d: Daemon): void {
    const carrier = this.carrier();
    if (!carrier || !this.isLinked(carrier, d)) return;
    for (const g of d.records.keys())
      for (const to of this.keepersOf(g)) if (this.isLinked(carrier, to)) to.copy(g, d);
  }

  private changeKeepers(keepers: Keepers): void {
    const { keepers: before } = this;
    const newGroups = (n: number): readonly number[] =>
      [...keepers.keys()].filter((g) => keepers[g]?.includes(n) && !before[g]?.includes(n));
    this.before = before;
    this.keepers = keepers;
    if (!this.way.repairs) return;
    this.clk.after(COPY_MS, () => {
      for (const d of this.daemons) this.copyGroups(d, newGroups(d.n));
    });
  }

  private apply(e: disturbances.Step | Stream | KeepersChange): void {
    if (e.kind === "begin") {
      this.begin(e);
      return;
    }
    if (e.kind === "keepers") {
      this.changeKeepers(e.keepers);
      return;
    }
    const d = (this.daemons[e.daemon] ??= new Daemon(e.daemon));
    switch (e.kind) {
      case "kill":
        this.kill(d);
        break;
      case "start":
      case "join":
        this.start(d);
        break;
      case "stop":
      case "leave":
        d.isStopping = true;
        if (this.way.handsOver && d.n >= this.made.site.entries) {
          this.clk.after(HANDOVER_MS, () => {
            this.handOver(d);
          });
        }
        break;
      case "pause":
      case "thaw":
        d.isPaused = e.kind === "pause";
        break;
    }
  }

  /** Counts the entry daemons that serve, and those of them that may begin streams. */
  private count(): void {
    const entries = this.daemons.slice(0, this.made.site.entries);
    const serving = entries.filter((d) => this.serves(d));
    this.serving += serving.length;
    this.beginning += serving.filter((d) => this.mayBegin(d)).length;
    this.clk.after(COUNT_MS, () => {
      this.count();
    });
  }
}
