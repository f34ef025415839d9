/**
 * The entry daemon's side of totals: rate limits shared by all hosts, namely a team's usage cap or
 * a worker's rate limit. It asks the total's owner to admit requests.
 *
 * The owner is an endpoint daemon; all entry daemons compute the same order of candidates for a
 * total. If the first one is not reached, the next one is used. If none is reached, this host
 * enforces its own part of the total by itself, provided that it has heard how many hosts there
 * are.
 * @module
 */
import type * as clock from "../host/clock.js";
import * as hash from "../host/hash.js";
import type * as structuredLog from "../host/structured-log.js";
import * as tokenBalance from "./token-balance.js";
import type * as link from "./link.js";
import * as messages from "./limiter-messages.js";

/** Number of endpoint daemons that may own one total. */
export const OWNER_CANDIDATES = 3;
/**
 * Number of groups of totals; all totals of a group have the same owner, which bounds the number of
 * owners that a host keeps in contact with.
 */
const OWNER_GROUPS = 16;
/** Milliseconds for which an owner that did not answer is skipped. */
const AVOID_MS = 2000;
/** Milliseconds between two messages to each owner: three per lease. */
const RENEW_MS = 650;
/**
 * Maximum milliseconds that a message to an owner takes to arrive, after which its lease begins.
 */
const MAX_TRANSIT_MS = 300;
/** Number of hosts assumed if there is no endpoint daemon that could tell it. */
const DEFAULT_HOSTS = 6;
/** Milliseconds after which a caller is told to retry if no owner can decide on its request. */
const UNDECIDED_RETRY_MS = 400;

/** The decision on one request. */
export type Decision =
  /** Admitted; it may be sent after `delayMs`. */
  | { readonly kind: "in"; readonly delayMs: number }
  /** Refused: the total is exhausted. */
  | { readonly kind: "over"; readonly retryAfterMs: number }
  /** Refused: no owner that could decide is reached. */
  | { readonly kind: "unsure"; readonly retryAfterMs: number };

/** The key by which the endpoint daemons that may own a total are ordered. */
export function ownerKey(key: string): string {
  return `totals/${hash.hash32(key) % OWNER_GROUPS}`;
}

/** The key of the total for a worker's rate limit, from the id of the worker's incarnation. */
export function workerKey(id: string): string {
  return `worker/${id}`;
}

/** A request that waits for the owner's answer. */
interface Waiting {
  readonly units: number;
  readonly patienceMs: number;
  readonly resolve: (v: Decision) => void;
}

/** Requests that wait for a decision under one total. */
interface Queue {
  waiting: readonly Waiting[];
  asking: boolean;
}

/** The connection to an endpoint daemon that may own a total. */
export type Owner = Pick<link.Link, "address" | "isHeard" | "isForgotten" | "draw" | "send">;

/** The last message to an owner as text, and the steady ms of the last contact with it. */
interface LastSent {
  readonly owner: Owner;
  readonly text: string;
  readonly at: number;
}

export interface Deps {
  readonly clock: clock.Clock;
  readonly log: structuredLog.Log;
  /** The current totals. */
  readonly totals: () => readonly messages.Total[];
  /** Connections to the first `n` endpoint daemons in the order for a key. */
  readonly ownerCandidates: (key: string, n: number) => readonly Owner[];
  /**
   * The highest recent number of entry daemons; undefined if no number was heard since the start.
   */
  readonly hostCount: () => number | undefined;
}

/** Admits requests under totals: one per entry daemon. */
export class Limiter {
  private readonly queues = new Map<string, Queue>();
  /** The current owner of each total for this host. */
  private readonly owners = new Map<string, Owner>();
  /** Steady ms until which an owner is skipped, by its address. */
  private readonly avoidedUntil = new Map<string, number>();
  /** By the owner's address. */
  private readonly lastSent = new Map<string, LastSent>();
  private readonly localBalances = new Map<string, tokenBalance.Balance>();
  /** Steady ms until which requests promised by a total's previous owner may still be sent. */
  private readonly promisedUntil = new Map<string, number>();
  private timer: clock.Timer | undefined;

  constructor(private readonly deps: Deps) {}

  /** Decides on one more request of `units` under a total; it may wait for `patienceMs`. */
  admit(total: messages.Total, units: number, patienceMs: number): Promise<Decision> {
    const queue = this.queues.get(total.key) ?? { waiting: [], asking: false };
    this.queues.set(total.key, queue);
    return new Promise((resolve) => {
      queue.waiting = [...queue.waiting, { units, patienceMs, resolve }];
      if (!queue.asking) void this.drainQueue(total, queue);
    });
  }

  /** Returns the units of a request that was admitted but did not run. */
  refund(total: messages.Total, units: number): void {
    const owner = this.owners.get(total.key);
    const balance = this.localBalances.get(total.key);
    if (owner) owner.send({ kind: "refund", key: total.key, units });
    else if (balance) this.localBalances.set(total.key, tokenBalance.refund(balance, total, units));
  }

  /** The messages that an owner must receive on a new connection before it is asked anything. */
  attachMessagesFor(address: string): readonly messages.Attach[] {
    this.lastSent.delete(address);
    const owned = this.deps.totals().filter((t) => this.owners.get(t.key)?.address === address);
    const owner = owned[0] && this.owners.get(owned[0].key);
    if (!owner) return [];
    const m = this.attachMessage(owned);
    this.recordSent(owner, JSON.stringify(m));
    return [m];
  }

  /**
   * Chooses each total's owner again, sends changes to the owners, and renews the lease where
   * nothing changed.
   */
  refresh(): void {
    this.timer?.cancel();
    const totals = this.deps.totals();
    this.prune(totals);
    if (totals.length === 0 && this.lastSent.size === 0) return;
    const byOwner = new Map<Owner, messages.Total[]>();
    for (const t of totals) {
      const owner = this.chooseOwner(t);
      if (owner) byOwner.set(owner, [...(byOwner.get(owner) ?? []), t]);
    }
    for (const [owner, list] of byOwner) this.sendTotals(owner, list);
    for (const owner of this.formerOwners(byOwner)) this.sendTotals(owner, []);
    this.timer = this.deps.clock.after(RENEW_MS, () => {
      this.refresh();
    });
  }

  /** Stops renewing the leases. */
  close(): void {
    this.timer?.cancel();
  }

  /** Drops the state of totals that no longer exist. */
  private prune(totals: readonly messages.Total[]): void {
    const keys = new Set(totals.map((t) => t.key));
    for (const [key, queue] of this.queues) {
      if (!keys.has(key) && !queue.asking) this.queues.delete(key);
    }
    for (const m of [this.owners, this.localBalances, this.promisedUntil]) {
      for (const key of m.keys()) if (!keys.has(key)) m.delete(key);
    }
  }

  /**
   * The total's owner for this host. A new owner takes over only once the previous one no longer
   * counts this host, so that no part of a total is granted twice.
   */
  private chooseOwner({ key, aheadMs }: messages.Total): Owner | undefined {
    const candidate = this.firstAvailable(key);
    const owner = this.owners.get(key);
    if (owner === candidate || (owner && !this.isReleased(owner))) return owner;
    const hadOwner = owner !== undefined || this.localBalances.has(key);
    if (hadOwner && aheadMs > 0) this.promisedUntil.set(key, this.deps.clock.steady() + aheadMs);
    this.localBalances.delete(key);
    this.owners.delete(key);
    if (!candidate || this.promisedMs(key) > 0) return undefined;
    this.owners.set(key, candidate);
    return candidate;
  }

  /**
   * Milliseconds for which requests promised by the previous owner may still be sent; until then
   * the total is not refilled for this host.
   */
  private promisedMs(key: string): number {
    return Math.max(0, (this.promisedUntil.get(key) ?? -Infinity) - this.deps.clock.steady());
  }

  /**
   * Whether an owner no longer counts this host, or will receive the detaching message before any
   * other.
   */
  private isReleased(owner: Owner): boolean {
    if (owner.isForgotten || this.isAvailable(owner)) return true;
    return this.leaseLeftMs(owner) <= 0;
  }

  private leaseLeftMs(owner: Owner): number {
    const at = this.lastSent.get(owner.address)?.at ?? -Infinity;
    return at + messages.LEASE_MS + MAX_TRANSIT_MS - this.deps.clock.steady();
  }

  private isAvailable(owner: Owner): boolean {
    const avoidedUntil = this.avoidedUntil.get(owner.address) ?? -Infinity;
    return owner.isHeard && avoidedUntil <= this.deps.clock.steady();
  }

  /** Endpoint daemons that may own a total, in order. */
  private candidates(key: string): readonly Owner[] {
    return this.deps.ownerCandidates(ownerKey(key), OWNER_CANDIDATES);
  }

  /** The first candidate in a total's order that is reached and answers. */
  private firstAvailable(key: string): Owner | undefined {
    return this.candidates(key).find((o) => this.isAvailable(o));
  }

  /** Owners that still have totals attached for this host but own none of them any more. */
  private formerOwners(byOwner: ReadonlyMap<Owner, unknown>): readonly Owner[] {
    const addresses = new Set([...byOwner.keys()].map((p) => p.address));
    const others = [...this.lastSent.values()].filter((t) => !addresses.has(t.owner.address));
    for (const { owner } of others) {
      if (this.leaseLeftMs(owner) <= 0) this.lastSent.delete(owner.address);
    }
    return others.map((t) => t.owner);
  }

  private sendTotals(owner: Owner, totals: readonly messages.Total[]): void {
    if (!this.isAvailable(owner)) return;
    const m = this.attachMessage(totals);
    const text = JSON.stringify(m);
    const isUnchanged = this.lastSent.get(owner.address)?.text === text;
    if (isUnchanged && totals.length === 0) return;
    owner.send(isUnchanged ? { kind: "keep" } : m);
    this.recordSent(owner, text);
  }

  private recordSent(owner: Owner, text: string): void {
    this.lastSent.set(owner.address, { owner, text, at: this.deps.clock.steady() });
  }

  private attachMessage(totals: readonly messages.Total[]): messages.Attach {
    return { kind: "attach", hosts: this.hostCount(), totals };
  }

  private hostCount(): number {
    return Math.max(1, this.deps.hostCount() ?? DEFAULT_HOSTS);
  }

  /** Asks the owner for all waiting requests, in batches, until none is waiting. */
  private async drainQueue(total: messages.Total, queue: Queue): Promise<void> {
    queue.asking = true;
    while (queue.waiting.length > 0) {
      const { waiting } = queue;
      const result = await this.drawFromOwner(total, {
        wants: waiting.map((w) => w.units),
        patienceMs: Math.min(...waiting.map((w) => w.patienceMs)),
      });
      queue.waiting = queue.waiting.slice(waiting.length);
      waiting.forEach((w, i) => {
        const delayMs = result.delaysMs[i];
        w.resolve(delayMs === undefined ? result.refusal : { kind: "in", delayMs });
      });
    }
    queue.asking = false;
  }

  private async drawFromOwner(
    total: messages.Total,
    req: tokenBalance.DrawRequest,
  ): Promise<DrawOutcome> {
    const { key } = total;
    for (let attempt = 0; attempt < OWNER_CANDIDATES; attempt++) {
      const current = this.owners.get(key);
      const isHandover = !current && this.promisedMs(key) > 0;
      if (!isHandover && !(current && this.isAvailable(current))) this.refresh();
      const promisedMs = this.promisedMs(key);
      if (promisedMs > 0) return { delaysMs: [], refusal: undecided(promisedMs) };
      const owner = this.owners.get(key);
      if (!owner) return this.drawLocally(total, req);
      if (!this.isAvailable(owner)) {
        return {
          delaysMs: [],
          refusal: undecided(Math.max(UNDECIDED_RETRY_MS, this.leaseLeftMs(owner))),
        };
      }
      const result = await owner.draw(key, req);
      if (result) return { delaysMs: result.delaysMs, refusal: refusalFor(result.waitMs) };
      this.avoidedUntil.set(owner.address, this.deps.clock.steady() + AVOID_MS);
      this.deps.log.warn("The owner of a total does not answer.", {
        total: key,
        peer: owner.address,
      });
    }
    return { delaysMs: [], refusal: undecided(UNDECIDED_RETRY_MS) };
  }

  /**
   * This host's part of a total when no owner is reached; undefined if the number of hosts is not
   * known.
   */
  private localPart(key: string): number | undefined {
    if (this.deps.hostCount() === undefined && this.candidates(key).length > 0) return undefined;
    return 1 / this.hostCount();
  }

  private localBalance(total: messages.Total, part: number): tokenBalance.Balance {
    const now = this.deps.clock.steady();
    const balance =
      this.localBalances.get(total.key) ?? tokenBalance.initial(now, part * total.overdraft);
    return tokenBalance.refill(balance, total, part, now);
  }

  private drawLocally(total: messages.Total, req: tokenBalance.DrawRequest): DrawOutcome {
    const part = this.localPart(total.key);
    if (part === undefined) return { delaysMs: [], refusal: undecided(UNDECIDED_RETRY_MS) };
    const balance = this.localBalance(total, part);
    const result = tokenBalance.draw(balance, total, part, req, total.overdraft);
    this.localBalances.set(total.key, result.left);
    return { delaysMs: result.delaysMs, refusal: refusalFor(result.waitMs) };
  }
}

/**
 * The result of a draw: the delays of the admitted requests, which are the first of the list, and
 * the decision for the others.
 */
interface DrawOutcome {
  readonly delaysMs: readonly number[];
  readonly refusal: Decision;
}

function undecided(retryAfterMs: number): Decision {
  return { kind: "unsure", retryAfterMs };
}

function refusalFor(waitMs: number | undefined): Decision {
  return waitMs === undefined
    ? undecided(UNDECIDED_RETRY_MS)
    : { kind: "over", retryAfterMs: waitMs };
}
