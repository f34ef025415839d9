/**
 * Mechanisms that find prompt parts which crash workers, each with the test that fails without it.
 * @module
 */
import type * as switches from "./switches.js";

export const CRASH_SWITCHES: readonly switches.Switch[] = [
  {
    name: "crashing parts: a run to the end clears parts",
    file: "serving/crashes/part-sets.js",
    find: "at > (known.cleared.get(part) ?? -Infinity)",
    put: "true",
    proof: "leaves out the parts of requests that ran to their end since",
  },
  {
    name: "crashing parts: a request is withheld only if it holds the whole set",
    file: "serving/crashes/part-sets.js",
    find: "return set.parts.every(",
    put: "return set.parts.some(",
    proof: "which are served as long as nothing tells them apart",
  },
  {
    name: "crashing parts: a part that ran lately has time to run again",
    file: "serving/crashes/part-sets.js",
    find: "&& ranLately(part)",
    put: "&& false",
    proof: "is no part that ran on this host lately while it may still run to its end",
  },
  {
    name: "crashing parts: the part of few requests is the likelier cause",
    file: "serving/crashes/part-sets.js",
    find: "workers.size ** CRASH_WEIGHT / requests",
    put: "workers.size ** CRASH_WEIGHT",
    proof: "is not a part that many requests on the same workers hold",
  },
  {
    name: "crashing parts: a request in quarantine explains its crashes",
    file: "serving/crashes/part-sets.js",
    find: "likeliest(countQuarantined(open))",
    put: "undefined",
    proof: "is not a part of requests beside one request that crashed the workers",
  },
  {
    name: "crashing parts: an answer that had begun is no cause",
    file: "serving/crashes/part-sets.js",
    find: "s.isBeginning || !workers.has(s.worker)",
    put: "true",
    proof: "is not a part of requests whose answers had begun before",
  },
  {
    name: "crashing parts: they are kept in the store",
    file: "serving/crashes/quarantine-writer.js",
    find: "await this.deps.claim(quarantine.keyOf(id), records.EXPIRY_MS, text);",
    put: "",
    proof: "is kept in the store once it has held for a while, for hosts that start anew",
  },
  {
    name: "crashing parts: one request of all hosts tests them",
    file: "serving/crashes/probes.js",
    find: 'isClaimed = await this.deps.claim(PREFIX + id, pauseMs, "");',
    put: "isClaimed = true;",
    proof: "is put to the test by one request of all hosts, and ends once that ran to its end",
  },
  {
    name: "crashing parts: requests with them are withheld",
    file: "serving/suspects.js",
    find: "if (withheld)",
    put: "if (false)",
    proof: "is refused at once by all hosts that hear of three crashes under a part",
  },
  {
    name: "crashes: a connection that the host closed blames no request",
    file: "serving/sending.js",
    find: "send.isClosedHere = result.statement !== undefined;",
    put: "",
    proof: "blames no request for a crash whose connection the host had closed before",
  },
];
