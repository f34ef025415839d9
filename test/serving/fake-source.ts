/**
 * An in-memory store of documents that can be unavailable, compact its history, and be restored from a backup, and clients of it.
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

function keyOf(c: source.Change): string {
  return c.kind === "written" ? c.document.key : c.key;
}

/** The store. */
export class FakeStore {
  readonly documents = new Map<string, source.Document>();
  private log: LoggedChange[] = [];
  private revision = 0;
  private compactedRevision = 0;
  /** Number of the era; it rises when the store is restored. */
  era: number;
  unavailable = false;

  constructor(firstEra = 1) {
    this.era = firstEra;
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
    this.era++;
  }

  has(revision: number): boolean {
    return revision >= this.compactedRevision && revision <= this.revision;
  }

  changesAfter(revision: number, prefix: string): readonly source.Change[] {
    const later = this.log.filter((l) => l.revision > revision).map((l) => l.change);
    return later.filter((c) => keyOf(c).startsWith(prefix));
  }

  /** The revision of the last write to a key. */
  revisionOf(key: string): number {
    return this.log.findLast((l) => keyOf(l.change) === key)?.revision ?? 0;
  }

  position(revision = this.revision): position.Position {
    return position.Position.at(eras.parse(String(this.era)), revision);
  }
}

/** A client of the store, as a daemon has one. */
export class FakeSource
  implements
    source.Source,
    Pick<source.WritableSource, "read" | "replace" | "lease" | "writeLeased">
{
  private readonly tracker = new eras.EraTracker();
  /** Whether this client cannot reach the store. */
  isCutOff = false;
  /** Whether listing fails while watches are still answered. */
  listingFails = false;
  /** Whether watches fail while other calls are still answered. */
  watchingFails = false;
  calls = 0;
  claims = 0;
  /** Milliseconds from the making of an answer to its arrival, which are drawn for each call. */
  delayMs: () => number = () => 0;

  constructor(
    private readonly clk: clock.Clock = clock.system,
    readonly store = new FakeStore(),
  ) {}

  /** The newest era that has arrived in an answer. */
  get era(): eras.Era {
    return this.tracker.newest;
  }

  get documents(): ReadonlyMap<string, source.Document> {
    return this.store.documents;
  }

  set unavailable(value: boolean) {
    this.store.unavailable = value;
  }

  put(key: string, text: string): void {
    this.store.put(key, text);
  }

  remove(key: string): void {
    this.store.remove(key);
  }

  compact(): void {
    this.store.compact();
  }

  backup(): Backup {
    return this.store.backup();
  }

  restore(backup: Backup): void {
    this.store.restore(backup);
  }

  list = async (prefix: string) => {
    this.accept();
    if (this.listingFails) throw new Error("unavailable");
    const documents = [...this.documents.values()].filter((d) => d.key.startsWith(prefix));
    return this.answer(() => ({ documents, position: this.store.position() }));
  };

  waitForChanges = async (
    prefix: string,
    after: position.Position,
  ): Promise<source.ChangesResult> => {
    this.accept();
    if (this.watchingFails) throw new Error("unavailable");
    if (!this.store.has(after.revision)) return this.answer(() => ({ kind: "compacted" }));
    await clock.sleep(this.clk, WATCH_MS);
    this.accept();
    if (!this.store.has(after.revision)) return this.answer(() => ({ kind: "compacted" }));
    const changes = this.store.changesAfter(after.revision, prefix);
    return this.answer(() => ({ kind: "changes", changes, position: this.store.position() }));
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

  read = async (key: string): Promise<source.Reading> => {
    this.accept();
    const text = this.documents.get(key)?.text;
    const revision = text === undefined ? 0 : this.store.revisionOf(key);
    return this.answer(() => ({ text, position: this.store.position(revision) }));
  };

  replace = async (
    key: string,
    text: string,
    was: source.Reading,
  ): Promise<position.Position | undefined> => {
    this.accept();
    const expected = was.text === undefined ? 0 : was.position.revision;
    const isMet = (this.documents.has(key) ? this.store.revisionOf(key) : 0) === expected;
    if (isMet) this.put(key, text);
    const at = this.store.position();
    if (at.era !== was.position.era) throw new Error("the era has changed");
    return this.answer(() => (isMet ? at : undefined));
  };

  lease = (): Promise<source.Lease> => {
    this.accept();
    return this.answer(() => ({ id: 1, era: this.store.position().era }));
  };

  writeLeased = (documents: readonly source.Document[], lease: source.Lease): Promise<boolean> => {
    this.accept();
    for (const { key, text } of documents) this.put(key, text);
    return this.answer(() => lease.era === this.store.position().era);
  };

  private accept(): void {
    this.calls++;
    if (this.store.unavailable || this.isCutOff) throw new Error("unavailable");
  }

  /** Makes an answer now, which arrives after {@link delayMs}. */
  private async answer<T>(make: () => T): Promise<T> {
    const made = make();
    const era = String(this.store.era);
    const ms = this.delayMs();
    if (ms > 0) await clock.sleep(this.clk, ms);
    this.tracker.observe(era);
    return made;
  }
}
