/**
 * Which daemons are there, as this daemon last read it from the platform's list.
 * @module
 */
import * as clock from "./clock.js";
import type * as hosts from "../store/hosts.js";
import * as hash from "./hash.js";
import * as errors from "./why.js";
import * as log from "./log.js";

/** The list as last read; it outlives an outage of the platform. */
export class Members {
  private members: readonly hosts.Member[] = [];
  private listeners: (() => void)[] = [];
  private out = false;

  constructor(
    private readonly source: hosts.Hosts,
    private readonly lg: log.Log,
  ) {}

  /** Reads the list once; on failure keeps what was known. */
  async refresh(): Promise<void> {
    try {
      const read = await this.source.list();
      if (this.out) this.lg.info("The list of hosts is back.");
      this.out = false;
      if (read === this.members) return;
      this.members = read;
      for (const tell of this.listeners) tell();
    } catch (err) {
      if (!this.out) this.lg.warn(errors.why(err));
      this.out = true;
    }
  }

  /** Refreshes every `ms` milliseconds until `signal` aborts. */
  async follow(clk: clock.Clock, ms: number, signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.refresh();
      await clock.sleep(clk, ms, signal);
    }
  }

  /** Calls `tell` after each change of the list. */
  onChange(tell: () => void): void {
    this.listeners.push(tell);
  }

  all(): readonly hosts.Member[] {
    return this.members;
  }

  live(): readonly hosts.Member[] {
    return this.members.filter((m) => !m.leaving);
  }

  byName(name: string): hosts.Member | undefined {
    return this.members.find((m) => m.name === name);
  }
}

/**
 * The first `n` of some members by rendezvous hashing on `salt`: every daemon that reads the same
 * list picks the same ones, and one that goes moves only its own duty.
 */
export function first(
  members: readonly hosts.Member[],
  salt: string,
  n: number,
): readonly hosts.Member[] {
  return members
    .map((m) => ({ m, rank: hash.of32(`${salt}/${m.name}`) }))
    .sort((a, b) => a.rank - b.rank || (a.m.name < b.m.name ? -1 : 1))
    .slice(0, n)
    .map(({ m }) => m);
}

/** `n` of some members at random. `random` gives numbers from 0 up to 1. */
export function sample(
  members: readonly hosts.Member[],
  n: number,
  random: () => number,
): readonly hosts.Member[] {
  const rest = [...members];
  const out: hosts.Member[] = [];
  while (out.length < n && rest.length > 0) {
    out.push(...rest.splice(Math.floor(random() * rest.length), 1));
  }
  return out;
}
