/**
 * An entry host's log of the origins of its open streams in the store, which outlives all daemons. Streams are written as soon as the
 * pace of the log allows, so those that began right before all daemons end may not be in it. An origin that was written never changes;
 * its key expires after the stream's caller has given up.
 * @module
 */
import * as crypto from "node:crypto";
import * as zod from "zod";
import type * as clock from "../../host/clock.js";
import * as errors from "../../host/errors.js";
import type * as structuredLog from "../../host/structured-log.js";
import * as source from "../../store/source.js";
import type * as tokenBucket from "../../store/token-bucket.js";
import * as logPace from "./log-pace.js";
import type * as origin from "./origin.js";

/** Prefix of the keys; the rest is a hash of the id of the attempt that began the stream. */
export const PREFIX = "sumacfield-streams/";
/** Hexadecimal digits of that hash. */
const HASH_LENGTH = 32;

/** Most calls for one batch, each with {@link source.MAX_WRITES} streams. */
const MAX_CALLS = 4;
/** Milliseconds for which new batches are written under the same lease. */
const LEASE_USE_MS = 10_000;

const document = zod.object({ service: zod.string(), software: zod.string() }).readonly();

/** The key of a stream, by the id of the attempt that began it. */
export function keyOf(attempt: string): string {
  const hash = crypto.createHash("sha256").update(attempt).digest("hex");
  return PREFIX + hash.slice(0, HASH_LENGTH);
}

export interface Deps {
  readonly clock: clock.Clock;
  readonly log: structuredLog.Log;
  readonly store: Pick<source.WritableSource, "read" | "lease" | "writeLeased">;
  /** Write calls that the store takes a second from all daemons together. */
  readonly writesPerS: number;
  /** Number of entry hosts; undefined if it is not known. */
  readonly hostCount: () => number | undefined;
  /** Milliseconds for which a stream may go on after it began. */
  readonly streamMs: () => number;
}

/** A stream that is not written yet. */
interface Waiting {
  readonly origin: origin.Origin;
  /** False if its caller's connection has ended; the caller may resume it elsewhere. */
  readonly isOpen: boolean;
}

/** A lease and the monotonic ms until which it is used for further batches. */
interface UsedLease {
  readonly lease: source.Lease;
  readonly until: number;
}

export class StreamLog {
  /** Streams that are not written yet, by attempt, the oldest first. */
  private readonly waiting = new Map<string, Waiting>();
  /** Open streams that are written. */
  private readonly written = new Map<string, origin.Origin>();
  private lease: UsedLease | undefined;
  /** Batches that are left of this host's part; undefined before the first one. */
  private left: tokenBucket.Bucket | undefined;
  private timer: clock.Timer | undefined;
  private closed = false;

  constructor(private readonly deps: Deps) {}

  /** Number of streams that are not written yet. */
  get waitingCount(): number {
    return this.waiting.size;
  }

  /** Has a stream written as soon as a batch is due; `isOpen` says that it has not ended. */
  add(attempt: string, o: origin.Origin, isOpen: boolean): void {
    this.waiting.set(attempt, { origin: o, isOpen });
    this.schedule();
  }

  /** Takes out a stream that has ended, and is not written any more if its caller has received it whole. */
  remove(attempt: string, isWhole: boolean): void {
    this.written.delete(attempt);
    const waiting = this.waiting.get(attempt);
    if (isWhole) this.waiting.delete(attempt);
    else if (waiting) this.waiting.set(attempt, { ...waiting, isOpen: false });
  }

  /** Has all open streams written again, since the store may have lost them. */
  rewrite(): void {
    for (const [attempt, o] of this.written) this.waiting.set(attempt, { origin: o, isOpen: true });
    this.written.clear();
    this.lease = undefined;
    if (this.waiting.size > 0) this.schedule();
  }

  /** Reads the origin of a stream; undefined if it is not in the log. Throws if the store cannot be read. */
  async find(attempt: string): Promise<origin.Origin | undefined> {
    const { text } = await this.deps.store.read(keyOf(attempt));
    return text === undefined ? undefined : document.parse(JSON.parse(text));
  }

  close(): void {
    this.closed = true;
    this.timer?.cancel();
  }

  private schedule(): void {
    if (this.timer || this.closed) return;
    const taken = this.takeBatch();
    this.timer = this.deps.clock.after(taken.ok ? 0 : taken.waitMs, () => {
      void this.writeBatch();
    });
  }

  private takeBatch(): logPace.Taken {
    const { clock: clk, hostCount, writesPerS } = this.deps;
    return logPace.take(this.left, logPace.batchesPerS(hostCount(), writesPerS), clk.steady());
  }

  private async writeBatch(): Promise<void> {
    const taken = this.waiting.size > 0 && this.takeBatch();
    if (taken && taken.ok) {
      this.left = taken.bucket;
      try {
        for (let n = 0; n < MAX_CALLS && this.waiting.size > 0; n++) await this.writeSome();
      } catch (err) {
        this.left = logPace.failed(taken.bucket, this.deps.clock.steady());
        const why = errors.messageOf(err);
        this.deps.log.warn("Streams could not be logged.", { streams: this.waiting.size, why });
      }
    }
    this.timer = undefined;
    if (this.waiting.size > 0) this.schedule();
  }

  private async writeSome(): Promise<void> {
    const batch = [...this.waiting].slice(0, source.MAX_WRITES);
    const documents = batch.map(([attempt, w]) => ({
      key: keyOf(attempt),
      text: JSON.stringify(w.origin),
    }));
    if (!(await this.deps.store.writeLeased(documents, await this.currentLease()))) {
      this.lease = undefined;
      return;
    }
    for (const [attempt] of batch) {
      const { origin: o, isOpen } = this.waiting.get(attempt) ?? { isOpen: false };
      this.waiting.delete(attempt);
      if (o && isOpen) this.written.set(attempt, o);
    }
  }

  private async currentLease(): Promise<source.Lease> {
    const now = this.deps.clock.mono();
    if (this.lease && now < this.lease.until) return this.lease.lease;
    const lease = await this.deps.store.lease(this.deps.streamMs() + LEASE_USE_MS);
    this.lease = { lease, until: now + LEASE_USE_MS };
    return lease;
  }
}
