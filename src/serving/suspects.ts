/**
 * The entry daemon's side of finding requests that crash their workers: it records crashes of
 * workers under the requests that it sent, tells a few endpoint daemons, which tell all entry
 * daemons, and decides whether a request may be sent.
 * @module
 */
import type * as callerRequest from "./caller-request.js";
import type * as crashCheck from "./crash-check.js";
import * as catalog from "./catalog.js";
import * as suspicionState from "./suspicion-state.js";
import * as identity from "./identity.js";
import type * as metrics from "./metrics.js";
import * as crashRecords from "./crashes/records.js";
import * as partQuarantine from "./crashes/part-quarantine.js";
import * as promptParts from "./crashes/prompt-parts.js";
import * as quarantineWriter from "./crashes/quarantine-writer.js";
import * as suspicion from "./suspicion.js";

export interface Deps extends Omit<partQuarantine.Deps, "known" | "observed" | "publish"> {
  readonly crashCheck: crashCheck.CrashCheck;
  readonly metrics: Pick<metrics.Metrics, "recordCrash">;
  /**
   * Sends a message to some endpoint daemons: always the same ones for a key, as long as they are
   * connected.
   */
  readonly send: (key: string, m: suspicionState.Message) => void;
}

/** Maximum number of prompt parts in a log line. */
const MAX_LOGGED_PARTS = 16;

/** Tracks requests that crash their workers: one per entry daemon. */
export class Suspects {
  private readonly known: suspicionState.SuspicionState;
  /** What this host has observed itself; sent to endpoint daemons on a new connection. */
  private readonly observed: suspicionState.SuspicionState;
  private readonly writer: quarantineWriter.QuarantineWriter;
  private readonly parts: partQuarantine.PartQuarantine;

  constructor(private readonly deps: Deps) {
    this.known = new suspicionState.SuspicionState(deps);
    this.observed = new suspicionState.SuspicionState(deps);
    this.writer = new quarantineWriter.QuarantineWriter(deps);
    this.parts = new partQuarantine.PartQuarantine(
      {
        ...deps,
        known: () => this.known.records,
        observed: () => this.observed.records,
        publish: (key, n) => {
          this.publish(key, n);
        },
      },
      this.writer,
    );
  }

  /** Number of requests under which workers crashed recently. */
  get size(): number {
    return this.known.records.crashes.size;
  }

  /** Number of sets of prompt parts in quarantine. */
  get partSetCount(): number {
    return this.parts.size;
  }

  /** The verdict on a request. Costs nothing while no request is suspected or quarantined. */
  evaluate(a: callerRequest.CallerRequest): suspicion.Verdict {
    const { quarantined } = this.deps.catalog();
    if (this.known.isEmpty && quarantined.size === 0) return suspicion.FREE;
    const withheld = this.parts.withheld(a.meta);
    if (withheld) return { kind: "quarantined", ...withheld };
    const id = identity.of(a);
    const verdict = this.verdict(id);
    if (verdict.kind === "quarantined" || !quarantined.has(id)) return verdict;
    return { kind: "quarantined", workers: [], releaseMs: crashRecords.EXPIRY_MS };
  }

  /**
   * Resolves once it is known whether a quarantined request may be sent all the same, to test whether it still crashes workers;
   * its verdict then tells. Undefined if it may not.
   */
  pendingProbe(a: callerRequest.CallerRequest): Promise<void> | undefined {
    return this.parts.pendingProbe(a.meta);
  }

  /** Discards the evidence behind a quarantine that an operator released or that expired; `evidence` is what was stored. */
  release(id: string, evidence: string): void {
    this.parts.release(evidence);
    const crashes = this.known.records.crashes.get(id);
    if (crashes)
      this.publish(id, { kind: "ran", identity: id, workers: [...crashes.keys()], ageMs: 0 });
  }

  /** Whether a worker has ended without announcing that it leaves, so that what it ran may be the cause. */
  private async hasCrashed(worker: catalog.Endpoint): Promise<boolean> {
    if (catalog.isLeaving(this.deps.catalog(), worker)) return false;
    return this.deps.crashCheck.hasCrashed(worker);
  }

  /** Records that a send broke off; resolves once it is known whether the worker crashed. */
  async recordBrokenSend(
    a: callerRequest.CallerRequest,
    worker: catalog.Endpoint,
    { underWayMs, answeringMs }: Pick<crashRecords.Crash, "underWayMs" | "answeringMs">,
  ): Promise<void> {
    if (!(await this.hasCrashed(worker))) return;
    const id = identity.of(a);
    const peers = Math.max(1, catalog.endpointsOf(this.deps.catalog(), a.service).length);
    const parts = promptParts.idsOf(a.meta);
    const crash = { identity: id, worker: worker.id, underWayMs, answeringMs, peers, parts };
    this.publish(id, { kind: "ended", ...crash, ageMs: 0 });
    const verdict = this.verdict(id);
    this.deps.log.warn("A worker crashed while running a request.", {
      request: a.meta.id,
      identity: id,
      endpoint: worker.id,
      underWayMs: Math.round(underWayMs),
      answeringMs: Math.round(answeringMs),
      peers,
      verdict: verdict.kind,
      parts: parts.slice(0, MAX_LOGGED_PARTS),
    });
    this.deps.metrics.recordCrash(a.service.name, verdict.kind);
    this.parts.refresh();
    if (verdict.kind === "quarantined") this.persist(id);
  }

  /** Writes the quarantines whose crashes this host has observed, which the store may have lost. */
  persistObserved(): void {
    this.parts.persistObserved();
    for (const id of this.observed.records.crashes.keys()) {
      if (this.isProved(id)) this.persist(id);
    }
  }

  /** Has a quarantined request written to the store, where it survives a restart of all hosts. */
  private persist(id: string): void {
    void this.writer.write(id, () => {
      const { kind, workers } = this.verdict(id);
      return kind === "quarantined" ? { workers } : undefined;
    });
  }

  private isProved(id: string): boolean {
    return this.verdict(id).kind === "quarantined";
  }

  private verdict(id: string): suspicion.Verdict {
    return suspicion.evaluate(this.known.records, id, this.deps.clock.mono());
  }

  /** Records that a request ran to its end, which voids the crashes known for it and for the parts of its prompt. */
  recordCompletion(a: callerRequest.CallerRequest): void {
    this.parts.recordRun(a.meta);
    if (this.known.isEmpty) return;
    const id = identity.of(a);
    const crashes = this.known.records.crashes.get(id);
    if (!crashes) return;
    const workers = [...crashes.keys()];
    this.publish(id, { kind: "ran", identity: id, workers, ageMs: 0 });
    this.deps.log.info("A suspected request ran to its end; it is no longer suspected.", {
      request: a.meta.id,
      identity: id,
      workers,
    });
  }

  /** Takes in a message that an endpoint daemon relays. */
  receive(m: suspicionState.Message, peer: string): void {
    const news = this.known.receive(m, peer);
    if (news.length > 0) this.parts.refresh();
    for (const n of news) if (n.kind === "ended") this.noteQuarantine(n.identity, peer);
  }

  /** The messages for a newly connected endpoint daemon. */
  snapshot(): readonly suspicionState.Message[] {
    return this.observed.snapshot();
  }

  private publish(key: string, n: crashRecords.News): void {
    this.known.apply([n]);
    this.observed.apply([n]);
    for (const m of suspicionState.messages([n])) this.deps.send(key, m);
  }

  /**
   * Handles a crash reported by another host: if it puts a request in quarantine, the quarantine is
   * logged, and persisted if this host has observed crashes of that request itself.
   */
  private noteQuarantine(id: string, peer: string): void {
    const verdict = this.verdict(id);
    if (verdict.kind !== "quarantined") return;
    // Each host that observed one of the crashes writes the key, since possibly none of them
    // observed all.
    if (this.observed.records.crashes.has(id)) this.persist(id);
    this.deps.log.warn("A request is in quarantine: it crashed its workers.", {
      identity: id,
      workers: verdict.workers,
      peer,
    });
  }
}
