/**
 * The task that keeps a host's catalog as new as the store: reads it whole once, then follows its
 * changes by revision, and reads it whole again when the store has forgotten them.
 * @module
 */
import * as clock from "../host/clock.js";
import * as hedge from "../host/hedge.js";
import * as errors from "../host/why.js";
import type * as record from "../host/record.js";
import type * as source from "../store/source.js";
import * as catalog from "./catalog.js";
import * as incarnation from "./incarnation.js";

/** How closely a daemon follows the store. Each wait for changes is a call that costs. */
export interface Pace {
  /** Milliseconds that one wait lasts at most. */
  readonly waitMs: number;
  /** Milliseconds after which a call that is not answered gets another beside it; undefined for never. */
  readonly overdueMs: number | undefined;
  /** Milliseconds from one wait to the next at least, so that many changes share a call. */
  readonly everyMs: number;
  /** Milliseconds for which a few endpoints are kept at most after they were heard to be gone. */
  readonly keepMs: number;
}

/*
 * Parts of the time allowed for a change. Their sum is what bounds the age of what an entry daemon knows: a
 * change that comes right after an answer waits for the next call, that call may hang, and the one beside it
 * brings the change: 0.5 + 0.25 of the time, the rest is for the answer's way. It guards against a call that
 * hangs, whatever else changes in the store.
 */
/** From one wait to the next. In a large fleet each wait is answered at once, so this is the calls' pace. */
const EVERY_PART = 0.5;
/** Of one wait. Changes that come meanwhile are heard at once. */
const WAIT_PART = 0.15;
/** Until a call is overdue: beyond its wait, a slow store's answer (some 300 ms) has its time as well. */
const OVERDUE_PART = 0.25;
/**
 * For which an endpoint is kept whose entry may only have lapsed; with {@link EVERY_PART} and the way through
 * the store it must leave some of the time over.
 */
const KEEP_PART = 0.35;
/** Calls under way at once. One that hangs is borne in time, two are borne late; more would press the store. */
const CALLS = 3;

/** For those who put changes in force, `inForceMs` after they were accepted at the latest. */
export function close(inForceMs: number): Pace {
  return {
    waitMs: Math.round(WAIT_PART * inForceMs),
    overdueMs: OVERDUE_PART * inForceMs,
    everyMs: EVERY_PART * inForceMs,
    keepMs: KEEP_PART * inForceMs,
  };
}

/**
 * For endpoint daemons, which also hear of versions with each question for a seat: an adapter's
 * version must be in force after 5 s. They are many, and the store's rates grow more slowly.
 */
export const LOOSE: Pace = { waitMs: 25_000, overdueMs: undefined, everyMs: 1500, keepMs: 0 };

/** Milliseconds until the next try after the store failed, at first and at most. */
const RETRY_MS = 60;
const RETRY_MAX_MS = 400;
/** Milliseconds within which workers are back whose entries lapsed during an outage. */
const BACK_WITHIN_MS = 2200;
/**
 * Part of the endpoints that must be missing at once to be sure that their entries lapsed: workers
 * that leave do so a few at a time.
 */
const LAPSED_PART = 0.5;

/** Unreadable documents remembered, so that each is told of once; and letters of a reason that are told. */
const TORN_KEPT = 256;
const WHY_LENGTH = 300;

/** How documents become steps of the catalog; the platform's adapter knows. */
export interface Decoder {
  /** Prefixes of the documents that matter. */
  readonly prefixes: readonly string[];
  /** A prefix of all of these. */
  readonly common: string;
  readonly written: (key: string, text: string) => catalog.Step | undefined;
  readonly deleted: (key: string) => catalog.Step | undefined;
}

export interface Deps {
  readonly clock: clock.Clock;
  readonly log: record.Log;
  readonly source: source.Source;
  readonly decoder: Decoder;
  readonly pace: Pace;
  /** The catalog changed. */
  readonly changed: (at: catalog.Catalog) => void;
  readonly random: () => number;
}

export class Feed {
  private at = catalog.EMPTY;
  private synced = false;
  private out = false;
  private backAt = -Infinity;
  /** Documents that cannot be read, each by its key; the same text is told of once. */
  private readonly torn = new Map<string, string>();
  private tornCount = 0;
  /** Workers whose entries are missing, and may be back soon. */
  private readonly missing = new Set<string>();
  private askedAt = -Infinity;
  /** Monotonic ms at which the last call began, hedges left out. */
  private calledAt = -Infinity;
  /** Monotonic ms that the catalog is as new as: those of the last call that was answered. */
  private newsAt = -Infinity;
  private outAt = 0;
  private tries = 0;
  private toldOverdue = false;
  private retryMs = RETRY_MS;
  private readonly abort = new AbortController();

  constructor(private readonly deps: Deps) {}

  get catalog(): catalog.Catalog {
    return this.at;
  }

  /** Documents that could not be read, each content counted once. */
  get unreadable(): number {
    return this.tornCount;
  }

  /** Milliseconds since the catalog was as new as the store. */
  get newsAgeMs(): number {
    return this.deps.clock.mono() - this.newsAt;
  }

  /** Follows the store until {@link stop}. */
  async run(): Promise<void> {
    while (!this.abort.signal.aborted) {
      try {
        if (!this.synced) await this.readAll();
        else if (!(await this.follow())) continue;
        this.regained();
      } catch (err) {
        this.lost(err);
        const ms = this.retryMs * (0.5 + this.deps.random());
        this.retryMs = Math.min(RETRY_MAX_MS, this.retryMs * 2);
        await clock.sleep(this.deps.clock, ms, this.abort.signal);
      }
    }
  }

  stop(): void {
    this.abort.abort();
  }

  private regained(): void {
    this.retryMs = RETRY_MS;
    this.newsAt = this.calledAt;
    this.toldOverdue = false;
    if (!this.out) return;
    this.out = false;
    this.backAt = this.deps.clock.mono();
    this.deps.log.info("The store answers again.", {
      revision: this.at.revision,
      outMs: Math.round(this.backAt - this.outAt),
      tries: this.tries,
    });
  }

  private lost(err: unknown): void {
    this.tries++;
    if (this.out) return;
    this.out = true;
    this.outAt = this.deps.clock.mono();
    this.tries = 1;
    this.deps.log.warn("The store does not answer.", {
      revision: this.at.revision,
      newsMs: Math.round(this.newsAgeMs),
      why: errors.why(err),
    });
  }

  /** Calls the store; a call that is overdue gets another beside it, on a new connection. */
  private call<T>(call: (signal?: AbortSignal) => Promise<T>): Promise<T> {
    this.calledAt = this.deps.clock.mono();
    const { overdueMs } = this.deps.pace;
    if (overdueMs === undefined) return call();
    const overdue = (): void => {
      this.deps.source.renew();
      if (this.toldOverdue) return;
      this.toldOverdue = true;
      this.deps.log.warn("A call to the store is overdue; another is made beside it.", {
        overdueMs,
        newsMs: Math.round(this.newsAgeMs),
      });
    };
    const { clock } = this.deps;
    return hedge.first(call, { overdueMs, most: CALLS }, { clock, overdue });
  }

  /** Whether entries may be missing only because the store was away. */
  private doubtful(): boolean {
    return this.out || this.deps.clock.mono() - this.backAt < BACK_WITHIN_MS;
  }

  private async readAll(): Promise<void> {
    const { source, decoder } = this.deps;
    const lists = await this.call((signal) =>
      Promise.all(decoder.prefixes.map((p) => source.list(p, signal))),
    );
    const revision = Math.min(...lists.map((l) => l.revision));
    const documents = lists.flatMap((l) => l.documents);
    const there = new Set<string>();
    const steps = documents.flatMap((d) => {
      const step = this.decode(d.key, d.text);
      if (step?.kind === "endpoint") there.add(incarnation.workerOf(step.endpoint.id));
      return step ? [step] : [];
    });
    const missing = [...this.at.endpoints.keys()].filter((worker) => !there.has(worker));
    const held = new Set(steps.flatMap((s) => (s.kind === "quarantine" ? [s.identity] : [])));
    const released = [...this.at.quarantined].filter((identity) => !held.has(identity));
    if (this.out) this.backAt = this.deps.clock.mono();
    this.synced = true;
    this.deps.log.info("The store was read whole.", {
      revision,
      documents: documents.length,
      missing,
    });
    this.apply(
      [
        ...steps,
        ...missing.flatMap((worker) => this.gone({ kind: "endpoint_gone", worker })),
        ...released.map((identity): catalog.Step => ({ kind: "release", identity })),
      ],
      revision,
    );
  }

  /** Waits for changes once; whether the catalog is as new as the call, which it is not where history is forgotten. */
  private async follow(): Promise<boolean> {
    const now = this.deps.clock.mono();
    await clock.sleep(
      this.deps.clock,
      this.askedAt + this.deps.pace.everyMs - now,
      this.abort.signal,
    );
    this.askedAt = this.deps.clock.mono();
    const { source, decoder, pace } = this.deps;
    const { revision } = this.at;
    const got = await this.call((signal) =>
      source.changes(decoder.common, revision, pace.waitMs, signal),
    );
    if (got.kind === "compacted") {
      this.synced = false;
      this.deps.log.warn("The store has forgotten its history.", { revision: this.at.revision });
      return false;
    }
    const steps = latest(got.changes).flatMap((l) => this.stepsOf(l));
    this.apply(steps, got.revision);
    return true;
  }

  private stepsOf({ change, undone }: Latest): readonly catalog.Step[] {
    if (change.kind === "written") {
      const step = this.decode(change.document.key, change.document.text);
      return step ? [step] : [];
    }
    const step = this.deps.decoder.deleted(change.key);
    return step ? this.gone(step, undone && this.decode(undone.key, undone.text)) : [];
  }

  /**
   * The step that a document makes. An endpoint's entry that cannot be read names none to use, and what it said
   * before is over; of what the operator wrote, the one before stays in force.
   */
  private decode(key: string, text: string): catalog.Step | undefined {
    try {
      const step = this.deps.decoder.written(key, text);
      this.torn.delete(key);
      return step;
    } catch (err) {
      this.tellTorn(key, text, errors.why(err));
      return this.deps.decoder.deleted(key);
    }
  }

  private tellTorn(key: string, text: string, why: string): void {
    if (this.torn.get(key) === text) return;
    if (this.torn.size >= TORN_KEPT) this.torn.clear();
    this.torn.set(key, text);
    this.tornCount++;
    const count = this.tornCount;
    const reason = why.slice(0, WHY_LENGTH);
    this.deps.log.error("A document cannot be read.", { key, count, why: reason });
  }

  /**
   * A removal now, or later when the store's absence may be the only reason for it. An endpoint that said that
   * it leaves, also in the entry `undone` that came with the removal, does not come back: its removal is sure.
   */
  private gone(step: catalog.Step, undone?: catalog.Step): readonly catalog.Step[] {
    if (step.kind !== "endpoint_gone" || !this.doubtful()) return [step];
    const last = undone?.kind === "endpoint" ? undone.endpoint : this.at.endpoints.get(step.worker);
    if (last?.leaving) return [step];
    if (!this.at.endpoints.has(step.worker) || this.missing.has(step.worker)) return [];
    this.missing.add(step.worker);
    const backInMs = this.backInMs();
    const keepMs = Math.min(this.deps.pace.keepMs, backInMs);
    this.deps.log.warn("An endpoint's entry is missing after an outage; it is kept for now.", {
      endpoint: step.worker,
      keepMs: Math.round(keepMs),
    });
    this.deps.clock.after(keepMs, () => {
      const lapsed = this.missing.size > LAPSED_PART * this.at.endpoints.size;
      if (lapsed)
        this.deps.clock.after(backInMs - keepMs, () => {
          this.drop(step);
        });
      else this.drop(step);
    });
    return [];
  }

  /** Milliseconds until entries that lapsed during the last outage should be back. */
  private backInMs(): number {
    const backAt = this.out ? this.deps.clock.mono() : this.backAt;
    return Math.max(0, backAt + BACK_WITHIN_MS - this.deps.clock.mono());
  }

  /** Carries out a removal that was put off, unless the entry is back. */
  private drop(step: Extract<catalog.Step, { kind: "endpoint_gone" }>): void {
    if (this.missing.delete(step.worker)) this.apply([step], this.at.revision);
  }

  private apply(steps: readonly catalog.Step[], revision: number): void {
    for (const s of steps) {
      if (s.kind === "endpoint") this.missing.delete(incarnation.workerOf(s.endpoint.id));
    }
    const { at, taken } = catalog.steps(this.at, steps);
    // A daemon that starts hears of all endpoints at once; the count of documents says as much.
    const isFirst = this.at.config === undefined;
    for (const s of taken) if (!isFirst || s.kind === "config") this.tell(s);
    const changed = at !== this.at;
    this.at = revision > at.revision ? { ...at, revision } : at;
    if (changed) this.deps.changed(this.at);
  }

  private tell(s: catalog.Step): void {
    switch (s.kind) {
      case "config":
        this.deps.log.info("A configuration is in force.", {
          version: s.config.version,
          routes: s.config.routes.length,
          teams: s.config.teams?.all.length,
          keys: s.config.teams?.byDigest.size,
          malformedTeams: s.config.teams?.malformed,
        });
        break;
      case "version":
        this.deps.log.info("A version was declared.", { adapter: s.key, version: s.version });
        break;
      case "endpoint":
        this.deps.log.info("An endpoint is registered.", {
          endpoint: s.endpoint.id,
          address: s.endpoint.address,
          leaving: s.endpoint.leaving,
        });
        break;
      case "endpoint_gone":
        this.deps.log.info("An endpoint is gone.", { endpoint: s.worker });
        break;
      case "quarantine":
        this.deps.log.warn("A request is in quarantine.", { identity: s.identity });
        break;
      case "release":
        this.deps.log.info("A request was released from quarantine.", { identity: s.identity });
        break;
    }
  }
}

/** The last change of a document, and for a deletion the write before it among the same changes. */
interface Latest {
  readonly change: source.Change;
  readonly undone: source.Document | undefined;
}

/** The last change of each document, in their order; the ones before it say nothing any more. */
function latest(changes: readonly source.Change[]): readonly Latest[] {
  const last = new Map<string, Latest>();
  for (const change of changes) {
    const key = change.kind === "written" ? change.document.key : change.key;
    const before = last.get(key)?.change;
    last.delete(key);
    last.set(key, { change, undone: before?.kind === "written" ? before.document : undefined });
  }
  return [...last.values()];
}
