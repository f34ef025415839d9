/**
 * The shares of teams on one engine: holds what was granted to each, and logs which teams exceed their share. After a
 * restart nothing is known, and all teams count as equal for about one half-life.
 * @module
 */
import type * as structuredLog from "../../host/structured-log.js";
import type * as catalog from "../catalog.js";
import * as fairShares from "./fair-shares.js";

/**
 * Milliseconds within its share after which a team is logged as back. A team at its share crosses it many times a
 * second; this makes one line of these.
 */
const RETURN_MS = fairShares.HALF_LIFE_MS;

export interface Deps {
  readonly log: structuredLog.Log;
  /** Returns the configuration as currently known to this host. */
  readonly config: () => catalog.Config | undefined;
  readonly weights: fairShares.Weights;
  /** Called with each grant. */
  readonly onGrant: (team: string | undefined, tokens: number) => void;
}

/** When a team exceeded its share, in monotonic ms. */
interface Excess {
  readonly since: number;
  readonly last: number;
}

export class TeamShares {
  private grants = fairShares.NO_GRANTS;
  private readonly excesses = new Map<string, Excess>();

  constructor(private readonly deps: Deps) {}

  /** Number of teams that exceed their share while others ask, or did so within {@link RETURN_MS}. */
  get overCount(): number {
    return this.excesses.size;
  }

  /** Records that a seat was granted. */
  recordGrant({ team, tokens = 0 }: fairShares.Waiting, now: number): void {
    if (!this.deps.config()?.teams) return;
    this.grants = fairShares.recordGrant(this.grants, team, tokens, now);
    this.deps.onGrant(team, tokens);
  }

  /** How the teams stand while `waiting` wait; undefined where the configuration has no teams. */
  standing(waiting: readonly fairShares.Waiting[], now: number): fairShares.Standing | undefined {
    if (!this.deps.config()?.teams) return undefined;
    return fairShares.standing(this.grants, waiting, this.deps.weights, now);
  }

  /** Logs the teams that have begun or ceased to exceed their share while others ask. */
  logChanges(s: fairShares.Standing | undefined, now: number): void {
    for (const team of s?.isContended ? s.over : []) {
      const since = this.excesses.get(team)?.since;
      this.excesses.set(team, { since: since ?? now, last: now });
      if (since !== undefined) continue;
      const tokens = Math.round(fairShares.grantedTo(this.grants, team, now));
      this.deps.log.info("A team exceeds its share of the engine.", { team, tokens });
    }
    for (const [team, { since, last }] of this.excesses) {
      if (now - last < RETURN_MS) continue;
      this.excesses.delete(team);
      const overMs = Math.round(last - since);
      this.deps.log.info("A team is within its share of the engine again.", { team, overMs });
    }
  }
}
