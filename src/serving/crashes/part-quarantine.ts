/**
 * Withholds requests whose prompts hold parts that crash workers, as found from the crashes that all hosts report and from the
 * quarantines in the store.
 * @module
 */
import * as errors from "../../host/errors.js";
import type * as callerRequest from "../caller-request.js";
import type * as catalog from "../catalog.js";
import * as identity from "../identity.js";
import * as quarantine from "../quarantine.js";
import * as partSets from "./part-sets.js";
import * as probes from "./probes.js";
import * as promptParts from "./prompt-parts.js";
import * as quarantineWriter from "./quarantine-writer.js";
import * as recentRuns from "./recent-runs.js";
import * as records from "./records.js";

export interface Deps extends probes.Deps, quarantineWriter.Deps {
  /** All known crashes, and those that this host has observed itself. */
  readonly known: () => records.CrashRecords;
  readonly observed: () => records.CrashRecords;
  /** Records a piece of news and tells other hosts; `key` selects the endpoint daemons that relay it. */
  readonly publish: (key: string, n: records.News) => void;
  /** Deletes a key from the store; does nothing if it does not exist. */
  readonly remove: (key: string) => Promise<void>;
  /** Whether this host is connected to all endpoint daemons that relay news, as far as they can be reached. */
  readonly hearsAll: () => boolean;
}

/**
 * Most milliseconds from this host's start for which it waits for all relays before it judges their news. Each of them knows
 * some of the crashes and of the cleared parts.
 */
const MAX_CATCH_UP_MS = 3000;

/** Why a request is withheld. */
export interface Withheld {
  readonly parts: readonly string[];
  readonly workers: readonly string[];
  /** Milliseconds until such a request may be sent again. */
  readonly releaseMs: number;
}

/** A set with its identity, under which it is stored. */
interface IdentifiedSet extends partSets.PartSet {
  readonly id: string;
}

/** The quarantine of prompt parts, of one entry daemon. */
export class PartQuarantine {
  private readonly runs = new recentRuns.RecentRuns();
  private readonly probes: probes.Probes;
  /** Monotonic ms at which this host has caught up with the others at the latest. */
  private readonly catchUpBy: number;
  private hasCaughtUp = false;
  private found: partSets.Findings = partSets.NONE;
  private foundSets: readonly IdentifiedSet[] = [];
  private foundIn: records.CrashRecords | undefined;
  private stored: readonly IdentifiedSet[] = [];
  private storedIn: catalog.Catalog["quarantined"] | undefined;

  constructor(
    private readonly deps: Deps,
    private readonly writer: quarantineWriter.QuarantineWriter,
  ) {
    this.probes = new probes.Probes(deps);
    this.catchUpBy = deps.clock.mono() + MAX_CATCH_UP_MS;
  }

  /** Number of sets of parts in quarantine. */
  get size(): number {
    this.refresh();
    return new Set([...this.foundSets, ...this.stored].map((s) => s.id)).size;
  }

  /** Why a request must not be sent to any worker now; undefined if it may be. */
  withheld(meta: callerRequest.Meta): Withheld | undefined {
    this.refresh();
    if (this.foundSets.length === 0 && this.stored.length === 0) return undefined;
    const parts = promptParts.idsOf(meta);
    const holding = (sets: readonly IdentifiedSet[]): readonly IdentifiedSet[] =>
      sets.filter((s) => partSets.holds(parts, s));
    const live = holding(this.foundSets);
    const sets = live.length > 0 ? live : holding(this.stored);
    const [set] = sets;
    if (!set) return undefined;
    if (sets.length === 1 && this.isProbe(meta, parts, set)) return undefined;
    return { parts: set.parts, workers: set.workers, releaseMs: this.releaseMs(set) };
  }

  /** Resolves once it is known whether a withheld request may test a quarantine; undefined if it may not. */
  pendingProbe(meta: callerRequest.Meta): Promise<void> | undefined {
    return this.probes.pending(meta.id);
  }

  /** Records that a request ran to its end, which shows that none of its parts crashes workers. */
  recordRun(meta: callerRequest.Meta): void {
    this.runs.record(meta);
    if (this.deps.known().crashes.size === 0 && this.deps.catalog().quarantined.size === 0) return;
    this.refresh();
    if (this.found.suspects.size === 0 && this.stored.length === 0) return;
    const parts = promptParts.idsOf(meta);
    const refuted = this.stored.filter((s) => partSets.holds(parts, s));
    this.clear(parts.filter((p) => this.found.suspects.has(p)));
    for (const set of refuted) void this.remove(set, meta.id);
  }

  /** Discards the evidence against the parts of a quarantine that was deleted from the store. */
  release(evidence: string): void {
    this.clear(quarantine.decode(evidence)?.parts ?? []);
  }

  /** Brings what was found up to date with the records and the store, and reports what has changed. */
  refresh(): void {
    this.readStored();
    const known = this.deps.known();
    const now = this.deps.clock.mono();
    this.hasCaughtUp ||= now >= this.catchUpBy || this.deps.hearsAll();
    if (!this.hasCaughtUp) return;
    if (known === this.foundIn && now < this.found.recheckAt) return;
    this.foundIn = known;
    this.found = partSets.find(known, (part) => this.runs.hold(part), now);
    const before = this.foundSets;
    this.foundSets = this.found.sets.map((s) => ({ ...s, id: identity.ofParts(s.parts) }));
    for (const s of this.foundSets) if (!before.some((b) => b.id === s.id)) this.reportNew(s);
    for (const b of before) if (!this.foundSets.some((s) => s.id === b.id)) this.reportGone(b);
    this.probes.retain(new Set([...this.foundSets, ...this.stored].map((s) => s.id)));
  }

  /** Writes the sets of which this host has observed a crash, which the store may have lost. */
  persistObserved(): void {
    for (const s of this.foundSets) this.persist(s);
  }

  /** Discards the evidence against some parts at all hosts; the news of each part has its own relays. */
  private clear(parts: readonly string[]): void {
    for (const part of parts) this.deps.publish(part, { kind: "cleared", parts: [part], ageMs: 0 });
  }

  private readStored(): void {
    const { quarantined } = this.deps.catalog();
    if (quarantined === this.storedIn) return;
    this.storedIn = quarantined;
    this.stored = [...quarantined].flatMap(([id, text]): readonly IdentifiedSet[] => {
      const evidence = quarantine.decode(text);
      if (!evidence?.parts || evidence.parts.length === 0) return [];
      const { parts, workers, at } = evidence;
      const ageMs = this.deps.clock.now().getTime() - at.getTime();
      const lastAt = this.deps.clock.mono() - ageMs;
      return [{ id, parts, workers, lastAt, furtherCrashes: 0, isCertain: true }];
    });
  }

  /** Whether a request tests whether the parts of a set still crash workers. */
  private isProbe(meta: callerRequest.Meta, parts: readonly string[], set: IdentifiedSet): boolean {
    // An operator's quarantine has no workers and is not put to the test.
    if (set.workers.length === 0) return false;
    const others = parts.filter((p) => !set.parts.includes(p));
    const risk = Math.max(0, ...others.map((p) => this.found.suspects.get(p) ?? 0));
    return this.probes.take(meta.id, set.id, set, risk);
  }

  private releaseMs(set: IdentifiedSet): number {
    return set.workers.length === 0
      ? Math.max(0, set.lastAt + records.EXPIRY_MS - this.deps.clock.mono())
      : this.probes.dueInMs(set.id, set);
  }

  private reportNew(set: IdentifiedSet): void {
    const { id, parts, workers, isCertain } = set;
    const known = this.deps.known();
    const held = crashesUnder(known, set).flatMap((c) => c.parts);
    this.deps.log.warn(
      "Requests with some prompt parts are in quarantine: they crashed their workers.",
      {
        identity: id,
        parts,
        workers,
        isCertain,
        cleared: [...new Set(held)].filter((p) => known.cleared.has(p)),
      },
    );
    this.persist(set);
  }

  private reportGone({ id, parts }: IdentifiedSet): void {
    this.deps.log.info("A quarantine of prompt parts is no longer proved.", {
      identity: id,
      parts,
    });
  }

  /**
   * Has a set written to the store if this host has observed one of its crashes: possibly no host has observed all of them.
   */
  private persist(set: IdentifiedSet): void {
    if (crashesUnder(this.deps.observed(), set).length === 0) return;
    void this.writer.write(set.id, () => {
      this.refresh();
      return this.foundSets.find((s) => s.id === set.id);
    });
  }

  private async remove(set: IdentifiedSet, request: string): Promise<void> {
    const { id, parts } = set;
    this.deps.log.info(
      "A request with quarantined prompt parts ran to its end; they are released.",
      {
        request,
        identity: id,
        parts,
      },
    );
    try {
      await this.deps.remove(quarantine.keyOf(id));
    } catch (err) {
      this.deps.log.warn("Could not delete a quarantine from the store.", {
        identity: id,
        why: errors.messageOf(err),
      });
    }
  }
}

/** The crashes under requests that hold all parts of a set. */
function crashesUnder(
  known: records.CrashRecords,
  set: partSets.PartSet,
): readonly records.RecordedCrash[] {
  return records.crashesOf(known).filter((c) => partSets.holds(c.parts, set));
}
