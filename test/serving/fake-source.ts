/**
 * An in-memory store of documents that can be unavailable, compact its history, and be restored from a backup.
 * @module
 */
import * as clock from "../../src/host/clock.js";
import * as eras from "../../src/store/era.js";
import * as position from "../../src/store/position.js";
import type * as source from "../../src/store/source.js";

/** Milliseconds until a watch is answered if nothing changes. */
const WATCH_MS = 10;

/** A change and the revision that it made. */
interface LoggedChange {
  readonly revision: number;
  readonly change: source.Change;
}

/** What the store held at one moment. */
export interface Backup {
  readonly documents: ReadonlyMap<string, source.Document>;
  readonly log: readonly LoggedChange[];
  readonly revision: number;
}

/** The store, and the client that a daemon uses. */
export class FakeSource implements source.Source {
  readonly documents = new Map<string, source.Document>();
  private log: LoggedChange[] = [];
  private revision = 0;
  private storeEra = 1;
  private compactedRevision = 0;
  private readonly tracker = new eras.EraTracker();
  unavailable = false;
  /** Whether listing fails while watches are still answered. */
  listingFails = false;
  calls = 0;
  claims = 0;
  /** Milliseconds from the making of an answer to its arrival, which are drawn for each call. */
  delayMs: () => number = () => 0;

  constructor(private readonly clk: clock.Clock = clock.system) {}

  /** The newest era that has arrived in an answer. */
  get era(): eras.Era {
    return this.tracker.newest;
  }

  put(key: string, text: string): void {
    const document = { key, text };
    this.documents.set(key, document);
    this.log.push({ revision: ++this.revision, change: { kind: "written", document } });
  }

  remove(key: string): void {
    this.documents.delete(key);
    this.log.push({ revision: ++this.revision, change: { kind: "deleted", key } });
  }

  compact(): void {
    this.compactedRevision = this.revision;
  }

  backup(): Backup {
    return { documents: new Map(this.documents), log: [...this.log], revision: this.revision };
  }

  /** Is restored from a backup: later changes are lost, their revisions are given out again, and the era rises. */
  restore(backup: Backup): void {
    this.documents.clear();
    for (const [key, document] of backup.documents) this.documents.set(key, document);
    this.log = [...backup.log];
    this.revision = backup.revision;
    this.compactedRevision = Math.min(this.compactedRevision, backup.revision);
    this.storeEra++;
  }

  list = async (prefix: string) => {
    this.accept();
    if (this.listingFails) throw new Error("unavailable");
    const documents = [...this.documents.values()].filter((d) => d.key.startsWith(prefix));
    return this.answer(() => ({ documents, position: this.position() }));
  };

  waitForChanges = async (
    _prefix: string,
    after: position.Position,
  ): Promise<source.ChangesResult> => {
    this.accept();
    if (!this.has(after.revision)) return this.answer(() => ({ kind: "compacted" }));
    await clock.sleep(this.clk, WATCH_MS);
    this.accept();
    if (!this.has(after.revision)) return this.answer(() => ({ kind: "compacted" }));
    const changes = this.log.filter((l) => l.revision > after.revision).map((l) => l.change);
    return this.answer(() => ({ kind: "changes", changes, position: this.position() }));
  };

  replaceConnections = (): void => undefined;

  /** Creates a key, which does not expire by itself. */
  claim = async (key: string, ttlMs: number, text = ""): Promise<boolean> => {
    this.accept();
    if (ttlMs <= 0) throw new RangeError("a key must be claimed for some time");
    this.claims++;
    const isNew = !this.documents.has(key);
    if (isNew) this.put(key, text);
    return this.answer(() => isNew);
  };

  private has(revision: number): boolean {
    return revision >= this.compactedRevision && revision <= this.revision;
  }

  private accept(): void {
    this.calls++;
    if (this.unavailable) throw new Error("unavailable");
  }

  private position(): position.Position {
    return position.Position.at(eras.parse(String(this.storeEra)), this.revision);
  }

  /** Makes an answer now, which arrives after {@link delayMs}. */
  private async answer<T>(make: () => T): Promise<T> {
    const made = make();
    const era = String(this.storeEra);
    const ms = this.delayMs();
    if (ms > 0) await clock.sleep(this.clk, ms);
    this.tracker.observe(era);
    return made;
  }
}
