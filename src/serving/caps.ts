/**
 * Usage caps of teams: how many units a request counts against its team's cap, and whether the cap
 * admits it.
 * @module
 */
import type * as callerRequest from "./caller-request.js";
import type * as catalog from "./catalog.js";
import type * as limiter from "./limiter.js";
import type * as messages from "./limiter-messages.js";

const ADMITTED: limiter.Decision = { kind: "in", delayMs: 0 };

/** The units that a request counts against its team's cap. */
export function unitsOf(cap: catalog.Cap, meta: callerRequest.Meta): number {
  if (cap.unit === "requests") return 1;
  const tokens = meta.promptTokens + meta.answerTokens;
  return tokens > 0 ? tokens : cap.defaultTokens;
}

/**
 * The total for a team's cap; `version` is the version of the configuration that defines the cap.
 */
function totalOf(
  team: string,
  cap: catalog.Cap,
  version: number,
  overdraft: number,
): messages.Total {
  return { key: `team/${team}`, perS: cap.perS, burst: cap.burst, overdraft, aheadMs: 0, version };
}

/** The totals of all teams with a cap; each may be exceeded by `overdraft` units at once. */
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

/** Admits requests under the usage caps of teams. */
export class Caps {
  constructor(private readonly deps: Deps) {}

  /** Decides on one more request of a team, which counts `units`. */
  admit(team: catalog.Team, units: number): Promise<limiter.Decision> | limiter.Decision {
    const total = this.total(team);
    return total ? this.deps.limiter.admit(total, units, 0) : ADMITTED;
  }

  /** Returns the units of a request that was admitted but did not run. */
  refund(team: catalog.Team, units: number): void {
    const total = this.total(team);
    if (total) this.deps.limiter.refund(total, units);
  }

  private total({ name, cap }: catalog.Team): messages.Total | undefined {
    const version = this.deps.catalog().config?.version ?? 0;
    return cap && totalOf(name, cap, version, this.deps.overdraft);
  }
}
