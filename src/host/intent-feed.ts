/**
 * The configuration feed: follows the newest intent available from the store or from peers, and
 * forwards changes to peers. Its revision never decreases.
 * @module
 */
import * as xstate from "xstate";
import * as intent from "../contract/intent.js";
import * as objects from "../contract/objects.js";
import type * as control from "../link/control.js";
import type * as hosts from "../store/hosts.js";
import * as journal from "../store/journal.js";
import type * as store from "../store/store.js";
import * as clock from "./clock.js";
import * as errors from "./errors.js";
import * as log from "./log.js";
import * as members from "./members.js";
import * as statsdMetrics from "./statsd-metrics.js";

/** Settings of a feed. */
export interface Options {
  readonly name: string;
  readonly failureDomain: string;
  /** Number of daemons in one failure domain that watch the store; the others learn changes from peers. */
  readonly watchers: number;
  /** Number of peers that a daemon forwards a new change to. */
  readonly fanout: number;
  /** Milliseconds between requests for newer changes, each to one random peer. */
  readonly syncIntervalMs: number;
  /** Milliseconds between reads of the store's head by a daemon that watches it. */
  readonly headCheckMs: number;
  /** Milliseconds before the next attempt after the store failed; doubles with each failure, up to 8 times this. */
  readonly retryMs: number;
}

/** What a feed depends on. */
export interface Deps {
  readonly clock: clock.Clock;
  readonly log: log.Log;
  readonly metrics: statsdMetrics.Metrics;
  readonly store: store.Store;
  readonly members: members.Members;
  readonly peer: (m: hosts.Member) => control.Peer;
  readonly random: () => number;
}

/** Most changesets kept for peers that lag behind. */
const MAX_KEPT_CHANGES = 512;
/** Most changesets sent to a peer in one page. */
const MAX_PAGE_CHANGES = 64;
/** Upper bound of the backoff, as a multiple of `retryMs`. */
const MAX_BACKOFF_FACTOR = 8;

const sourceMachine = xstate
  .setup({ types: { events: {} as { type: "watching" } | { type: "cut" } | { type: "stepDown" } } })
  .createMachine({
    id: "feed",
    initial: "fromPeers",
    states: {
      fromPeers: { on: { watching: "fromStore" } },
      fromStore: { on: { cut: "cutOff", stepDown: "fromPeers" } },
      cutOff: { on: { watching: "fromStore", stepDown: "fromPeers" } },
    },
  });

/** The intent that is in force on this daemon, and how it is kept up to date. */
export class IntentFeed {
  private current: intent.Intent = intent.EMPTY;
  private recentChanges: readonly intent.Changeset[] = [];
  private readonly sourceActor = xstate.createActor(sourceMachine);
  private readonly listeners: ((now: intent.Intent) => void)[] = [];
  private isStoreBehind = false;
  private hasIntent = false;

  constructor(
    private readonly opts: Options,
    private readonly deps: Deps,
  ) {
    this.sourceActor.start();
  }

  /** The intent in force on this daemon. */
  intent(): intent.Intent {
    return this.current;
  }

  /** Where changes come from: the store, peers, or (`cutOff`) peers because the store is unavailable. */
  source(): "fromPeers" | "fromStore" | "cutOff" {
    return this.sourceActor.getSnapshot().value;
  }

  /** Whether the store or a peer has answered at least once, so that the intent here is not just the empty default. */
  ready(): boolean {
    return this.hasIntent;
  }

  /** Calls `listener` with each new intent. */
  onChange(listener: (now: intent.Intent) => void): void {
    this.listeners.push(listener);
  }

  /** What a peer at `revision` is missing: recent changes, or all objects if it lags too far behind. */
  changesAfter(revision: number): control.IntentUpdate {
    if (revision >= this.current.revision) return { kind: "changes", changes: [] };
    const oldest = this.recentChanges[0]?.revision ?? Infinity;
    if (oldest <= revision + 1) {
      const changes = this.recentChanges
        .filter((c) => c.revision > revision)
        .slice(0, MAX_PAGE_CHANGES);
      return { kind: "changes", changes };
    }
    const { id, revision: currentRevision } = this.current;
    return {
      kind: "whole",
      revision: currentRevision,
      id,
      objects: [...this.current.objects.values()],
    };
  }

  /**
   * Puts the newer part of a page in force, and forwards new changes to peers. Pages that are older, or whose
   * changes don't continue the current history, change nothing.
   */
  learn(page: control.IntentUpdate): number {
    this.hasIntent = true;
    switch (page.kind) {
      case "whole":
        if (page.revision > this.current.revision) {
          const objectsByKey = new Map(page.objects.map((o) => [objects.keyOf(o), o]));
          this.putInForce({ revision: page.revision, id: page.id, objects: objectsByKey }, []);
        }
        break;
      case "changes": {
        const newChanges = page.changes.filter((c) => c.revision > this.current.revision);
        this.applyChanges(newChanges);
        break;
      }
    }
    return this.current.revision;
  }

  private applyChanges(newChanges: readonly intent.Changeset[]): void {
    if (newChanges.length === 0 || newChanges[0]?.revision !== this.current.revision + 1) return;
    try {
      this.putInForce(newChanges.reduce(intent.step, this.current), newChanges);
    } catch (err) {
      this.deps.log.error(`A change of the intent was rejected: ${errors.messageOf(err)}.`);
    }
  }

  private putInForce(next: intent.Intent, changes: readonly intent.Changeset[]): void {
    const previousRevision = this.current.revision;
    this.current = next;
    this.recentChanges =
      changes.length === 0 ? [] : [...this.recentChanges, ...changes].slice(-MAX_KEPT_CHANGES);
    this.deps.log.info(`Revision ${next.revision} is in force.`);
    const nowMs = this.deps.clock.now().getTime();
    for (const c of changes) {
      this.deps.metrics.observe("in_force", nowMs - Date.parse(c.at), statsdMetrics.SYSTEM_LABELS);
    }
    for (const listener of this.listeners) listener(next);
    if (changes.length > 0) this.notifyPeers(previousRevision);
  }

  private notifyPeers(sinceRevision: number): void {
    for (const m of members.sample(this.livePeers(), this.opts.fanout, this.deps.random)) {
      this.deps
        .peer(m)
        .learn.mutate(this.changesAfter(sinceRevision))
        .catch((err: unknown) => {
          this.deps.log.debug(`${m.name} did not receive the change: ${errors.messageOf(err)}`);
        });
    }
  }

  private livePeers(): readonly hosts.Member[] {
    return this.deps.members.live().filter((m) => m.name !== this.opts.name);
  }

  /** Fetches newer changes from one random peer. */
  async sync(): Promise<void> {
    const [m] = members.sample(this.livePeers(), 1, this.deps.random);
    if (!m) return;
    try {
      this.learn(await this.deps.peer(m).changesAfter.query({ revision: this.current.revision }));
    } catch (err) {
      this.deps.log.debug(`${m.name} did not answer: ${errors.messageOf(err)}`);
    }
  }

  /** Fetches newer changes from the store. */
  async catchUp(): Promise<void> {
    const { head } = await journal.readHead(this.deps.store);
    const previous = this.current;
    if (head.revision < previous.revision) {
      if (!this.isStoreBehind) {
        this.deps.log.error(
          `The store is at revision ${head.revision}, behind ${previous.revision} in force here; run "sumacfield restore".`,
        );
      }
      this.isStoreBehind = true;
      this.hasIntent = true;
      return;
    }
    this.isStoreBehind = false;
    if (head.revision > previous.revision) {
      const needsSnapshot = head.snapshot && head.snapshot.revision > previous.revision;
      if (needsSnapshot) this.learnSnapshot(await journal.catchUp(this.deps.store, previous));
      else
        this.learn({
          kind: "changes",
          changes: await this.readChanges(previous.revision, head.revision),
        });
    }
    this.hasIntent = true;
  }

  private async readChanges(from: number, to: number): Promise<readonly intent.Changeset[]> {
    const changes: intent.Changeset[] = [];
    while (from + changes.length < to) {
      const page = await journal.readAfter(this.deps.store, from + changes.length);
      if (page.length === 0) break;
      changes.push(...page);
    }
    return changes;
  }

  private learnSnapshot(snapshot: intent.Intent): void {
    if (snapshot.revision > this.current.revision) this.putInForce(snapshot, []);
  }

  /** Whether this daemon is one of those in its failure domain that watch the store. */
  isWatcher(): boolean {
    const sameDomain = this.deps.members
      .live()
      .filter((m) => m.failureDomain === this.opts.failureDomain);
    const { name, watchers } = this.opts;
    if (!sameDomain.some((m) => m.name === name)) return sameDomain.length < watchers;
    return members.pickByHash(sameDomain, "watch", watchers).some((m) => m.name === name);
  }

  /** Follows the store and peers until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const sync = clock.every(
      this.deps.clock,
      this.opts.syncIntervalMs,
      signal,
      () => this.sync(),
      () => undefined,
    );
    await Promise.all([sync, this.followStore(signal)]);
  }

  private async followStore(signal: AbortSignal): Promise<void> {
    let waitMs = this.opts.retryMs;
    while (!signal.aborted) {
      try {
        if (!this.hasIntent) await this.catchUp();
        if (this.isWatcher()) {
          await this.watch(signal, () => {
            waitMs = this.opts.retryMs;
          });
        } else {
          this.sourceActor.send({ type: "stepDown" });
        }
      } catch (err) {
        this.sourceActor.send({ type: "cut" });
        this.deps.log.warn(`The store is unavailable: ${errors.messageOf(err)}`);
        waitMs = Math.min(waitMs * 2, this.opts.retryMs * MAX_BACKOFF_FACTOR);
      }
      const jitter = 0.5 + this.deps.random();
      await clock.sleep(this.deps.clock, waitMs * jitter, signal);
    }
  }

  /** Watches the store's head, and also reads it periodically, since a watch may fail silently. */
  private async watch(signal: AbortSignal, onSuccess: () => void): Promise<void> {
    const stop = new AbortController();
    const abort = (): void => {
      stop.abort();
    };
    signal.addEventListener("abort", abort, { once: true });
    const failures: unknown[] = [];
    const readHead = async (): Promise<void> => {
      try {
        await this.catchUp();
        onSuccess();
        this.sourceActor.send({ type: "watching" });
      } catch (err) {
        failures.push(err);
        stop.abort();
      }
    };
    const watchEnded = this.deps.store.watch(journal.HEAD_KEY, stop.signal, {
      opened: () => void readHead(),
      seen: (entry) => {
        if (entry.key === journal.HEAD_KEY) void readHead();
      },
    });
    const headChecks = clock.every(
      this.deps.clock,
      this.opts.headCheckMs,
      stop.signal,
      readHead,
      () => undefined,
    );
    try {
      await watchEnded;
    } finally {
      signal.removeEventListener("abort", abort);
      stop.abort();
    }
    await headChecks;
    if (failures.length > 0) throw failures[0];
    if (!signal.aborted) throw new Error("the watch ended unexpectedly");
  }
}
