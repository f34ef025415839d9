/**
 * Usage caps of teams: what a request counts against its team's cap, and whether it is let in under it.
 * @module
 */
import type * as ask from "./ask.js";
import type * as catalog from "./catalog.js";
import type * as limiter from "./limiter.js";
import type * as messages from "./limiter-messages.js";

const IN: limiter.Verdict = { kind: "in", delayMs: 0 };

/** What a request counts against its team's cap. */
export function unitsOf(cap: catalog.Cap, meta: ask.Meta): number {
  if (cap.unit === "requests") return 1;
  const tokens = meta.promptTokens + meta.answerTokens;
  return tokens > 0 ? tokens : cap.defaultTokens;
}

/** The total that a team's cap is; `version` is that of the configuration that it is from. */
function totalOf(
  team: string,
  cap: catalog.Cap,
  version: number,
  overdraft: number,
): messages.Total {
  return { key: `team/${team}`, perS: cap.perS, burst: cap.burst, overdraft, aheadMs: 0, version };
}

/** The totals of all teams with a cap; `overdraft` is the units by which each may be exceeded at once. */
export function totals(
  config: catalog.Config | undefined,
  overdraft: number,
): readonly messages.Total[] {
  if (!config?.teams) return [];
  return config.teams.all.flatMap((t) =>
    t.cap ? [totalOf(t.name, t.cap, config.version, overdraft)] : [],
  );
}

export interface Deps {
  readonly limiter: limiter.Limiter;
  readonly catalog: () => catalog.Catalog;
  /** Units by which a team may exceed its cap at once. */
  readonly overdraft: number;
}

export class Caps {
  constructor(private readonly deps: Deps) {}

  /** Whether one more request of a team is let in; it counts `units`. */
  admit(team: catalog.Team, units: number): Promise<limiter.Verdict> | limiter.Verdict {
    const total = this.total(team);
    return total ? this.deps.limiter.admit(total, units, 0) : IN;
  }

  /** A request that was let in did not run. */
  refund(team: catalog.Team, units: number): void {
    const total = this.total(team);
    if (total) this.deps.limiter.refund(total, units);
  }

  private total({ name, cap }: catalog.Team): messages.Total | undefined {
    const version = this.deps.catalog().config?.version ?? 0;
    return cap && totalOf(name, cap, version, this.deps.overdraft);
  }
}
