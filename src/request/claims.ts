/**
 * Claims on idempotency keys, so that a request with one runs at most once whichever entry hosts it
 * reaches. A claim is a key created in the store; those of a few milliseconds go in one call.
 * @module
 */
import * as zod from "zod";
import * as clock from "../host/clock.js";
import type * as log from "../host/log.js";
import * as errors from "../host/why.js";
import * as keys from "../link/keys.js";
import * as journal from "../store/journal.js";
import type * as store from "../store/store.js";
import * as outcome from "./outcome.js";

export interface Options {
  /** For how long a key is remembered at least, in ms. */
  readonly windowMs: number;
  /** Claims made within this many ms share one call. */
  readonly batchMs: number;
  /** Claims in one call at most. */
  readonly batch: number;
}

export interface Deps {
  readonly clock: clock.Clock;
  readonly log: log.Log;
  readonly store: store.Store;
}

const held = zod.object({ request: zod.string() });

/** A claim this daemon made. */
export interface Claim {
  readonly key: string;
  readonly request: string;
}

interface Pending {
  readonly claim: Claim;
  readonly resolve: () => void;
  readonly reject: (err: unknown) => void;
}

const RELEASE_TRIES = 5;
const RELEASE_WAIT_MS = 500;

export class Claims {
  private pending: readonly Pending[] = [];
  private lease: { readonly id: string; readonly renewAt: number } | undefined;

  constructor(
    private readonly opts: Options,
    private readonly deps: Deps,
  ) {}

  /**
   * Claims `key` for one request of a caller. Throws a `StepError` of step `claim`: `unknown` when
   * another request has the key and may have run, `not_run` when the store cannot tell.
   */
  make(caller: string, key: string, request: string): Promise<Claim> {
    const claim = { key: `${journal.ROOT}claims/${caller}/${keys.sha256(key)}`, request };
    return new Promise((resolve, reject) => {
      const settle = (): void => {
        resolve(claim);
      };
      this.pending = [...this.pending, { claim, resolve: settle, reject }];
      if (this.pending.length >= this.opts.batch) this.flush();
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
    if (batch.length > 0) void this.send(batch);
  }

  private async send(batch: readonly Pending[]): Promise<void> {
    // Two of the same key in one call cannot be told apart by the store.
    const first = new Map<string, Pending>();
    for (const p of batch) {
      if (first.has(p.claim.key)) p.reject(taken());
      else first.set(p.claim.key, p);
    }
    const mine = [...first.values()];
    try {
      const found = await this.create(mine);
      for (const [i, p] of mine.entries()) {
        const there = found[i];
        if (there && held.parse(JSON.parse(there.value)).request !== p.claim.request) {
          p.reject(taken());
        } else p.resolve();
      }
    } catch (err) {
      for (const p of mine) p.reject(unproved(err));
    }
  }

  /** Creates the keys; after a lost reply once more, which finds what the first call wrote. */
  private async create(mine: readonly Pending[]): Promise<readonly (store.Entry | undefined)[]> {
    try {
      return await this.createOnce(mine);
    } catch (err) {
      this.deps.log.debug(`Claims are asked for again: ${errors.why(err)}`);
      return this.createOnce(mine);
    }
  }

  private async createOnce(
    mine: readonly Pending[],
  ): Promise<readonly (store.Entry | undefined)[]> {
    const lease = await this.currentLease();
    const puts = mine.map(({ claim: c }) => ({
      key: c.key,
      value: JSON.stringify({ request: c.request }),
      lease,
    }));
    return this.deps.store.create(puts);
  }

  /** One lease serves a window's worth of claims, so that each lasts one window at least. */
  private async currentLease(): Promise<string> {
    const now = this.deps.clock.mono();
    if (this.lease && now < this.lease.renewAt) return this.lease.id;
    const { id } = await this.deps.store.grant(2 * this.opts.windowMs);
    this.lease = { id, renewAt: now + this.opts.windowMs };
    return id;
  }

  /** Gives a claim back after its request certainly did not run, so that it may be sent again. */
  async release(claim: Claim): Promise<void> {
    for (let i = 0; i < RELEASE_TRIES; i++) {
      try {
        const there = await this.deps.store.read(claim.key);
        if (!there || held.parse(JSON.parse(there.value)).request !== claim.request) return;
        const compares = [{ key: claim.key, revision: there.revision }];
        await this.deps.store.commit({ compares, puts: [], deletes: [claim.key] });
        return;
      } catch (err) {
        this.deps.log.debug(`A claim was not given back yet: ${errors.why(err)}`);
        await clock.sleep(this.deps.clock, RELEASE_WAIT_MS * 2 ** i);
      }
    }
  }
}

function taken(): outcome.StepError {
  return new outcome.StepError({
    code: "duplicate",
    outcome: "unknown",
    step: "claim",
    peer: "store",
    message: "A request with this idempotency key was taken before; it may have run.",
  });
}

function unproved(err: unknown): outcome.StepError {
  return outcome.notRun(
    "claim_unproved",
    "claim",
    "store",
    `That the request has not run before cannot be proved now: ${errors.why(err)}`,
    RELEASE_WAIT_MS,
  );
}
