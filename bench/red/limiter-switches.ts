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
    find: "if (hadOwner && aheadMs > 0)",
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
    file: "serving/announced-limit.js",
    find: "|| !a.ran || a.sentAt < known.at)",
    put: ")",
    proof: "is withdrawn by an answer without it whose request was sent after it was announced",
  },
  {
    name: "a request that may wait too long for its turn goes elsewhere",
    file: "serving/choice.js",
    find: "v.limitWaitMs <= admission.MAX_LIMIT_WAIT_MS ||",
    put: "true ||",
    proof:
      "passes over one whose next turn is far off, and has its adapter loaded elsewhere at no extra cost",
  },
  {
    name: "a cap's next place waits for the lease of the one before",
    file: "serving/limiter.js",
    find: "(owner && !this.isReleased(owner))",
    put: "false",
    proof: "is never passed beyond what the rule allows, nor given out twice: hot_calls_once_cut",
  },
  {
    name: "a cap's place that is new has nothing left",
    file: "serving/token-balance.js",
    find: "return { level: -overdraft, at: now };",
    put: "return { level: 1e6, at: now };",
    proof: "begins empty, fills at the cap's rate, and holds the burst at most",
  },
  {
    name: "a worker that has said that it leaves takes no requests",
    file: "serving/availability.js",
    find: "if (leavingAt !== undefined)",
    put: "if (false)",
    proof:
      "gets nothing more once an answer has announced it, whatever later answers and the store say",
  },
  {
    name: "a request that waits for a seat goes when its worker takes no requests any more",
    file: "serving/seat-finder.js",
    find: "this.deps.notices.whenClosed(id, move)",
    put: "() => undefined",
    proof: "is abandoned at once by a request that waits for a seat there",
  },
  {
    name: "an endpoint daemon gives no seat on an engine that leaves",
    file: "serving/engine-manager.js",
    find: "return this.deps.notices.isLeaving(this.state.instance);",
    put: "return false;",
    proof: "grants no more seats, sends no more orders, and tells entry daemons",
  },
  {
    name: "a worker takes nothing until the pause that it asked for is over",
    file: "serving/availability.js",
    find: "const opensAt = Math.max(pause.until,",
    put: "const opensAt = Math.max(-Infinity,",
    proof: "are refused at once if all workers ask for one, with the time until the first is over",
  },
  {
    name: "a worker takes one request at a time after its pause, until one is answered",
    file: "serving/availability.js",
    find: "(pause.triedAt ?? -Infinity) + TRIAL_INTERVAL_MS",
    put: "-Infinity",
    proof: "do not all go there at once when it is over",
  },
  {
    name: "a pause is counted by the clock that does not step",
    file: "serving/worker-notices.js",
    find: "availability.opensInMs(this.announcedBy(e.id), this.deps.clock.steady())",
    put: "availability.opensInMs(this.announcedBy(e.id), this.deps.clock.mono())",
    proof: "are held back until it is over even if the system clock steps forward",
  },
  {
    name: "a time to come back that is known is told as it is",
    file: "serving/ending.js",
    find: "p.releaseMs ?? p.opensInMs",
    put: "p.releaseMs",
    proof: "are refused at once if all workers ask for one, with the time until the first is over",
  },
  {
    name: "notices: a pause holds for the next start of its worker",
    file: "serving/worker-notices.js",
    find: "for (const next of this.registered) {",
    put: "for (const next of []) {",
    proof:
      "are held back from the next start of a worker that was reached under the entry of the one before",
  },
];
