/**
 * Claims on idempotency keys, so that a request that carries one runs at most once, whichever entry
 * hosts it reaches. A claim is a key created in the store; claims that are made within a few
 * milliseconds of each other are sent in one call.
 * @module
 */
import * as zod from "zod";
import * as clock from "../host/clock.js";
import type * as log from "../host/log.js";
import * as errors from "../host/errors.js";
import * as keys from "../link/keys.js";
import * as journal from "../store/journal.js";
import type * as store from "../store/store.js";
import * as outcome from "./outcome.js";

/** Settings of {@link Claims}. */
export interface Options {
  /** Minimum time for which a key is remembered, in ms. */
  readonly windowMs: number;
  /** Time for which a claim waits for others to be sent in the same call, in ms. */
  readonly batchMs: number;
  /** Maximum number of claims in one call. */
  readonly maxBatchSize: number;
}

/** What {@link Claims} depends on. */
export interface Deps {
  readonly clock: clock.Clock;
  readonly log: log.Log;
  readonly store: store.Store;
}

/** The value under a claim's key: the id of the request that holds it. */
const claimRecord = zod.object({ request: zod.string() });

/** A claim that this daemon holds. */
export interface Claim {
  readonly key: string;
  readonly request: string;
}

/** A claim that waits for the next call to the store. */
interface PendingClaim {
  readonly claim: Claim;
  readonly resolve: () => void;
  readonly reject: (err: unknown) => void;
}

/** Calls made at most to release one claim. */
const MAX_RELEASE_ATTEMPTS = 5;
/**
 * Delay before the second attempt to release a claim, in ms; it doubles with each further attempt. Also
 * the time after which a caller may retry when a claim could not be made.
 */
const RETRY_DELAY_MS = 500;

/** Makes and releases claims for one entry daemon, in batches. */
export class Claims {
  private pending: readonly PendingClaim[] = [];
  private lease: { readonly id: string; readonly renewAt: number } | undefined;

  constructor(
    private readonly opts: Options,
    private readonly deps: Deps,
  ) {}

  /**
   * Claims the idempotency key `key` of a caller for one request. Throws a `StepError` of step `claim`:
   * with outcome `unknown` when another request holds the key and may have run, and with `not_run`
   * when the store did not confirm the claim.
   */
  acquire(caller: string, key: string, request: string): Promise<Claim> {
    const claim = { key: `${journal.KEY_PREFIX}claims/${caller}/${keys.sha256(key)}`, request };
    return new Promise((resolve, reject) => {
      const settle = (): void => {
        resolve(claim);
      };
      this.pending = [...this.pending, { claim, resolve: settle, reject }];
      if (this.pending.length >= this.opts.maxBatchSize) this.flush();
      else if (this.pending.length === 1) {
        this.deps.clock.after(this.opts.batchMs, () => {
          this.flush();
        });
      }
    });
  }

  private flush(): void {
    const batch = this.pending;
    this.pending = [];
    if (batch.length > 0) void this.sendBatch(batch);
  }

  private async sendBatch(batch: readonly PendingClaim[]): Promise<void> {
    // The store cannot tell apart two claims on the same key in one call, so only the first is sent.
    const firstByKey = new Map<string, PendingClaim>();
    for (const p of batch) {
      if (firstByKey.has(p.claim.key)) p.reject(duplicateError());
      else firstByKey.set(p.claim.key, p);
    }
    const unique = [...firstByKey.values()];
    try {
      const existing = await this.createWithRetry(unique);
      for (const [i, p] of unique.entries()) {
        const entry = existing[i];
        if (entry && claimRecord.parse(JSON.parse(entry.value)).request !== p.claim.request) {
          p.reject(duplicateError());
        } else p.resolve();
      }
    } catch (err) {
      for (const p of unique) p.reject(unprovedError(err));
    }
  }

  /** Creates the keys, and retries once after a lost reply: the retry finds what the first call wrote. */
  private async createWithRetry(
    batch: readonly PendingClaim[],
  ): Promise<readonly (store.Entry | undefined)[]> {
    try {
      return await this.createOnce(batch);
    } catch (err) {
      this.deps.log.debug(`Retrying to create claims: ${errors.messageOf(err)}`);
      return this.createOnce(batch);
    }
  }

  private async createOnce(
    batch: readonly PendingClaim[],
  ): Promise<readonly (store.Entry | undefined)[]> {
    const lease = await this.currentLease();
    const puts = batch.map(({ claim: c }) => ({
      key: c.key,
      value: JSON.stringify({ request: c.request }),
      lease,
    }));
    return this.deps.store.create(puts);
  }

  /**
   * Returns the lease for new claims. A lease lives for twice `windowMs` and is used for new claims
   * during the first half, so that each claim lasts for at least `windowMs`.
   */
  private async currentLease(): Promise<string> {
    const now = this.deps.clock.mono();
    if (this.lease && now < this.lease.renewAt) return this.lease.id;
    const { id } = await this.deps.store.grant(2 * this.opts.windowMs);
    this.lease = { id, renewAt: now + this.opts.windowMs };
    return id;
  }

  /** Releases a claim whose request certainly did not run, so that the caller may send it again. */
  async release(claim: Claim): Promise<void> {
    for (let i = 0; i < MAX_RELEASE_ATTEMPTS; i++) {
      try {
        const entry = await this.deps.store.read(claim.key);
        if (!entry || claimRecord.parse(JSON.parse(entry.value)).request !== claim.request) return;
        const compares = [{ key: claim.key, revision: entry.revision }];
        await this.deps.store.commit({ compares, puts: [], deletes: [claim.key] });
        return;
      } catch (err) {
        this.deps.log.debug(`Could not release a claim yet: ${errors.messageOf(err)}`);
        await clock.sleep(this.deps.clock, RETRY_DELAY_MS * 2 ** i);
      }
    }
  }
}

function duplicateError(): outcome.StepError {
  return new outcome.StepError({
    code: "duplicate",
    outcome: "unknown",
    step: "claim",
    peer: "store",
    message: "A request with this idempotency key was accepted before; it may have run.",
  });
}

function unprovedError(err: unknown): outcome.StepError {
  return outcome.notRun(
    "claim_unproved",
    "claim",
    "store",
    `Cannot verify now that this request has not run before: ${errors.messageOf(err)}`,
    RETRY_DELAY_MS,
  );
}
