/**
 * The entry daemon's side of finding requests that crash their workers: it records crashes of
 * workers under the requests that it sent, tells a few endpoint daemons, which tell all entry
 * daemons, and decides whether a request may be sent.
 * @module
 */
import * as clock from "../host/clock.js";
import * as errors from "../host/errors.js";
import type * as structuredLog from "../host/structured-log.js";
import * as callerRequest from "./caller-request.js";
import type * as crashCheck from "./crash-check.js";
import * as catalog from "./catalog.js";
import * as suspicionState from "./suspicion-state.js";
import * as identity from "./identity.js";
import type * as metrics from "./metrics.js";
import * as quarantine from "./quarantine.js";
import * as suspicion from "./suspicion.js";

export interface Deps {
  readonly clock: clock.Clock;
  readonly log: structuredLog.Log;
  readonly catalog: () => catalog.Catalog;
  readonly crashCheck: crashCheck.CrashCheck;
  readonly metrics: Pick<metrics.Metrics, "recordCrash">;
  /**
   * Sends a message to some endpoint daemons: always the same ones for a key, as long as they are
   * connected.
   */
  readonly send: (key: string, m: suspicionState.Message) => void;
  /** Creates a key in the store that expires after `ttlMs`; throws if the outcome is unknown. */
  readonly claim: (key: string, ttlMs: number, text: string) => Promise<boolean>;
}

/** Milliseconds before persisting a key to the store is retried. */
const RETRY_MS = 1000;
/**
 * Milliseconds for which the proof against a request must hold before the request is written to the
 * store, from which it is not withdrawn. Crashes of other workers that become known in the meantime
 * may show that workers crash anyway. Until it is written, the quarantine holds only while it is
 * proved.
 */
const CONFIRM_MS = 2500;
/** Maximum number of prompt parts in a log line. */
const MAX_LOGGED_PARTS = 16;

/** Tracks requests that crash their workers: one per entry daemon. */
export class Suspects {
  private readonly known: suspicionState.SuspicionState;
  /** What this host has observed itself; sent to endpoint daemons on a new connection. */
  private readonly observed: suspicionState.SuspicionState;
  /** Identities whose key in the store is being written. */
  private readonly persisting = new Set<string>();

  constructor(private readonly deps: Deps) {
    this.known = new suspicionState.SuspicionState(deps);
    this.observed = new suspicionState.SuspicionState(deps);
  }

  /** Number of requests under which workers crashed recently. */
  get size(): number {
    return this.known.records.crashes.size;
  }

  /** The verdict on a request. Costs nothing while no request is suspected or quarantined. */
  evaluate(a: callerRequest.CallerRequest): suspicion.Verdict {
    const { quarantined } = this.deps.catalog();
    if (this.known.isEmpty && quarantined.size === 0) return suspicion.FREE;
    const id = identity.of(a);
    const verdict = this.verdict(id);
    if (verdict.kind === "quarantined" || !quarantined.has(id)) return verdict;
    return { kind: "quarantined", workers: [], releaseMs: suspicion.EXPIRY_MS };
  }

  /** Voids the known crashes of a request that an operator released or whose quarantine expired. */
  release(id: string): void {
    const crashes = this.known.records.crashes.get(id);
    if (crashes)
      this.publish({ kind: "ran", identity: id, workers: [...crashes.keys()], ageMs: 0 });
  }

  /** Whether a worker has ended without announcing that it leaves. */
  async hasCrashed(worker: catalog.Endpoint): Promise<boolean> {
    // A worker that announced that it is leaving ends as planned; that proves nothing.
    if (!catalog.isUsable(this.deps.catalog(), worker)) return false;
    return this.deps.crashCheck.hasCrashed(worker);
  }

  /**
   * Records that a send broke off after `underWayMs`; resolves once it is known whether the worker
   * crashed.
   */
  async recordBrokenSend(
    a: callerRequest.CallerRequest,
    worker: catalog.Endpoint,
    underWayMs: number,
  ): Promise<void> {
    if (!(await this.hasCrashed(worker))) return;
    const id = identity.of(a);
    const peers = Math.max(1, catalog.endpointsOf(this.deps.catalog(), a.service).length);
    this.publish({ kind: "ended", identity: id, worker: worker.id, underWayMs, peers, ageMs: 0 });
    const verdict = this.verdict(id);
    this.deps.log.warn("A worker crashed while running a request.", {
      request: a.meta.id,
      identity: id,
      endpoint: worker.id,
      underWayMs: Math.round(underWayMs),
      peers,
      verdict: verdict.kind,
      parts: callerRequest
        .sharedParts(a.meta)
        .slice(0, MAX_LOGGED_PARTS)
        .map((part) => part.id),
    });
    this.deps.metrics.recordCrash(a.service.name, verdict.kind);
    if (verdict.kind === "quarantined") void this.persist(id);
  }

  /** Writes the quarantined requests that this host has observed, which the store may have lost. */
  persistObserved(): void {
    for (const id of this.observed.records.crashes.keys()) {
      if (this.isProved(id)) void this.persist(id);
    }
  }

  /** Writes a quarantined request to the store, where it survives a restart of all hosts. */
  private async persist(id: string): Promise<void> {
    if (this.persisting.has(id)) return;
    this.persisting.add(id);
    await clock.sleep(this.deps.clock, CONFIRM_MS);
    while (this.isProved(id) && !this.deps.catalog().quarantined.has(id)) {
      try {
        const { workers } = this.verdict(id);
        const text = quarantine.encode({ workers, at: this.deps.clock.now() });
        await this.deps.claim(quarantine.keyOf(id), suspicion.EXPIRY_MS, text);
        break;
      } catch (err) {
        this.deps.log.warn("Could not write a quarantined request to the store.", {
          identity: id,
          why: errors.messageOf(err),
        });
        await clock.sleep(this.deps.clock, RETRY_MS);
      }
    }
    this.persisting.delete(id);
  }

  private isProved(id: string): boolean {
    return this.verdict(id).kind === "quarantined";
  }

  private verdict(id: string): suspicion.Verdict {
    return suspicion.evaluate(this.known.records, id, this.deps.clock.mono());
  }

  /** Records that a request ran to its end, which voids the crashes known for it. */
  recordCompletion(a: callerRequest.CallerRequest): void {
    if (this.known.isEmpty) return;
    const id = identity.of(a);
    const crashes = this.known.records.crashes.get(id);
    if (!crashes) return;
    const workers = [...crashes.keys()];
    this.publish({ kind: "ran", identity: id, workers, ageMs: 0 });
    this.deps.log.info("A suspected request ran to its end; it is no longer suspected.", {
      request: a.meta.id,
      identity: id,
      workers,
    });
  }

  /** Takes in a message that an endpoint daemon relays. */
  receive(m: suspicionState.Message, peer: string): void {
    for (const n of this.known.receive(m, peer)) this.noteQuarantine(n, peer);
  }

  /** The messages for a newly connected endpoint daemon. */
  snapshot(): readonly suspicionState.Message[] {
    return this.observed.snapshot();
  }

  private publish(n: suspicion.News): void {
    this.known.apply([n]);
    this.observed.apply([n]);
    for (const m of suspicionState.messages([n])) this.deps.send(n.identity, m);
  }

  /**
   * Handles a crash reported by another host: if it puts a request in quarantine, the quarantine is
   * logged, and persisted if this host has observed crashes of that request itself.
   */
  private noteQuarantine(n: suspicion.News, peer: string): void {
    const verdict = this.verdict(n.identity);
    if (n.kind !== "ended" || verdict.kind !== "quarantined") return;
    // Each host that observed one of the crashes writes the key, since possibly none of them
    // observed all.
    if (this.observed.records.crashes.has(n.identity)) void this.persist(n.identity);
    this.deps.log.warn("A request is in quarantine: it crashed its workers.", {
      identity: n.identity,
      workers: verdict.workers,
      peer,
    });
  }
}
