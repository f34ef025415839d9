/**
 * Retry budget: limits how many requests are retried, that is, sent to a further endpoint. All hosts share one budget for
 * each service. No counter is shared between them: each process limits itself, so that the sum stays within the budget.
 *
 * Tokens: each request earns half of the retries that the ratio allows for it, and the tokens expire after a window. The
 * tokens that all hosts spend in a window were earned in that window or the one before, so the limit holds without knowing
 * the number of hosts. A process starts without tokens. Requests that arrived while the process was stalled earn no tokens,
 * since they belong to an earlier window.
 *
 * Slack: each host may use an equal share of it, computed from the highest number of hosts seen recently. A process uses its
 * share only after it has run for a whole window. So all processes that use slack within one window were running when that
 * window began: each has counted all the others, and none has replaced another on the same host.
 * @module
 */
import type * as clock from "../host/clock.js";
import * as decayingRate from "./overload/decaying-rate.js";
import * as stallDetector from "./stall-detector.js";

/** The retry budget that all hosts share for one service. */
export interface Options {
  /** Retries allowed per request, over a window. */
  readonly ratio: number;
  /** Retries allowed in a window in addition to the ratio. */
  readonly slack: number;
  readonly windowMs: number;
}

/** Number of windows in which the tokens spent in one window may have been earned. */
const EARNING_WINDOWS = 2;
/** Fraction of the slack that is used; the rest covers requests that a host reads late. */
const SLACK_FRACTION = 0.8;
/** Milliseconds that a retry may take to arrive at its endpoint, most of them for connecting. */
const MAX_ARRIVAL_MS = 800;
/** Slices that a token's lifetime is divided into; tokens earned within one slice expire together. */
const EXPIRY_SLICES = 32;
/** Time constant in ms of the mean rate at which requests earn tokens. */
const EARNING_RATE_MS = 1000;
/** Rounding error allowed in a sum of fractions of tokens. */
const ROUNDING_TOLERANCE = 1e-9;

/** Tokens earned within one slice, which begins at the monotonic ms `earnedAt`. */
interface Earned {
  readonly earnedAt: number;
  readonly tokens: number;
}

/** What one process has earned and spent for one service. */
export interface Account {
  /** Oldest first. */
  readonly earned: readonly Earned[];
  /** Steady-clock ms of each retry charged to the slack, oldest first. */
  readonly fromSlack: readonly number[];
  /** Rate of the requests that earn tokens. */
  readonly earningRate: decayingRate.Rate;
}

/** Account of a process that has just started. */
export const EMPTY: Account = { earned: [], fromSlack: [], earningRate: decayingRate.NONE };

/** Milliseconds until a token expires. */
function lifetimeMs(opts: Options): number {
  return Math.max(0, opts.windowMs - MAX_ARRIVAL_MS);
}

/** Milliseconds that must lie between the slack uses of two processes of one host, so that no window contains both. */
function separationMs(opts: Options): number {
  return opts.windowMs + MAX_ARRIVAL_MS;
}

function unexpired(earned: readonly Earned[], now: number, opts: Options): readonly Earned[] {
  const firstUnexpired = earned.findIndex((e) => now - e.earnedAt < lifetimeMs(opts));
  return firstUnexpired < 0 ? [] : earned.slice(firstUnexpired);
}

function totalTokens(earned: readonly Earned[]): number {
  return earned.reduce((n, e) => n + e.tokens, 0);
}

/** Returns the account after a request that arrived at the monotonic ms `now`. */
export function earn(a: Account, now: number, opts: Options): Account {
  const tokens = opts.ratio / EARNING_WINDOWS;
  const earned = unexpired(a.earned, now, opts);
  const last = earned.at(-1);
  const isSameSlice = last && now - last.earnedAt < lifetimeMs(opts) / EXPIRY_SLICES;
  return {
    ...a,
    earningRate: decayingRate.record(a.earningRate, now, EARNING_RATE_MS),
    earned: isSameSlice
      ? [...earned.slice(0, -1), { earnedAt: last.earnedAt, tokens: last.tokens + tokens }]
      : [...earned, { earnedAt: now, tokens }],
  };
}

/** Spends one token, oldest tokens first; undefined if the account holds less than one. */
export function spend(a: Account, now: number, opts: Options): Account | undefined {
  const earned = unexpired(a.earned, now, opts);
  if (totalTokens(earned) < 1 - ROUNDING_TOLERANCE) return undefined;
  let remaining = 1;
  const reduced = earned.map((e) => {
    const taken = Math.min(remaining, e.tokens);
    remaining -= taken;
    return { earnedAt: e.earnedAt, tokens: e.tokens - taken };
  });
  return { ...a, earned: reduced.filter((e) => e.tokens > 0) };
}

/** Retries charged to the slack, at the steady ms `now`, that count against the share of this host. */
function slackUses(a: Account, now: number, opts: Options): readonly number[] {
  return a.fromSlack.filter((t) => now - t < separationMs(opts));
}

/** Retries that the share of one of `hosts` hosts in the slack still allows, at the steady ms `now`. */
function slackLeft(a: Account, now: number, hosts: number, opts: Options): number {
  const hostShare = (SLACK_FRACTION * opts.slack) / Math.max(1, hosts);
  return Math.max(0, Math.floor(hostShare) - slackUses(a, now, opts).length);
}

/** Charges one retry to the slack, at the steady ms `now`; undefined if the share of one of `hosts` hosts is used up. */
export function useSlack(
  a: Account,
  now: number,
  hosts: number,
  opts: Options,
): Account | undefined {
  if (slackLeft(a, now, hosts, opts) < 1) return undefined;
  return { ...a, fromSlack: [...slackUses(a, now, opts), now] };
}

/** Whether a retry was allowed, with the figures that decided it. */
export interface Verdict {
  /** What the retry was charged to; undefined if it exceeds the budget. */
  readonly from: "tokens" | "slack" | undefined;
  /** Tokens that remain. */
  readonly tokens: number;
  /** Retries charged to the slack in the last window. */
  readonly fromSlack: number;
  /** Hosts that share the slack; undefined if their number is not known. */
  readonly hosts: number | undefined;
}

/** What remains of the budget for one service. */
export interface Balance {
  readonly tokens: number;
  /** Retries that may still be charged to the slack. */
  readonly slack: number;
  /** Tokens earned per second, by a mean over the latest requests. */
  readonly earnedPerS: number;
}

/** One process's share of the retry budget of each service. */
export class Budget {
  private readonly accounts = new Map<string, Account>();
  private readonly startedAt: number;
  private isDraining = false;
  private stallState: stallDetector.StallState;
  private timer: clock.Timer | undefined;

  constructor(
    private readonly opts: Options,
    private readonly clk: Pick<clock.Clock, "mono" | "steady" | "after">,
  ) {
    this.startedAt = clk.steady();
    this.stallState = stallDetector.start(clk.mono());
    this.scheduleBeat();
  }

  /** Records a request that was admitted for a service; it earns tokens. */
  recordRequest(service: string): void {
    if (stallDetector.isCatchingUp(this.stallState, this.clk.mono())) return;
    const account = this.accounts.get(service) ?? EMPTY;
    this.accounts.set(service, earn(account, this.clk.mono(), this.opts));
  }

  /** Charges one retry if the budget allows it; at most `hosts` hosts share the slack. */
  takeRetry(service: string, hosts: number | undefined): Verdict {
    const before = this.accounts.get(service) ?? EMPTY;
    const spent = spend(before, this.clk.mono(), this.opts);
    const after = spent ?? this.useSlack(before, hosts);
    if (after) this.accounts.set(service, after);
    const { earned, fromSlack } = after ?? before;
    return {
      from: spent ? "tokens" : after && "slack",
      tokens: totalTokens(unexpired(earned, this.clk.mono(), this.opts)),
      fromSlack: fromSlack.length,
      hosts,
    };
  }

  /** What remains for a service, where at most `hosts` hosts share the slack. */
  balance(service: string, hosts: number | undefined): Balance {
    const account = this.accounts.get(service) ?? EMPTY;
    const now = this.clk.mono();
    const requestsPerS = decayingRate.at(account.earningRate, now, EARNING_RATE_MS);
    return {
      tokens: totalTokens(unexpired(account.earned, now, this.opts)),
      slack: this.mayUseSlack(hosts) ? slackLeft(account, this.clk.steady(), hosts, this.opts) : 0,
      earnedPerS: (requestsPerS * this.opts.ratio) / EARNING_WINDOWS,
    };
  }

  /** Returns the verdict on a retry that is denied although the budget may allow it. */
  deny(service: string, hosts: number | undefined): Verdict {
    const account = this.accounts.get(service) ?? EMPTY;
    const { tokens } = this.balance(service, hosts);
    return { from: undefined, tokens, fromSlack: account.fromSlack.length, hosts };
  }

  /** Stops using the slack because the process is shutting down: its successor on the host uses it from now on. */
  startDraining(): void {
    this.isDraining = true;
  }

  close(): void {
    this.timer?.cancel();
  }

  private scheduleBeat(): void {
    this.stallState = stallDetector.recordBeat(this.stallState, this.clk.mono());
    this.timer = this.clk.after(stallDetector.BEAT_MS, () => {
      this.scheduleBeat();
    });
  }

  private useSlack(a: Account, hosts: number | undefined): Account | undefined {
    if (!this.mayUseSlack(hosts)) return undefined;
    return useSlack(a, this.clk.steady(), hosts, this.opts);
  }

  /** Whether this process may use the slack: its number of hosts is known, and no other process may use the host's share. */
  private mayUseSlack(hosts: number | undefined): hosts is number {
    if (hosts === undefined || this.isDraining) return false;
    return this.clk.steady() - this.startedAt >= separationMs(this.opts);
  }
}
