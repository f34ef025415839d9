/**
 * The configuration feed: keeps the newest intent that can be had, from the store or from other
 * daemons, and passes news on. It only ever goes forward.
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
import * as errors from "./why.js";
import * as log from "./log.js";
import * as members from "./members.js";
import * as metrics from "./metrics.js";

export interface Options {
  readonly name: string;
  readonly failureDomain: string;
  /** Daemons of one failure domain that watch the store; the others hear from peers. */
  readonly watchers: number;
  /** Peers that a daemon tells of a change it has just learned. */
  readonly fanout: number;
  /** Milliseconds between questions to one peer at random. */
  readonly syncMs: number;
  /** Milliseconds between readings of the head by a daemon that watches it. */
  readonly checkMs: number;
  /** Milliseconds before another try at a store that failed, doubled up to 8 times this. */
  readonly retryMs: number;
}

export interface Deps {
  readonly clock: clock.Clock;
  readonly log: log.Log;
  readonly metrics: metrics.Metrics;
  readonly store: store.Store;
  readonly members: members.Members;
  readonly peer: (m: hosts.Member) => control.Peer;
  readonly random: () => number;
}

/** Changesets kept to pass on. */
const KEPT = 512;
/** Changesets passed on in one page. */
const PAGE = 64;
const BACKOFF = 8;

const machine = xstate
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

export class Feed {
  private current: intent.Intent = intent.EMPTY;
  private kept: readonly intent.Changeset[] = [];
  private readonly life = xstate.createActor(machine);
  private readonly listeners: ((now: intent.Intent) => void)[] = [];
  private behind = false;
  private joined = false;

  constructor(
    private readonly opts: Options,
    private readonly deps: Deps,
  ) {
    this.life.start();
  }

  /** The intent in force here. */
  intent(): intent.Intent {
    return this.current;
  }

  /** Where news comes from: the store, peers, or peers while the store is out. */
  source(): "fromPeers" | "fromStore" | "cutOff" {
    return this.life.getSnapshot().value;
  }

  /** Whether the intent was read from the store or a peer at least once. */
  ready(): boolean {
    return this.joined;
  }

  /** Calls `tell` with each new intent. */
  onChange(tell: (now: intent.Intent) => void): void {
    this.listeners.push(tell);
  }

  /** What a peer at `revision` lacks. */
  after(revision: number): control.Page {
    if (revision >= this.current.revision) return { kind: "changes", changes: [] };
    const oldest = this.kept[0]?.revision ?? Infinity;
    if (oldest <= revision + 1) {
      const changes = this.kept.filter((c) => c.revision > revision).slice(0, PAGE);
      return { kind: "changes", changes };
    }
    const { id, revision: at } = this.current;
    return { kind: "whole", revision: at, id, objects: [...this.current.objects.values()] };
  }

  /**
   * Puts in force whatever of a page is newer, and tells others when anything was. Older news and
   * news of another history change nothing.
   */
  learn(page: control.Page): number {
    this.joined = true;
    switch (page.kind) {
      case "whole":
        if (page.revision > this.current.revision) {
          const found = new Map(page.objects.map((o) => [objects.keyOf(o), o]));
          this.adopt({ revision: page.revision, id: page.id, objects: found }, []);
        }
        break;
      case "changes": {
        const fresh = page.changes.filter((c) => c.revision > this.current.revision);
        this.follow(fresh);
        break;
      }
    }
    return this.current.revision;
  }

  private follow(fresh: readonly intent.Changeset[]): void {
    if (fresh.length === 0 || fresh[0]?.revision !== this.current.revision + 1) return;
    try {
      this.adopt(fresh.reduce(intent.step, this.current), fresh);
    } catch (err) {
      this.deps.log.error(`News of the intent was refused: ${errors.why(err)}.`);
    }
  }

  private adopt(next: intent.Intent, changes: readonly intent.Changeset[]): void {
    const from = this.current.revision;
    this.current = next;
    this.kept = changes.length === 0 ? [] : [...this.kept, ...changes].slice(-KEPT);
    this.deps.log.info(`Revision ${next.revision} is in force.`);
    const wall = this.deps.clock.now().getTime();
    for (const c of changes) {
      this.deps.metrics.observe("in_force", wall - Date.parse(c.at), metrics.SYSTEM);
    }
    for (const tell of this.listeners) tell(next);
    if (changes.length > 0) this.passOn(from);
  }

  private passOn(from: number): void {
    for (const m of members.sample(this.others(), this.opts.fanout, this.deps.random)) {
      this.deps
        .peer(m)
        .learn.mutate(this.after(from))
        .catch((err: unknown) => {
          this.deps.log.debug(`${m.name} was not told of the change: ${errors.why(err)}`);
        });
    }
  }

  private others(): readonly hosts.Member[] {
    return this.deps.members.live().filter((m) => m.name !== this.opts.name);
  }

  /** Reads what is newer from one peer at random. */
  async sync(): Promise<void> {
    const [m] = members.sample(this.others(), 1, this.deps.random);
    if (!m) return;
    try {
      this.learn(await this.deps.peer(m).changesAfter.query({ revision: this.current.revision }));
    } catch (err) {
      this.deps.log.debug(`${m.name} did not answer: ${errors.why(err)}`);
    }
  }

  /** Reads what is newer from the store. */
  async catchUp(): Promise<void> {
    const { head } = await journal.readHead(this.deps.store);
    const was = this.current;
    if (head.revision < was.revision) {
      if (!this.behind) {
        this.deps.log.error(
          `The store is at revision ${head.revision}, behind ${was.revision} in force here; run "sumacfield restore".`,
        );
      }
      this.behind = true;
      this.joined = true;
      return;
    }
    this.behind = false;
    if (head.revision > was.revision) {
      const behindLog = head.snapshot && head.snapshot.revision > was.revision;
      if (behindLog) this.learnWhole(await journal.catchUp(this.deps.store, was));
      else
        this.learn({ kind: "changes", changes: await this.readLog(was.revision, head.revision) });
    }
    this.joined = true;
  }

  private async readLog(from: number, to: number): Promise<readonly intent.Changeset[]> {
    const out: intent.Changeset[] = [];
    while (from + out.length < to) {
      const page = await journal.readAfter(this.deps.store, from + out.length);
      if (page.length === 0) break;
      out.push(...page);
    }
    return out;
  }

  private learnWhole(now: intent.Intent): void {
    if (now.revision > this.current.revision) this.adopt(now, []);
  }

  /** Whether this daemon is among the few of its failure domain that watch the store. */
  isWatcher(): boolean {
    const near = this.deps.members
      .live()
      .filter((m) => m.failureDomain === this.opts.failureDomain);
    const { name, watchers } = this.opts;
    if (!near.some((m) => m.name === name)) return near.length < watchers;
    return members.first(near, "watch", watchers).some((m) => m.name === name);
  }

  /** Follows store and peers until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const sync = clock.every(
      this.deps.clock,
      this.opts.syncMs,
      signal,
      () => this.sync(),
      () => undefined,
    );
    await Promise.all([sync, this.followStore(signal)]);
  }

  private async followStore(signal: AbortSignal): Promise<void> {
    let wait = this.opts.retryMs;
    while (!signal.aborted) {
      try {
        if (!this.joined) await this.catchUp();
        if (this.isWatcher()) {
          await this.watch(signal, () => {
            wait = this.opts.retryMs;
          });
        } else {
          this.life.send({ type: "stepDown" });
        }
      } catch (err) {
        this.life.send({ type: "cut" });
        this.deps.log.warn(`The store is out: ${errors.why(err)}`);
        wait = Math.min(wait * 2, this.opts.retryMs * BACKOFF);
      }
      const jitter = 0.5 + this.deps.random();
      await clock.sleep(this.deps.clock, wait * jitter, signal);
    }
  }

  /** Watches the head, and reads it now and then all the same, lest the watch is dead unnoticed. */
  private async watch(signal: AbortSignal, healthy: () => void): Promise<void> {
    const stop = new AbortController();
    const end = (): void => {
      stop.abort();
    };
    signal.addEventListener("abort", end, { once: true });
    const failures: unknown[] = [];
    const read = async (): Promise<void> => {
      try {
        await this.catchUp();
        healthy();
        this.life.send({ type: "watching" });
      } catch (err) {
        failures.push(err);
        stop.abort();
      }
    };
    const ended = this.deps.store.watch(journal.HEAD, stop.signal, {
      opened: () => void read(),
      seen: (entry) => {
        if (entry.key === journal.HEAD) void read();
      },
    });
    const checks = clock.every(
      this.deps.clock,
      this.opts.checkMs,
      stop.signal,
      read,
      () => undefined,
    );
    try {
      await ended;
    } finally {
      signal.removeEventListener("abort", end);
      stop.abort();
    }
    await checks;
    if (failures.length > 0) throw failures[0];
    if (!signal.aborted) throw new Error("the watch ended");
  }
}
