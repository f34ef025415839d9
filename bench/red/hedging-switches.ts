/**
 * Mechanisms of hedged calls, each with the test that fails without it.
 * @module
 */
import type * as switches from "./switches.js";

export const HEDGING_SWITCHES: readonly switches.Switch[] = [
  {
    name: "hedge: a late call is sent once more",
    file: "serving/overload/hedging.js",
    find: "return delayMs < c.leftMs ? delayMs : undefined;",
    put: "return undefined;",
    proof: "are late at most a third as often with hedges, within the retry budget",
  },
  {
    name: "hedge: only calls that may run twice",
    file: "serving/overload/hedging.js",
    find: 'route.kind === "idempotent" &&',
    put: "",
    proof: "if its route may not run twice",
  },
  {
    name: "hedge: the route's attempts are kept",
    file: "serving/overload/hedging.js",
    find: "runs + HEDGED_RUNS <= route.attempts &&",
    put: "",
    proof: "if its route may run on one worker only",
  },
  {
    name: "hedge: the other send counts towards the attempts",
    file: "serving/sending.js",
    find: "p.runs + p.sideRuns < req.route.attempts",
    put: "p.runs < req.route.attempts",
    proof: "gets one failure if both fail, and runs no third time",
  },
  {
    name: "hedge: only where streams must be steady",
    file: "serving/overload/hedged-calls.js",
    find: "!steady.hasSteadyStreams(config)",
    put: "false",
    proof: "if no streams must be steady",
  },
  {
    name: "hedge: it is charged to the retry budget",
    file: "serving/overload/side-by-side.js",
    find: "Math.max(1, first.p.sends)",
    put: "0",
    proof: "if the retry budget is used up, and gets the late answer",
  },
  {
    name: "hedge: none while the event loop is behind",
    file: "serving/overload/side-by-side.js",
    find: "!res.presence?.isBehind()",
    put: "true",
    proof: "if the host's event loop is behind, or its caller has left",
  },
  {
    name: "hedge: a failure waits for the other send",
    file: "serving/overload/side-by-side.js",
    find: 'l.isOver && l.ending === "whole"',
    put: "l.isOver",
    proof: "gets the good answer where the first answers with a failure",
  },
  {
    name: "hedge: the send that lost is read to its end",
    file: "serving/overload/side-by-side.js",
    find: "if (lane.writtenAt === undefined) {",
    put: "if (true) {",
    proof: "is sent once more to another worker, and the first complete answer is passed on",
  },
  {
    name: "hedge: none is written once the call has ended",
    file: "serving/overload/side-by-side.js",
    find: "if (lane.writtenAt === undefined) {",
    put: "if (false) {",
    proof: "is not written to a connection that is ready only when the call has ended",
  },
  {
    name: "hedge: a worker that does not answer by the deadline counts as failing",
    file: "serving/overload/side-by-side.js",
    find: "lane.stop.abort(sendState.UNANSWERED);",
    put: "lane.stop.abort();",
    proof: "ends the send that is still open at the deadline, and counts its worker as failing",
  },
];
