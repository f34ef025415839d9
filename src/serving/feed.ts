/**
 * Keeps a host's catalog up to date with the store: reads a full snapshot once, then watches for changes by position,
 * and reads a new snapshot when the store does not have the history that the watch needs: it has compacted it, or was
 * restored from a backup, and so began a new era.
 * @module
 */
import * as crypto from "node:crypto";
import * as clock from "../host/clock.js";
import * as hedge from "../host/hedge.js";
import * as errors from "../host/errors.js";
import type * as structuredLog from "../host/structured-log.js";
import type * as eras from "../store/era.js";
import type * as position from "../store/position.js";
import type * as source from "../store/source.js";
import * as catalog from "./catalog.js";
import * as register from "./continuation/register.js";
import * as entryGrace from "./entry-grace.js";
import * as incarnation from "./incarnation.js";
import * as updateLog from "./update-log.js";
import * as watchPace from "./watch-pace.js";
import * as watchScope from "./watching/watch-scope.js";

/**
 * Maximum number of calls in flight. With one hanging call, changes still arrive in time, with two they arrive late; more calls
 * would overload the store.
 */
const MAX_CALLS = 3;
/** Longest wait between retries of reading a snapshot, in ms, before the random factor. */
const SNAPSHOT_RETRY_MAX_MS = 400;
/** Range of the random factor of such a wait, so that hosts do not retry at the same moment. */
const [MIN_JITTER, MAX_JITTER] = [0.5, 1.5];

/** Number of unreadable documents remembered, so that each is logged once. */
const UNREADABLE_KEPT = 256;
/** Milliseconds between two answers of the store in which no endpoint is registered and removed again that serves. */
const MAX_UNWATCHED_MS = 3000;
/** The update for a store that has no register of origins. */
const NO_ORIGINS: catalog.Update = { kind: "origins", register: register.EMPTY };
/** Characters of a decoding error that are logged at most. */
const REASON_LENGTH = 300;

/** Turns the store's documents into updates of the catalog. Implemented for each platform. */
export interface Decoder {
  /** Key prefixes of the documents to read. */
  readonly prefixes: readonly string[];
  /** A common prefix of {@link prefixes}, which the watch covers. */
  readonly common: string;
  /** The update for a written document, if it matters. Throws if the document cannot be decoded. */
  readonly written: (key: string, text: string) => catalog.Update | undefined;
  /** The update for the deletion of a document, if it matters. */
  readonly deleted: (key: string) => catalog.Update | undefined;
}

/** What is called when the catalog or the store's history changes. */
export interface Listeners {
  /** Called after each change of the catalog. */
  readonly onChange: (at: catalog.Catalog) => void;
  /** Called once a snapshot has been read after the store was restored from a backup. */
  readonly onRestored: () => void;
}

/** What a {@link Feed} needs. */
export interface Deps extends Listeners {
  readonly clock: clock.Clock;
  readonly log: structuredLog.Log;
  readonly source: source.Source;
  readonly decoder: Decoder;
  readonly pace: watchPace.WatchPace;
  readonly random: () => number;
}

/** Keeps a catalog up to date with the store. */
export class Feed {
  private current = catalog.EMPTY;
  /** Whether {@link current} holds a snapshot whose changes can be watched. */
  private synced = false;
  private unreachable = false;
  /** The store's last era that was noticed. Undefined until a first snapshot has been read. */
  private era: eras.Era | undefined;
  /** Monotonic ms at which the store was last found to have been restored from a backup. */
  private restoredAt = -Infinity;
  /** Digests of the texts of unreadable documents, by key, so that the same text is logged once. */
  private readonly unreadableDigests = new Map<string, string>();
  private unreadableTotal = 0;
  private readonly grace: entryGrace.EntryGrace;
  private readonly scope: watchScope.WatchScope;
  /** Evidence of the quarantines that the store lost when it was restored from a backup, by identity. */
  private readonly lostQuarantine = new Map<string, string>();
  /** Monotonic ms at which the last watch call began. */
  private watchStartedAt = -Infinity;
  /** Monotonic ms at which the last call began, not counting hedges. */
  private callStartedAt = -Infinity;
  /** Monotonic ms at which the catalog was last known to be up to date: the start of the last answered call. */
  private upToDateAt = -Infinity;
  /** Monotonic ms since which every change was received: that of the last snapshot before which some may have been missed. */
  private watchedSince = Infinity;
  private unreachableSince = 0;
  private failedCalls = 0;
  private hedgeLogged = false;
  private readonly abort = new AbortController();

  constructor(private readonly deps: Deps) {
    this.scope = new watchScope.WatchScope(deps.decoder.prefixes, deps.decoder.common);
    this.grace = new entryGrace.EntryGrace({
      clock: deps.clock,
      log: deps.log,
      times: deps.pace,
      endpoints: () => this.current.endpoints,
      apply: (updates) => {
        this.apply(updates, this.current.position);
      },
    });
  }

  get catalog(): catalog.Catalog {
    return this.current;
  }

  /** Number of documents that could not be decoded, counting each content once. */
  get unreadableCount(): number {
    return this.unreadableTotal;
  }

  /** Evidence of the quarantines that the store has lost and that are not written again yet, by identity. */
  get lostQuarantines(): ReadonlyMap<string, string> {
    return this.lostQuarantine;
  }

  /** Entries that are kept or withheld while the store recovers. */
  get entryGrace(): Pick<entryGrace.EntryGrace, "keptCount" | "withheldCount"> {
    return this.grace;
  }

  /** Milliseconds since the catalog was last known to be as new as the store. */
  get catalogAgeMs(): number {
    return this.deps.clock.mono() - this.upToDateAt;
  }

  /** Milliseconds for which every change has been received, as far as the store has answered; 0 before the first snapshot. */
  get watchedMs(): number {
    return Math.max(0, this.deps.clock.mono() - this.watchedSince);
  }

  /** Keeps the catalog up to date until {@link stop}. */
  async run(): Promise<void> {
    while (!this.abort.signal.aborted) {
      this.checkEra();
      try {
        if (!this.synced) await this.readSnapshot();
        else if (!(await this.watchOnce())) continue;
        this.callSucceeded();
      } catch (err) {
        this.callFailed(err);
        await clock.sleep(this.deps.clock, this.retryInMs(), this.abort.signal);
      }
    }
  }

  /** Has a new snapshot read if the store has begun a new era, in which the catalog's position means nothing. */
  private checkEra(): void {
    const { era } = this.deps.source;
    if (this.era === undefined || era === this.era) return;
    this.era = era;
    this.synced = false;
    this.restoredAt = this.deps.clock.mono();
    this.grace.storeRestored();
    this.deps.log.warn("A new era of the store has begun; it was restored from a backup.", {
      era,
      ...this.lastPosition(),
      newsMs: Math.round(this.catalogAgeMs),
    });
  }

  private lastPosition(): structuredLog.Fields {
    const { era, revision } = this.current.position;
    return { lastEra: era, lastRevision: revision };
  }

  stop(): void {
    this.abort.abort();
  }

  private callSucceeded(): void {
    this.upToDateAt = this.callStartedAt;
    this.hedgeLogged = false;
    if (!this.unreachable) return;
    this.unreachable = false;
    this.grace.storeAnswers();
    this.deps.log.info("The store answers again.", {
      ...this.lastPosition(),
      outMs: Math.round(this.deps.clock.mono() - this.unreachableSince),
      tries: this.failedCalls,
    });
  }

  private callFailed(err: unknown): void {
    this.failedCalls++;
    // A retry is paced by itself.
    this.watchStartedAt = -Infinity;
    if (this.unreachable) return;
    this.unreachable = true;
    this.grace.storeLost();
    this.unreachableSince = this.deps.clock.mono();
    this.failedCalls = 1;
    this.deps.log.warn("The store does not answer.", {
      ...this.lastPosition(),
      newsMs: Math.round(this.catalogAgeMs),
      why: errors.messageOf(err),
    });
  }

  /** Milliseconds until the next call after a failed one. */
  private retryInMs(): number {
    const { retryMs, minIntervalMs } = this.deps.pace;
    const [firstMs, mostMs] = this.synced
      ? [retryMs, minIntervalMs / MAX_JITTER]
      : [watchPace.RETRY_MS, SNAPSHOT_RETRY_MAX_MS];
    const ms = Math.min(mostMs, firstMs * 2 ** (this.failedCalls - 1));
    return ms * (MIN_JITTER + (MAX_JITTER - MIN_JITTER) * this.deps.random());
  }

  /** Calls the store. An overdue call is hedged by another one on a new connection. */
  private callStore<T>(call: (signal?: AbortSignal) => Promise<T>): Promise<T> {
    this.callStartedAt = this.deps.clock.mono();
    const { overdueMs } = this.deps.pace;
    if (overdueMs === undefined) return call();
    const onOverdue = (): void => {
      this.deps.source.replaceConnections();
      if (this.hedgeLogged) return;
      this.hedgeLogged = true;
      this.deps.log.warn("A call to the store is overdue; a second one was sent to hedge it.", {
        overdueMs,
        newsMs: Math.round(this.catalogAgeMs),
      });
    };
    const { clock } = this.deps;
    return hedge.firstAnswer(call, { overdueMs, maxCalls: MAX_CALLS }, { clock, onOverdue });
  }

  private async readSnapshot(): Promise<void> {
    const { source, decoder } = this.deps;
    const lists = await this.callStore((signal) =>
      Promise.all(decoder.prefixes.map((p) => source.list(p, signal))),
    );
    const start = lists.map((l) => l.position).reduce((a, b) => a.earlier(b));
    if (lists.some((l) => l.position.era !== source.era))
      throw new Error("the store's era changed while a snapshot was read");
    // The answers may be the first of a new era.
    this.checkEra();
    const documents = lists.flatMap((l) => l.documents);
    const registered = new Set<string>();
    const updates = documents.flatMap((d) => {
      const update = this.decode(d.key, d.text);
      if (!update) return [];
      if (update.kind === "endpoint") registered.add(incarnation.workerOf(update.endpoint.id));
      return this.grace.found(d.key, update);
    });
    this.grace.snapshotRead(new Set(documents.map((d) => d.key)));
    const missing = [...this.current.endpoints.keys()].filter((worker) => !registered.has(worker));
    const isRestored = this.era !== undefined && start.era !== this.current.position.era;
    const released = this.quarantinesAbsentFrom(updates).filter(
      ([identity, evidence]) => !this.isLost(identity, evidence, isRestored),
    );
    this.grace.storeAnswers();
    this.synced = true;
    // What was undone again between the last answer and a snapshot is in neither.
    const gapMs = this.callStartedAt - this.upToDateAt;
    if (gapMs > MAX_UNWATCHED_MS) this.watchedSince = this.callStartedAt;
    this.era ??= start.era;
    this.deps.log.info("Read a full snapshot of the store.", {
      era: start.era,
      revision: start.revision,
      documents: documents.length,
      missing,
      lostQuarantines: [...this.lostQuarantine.keys()],
    });
    this.apply(
      [
        ...updates,
        ...missing.flatMap((worker) => this.grace.absent(worker)),
        ...released.map(([identity]): catalog.Update => ({ kind: "release", identity })),
        ...(updates.some((u) => u.kind === "origins") ? [] : [NO_ORIGINS]),
      ],
      start,
    );
    if (isRestored) this.deps.onRestored();
  }

  private quarantinesAbsentFrom(updates: readonly catalog.Update[]): readonly [string, string][] {
    const present = new Set(updates.flatMap((s) => (s.kind === "quarantine" ? [s.identity] : [])));
    return [...this.current.quarantined].filter(([identity]) => !present.has(identity));
  }

  /** Whether an absent quarantine was lost with the store's history, and not released. It then stays in force. */
  private isLost(identity: string, evidence: string, isRestored: boolean): boolean {
    if (isRestored) this.lostQuarantine.set(identity, evidence);
    return this.lostQuarantine.has(identity);
  }

  /**
   * Makes one watch call and applies the changes. Returns whether the catalog is now as new as the call. It is not if
   * the store does not have the history since the last call, as such a response says nothing about what changed.
   */
  private async watchOnce(): Promise<boolean> {
    const now = this.deps.clock.mono();
    await clock.sleep(
      this.deps.clock,
      this.watchStartedAt + this.watchIntervalMs(now) - now,
      this.abort.signal,
    );
    const startedAt = this.deps.clock.mono();
    const sinceLastMs = startedAt - this.watchStartedAt;
    this.watchStartedAt = startedAt;
    const { source, pace } = this.deps;
    const after = this.current.position;
    const prefixes = this.scope.at(startedAt);
    const result = await this.callStore((signal) =>
      watchScope.waitForChanges(source, prefixes, after, pace.watchMs, signal),
    );
    if (result.kind === "compacted") {
      this.synced = false;
      this.deps.log.warn(
        "The store does not have the changes since the last answer.",
        this.lastPosition(),
      );
      return false;
    }
    if (result.position.era !== after.era) return false;
    this.scope.received(result.changes, Math.max(pace.minIntervalMs, sinceLastMs), startedAt);
    const updates = lastPerKey(result.changes).flatMap((last) => this.updatesOf(last));
    this.apply(updates, result.position);
    return true;
  }

  /** Minimum milliseconds from the start of the last watch call to the next. */
  private watchIntervalMs(now: number): number {
    const { pace } = this.deps;
    return now - this.restoredAt < pace.catchUpMs ? pace.catchUpIntervalMs : pace.minIntervalMs;
  }

  private updatesOf({ change, previousWrite }: LastChange): readonly catalog.Update[] {
    if (change.kind === "written") {
      const { key, text } = change.document;
      const update = this.decode(key, text);
      return update ? this.grace.written(key, update) : [];
    }
    const update = this.deps.decoder.deleted(change.key);
    if (!update) return [];
    const previous = previousWrite && this.decode(previousWrite.key, previousWrite.text);
    return this.grace.deleted(change.key, update, previous);
  }

  /**
   * The update for a document. An unreadable endpoint entry counts as deleted, so its endpoint is no longer used. When
   * an operator's document cannot be read, the previous one stays in force.
   */
  private decode(key: string, text: string): catalog.Update | undefined {
    try {
      const update = this.deps.decoder.written(key, text);
      this.unreadableDigests.delete(key);
      return update;
    } catch (err) {
      this.reportUnreadable(key, text, errors.messageOf(err));
      return this.deps.decoder.deleted(key);
    }
  }

  private reportUnreadable(key: string, text: string, why: string): void {
    const digest = crypto.createHash("sha256").update(text).digest("base64");
    if (this.unreadableDigests.get(key) === digest) return;
    if (this.unreadableDigests.size >= UNREADABLE_KEPT) this.unreadableDigests.clear();
    this.unreadableDigests.set(key, digest);
    this.unreadableTotal++;
    const count = this.unreadableTotal;
    const reason = why.slice(0, REASON_LENGTH);
    this.deps.log.error("A document cannot be read.", { key, count, why: reason });
  }

  /** Adds to a declared version since when it may have been declared: the last answer before did not have it. */
  private readonly dated = (u: catalog.Update): catalog.Update =>
    u.kind === "version" ? { ...u, notBefore: this.upToDateAt - watchPace.SILENT_WATCH_MS } : u;

  private apply(updates: readonly catalog.Update[], at: position.Position): void {
    for (const s of updates) {
      if (s.kind === "endpoint") this.grace.registered(incarnation.workerOf(s.endpoint.id));
      if (s.kind === "quarantine" || s.kind === "release") this.lostQuarantine.delete(s.identity);
    }
    const { updated, applied } = catalog.applyUpdates(this.current, updates.map(this.dated));
    // The first snapshot adds all endpoints and versions at once. They are not logged one by one, since the line for the
    // snapshot already has their number.
    const isFirstSnapshot = this.current.config === undefined;
    for (const s of applied) {
      if (!isFirstSnapshot || s.kind === "config")
        updateLog.write(this.deps.log, s, at.revision, this.deps.clock.mono());
    }
    const changed = updated !== this.current;
    this.current = at.isAfter(updated.position) ? { ...updated, position: at } : updated;
    if (changed) this.deps.onChange(this.current);
  }
}

/** The last change of a document, and for a deletion the write right before it in the same response. */
interface LastChange {
  readonly change: source.Change;
  readonly previousWrite: source.Document | undefined;
}

/** The last change of each document, in order. Earlier changes of the same document are superseded. */
function lastPerKey(changes: readonly source.Change[]): readonly LastChange[] {
  const last = new Map<string, LastChange>();
  for (const change of changes) {
    const key = change.kind === "written" ? change.document.key : change.key;
    const before = last.get(key)?.change;
    last.delete(key);
    last.set(key, {
      change,
      previousWrite: before?.kind === "written" ? before.document : undefined,
    });
  }
  return [...last.values()];
}
