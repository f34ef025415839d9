/**
 * Lets one request at a time, of all hosts, test whether quarantined prompt parts still crash workers.
 * @module
 */
import type * as clock from "../../host/clock.js";
import * as errors from "../../host/errors.js";
import type * as structuredLog from "../../host/structured-log.js";
import type * as partSets from "./part-sets.js";
import * as probePause from "./probe-pause.js";

/** Prefix of the keys of which each stands for one probe; the rest is the identity of the set. */
const PREFIX = "sumacfield/quarantine-probe/";
/** Milliseconds over which hosts spread their claims to a probe, for each host. */
const SPREAD_MS_PER_HOST = 10;
/**
 * Milliseconds by which a request waits longer to be a probe for each worker that crashed under another of its parts: a
 * request without other suspects tells most about the set.
 */
const RISK_DELAY_MS = 3000;
/** Shortest time in ms for which a probe is claimed, in which most requests run to their end. */
const MIN_CLAIM_MS = 3000;

export interface Deps {
  readonly clock: clock.Clock;
  readonly log: structuredLog.Log;
  /** Creates a key in the store that expires after `ttlMs`; returns false if it exists. Throws if the outcome is unknown. */
  readonly claim: (key: string, ttlMs: number, text: string) => Promise<boolean>;
  /** Number of entry hosts; undefined if it is not known. */
  readonly hostCount: () => number | undefined;
  /** Returns a random number, 0 or more and less than 1. */
  readonly random: () => number;
}

/** This host's turn to probe a set: it has none, a request waits for one, or a request has it. */
type Turn =
  | { readonly kind: "none" }
  | { readonly kind: "claiming"; readonly request: string; readonly claimed: Promise<void> }
  | { readonly kind: "used"; readonly request: string };

interface State {
  /** Number of crashes that the set had; another one begins a new state. */
  readonly crashes: number;
  /** Monotonic ms from which the set may be probed, and at which this host next claims a probe. */
  readonly openAt: number;
  claimAt: number;
  turn: Turn;
}

/** The probes of one host. */
export class Probes {
  private readonly states = new Map<string, State>();

  constructor(private readonly deps: Deps) {}

  /**
   * Whether a request may probe a set. A request that may once still may until another worker crashes under the set. One that
   * may not yet may have begun to claim a probe; see {@link pending}. `risk` is the number of workers that crashed under
   * another part of the request.
   */
  take(request: string, id: string, set: partSets.PartSet, risk: number): boolean {
    const s = this.stateOf(id, set);
    if (s.turn.kind === "used" && s.turn.request === request) return true;
    const now = this.deps.clock.mono();
    const isEligible = now >= s.openAt + risk * RISK_DELAY_MS && now >= s.claimAt;
    if (isEligible && s.turn.kind !== "claiming")
      s.turn = { kind: "claiming", request, claimed: this.claim(request, id, set, s) };
    return false;
  }

  /** Resolves once it is known whether a request got the probe that it claimed; undefined if it claims none. */
  pending(request: string): Promise<void> | undefined {
    for (const { turn } of this.states.values())
      if (turn.kind === "claiming" && turn.request === request) return turn.claimed;
    return undefined;
  }

  /** Milliseconds until this host may claim the next probe of a set. */
  dueInMs(id: string, set: partSets.PartSet): number {
    return Math.max(0, this.stateOf(id, set).claimAt - this.deps.clock.mono());
  }

  /** Forgets all sets but these. */
  retain(ids: ReadonlySet<string>): void {
    for (const id of this.states.keys()) if (!ids.has(id)) this.states.delete(id);
  }

  private stateOf(id: string, set: partSets.PartSet): State {
    const known = this.states.get(id);
    if (known?.crashes === set.workers.length) return known;
    const spreadMs = SPREAD_MS_PER_HOST * (this.deps.hostCount() ?? 1) * this.deps.random();
    const openAt = set.lastAt + probePause.pauseMs(set);
    const state: State = {
      crashes: set.workers.length,
      openAt,
      claimAt: openAt + spreadMs,
      turn: { kind: "none" },
    };
    this.states.set(id, state);
    return state;
  }

  private async claim(request: string, id: string, set: partSets.PartSet, s: State): Promise<void> {
    const pauseMs = Math.max(MIN_CLAIM_MS, probePause.pauseMs(set));
    s.claimAt = this.deps.clock.mono() + pauseMs;
    const { log } = this.deps;
    let isClaimed = false;
    try {
      isClaimed = await this.deps.claim(PREFIX + id, pauseMs, "");
    } catch (err) {
      const why = errors.messageOf(err);
      log.warn("Could not claim a probe of quarantined prompt parts.", { identity: id, why });
    }
    s.turn = isClaimed ? { kind: "used", request } : { kind: "none" };
    if (isClaimed)
      log.info("A request tests a quarantine of prompt parts.", { request, identity: id });
  }
}
