/**
 * What an entry daemon takes from an engine's announced shares for a request of one team. An engine whose daemon
 * announces no shares is estimated alike for all teams. Pure.
 * @module
 */
import type * as seatMessages from "../seat-messages.js";
import * as fairShares from "./fair-shares.js";

type Shares = Pick<
  seatMessages.State,
  "waitMs" | "fairWaitMs" | "slotMs" | "fairSlotMs" | "overTeams" | "contended"
>;

/** Whether a team exceeds its share of an engine; `team` is undefined for a request without one. */
function isOver(s: Shares, team: string | undefined): boolean {
  return s.overTeams?.includes(team ?? fairShares.NO_TEAM) ?? false;
}

/** Estimated ms until an engine starts on a prompt of the team that arrives now, by rank. */
export function waitsFor(s: Shares, team: string | undefined): readonly number[] {
  return s.fairWaitMs && !isOver(s, team) ? s.fairWaitMs : s.waitMs;
}

/** Estimated ms until an engine has a free slot for another adapter of the team. */
export function slotMsFor(s: Shares, team: string | undefined): number {
  return s.fairSlotMs !== undefined && !isOver(s, team) ? s.fairSlotMs : s.slotMs;
}

/** Whether a team exceeds its share of an engine that other teams also ask for seats. */
export function givesWay(s: Shares | undefined, team: string | undefined): boolean {
  return s?.contended === true && isOver(s, team);
}
