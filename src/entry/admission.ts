/**
 * Enforces callers' limits: each entry host enforces its share of the limits of a grant.
 * @module
 */
import * as limits from "../contract/limits.js";
import type * as objects from "../contract/objects.js";
import type * as clock from "../host/clock.js";
import type * as members from "../host/members.js";
import * as outcome from "../request/outcome.js";

/** Settings of the admission on one entry host. */
export interface Options {
  /** Name of this entry daemon. */
  readonly name: string;
  /** Milliseconds that a caller that reached a concurrency limit is told to wait before a retry. */
  readonly retryAfterMs: number;
}

/** Tracks how much of each grant each caller uses on this host. */
export class Admission {
  private readonly usages = new Map<string, limits.Usage>();

  constructor(
    private readonly opts: Options,
    private readonly clk: clock.Clock,
    private readonly members: members.Members,
  ) {}

  /** The position of this host among the entry hosts that are not leaving, sorted by name. */
  private position(): limits.Position {
    const entryHosts = this.members
      .live()
      .filter((m) => m.role === "entry")
      .map((m) => m.name)
      .sort();
    return {
      hosts: Math.max(1, entryHosts.length),
      index: Math.max(0, entryHosts.indexOf(this.opts.name)),
    };
  }

  /**
   * Admits a request, or throws a `StepError` when a limit of the grant is reached. Call the
   * returned function when the request has ended.
   */
  admit(grant: objects.Grant, caller: objects.Caller): () => void {
    const key = `${grant.metadata.name}/${caller.metadata.name}`;
    const usage = this.usages.get(key) ?? limits.UNUSED;
    const now = this.clk.steady();
    const grantLimits = grant.spec.limits;
    const verdict = limits.enter(usage, grantLimits, this.position(), now, this.opts.retryAfterMs);
    if (!verdict.ok) {
      const message = `The ${verdict.what} limit of grant ${grant.metadata.name} is reached.`;
      const { name } = this.opts;
      throw outcome.notRun("limit_reached", "admit", name, message, verdict.waitMs);
    }
    this.usages.set(key, verdict.usage);
    return () => {
      this.usages.set(key, limits.exit(this.usages.get(key) ?? verdict.usage));
    };
  }
}
