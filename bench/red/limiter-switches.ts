/**
 * Mechanisms that keep totals over all hosts and heed what workers say of themselves, each with the test that fails
 * without it.
 * @module
 */
import type * as switches from "./switches.js";

export const LIMITER_SWITCHES: readonly switches.Switch[] = [
  {
    name: "a total that moves flows nowhere while what was promised before may go on",
    file: "serving/limiter.js",
    find: "if (wasKept && aheadMs > 0)",
    put: "if (false)",
    proof: "is kept: the place is killed again and again, 29 hosts",
  },
  {
    name: "hosts tell each other of the limits that workers name",
    file: "serving/notice-relay.js",
    find: "if (c !== from)",
    put: "if (false)",
    proof: "is known at all hosts at once: 360 hosts",
  },
  {
    name: "an answer that was on its way does not lift a limit",
    file: "serving/named-limits.js",
    find: "|| !a.ran || a.sentAt < known.at)",
    put: ")",
    proof: "is withdrawn by an answer without it whose request was sent after it was named",
  },
  {
    name: "a request that may wait too long for its turn goes elsewhere",
    file: "serving/choice.js",
    find: "v.limitedMs <= admission.TURN_MS ||",
    put: "true ||",
    proof:
      "passes over one whose next turn is far off, and has its adapter loaded elsewhere at no extra cost",
  },
  {
    name: "a cap's next place waits for the lease of the one before",
    file: "serving/limiter.js",
    find: "(home && !this.isFree(home))",
    put: "false",
    proof: "is never passed beyond what the rule allows, nor given out twice: hot_calls_once_cut",
  },
  {
    name: "a cap's place that is new has nothing left",
    file: "serving/allowance.js",
    find: "return { level: -overdraft, at: now };",
    put: "return { level: 1e6, at: now };",
    proof: "begins empty, fills at the cap's rate, and holds the burst at most",
  },
  {
    name: "a worker that has said that it leaves takes no requests",
    file: "serving/availability.js",
    find: "if (leavingAt !== undefined)",
    put: "if (false)",
    proof: "gets nothing more once an answer has said so, whatever later answers and the store say",
  },
  {
    name: "a request that waits for a seat goes when its worker takes no requests any more",
    file: "serving/seeker.js",
    find: "this.deps.notices.whenClosed(id, move)",
    put: "() => undefined",
    proof: "is left at once by a request that waits for a seat there",
  },
  {
    name: "an endpoint daemon gives no seat on an engine that leaves",
    file: "serving/keeper.js",
    find: "return this.deps.notices.isLeaving(this.instance);",
    put: "return false;",
    proof: "gives no seat and no order more, and tells entry daemons",
  },
  {
    name: "a worker takes nothing until the pause that it asked for is over",
    file: "serving/availability.js",
    find: "const openAt = Math.max(pause.until,",
    put: "const openAt = Math.max(-Infinity,",
    proof: "are refused at once where all ask for one, with the time at which the first is over",
  },
  {
    name: "a worker takes one request at a time after its pause, until one is answered",
    file: "serving/availability.js",
    find: "(pause.triedAt ?? -Infinity) + TRY_MS",
    put: "-Infinity",
    proof: "do not all go there at once when it is over",
  },
  {
    name: "a pause is counted by the clock that does not step",
    file: "serving/worker-notices.js",
    find: "availability.opensInMs(this.at(e.id), this.deps.clock.steady())",
    put: "availability.opensInMs(this.at(e.id), this.deps.clock.mono())",
    proof: "are kept away to its end though the time of day steps ahead",
  },
  {
    name: "a time to come back that is known is told as it is",
    file: "serving/ending.js",
    find: "p.releaseMs ?? p.opensInMs",
    put: "p.releaseMs",
    proof: "are refused at once where all ask for one, with the time at which the first is over",
  },
];
