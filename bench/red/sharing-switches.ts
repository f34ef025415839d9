/**
 * Mechanisms of shares among teams, each with the test that fails without it.
 * @module
 */
import type * as switches from "./switches.js";

const DEFERRED =
  "defers the least urgent of a team beyond its share, only where another team's would be late";
const SLOTS =
  "decides which slot is freed: a team beyond its share keeps none that another waits for";
const SHARE = "is weighted, bounded in time, and of no account without a queue or other teams";
const ANNOUNCED =
  "make other teams' requests wait for nothing, and refuse those of a team beyond its share first";

export const SHARING_SWITCHES: readonly switches.Switch[] = [
  {
    name: "seats: requests of a team beyond its share are deferred",
    file: "serving/sharing/deferral.js",
    find: "now + aheadMs > startBy(w)",
    put: "false",
    proof: DEFERRED,
  },
  {
    name: "slots: a team beyond its share keeps no adapter from others",
    file: "serving/slot-orders.js",
    find: "?? slotToEvict(s, rivals, now)",
    put: "",
    proof: SLOTS,
  },
  {
    name: "shares: a part of the engine is kept for the team that asks next",
    file: "serving/sharing/fair-shares.js",
    find: "capacity * (1 - RESERVED_PART)",
    put: "capacity",
    proof: SHARE,
  },
  {
    name: "shares: no team exceeds its share without a queue",
    file: "serving/sharing/fair-shares.js",
    find: "< CONGESTED_MS",
    put: "< 0",
    proof: SHARE,
  },
  {
    name: "shares: teams are weighted",
    file: "serving/sharing/fair-shares.js",
    find: "weights.get(team) ?? 1",
    put: "1",
    proof: SHARE,
  },
  {
    name: "shares: a team within its share is estimated without the requests that it overtakes",
    file: "serving/sharing/announced-shares.js",
    find: "s.fairWaitMs && !isOver(s, team) ? s.fairWaitMs : s.waitMs",
    put: "s.waitMs",
    proof: ANNOUNCED,
  },
  {
    name: "shares: a team within its share is not diverted by the requests that it overtakes",
    file: "serving/engine-view.js",
    find: "!fairShares.isOver(k.standing.over, { team })",
    put: "false",
    proof: ANNOUNCED,
  },
  {
    name: "shares: a team beyond its share is refused first",
    file: "serving/admission.js",
    find: "givesWay ? OVER_SHARE_RATIO : 1",
    put: "1",
    proof: ANNOUNCED,
  },
  {
    name: "shares: a team that crosses its share again and again is logged once",
    file: "serving/sharing/team-shares.js",
    find: "now - last < RETURN_MS",
    put: "now === last",
    proof: "has one line when a team goes beyond its share and one when it is back",
  },
];
