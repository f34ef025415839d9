/**
 * The daemons that exist, as last read from the platform's list of hosts, and ways to pick some of them.
 * @module
 */
import * as clock from "./clock.js";
import type * as hosts from "../store/hosts.js";
import * as hash from "./hash.js";
import * as errors from "./errors.js";
import * as log from "./log.js";

/** The list as last read; it is kept while the platform is unavailable. */
export class Members {
  private members: readonly hosts.Member[] = [];
  private listeners: (() => void)[] = [];
  private isUnavailable = false;

  constructor(
    private readonly source: hosts.Hosts,
    private readonly lg: log.Log,
  ) {}

  /** Reads the list once; on failure keeps the previous one. */
  async refresh(): Promise<void> {
    try {
      const list = await this.source.list();
      if (this.isUnavailable) this.lg.info("The list of hosts is available again.");
      this.isUnavailable = false;
      if (list === this.members) return;
      this.members = list;
      for (const listener of this.listeners) listener();
    } catch (err) {
      if (!this.isUnavailable) this.lg.warn(errors.messageOf(err));
      this.isUnavailable = true;
    }
  }

  /** Refreshes every `ms` milliseconds until `signal` aborts. */
  async follow(clk: clock.Clock, ms: number, signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.refresh();
      await clock.sleep(clk, ms, signal);
    }
  }

  /** Calls `listener` after each change of the list. */
  onChange(listener: () => void): void {
    this.listeners.push(listener);
  }

  /** All listed daemons, including those that are leaving. */
  all(): readonly hosts.Member[] {
    return this.members;
  }

  /** The listed daemons that are not leaving. */
  live(): readonly hosts.Member[] {
    return this.members.filter((m) => !m.leaving);
  }

  byName(name: string): hosts.Member | undefined {
    return this.members.find((m) => m.name === name);
  }
}

/**
 * Picks `n` members by rendezvous hashing on `salt`: daemons that read the same list pick the same
 * members, and when one is removed, only its own place goes to another.
 */
export function pickByHash(
  members: readonly hosts.Member[],
  salt: string,
  n: number,
): readonly hosts.Member[] {
  return members
    .map((m) => ({ m, rank: hash.hash32(`${salt}/${m.name}`) }))
    .sort((a, b) => a.rank - b.rank || (a.m.name < b.m.name ? -1 : 1))
    .slice(0, n)
    .map(({ m }) => m);
}

/** Picks `n` members at random. `random` returns numbers from 0 (inclusive) to 1 (exclusive). */
export function sample(
  members: readonly hosts.Member[],
  n: number,
  random: () => number,
): readonly hosts.Member[] {
  const remaining = [...members];
  const picked: hosts.Member[] = [];
  while (picked.length < n && remaining.length > 0) {
    picked.push(...remaining.splice(Math.floor(random() * remaining.length), 1));
  }
  return picked;
}
