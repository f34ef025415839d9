/**
 * A fleet in virtual time, for tests of the origins of streams: entry hosts that follow a store, write to it and can be cut off from
 * it, and keepers; all of them can be killed and start again.
 * @module
 */
import * as virtual from "../../../bench/measure/time.js";
import * as structuredLog from "../../../src/host/structured-log.js";
import * as catalogs from "../../../src/serving/catalog.js";
import type * as messages from "../../../src/serving/continuation/messages.js";
import * as originKeeper from "../../../src/serving/continuation/origin-keeper.js";
import * as originRegister from "../../../src/serving/continuation/origin-register.js";
import * as origins from "../../../src/serving/continuation/origins.js";
import * as registerDecoder from "../../../src/serving/continuation/register-decoder.js";
import * as streamAge from "../../../src/serving/continuation/stream-age.js";
import * as streamLog from "../../../src/serving/continuation/stream-log.js";
import * as feeds from "../../../src/serving/feed.js";
import * as watchPace from "../../../src/serving/watch-pace.js";
import * as fakeSource from "../fake-source.js";
import * as fixtures from "../fixtures.js";

/** Milliseconds that a caller waits for a stream in all. */
export const WAIT_MS = 10_000;
/** Milliseconds from the start of a daemon's process until it serves. */
const START_MS = 300;
/** Most milliseconds after a restore of the store until workers register again. */
const REREGISTER_MS = 2000;
/** Milliseconds that a keeper takes to reply. */
const REPLY_MS = 5;
const IN_FORCE_MS = 2000;
const WRITES_PER_S = 400;
const ROUTE: catalogs.Route = {
  ...fixtures.ROUTE,
  kind: "stream",
  resumable: true,
  timeoutMs: WAIT_MS,
};
const CONFIG_KEY = "op/config";
const WORKERS_PREFIX = "servers/";
const CONFIG: catalogs.Config = { ...fixtures.CONFIG, routes: [ROUTE] };

/** The key of the entry of a version's worker, and back. */
const keyOf = (software: string): string => `${WORKERS_PREFIX}${software}.1`;
const softwareOf = (key: string): string => key.slice(WORKERS_PREFIX.length).split(".")[0] ?? "";

const DECODER = registerDecoder.wrapDecoder({
  prefixes: ["op/", WORKERS_PREFIX],
  common: "",
  written: (key) => {
    if (key === CONFIG_KEY) return { kind: "config", config: CONFIG };
    if (!key.startsWith(WORKERS_PREFIX)) return undefined;
    const e = fixtures.endpoint(key.slice(WORKERS_PREFIX.length), "10.0.0.1:1");
    const labels = { ...e.labels, [catalogs.SOFTWARE_LABEL]: softwareOf(key) };
    return { kind: "endpoint", endpoint: { ...e, labels } };
  },
  deleted: (key) =>
    key.startsWith(WORKERS_PREFIX)
      ? { kind: "endpoint_gone", worker: key.slice(WORKERS_PREFIX.length) }
      : undefined,
});

/** The process of an entry daemon. */
interface Process {
  readonly feed: feeds.Feed;
  readonly source: fakeSource.FakeSource;
  readonly origins: origins.Origins;
  readonly kill: () => void;
}

/** An entry host, or a keeper; `process` is undefined while its process is not up. */
export interface Host {
  process: Process | undefined;
  /** Whether it cannot reach the keepers, or the store. */
  isCutOff: boolean;
  isStoreCut: boolean;
}
interface Keeper {
  process: originKeeper.OriginKeeper | undefined;
}

/** A stream as it really began. */
export interface Begun {
  readonly attempt: string;
  readonly software: string;
  readonly at: number;
  readonly host: Host;
  readonly process: Process;
}

export class Fleet {
  readonly time = new virtual.Time();
  readonly store = new fakeSource.FakeStore(0);
  readonly streams: Begun[] = [];
  readonly hosts: readonly Host[];
  readonly keepers: readonly Keeper[];
  /** Versions whose workers run. */
  readonly running = new Set<string>();
  private backup: fakeSource.Backup;
  private now = 0;

  /** `random` returns numbers from 0 up to, not including, 1. */
  constructor(
    hosts: number,
    private readonly random: () => number,
    /** Most milliseconds that the store takes for an answer. */
    private readonly storeMs: number,
  ) {
    this.store.put(CONFIG_KEY, "");
    this.register({ add: "v1" });
    this.backup = this.store.backup();
    this.keepers = Array.from({ length: origins.KEEPERS }, () => ({
      process: new originKeeper.OriginKeeper(this.time),
    }));
    this.hosts = Array.from({ length: hosts }, () => ({
      process: undefined,
      isCutOff: false,
      isStoreCut: false,
    }));
    for (const h of this.hosts) this.startHost(h);
  }

  async pass(ms: number): Promise<void> {
    this.now += ms;
    await this.time.runUntil(this.now);
  }

  /** Registers workers of a version, or removes all of a version. */
  register({ add, remove }: { readonly add?: string; readonly remove?: string }): void {
    if (add !== undefined) {
      this.running.add(add);
      this.store.put(keyOf(add), "");
    }
    if (remove !== undefined) {
      this.running.delete(remove);
      this.store.remove(keyOf(remove));
    }
  }

  /** Takes a backup of the store, or restores it from the last one; workers then register again. */
  backUp(): void {
    this.backup = this.store.backup();
  }

  async restore(): Promise<void> {
    this.store.restore(this.backup);
    this.backUp();
    await this.pass(this.random() * REREGISTER_MS);
    for (const key of this.store.documents.keys()) {
      const isGone = key.startsWith(WORKERS_PREFIX) && !this.running.has(softwareOf(key));
      if (isGone) this.store.remove(key);
    }
    for (const software of this.running) this.store.put(keyOf(software), "");
  }

  private startHost(host: Host): void {
    const source = new fakeSource.FakeSource(this.time, this.store);
    source.delayMs = () => this.random() * this.storeMs;
    source.isCutOff = host.isStoreCut;
    const log = structuredLog.silent;
    const hostCount = (): number => this.hosts.length;
    const feed: feeds.Feed = new feeds.Feed({
      clock: this.time,
      log,
      source,
      decoder: DECODER,
      pace: watchPace.promptPace(IN_FORCE_MS),
      onChange: (at) => {
        register.catalogChanged(at);
        part.review();
      },
      onRestored: () => {
        openStreams.rewrite();
      },
      random: this.random,
    });
    const register = new originRegister.OriginRegister({
      clock: this.time,
      log,
      store: source,
      catalog: () => feed.catalog,
      watchedMs: () => feed.watchedMs,
      hostCount,
      random: this.random,
      onListed: () => undefined,
    });
    const openStreams = new streamLog.StreamLog({
      clock: this.time,
      log,
      store: source,
      writesPerS: WRITES_PER_S,
      hostCount,
      streamMs: () => streamAge.longestMs(feed.catalog.config),
    });
    const part = new origins.Origins({
      clock: this.time,
      log,
      keepers: () => this.keepers.map((k, n) => this.linkTo(k, n, host, () => process)),
      register,
      streamLog: openStreams,
      config: () => feed.catalog.config,
      catalogAgeMs: () => feed.catalogAgeMs,
    });
    const process: Process = {
      feed,
      source,
      origins: part,
      kill: () => {
        feed.stop();
        register.close();
        openStreams.close();
        source.isCutOff = true;
      },
    };
    host.process = process;
    void feed.run();
    void register.run();
  }

  private linkTo(k: Keeper, n: number, host: Host, process: () => Process): origins.Keeper {
    const reached = (): originKeeper.OriginKeeper | undefined =>
      host.isCutOff || host.process !== process() ? undefined : k.process;
    return {
      address: String(n),
      send: (m) => {
        if (m.kind === "stream_begun") reached()?.record(m);
      },
      findOrigin: async (q): Promise<messages.Found | undefined> => {
        await this.time.wait(REPLY_MS);
        return reached()?.find({ kind: "find_origin", question: 0, ...q });
      },
    };
  }

  /** A caller's stream begins on one of the versions that a host may use; undefined if there is none. */
  begin(host: Host, choice: number): Begun | undefined {
    const { process } = host;
    const { config, endpoints } = process?.feed.catalog ?? catalogs.EMPTY;
    if (!process || !config) return undefined;
    const service = fixtures.SERVICE.name;
    const usable = [...endpoints.values()]
      .map(catalogs.softwareOf)
      .filter((software) => process.origins.mayBegin({ service, software }));
    const software = usable[choice % usable.length];
    if (software === undefined) return undefined;
    const attempt = `s${this.streams.length}`;
    const meta = { ...fixtures.request().meta, id: attempt, waitMs: WAIT_MS };
    process.origins.begun(fixtures.request({ route: ROUTE, meta }), { service, software });
    const begun = { attempt, software, at: this.now, host, process };
    this.streams.push(begun);
    return begun;
  }

  /** Resumes a stream at a host, naming its attempt unless told otherwise. Returns its version, or undefined if it is refused. */
  async resume(host: Host, s: Begun, isNamed = true): Promise<string | undefined> {
    const { process } = host;
    if (!process?.feed.catalog.config) return undefined;
    const waitMs = s.at + WAIT_MS - this.now;
    const named = isNamed ? { resumes: s.attempt } : {};
    const meta = { ...fixtures.request().meta, id: "next", waitMs, resumeAfter: "1", ...named };
    const req = fixtures.request({ route: ROUTE, meta, dueAt: this.now + waitMs });
    const found: { readonly software: string | undefined }[] = [];
    void process.origins.find(req).then((k) => {
      found.push({ software: k.kind === "known" ? k.origin.software : undefined });
    });
    while (found.length === 0) await this.pass(20);
    return found[0]?.software;
  }

  /** A stream that was resumed at a host goes on there. */
  goOn(host: Host, { attempt, software }: Begun): void {
    const meta = { ...fixtures.request().meta, id: `${attempt}.next`, resumes: attempt };
    const req = fixtures.request({ route: ROUTE, meta });
    host.process?.origins.begun(req, { service: fixtures.SERVICE.name, software });
  }

  /** A host's process is killed and starts again `downMs` later. */
  async restartHost(host: Host, downMs = 0): Promise<void> {
    host.process?.kill();
    host.process = undefined;
    await this.pass(downMs + START_MS);
    this.startHost(host);
  }

  /** A keeper's process is killed and starts again; hosts connect to it again and tell it what it must know. */
  restartKeeper(n: number): void {
    const k = this.keepers[n % this.keepers.length];
    if (!k) return;
    const part = new originKeeper.OriginKeeper(this.time);
    k.process = part;
    const address = String(this.keepers.indexOf(k));
    for (const h of this.hosts) {
      if (h.isCutOff) continue;
      for (const m of h.process?.origins.messagesFor(address) ?? []) part.record(m);
    }
  }

  /** All processes are killed at once and start again `downMs` later. */
  async killAll(downMs: number): Promise<void> {
    for (const h of this.hosts) h.process?.kill();
    for (const h of this.hosts) h.process = undefined;
    for (const k of this.keepers) k.process = undefined;
    await this.pass(downMs + START_MS);
    for (const k of this.keepers) k.process = new originKeeper.OriginKeeper(this.time);
    for (const h of this.hosts) this.startHost(h);
  }

  /** Cuts a host off from the store, or ends that. */
  cutFromStore(host: Host, isCut: boolean): void {
    host.isStoreCut = isCut;
    if (host.process) host.process.source.isCutOff = isCut;
  }

  /** Has the watch calls of a host's process fail while its other calls are answered, or ends that. */
  blindToStore(host: Host, isBlind: boolean): void {
    if (host.process) host.process.source.watchingFails = isBlind;
  }
}
