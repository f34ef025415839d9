/**
 * The task that keeps a host's catalog as new as the store: reads it whole once, then follows its
 * changes by revision, and reads it whole again when the store has forgotten them.
 * @module
 */
import * as clock from "../host/clock.js";
import * as errors from "../host/why.js";
import type * as record from "../host/record.js";
import type * as source from "../store/source.js";
import * as catalog from "./catalog.js";

/** How closely a daemon follows the store. Each wait for changes is a call that costs. */
export interface Pace {
  /** Milliseconds that one wait lasts at most; one that hangs on a dead connection hides changes as long. */
  readonly waitMs: number;
  /** Milliseconds that one wait lasts at least, where changes are usually there at once. */
  readonly leastWaitMs: number;
  /** Milliseconds from one wait to the next at least, so that many changes share a call. */
  readonly everyMs: number;
  /** Milliseconds for which a few endpoints are kept at most after they were heard to be gone. */
  readonly keepMs: number;
}

/** Milliseconds that an entry daemon's wait for changes lasts: about what makes a host out of touch. */
const CLOSE_WAIT_MS = 2500;
/**
 * Milliseconds that it lasts at least. In a large fleet some worker's entry has always changed, so that a
 * wait without an answer is one that hangs, and is soon given up for another.
 */
const CLOSE_LEAST_WAIT_MS = 800;
/** How many times the usual time until an answer a wait lasts. */
const WAIT_FACTOR = 4;
/** Weight of the latest wait in the usual time until an answer. */
const LATEST = 0.3;
/**
 * Part of the time allowed for a change that passes between two waits. In a large fleet each wait is
 * answered at once, so this is how often each entry host calls the store; with the shortest wait after it,
 * one that hangs included, a change is still in force within the time allowed.
 */
const CLOSE_PART = 0.5;
/**
 * Part of the time allowed for a change for which an endpoint is kept whose entry may only have lapsed;
 * with {@link CLOSE_PART} and the way through the store it must leave some of that time over.
 */
const KEEP_PART = 0.35;

/** For those who put changes in force, `inForceMs` after they were accepted at the latest. */
export function close(inForceMs: number): Pace {
  return {
    waitMs: CLOSE_WAIT_MS,
    leastWaitMs: CLOSE_LEAST_WAIT_MS,
    everyMs: CLOSE_PART * inForceMs,
    keepMs: KEEP_PART * inForceMs,
  };
}

/**
 * For endpoint daemons, which also hear of versions with each question for a seat: an adapter's
 * version must be in force after 5 s. They are many, and the store's rates grow more slowly.
 */
export const LOOSE: Pace = { waitMs: 25_000, leastWaitMs: 25_000, everyMs: 1500, keepMs: 0 };

/** Milliseconds until the next try after the store failed, at first and at most. */
const RETRY_MS = 60;
const RETRY_MAX_MS = 400;
/** Milliseconds within which workers are back whose entries lapsed during an outage, by the letter. */
const BACK_WITHIN_MS = 2200;
/**
 * Part of the endpoints that must be missing at once to be sure that their entries lapsed: workers
 * that leave do so a few at a time.
 */
const LAPSED_PART = 0.5;

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
  /** Endpoints whose entries are missing, and may be back soon. */
  private readonly missing = new Set<string>();
  private askedAt = -Infinity;
  /** Smoothed milliseconds until a wait for changes is answered. */
  private usualMs = Infinity;
  private retryMs = RETRY_MS;
  private readonly abort = new AbortController();

  constructor(private readonly deps: Deps) {}

  get catalog(): catalog.Catalog {
    return this.at;
  }

  /** Follows the store until {@link stop}. */
  async run(): Promise<void> {
    while (!this.abort.signal.aborted) {
      try {
        if (this.synced) await this.follow();
        else await this.readAll();
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
    if (!this.out) return;
    this.out = false;
    this.backAt = this.deps.clock.mono();
    this.deps.log.info("The store answers again.", { revision: this.at.revision });
  }

  private lost(err: unknown): void {
    if (this.out) return;
    this.out = true;
    this.deps.log.warn("The store does not answer.", {
      revision: this.at.revision,
      why: errors.why(err),
    });
  }

  /** Whether entries may be missing only because the store was away. */
  private doubtful(): boolean {
    return this.out || this.deps.clock.mono() - this.backAt < BACK_WITHIN_MS;
  }

  private async readAll(): Promise<void> {
    const lists = await Promise.all(
      this.deps.decoder.prefixes.map((p) => this.deps.source.list(p)),
    );
    const revision = Math.min(...lists.map((l) => l.revision));
    const documents = lists.flatMap((l) => l.documents);
    const there = new Set<string>();
    const steps = documents.flatMap((d) => {
      const step = this.decode(d.key, d.text);
      if (step?.kind === "endpoint") there.add(step.endpoint.id);
      return step ? [step] : [];
    });
    const missing = [...this.at.endpoints.keys()].filter((id) => !there.has(id));
    if (this.out) this.backAt = this.deps.clock.mono();
    this.synced = true;
    this.deps.log.info("The store was read whole.", {
      revision,
      documents: documents.length,
      missing,
    });
    this.apply(
      [...steps, ...missing.flatMap((id) => this.gone({ kind: "endpoint_gone", id }))],
      revision,
    );
  }

  private async follow(): Promise<void> {
    const now = this.deps.clock.mono();
    await clock.sleep(
      this.deps.clock,
      this.askedAt + this.deps.pace.everyMs - now,
      this.abort.signal,
    );
    this.askedAt = this.deps.clock.mono();
    const { common } = this.deps.decoder;
    const got = await this.deps.source.changes(common, this.at.revision, this.waitMs());
    this.answered(this.deps.clock.mono() - this.askedAt);
    if (got.kind === "compacted") {
      this.synced = false;
      this.deps.log.warn("The store has forgotten its history.", { revision: this.at.revision });
      return;
    }
    const steps = latest(got.changes).flatMap((c) => {
      if (c.kind === "written") {
        const step = this.decode(c.document.key, c.document.text);
        return step ? [step] : [];
      }
      const step = this.deps.decoder.deleted(c.key);
      return step ? this.gone(step) : [];
    });
    this.apply(steps, got.revision);
  }

  private waitMs(): number {
    const { waitMs, leastWaitMs } = this.deps.pace;
    return Math.min(waitMs, Math.max(leastWaitMs, Math.round(WAIT_FACTOR * this.usualMs)));
  }

  private answered(ms: number): void {
    const usual = this.usualMs === Infinity ? ms : this.usualMs;
    this.usualMs = usual + (ms - usual) * LATEST;
  }

  private decode(key: string, text: string): catalog.Step | undefined {
    try {
      return this.deps.decoder.written(key, text);
    } catch (err) {
      this.deps.log.error("A document cannot be read; the one before stays in force.", {
        key,
        why: errors.why(err),
      });
      return undefined;
    }
  }

  /** A removal now, or later when the store's absence may be the only reason for it. */
  private gone(step: catalog.Step): readonly catalog.Step[] {
    if (step.kind !== "endpoint_gone" || !this.doubtful()) return [step];
    if (!this.at.endpoints.has(step.id) || this.missing.has(step.id)) return [];
    this.missing.add(step.id);
    const backInMs = this.backInMs();
    const keepMs = Math.min(this.deps.pace.keepMs, backInMs);
    this.deps.log.warn("An endpoint's entry is missing after an outage; it is kept for now.", {
      endpoint: step.id,
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
    if (this.missing.delete(step.id)) this.apply([step], this.at.revision);
  }

  private apply(steps: readonly catalog.Step[], revision: number): void {
    for (const s of steps) if (s.kind === "endpoint") this.missing.delete(s.endpoint.id);
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
        this.deps.log.info("An endpoint is gone.", { endpoint: s.id });
        break;
    }
  }
}

/** The last change of each document, in their order; the ones before it say nothing any more. */
function latest(changes: readonly source.Change[]): readonly source.Change[] {
  const last = new Map<string, source.Change>();
  for (const c of changes) {
    const key = c.kind === "written" ? c.document.key : c.key;
    last.delete(key);
    last.set(key, c);
  }
  return [...last.values()];
}
