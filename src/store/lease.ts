/**
 * The hold of one endpoint daemon on its engine: a key under a lease, whose revision in the store is
 * the fencing number. Two daemons on one engine by mistake cannot both have it.
 * @module
 */
import * as xstate from "xstate";
import * as zod from "zod";
import type * as clock from "../host/clock.js";
import * as log from "../host/log.js";
import * as journal from "./journal.js";
import type * as store from "./store.js";

export interface Options {
  /** Name of the Endpoint. */
  readonly endpoint: string;
  readonly epoch: string;
  readonly ttlMs: number;
}

export interface Deps {
  readonly clock: clock.Clock;
  readonly log: log.Log;
  readonly store: store.Store;
}

const owner = zod.object({ epoch: zod.string() });
const last = zod.object({
  epoch: zod.string(),
  handedOver: zod.boolean(),
  /** Holders before it that handed over, one to the next without a gap. */
  trusted: zod.array(zod.string()).readonly(),
});
type Last = zod.infer<typeof last>;

const machine = xstate
  .setup({ types: { events: {} as { type: "took" } | { type: "lapsed" } | { type: "beaten" } } })
  .createMachine({
    id: "lease",
    initial: "none",
    states: {
      none: { on: { took: "held", beaten: "lost" } },
      held: { on: { lapsed: "lapsed", beaten: "lost" } },
      // Nobody else was seen to have it, and it may not be claimed to be held.
      lapsed: { on: { took: "held", beaten: "lost" } },
      lost: { on: { took: "held" } },
    },
  });

const KEEPALIVES = 3;
/** Former holders remembered as trusted. */
const TRUSTED = 16;

/** Takes the lease and keeps it alive; one per endpoint daemon. */
export class Holder {
  private readonly life = xstate.createActor(machine);
  private lease: store.Lease | undefined;
  private number = 0;
  private keyRevision = 0;
  private until = 0;
  private trusted: readonly string[] = [];

  constructor(
    private readonly opts: Options,
    private readonly deps: Deps,
  ) {
    this.life.start();
  }

  private get key(): string {
    return `${journal.ROOT}holders/${this.opts.endpoint}`;
  }

  private get lastKey(): string {
    return `${journal.ROOT}last-holders/${this.opts.endpoint}`;
  }

  /** Whether the lease is held, lapsed, lost to another or was never had. */
  state(): "none" | "held" | "lapsed" | "lost" {
    if (this.life.getSnapshot().value === "held" && this.deps.clock.mono() >= this.until) {
      this.life.send({ type: "lapsed" });
    }
    return this.life.getSnapshot().value;
  }

  /** The fencing number last had; 0 for none. */
  fence(): number {
    return this.number;
  }

  /**
   * Whether the daemon that lived as `epoch` gives this engine no more orders: it handed over, and so
   * did each holder since.
   */
  trusts(epoch: string): boolean {
    return this.trusted.includes(epoch);
  }

  /** Milliseconds until the next turn of {@link step}. */
  get everyMs(): number {
    return this.opts.ttlMs / KEEPALIVES;
  }

  /** Keeps the lease alive, or tries to take it. Throws when the store does not answer. */
  async step(): Promise<void> {
    if (this.lease && this.state() !== "lost") {
      const asked = this.deps.clock.mono();
      const left = await this.deps.store.keepAlive(this.lease.id);
      if (left > 0) {
        this.until = asked + left;
        this.life.send({ type: "took" });
        return;
      }
      this.lease = undefined;
      this.life.send({ type: "lapsed" });
    }
    await this.take();
  }

  private async take(): Promise<void> {
    const there = await this.deps.store.read(this.key);
    if (there && owner.parse(JSON.parse(there.value)).epoch !== this.opts.epoch) {
      if (this.state() !== "lost") this.deps.log.warn("Another daemon holds this engine.");
      this.life.send({ type: "beaten" });
      return;
    }
    const before = await this.deps.store.read(this.lastKey);
    const asked = this.deps.clock.mono();
    const lease = await this.deps.store.grant(this.opts.ttlMs);
    const trusted = trustedAfter(before, this.opts.epoch);
    const mark: Last = { epoch: this.opts.epoch, handedOver: false, trusted };
    const done = await this.deps.store.commit({
      compares: [
        { key: this.key, revision: there?.revision ?? 0 },
        { key: this.lastKey, revision: before?.revision ?? 0 },
      ],
      puts: [
        { key: this.key, value: JSON.stringify({ epoch: this.opts.epoch }), lease: lease.id },
        { key: this.lastKey, value: JSON.stringify(mark) },
      ],
    });
    if (!done.ok) return;
    this.lease = lease;
    this.until = asked + lease.ttlMs;
    this.number = done.revision;
    this.keyRevision = done.revision;
    this.trusted = trusted;
    this.life.send({ type: "took" });
    this.deps.log.info(`The engine is held with fencing number ${done.revision}.`);
  }

  /** Gives the lease back, saying that no order of this holder is on its way any more. */
  async handOver(): Promise<void> {
    if (!this.lease) return;
    const mark: Last = { epoch: this.opts.epoch, handedOver: true, trusted: this.trusted };
    await this.deps.store.commit({
      compares: [{ key: this.key, revision: this.keyRevision }],
      puts: [{ key: this.lastKey, value: JSON.stringify(mark) }],
      deletes: [this.key],
    });
    this.lease = undefined;
    this.life.send({ type: "lapsed" });
  }
}

function trustedAfter(before: store.Entry | undefined, epoch: string): readonly string[] {
  if (!before) return [];
  const mark = last.parse(JSON.parse(before.value));
  if (mark.epoch === epoch) return mark.trusted;
  return mark.handedOver ? [...mark.trusted, mark.epoch].slice(-TRUSTED) : [];
}
