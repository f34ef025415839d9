/**
 * Mechanisms that tell a complete answer from one that is cut, each with the test that fails without it.
 * @module
 */
import type * as switches from "./switches.js";

export const ANSWER_SWITCHES: readonly switches.Switch[] = [
  {
    name: "answers: a stream that ends inside an event is cut",
    file: "serving/answers/completeness.js",
    find: "if (end.isInsideEvent)",
    put: "if (false)",
    proof: "without length or chunks whose connection closes inside an event",
  },
  {
    name: "answers: a connection closed before the first event proves nothing",
    file: "serving/answers/completeness.js",
    find: "!end.hasEvent",
    put: "false",
    proof: "does not take a connection closed before the first event for a whole stream",
  },
  {
    name: "answers: no run continues an event of which a part was passed on",
    file: "serving/answers/answer-reader.js",
    find: "p.isEventOpen = e.isPartial;",
    put: "",
    proof: "joins no other run to an event of which only a part was passed on",
  },
  {
    name: "answers: an end that only a close shows is believed if the worker still runs",
    file: "serving/answers/answer-reader.js",
    find: "if (!completeness.restsOnClose(found))",
    put: "if (true)",
    proof: "whose worker crashes between two events and so closes the connection",
  },
  {
    name: "answers: a claim that names no request proves nothing",
    file: "serving/answers/evidence.js",
    find: 'if (subject === "none")',
    put: "if (false)",
    proof: "does not rest on a rejection that names no request",
  },
  {
    name: "answers: a status that promises something is passed on only if the worker states it",
    file: "serving/answers/evidence.js",
    find: "if (PROMISES.has(status))",
    put: "if (false)",
    proof: "does not rest on an answer that does not state it",
  },
  {
    name: "answers: no connection carries a request twice",
    file: "serving/connections/choose-connection.js",
    find: "else if (carried.has(c.number))",
    put: "else if (false)",
    proof: "does not rest on a late copy of the rejection of an earlier send",
  },
  {
    name: "answers: a worker is checked for a crash after its connection broke, not before",
    file: "serving/crash-check.js",
    find: "return hasCrashed || this.start(e);",
    put: "return hasCrashed;",
    proof: "finds a crash while an earlier check is under way",
  },
  {
    name: "answers: a response without chunks is broken off by a reset",
    file: "host/response.js",
    find: "!res.chunkedEncoding",
    put: "false",
    proof: "resets the connection of an HTTP/1.0 client, for which a close would be its end",
  },
  {
    name: "answers: a process that ends breaks off the responses that are not complete",
    file: "host/response.js",
    find: "if (!res.writableFinished)",
    put: "if (false)",
    proof: "are broken off unless the kernel has all their bytes",
  },
  {
    name: "answers: the entry of a worker's next incarnation doesn't announce that it leaves",
    file: "serving/catalog.js",
    find: "return catalog.endpoints.get(incarnation.workerOf(e.id))?.leaving ?? true;",
    put: "return !isUsable(catalog, e);",
    proof:
      "does not take the entry of a later incarnation for the announcement that a worker leaves",
  },
  {
    name: "answers: a request that crosses the close of its connection is not served",
    file: "serving/connections/closer.js",
    find: "if (req.socket.writableEnded || s.last?.headersSent)",
    put: "if (false)",
    proof: "does not serve a request that arrives after its end",
  },
  {
    name: "answers: a connection ends after the last of its pipelined responses",
    file: "serving/connections/closer.js",
    find: "const latest = [...s.open].at(-1);",
    put: "const latest = [...s.open][0];",
    proof: "ends after the responses to all requests that were pipelined before",
  },
  {
    name: "answers: the end of a leaving worker is not that of its answer",
    file: "serving/answers/answer-reader.js",
    find: "await this.deps.upstream.isRunning(endpoint, req.service, watchdog.signal)",
    put: "true",
    proof: "does not end a stream as complete when its leaving worker has ended",
  },
  {
    name: "answers: only an answer to a later request shows that a worker runs on",
    file: "serving/answers/answer-reader.js",
    find: "this.deps.upstream.isRunning(endpoint, req.service, watchdog.signal)",
    put: "this.deps.suspects.deps.crashCheck.hasCrashed(endpoint).then((ended) => !ended)",
    proof: "does not end a stream as complete when its worker ends slowly",
  },
  {
    name: "answers: an empty body that only a close ends proves nothing",
    file: "serving/answers/completeness.js",
    find: 'if (framing === "close" && !hasBody)',
    put: "if (false)",
    proof: "is a failure of a call or a stream that may run once",
  },
  {
    name: "answers: a head that begins with that of another response proves nothing",
    file: "serving/answers/evidence.js",
    find: "if (isJoined)",
    put: "if (false)",
    proof: "is not joined with the head of the next answer on its connection",
  },
  {
    name: "answers: a connection is closed in stages",
    file: "host/lingering-close.js",
    find: "clk.after(LINGER_MS,",
    put: "clk.after(0,",
    proof: "is not reset by what arrives after a response that announced the close",
  },
  {
    name: "answers: nothing of a pipelined response is written before its turn",
    file: "serving/buffering/hold.js",
    find: "this.isBlocked = res.socket === null;",
    put: "this.isBlocked = false;",
    proof: "are served while an earlier response is under way, behind which the last one waits",
  },
  {
    name: "answers: a pipelined request ends with its connection",
    file: "serving/connections/closer.js",
    find: "closeQueued(created);",
    put: "",
    proof: "are given up when their caller leaves",
  },
];
