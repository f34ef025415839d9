/**
 * Mechanisms without which a run of the soak must find a violation.
 * @module
 */
import type * as switches from "./switches.js";

export const SOAK_SWITCHES: readonly switches.Switch[] = [
  {
    name: "soak: what must not be repeated is sent once",
    file: "serving/sending.js",
    find: "if (catalog.isRepeatable(req.route) && progress.canContinue(p))\n            return undefined;",
    put: "if (true)\n            return undefined;",
    proof: "once",
    bySoak: true,
  },
  {
    name: "soak: what may have run is not called not run",
    file: "serving/ending.js",
    find: "if (p.runs > 0) {",
    put: "if (false) {",
    proof: "notRun",
    bySoak: true,
  },
  {
    name: "soak: a stream that broke does not end as if whole",
    file: "serving/ending.js",
    find: "res.abort();",
    put: "res.end();",
    proof: "whole",
    bySoak: true,
  },
  {
    name: "soak: an endpoint that leaves gets no new work",
    file: "../platform/documents.js",
    find: 'leaving: s.state !== "ready"',
    put: "leaving: false",
    proof: "leaving",
    bySoak: true,
  },
  {
    name: "soak: an engine is told when the caller leaves",
    file: "serving/dispatch.js",
    find: 'res.disconnected.addEventListener("abort", stop, { once: true });',
    put: "",
    proof: "gone",
    bySoak: true,
  },
  {
    name: "soak: a place on its way in counts as taken",
    file: "serving/slot-orders.js",
    find: "if (s.slots.size < opts.slots)",
    put: 'if ([...s.slots.values()].filter((p) => p.phase !== "loading").length < opts.slots)',
    proof: "engine-",
    bySoak: true,
  },
];
