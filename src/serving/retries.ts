/**
 * How many requests may be retried, that is, sent to a further endpoint. All hosts share one budget for each service,
 * without a counter on the path: each keeps to its part by itself.
 *
 * Tokens: each request earns half of what the ratio allows, and that expires after a window. What all hosts spend in a
 * window was earned in it or in the one before, so it needs no count of hosts, and a process that starts has none. Requests
 * that came while a process stood still earn it nothing: they belong to an earlier window.
 *
 * Slack: each host has an equal part of it, by the highest count of hosts in a while. A process uses it only once it has
 * run for a whole window. So all that use it within one window were running when that window began: each has counted all
 * the others, and none has taken another's place on its host.
 * @module
 */
import type * as clock from "../host/clock.js";
import * as standstill from "./standstill.js";

/** The budget of all hosts together for one service. */
export interface Options {
  /** Retries for each request, over a window. */
  readonly ratio: number;
  /** Retries in a window besides. */
  readonly slack: number;
  readonly windowMs: number;
}

/** Windows in which the tokens that are spent in one were earned. */
const EARNED_IN = 2;
/** Part of the slack that is used; the rest is for requests that a host reads late. */
const USED = 0.8;
/** Milliseconds that a retry may take to arrive, most of them to connect. */
const ARRIVAL_MS = 800;
/** Slices of a token's lifetime: tokens earned within one expire together. */
const SLICES = 32;
/** What sums of fractions may be off by. */
const ROUNDING = 1e-9;

/** Tokens earned from `at` on, for a slice of their lifetime; monotonic ms. */
interface Earned {
  readonly at: number;
  readonly tokens: number;
}

/** What one process has earned and spent for one service. */
export interface Account {
  /** Oldest first. */
  readonly earned: readonly Earned[];
  /** Steady ms of each retry that the slack was used for, oldest first. */
  readonly fromSlack: readonly number[];
}

export const EMPTY: Account = { earned: [], fromSlack: [] };

/** Milliseconds for which a token lasts. */
function lifetimeMs(opts: Options): number {
  return Math.max(0, opts.windowMs - ARRIVAL_MS);
}

/** Milliseconds that two processes of one host must lie apart to be in no window together. */
function apartMs(opts: Options): number {
  return opts.windowMs + ARRIVAL_MS;
}

function unexpired(earned: readonly Earned[], now: number, opts: Options): readonly Earned[] {
  const first = earned.findIndex((e) => now - e.at < lifetimeMs(opts));
  return first < 0 ? [] : earned.slice(first);
}

function sum(earned: readonly Earned[]): number {
  return earned.reduce((n, e) => n + e.tokens, 0);
}

/** A request came at the monotonic ms `now`. */
export function earn(a: Account, now: number, opts: Options): Account {
  const tokens = opts.ratio / EARNED_IN;
  const earned = unexpired(a.earned, now, opts);
  const last = earned.at(-1);
  const isSameSlice = last && now - last.at < lifetimeMs(opts) / SLICES;
  return {
    ...a,
    earned: isSameSlice
      ? [...earned.slice(0, -1), { at: last.at, tokens: last.tokens + tokens }]
      : [...earned, { at: now, tokens }],
  };
}

/** The account after one token was spent, the oldest ones first; undefined where there is none. */
export function spend(a: Account, now: number, opts: Options): Account | undefined {
  const earned = unexpired(a.earned, now, opts);
  if (sum(earned) < 1 - ROUNDING) return undefined;
  let owed = 1;
  const left = earned.map((e) => {
    const taken = Math.min(owed, e.tokens);
    owed -= taken;
    return { at: e.at, tokens: e.tokens - taken };
  });
  return { ...a, earned: left.filter((e) => e.tokens > 0) };
}

/** The account after the slack was used once, at the steady ms `now`; undefined where `hosts` leave none. */
export function useSlack(
  a: Account,
  now: number,
  hosts: number,
  opts: Options,
): Account | undefined {
  const fromSlack = a.fromSlack.filter((t) => now - t < apartMs(opts));
  const part = (USED * opts.slack) / Math.max(1, hosts);
  if (fromSlack.length + 1 > part) return undefined;
  return { ...a, fromSlack: [...fromSlack, now] };
}

/** What came of asking for a retry, and what decided it. */
export interface Verdict {
  /** What the retry was charged to; undefined where it is over the budget. */
  readonly from: "tokens" | "slack" | undefined;
  /** Tokens that are left. */
  readonly tokens: number;
  /** Retries charged to the slack in the last window. */
  readonly fromSlack: number;
  /** Hosts that share the slack, as far as known. */
  readonly hosts: number | undefined;
}

/** The part of each service's budget that one process keeps to. */
export class Budget {
  private readonly accounts = new Map<string, Account>();
  private readonly startedAt: number;
  private isLeaving = false;
  private pulse: standstill.Pulse;
  private timer: clock.Timer | undefined;

  constructor(
    private readonly opts: Options,
    private readonly clk: Pick<clock.Clock, "mono" | "steady" | "after">,
  ) {
    this.startedAt = clk.steady();
    this.pulse = standstill.begin(clk.mono());
    this.beat();
  }

  /** A request for a service was let in. */
  request(service: string): void {
    if (standstill.isCatchingUp(this.pulse, this.clk.mono())) return;
    const account = this.accounts.get(service) ?? EMPTY;
    this.accounts.set(service, earn(account, this.clk.mono(), this.opts));
  }

  /** Asks for one retry, on one of at most `hosts` hosts; it is charged if it is allowed. */
  take(service: string, hosts: number | undefined): Verdict {
    const before = this.accounts.get(service) ?? EMPTY;
    const spent = spend(before, this.clk.mono(), this.opts);
    const after = spent ?? this.useSlack(before, hosts);
    if (after) this.accounts.set(service, after);
    const { earned, fromSlack } = after ?? before;
    return {
      from: spent ? "tokens" : after && "slack",
      tokens: sum(unexpired(earned, this.clk.mono(), this.opts)),
      fromSlack: fromSlack.length,
      hosts,
    };
  }

  /** The process is to stop; from now on the slack is that of the one that takes its place. */
  leave(): void {
    this.isLeaving = true;
  }

  close(): void {
    this.timer?.cancel();
  }

  private beat(): void {
    this.pulse = standstill.beat(this.pulse, this.clk.mono());
    this.timer = this.clk.after(standstill.BEAT_MS, () => {
      this.beat();
    });
  }

  private useSlack(a: Account, hosts: number | undefined): Account | undefined {
    const now = this.clk.steady();
    if (hosts === undefined || this.isLeaving) return undefined;
    if (now - this.startedAt < apartMs(this.opts)) return undefined;
    return useSlack(a, now, hosts, this.opts);
  }
}
