/**
 * Keeps callers within this host's share of their limits.
 * @module
 */
import * as limits from "../contract/limits.js";
import type * as objects from "../contract/objects.js";
import type * as clock from "../host/clock.js";
import type * as members from "../host/members.js";
import * as outcome from "../request/outcome.js";

export interface Options {
  readonly name: string;
  /** Milliseconds told to come back after when a concurrency limit is reached. */
  readonly busyMs: number;
}

/** Owns what each caller uses of each grant. */
export class Admission {
  private readonly usages = new Map<string, limits.Usage>();

  constructor(
    private readonly opts: Options,
    private readonly clk: clock.Clock,
    private readonly members: members.Members,
  ) {}

  /** Where this host stands among the entry hosts that are not leaving. */
  private position(): limits.Position {
    const entries = this.members
      .live()
      .filter((m) => m.role === "entry")
      .map((m) => m.name)
      .sort();
    return {
      hosts: Math.max(1, entries.length),
      index: Math.max(0, entries.indexOf(this.opts.name)),
    };
  }

  /** Lets a request in; the function returned must be called when it is over. Throws a `StepError`. */
  enter(grant: objects.Grant, caller: objects.Caller): () => void {
    const key = `${grant.metadata.name}/${caller.metadata.name}`;
    const usage = this.usages.get(key) ?? limits.UNUSED;
    const now = this.clk.steady();
    const l = grant.spec.limits;
    const verdict = limits.enter(usage, l, this.position(), now, this.opts.busyMs);
    if (!verdict.ok) {
      const message = `The limit of ${verdict.what} in grant ${grant.metadata.name} is reached.`;
      const { name } = this.opts;
      throw outcome.notRun("limit_reached", "admit", name, message, verdict.waitMs);
    }
    this.usages.set(key, verdict.usage);
    return () => {
      this.usages.set(key, limits.exit(this.usages.get(key) ?? verdict.usage));
    };
  }
}
