/**
 * What it costs to find prompt parts that crash workers, and to keep requests with them back.
 * @module
 */
import * as clock from "../../src/host/clock.js";
import * as structuredLog from "../../src/host/structured-log.js";
import type * as callerRequest from "../../src/serving/caller-request.js";
import * as catalog from "../../src/serving/catalog.js";
import * as partQuarantine from "../../src/serving/crashes/part-quarantine.js";
import * as partSets from "../../src/serving/crashes/part-sets.js";
import * as quarantineWriter from "../../src/serving/crashes/quarantine-writer.js";
import * as records from "../../src/serving/crashes/records.js";
import * as decision from "./decision.js";

const TIMES = 20_000;
/** Number of requests on a worker that crashes. */
const REQUESTS_PER_CRASH = 10;
const FATAL = "f0";

function metaOf(n: number, ...shared: readonly string[]): callerRequest.Meta {
  const parts = ["a", ...shared, `own-${n}`].map((id) => ({ id, tokens: 100 }));
  return { id: `r${n}`, waitMs: 5000, promptTokens: 300, answerTokens: 20, parts };
}

/** Records of workers that crashed, each under one request with the fatal part and some others. */
function recordsOf(crashes: number): records.CrashRecords {
  let known = records.EMPTY;
  for (let n = 0; n < crashes * REQUESTS_PER_CRASH; n++) {
    const identity = String(n).padStart(22, "x");
    const worker = `w${Math.floor(n / REQUESTS_PER_CRASH)}`;
    const parts = n % REQUESTS_PER_CRASH === 0 ? ["a", FATAL] : ["a", `b${n % 50}`];
    const measured = { underWayMs: 100, answeringMs: 0, peers: 600 };
    const crash = { kind: "ended", identity, worker, parts, ...measured, ageMs: 0 } as const;
    known = records.apply(known, crash, 0);
  }
  return records.apply(known, { kind: "cleared", parts: ["a"], ageMs: 0 }, 1);
}

function quarantineOf(known: records.CrashRecords): partQuarantine.PartQuarantine {
  const deps: partQuarantine.Deps = {
    clock: clock.system,
    log: structuredLog.silent,
    catalog: () => catalog.EMPTY,
    known: () => known,
    observed: () => records.EMPTY,
    publish: () => undefined,
    claim: () => Promise.resolve(false),
    remove: () => Promise.resolve(),
    hearsAll: () => true,
    hostCount: () => 360,
    random: Math.random,
  };
  return new partQuarantine.PartQuarantine(deps, new quarantineWriter.QuarantineWriter(deps));
}

/** Recording that a request ran to its end. */
export function recordingRun(crashes: number): decision.Cost {
  const parts = quarantineOf(recordsOf(crashes));
  const metas = Array.from({ length: 1000 }, (_, n) => metaOf(n, `c${n % 50}`));
  return decision.measure(TIMES, (n) => {
    const meta = metas[n % metas.length];
    if (meta) parts.recordRun(meta);
  });
}

/** Deciding whether a request is withheld. */
export function checking(crashes: number): decision.Cost {
  const parts = quarantineOf(recordsOf(crashes));
  const metas = Array.from({ length: 1000 }, (_, n) => metaOf(n, `c${n % 50}`));
  return decision.measure(TIMES, (n) => {
    const meta = metas[n % metas.length];
    if (meta) parts.withheld(meta);
  });
}

/** Finding the sets anew after a piece of news. */
export function finding(crashes: number): decision.Cost {
  const known = recordsOf(crashes);
  return decision.measure(TIMES / 100, () => {
    partSets.find(known, () => false, 10_000);
  });
}
