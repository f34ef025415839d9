/**
 * The exclusive lease of an endpoint daemon on its engine: a key under a lease in the store. The key's
 * revision in the store is the fencing number. If two daemons are started on one engine by mistake,
 * only one of them holds the lease.
 * @module
 */
import * as xstate from "xstate";
import * as zod from "zod";
import type * as clock from "../host/clock.js";
import * as log from "../host/log.js";
import * as journal from "./journal.js";
import type * as store from "./store.js";

/** Settings of {@link LeaseHolder}. */
export interface Options {
  /** Name of the Endpoint. */
  readonly endpoint: string;
  /** Identifies this run of the daemon. */
  readonly epoch: string;
  /** Milliseconds for which the lease is granted and renewed. */
  readonly ttlMs: number;
}

/** What {@link LeaseHolder} depends on. */
export interface Deps {
  readonly clock: clock.Clock;
  readonly log: log.Log;
  readonly store: store.Store;
}

/** The value under the holder's key, which vanishes with the lease. */
const holderRecord = zod.object({ epoch: zod.string() });
/** The value under the last holder's key, which stays when the lease lapses. */
const lastHolderRecord = zod.object({
  epoch: zod.string(),
  handedOver: zod.boolean(),
  /** Epochs of the holders directly before it, each of which handed over to the next. */
  trusted: zod.array(zod.string()).readonly(),
});
type LastHolder = zod.infer<typeof lastHolderRecord>;

/**
 * State of the lease, and the events that change it. `granted`: the store granted or renewed it.
 * `lapsed`: it ran out or was released.
 * `takenByOther`: another daemon was seen to hold it.
 */
const machine = xstate
  .setup({
    types: { events: {} as { type: "granted" } | { type: "lapsed" } | { type: "takenByOther" } },
  })
  .createMachine({
    id: "lease",
    initial: "none",
    states: {
      none: { on: { granted: "held", takenByOther: "lost" } },
      held: { on: { lapsed: "lapsed", takenByOther: "lost" } },
      // The lease may have expired, so it must not be treated as held; no other holder was seen.
      lapsed: { on: { granted: "held", takenByOther: "lost" } },
      lost: { on: { granted: "held" } },
    },
  });

/** Number of keep-alives in the lifetime of a lease. */
const KEEPALIVES_PER_TTL = 3;
/** Maximum number of previous holders in the record. */
const MAX_TRUSTED = 16;

/** Acquires the lease and keeps it alive; one per endpoint daemon. */
export class LeaseHolder {
  private readonly stateMachine = xstate.createActor(machine);
  private lease: store.Lease | undefined;
  private lastFencingNumber = 0;
  private keyRevision = 0;
  private expiresAt = 0;
  private trusted: readonly string[] = [];

  constructor(
    private readonly opts: Options,
    private readonly deps: Deps,
  ) {
    this.stateMachine.start();
  }

  private get holderKey(): string {
    return `${journal.KEY_PREFIX}holders/${this.opts.endpoint}`;
  }

  private get lastHolderKey(): string {
    return `${journal.KEY_PREFIX}last-holders/${this.opts.endpoint}`;
  }

  /** Whether the lease is held, has lapsed, was lost to another daemon, or was never held. */
  state(): "none" | "held" | "lapsed" | "lost" {
    if (
      this.stateMachine.getSnapshot().value === "held" &&
      this.deps.clock.mono() >= this.expiresAt
    ) {
      this.stateMachine.send({ type: "lapsed" });
    }
    return this.stateMachine.getSnapshot().value;
  }

  /** The fencing number of the last lease held; 0 if there was none. */
  fencingNumber(): number {
    return this.lastFencingNumber;
  }

  /**
   * Whether the former holder with this epoch certainly sends no more orders to the engine: it handed
   * over, and so did every holder after it.
   */
  hasHandedOver(epoch: string): boolean {
    return this.trusted.includes(epoch);
  }

  /** Milliseconds between two calls of {@link renewOrAcquire}. */
  get renewIntervalMs(): number {
    return this.opts.ttlMs / KEEPALIVES_PER_TTL;
  }

  /** Renews the lease, or tries to acquire it. Throws when the store does not answer. */
  async renewOrAcquire(): Promise<void> {
    if (this.lease && this.state() !== "lost") {
      const sentAt = this.deps.clock.mono();
      const remainingMs = await this.deps.store.keepAlive(this.lease.id);
      if (remainingMs > 0) {
        this.expiresAt = sentAt + remainingMs;
        this.stateMachine.send({ type: "granted" });
        return;
      }
      this.lease = undefined;
      this.stateMachine.send({ type: "lapsed" });
    }
    await this.acquire();
  }

  private async acquire(): Promise<void> {
    const current = await this.deps.store.read(this.holderKey);
    if (current && holderRecord.parse(JSON.parse(current.value)).epoch !== this.opts.epoch) {
      if (this.state() !== "lost") this.deps.log.warn("Another daemon holds this engine.");
      this.stateMachine.send({ type: "takenByOther" });
      return;
    }
    const previous = await this.deps.store.read(this.lastHolderKey);
    const sentAt = this.deps.clock.mono();
    const lease = await this.deps.store.grant(this.opts.ttlMs);
    const trusted = trustedAfter(previous, this.opts.epoch);
    const record: LastHolder = { epoch: this.opts.epoch, handedOver: false, trusted };
    const result = await this.deps.store.commit({
      compares: [
        { key: this.holderKey, revision: current?.revision ?? 0 },
        { key: this.lastHolderKey, revision: previous?.revision ?? 0 },
      ],
      puts: [
        { key: this.holderKey, value: JSON.stringify({ epoch: this.opts.epoch }), lease: lease.id },
        { key: this.lastHolderKey, value: JSON.stringify(record) },
      ],
    });
    if (!result.ok) return;
    this.lease = lease;
    this.expiresAt = sentAt + lease.ttlMs;
    this.lastFencingNumber = result.revision;
    this.keyRevision = result.revision;
    this.trusted = trusted;
    this.stateMachine.send({ type: "granted" });
    this.deps.log.info(`Acquired the engine lease with fencing number ${result.revision}.`);
  }

  /** Releases the lease and records that none of this holder's orders is in flight any more. */
  async handOver(): Promise<void> {
    if (!this.lease) return;
    const record: LastHolder = { epoch: this.opts.epoch, handedOver: true, trusted: this.trusted };
    await this.deps.store.commit({
      compares: [{ key: this.holderKey, revision: this.keyRevision }],
      puts: [{ key: this.lastHolderKey, value: JSON.stringify(record) }],
      deletes: [this.holderKey],
    });
    this.lease = undefined;
    this.stateMachine.send({ type: "lapsed" });
  }
}

/** The epochs that a new holder `epoch` can trust to send no more orders. */
function trustedAfter(previous: store.Entry | undefined, epoch: string): readonly string[] {
  if (!previous) return [];
  const record = lastHolderRecord.parse(JSON.parse(previous.value));
  if (record.epoch === epoch) return record.trusted;
  return record.handedOver ? [...record.trusted, record.epoch].slice(-MAX_TRUSTED) : [];
}
