/**
 * What the ways to keep the origins of streams cost while nothing fails, and while endpoint daemons restart: worked out
 * from the rates.
 * @module
 */
import type * as disturbances from "./disturbances.js";
import type * as fleet from "./fleet.js";

/** Bytes of a record, and of the event that tells a watcher of a key. */
const RECORD_BYTES = 120;
const EVENT_BYTES = 150;
const KEEPERS = 3;
/** Seconds for which records and keys are kept. */
const KEPT_S = 30;
/** Seconds from one restart to the next in a rolling restart. */
const RESTART_S = 0.3;
/** Part of the store's writing calls that origins may take, and least ms from one transaction of a host to the next. */
const SHARE = 0.05;
const MIN_WRITE_MS = 250;

/** Milliseconds from one transaction of an entry daemon to the next. */
export function writeMsOf(s: disturbances.Site): number {
  return Math.max(MIN_WRITE_MS, (1000 * s.entries) / (SHARE * s.writesPerS));
}

/** Streams a second that are still open when their entry daemon writes next, and are written to the store. */
function keysPerS(s: disturbances.Site, writeMs: number): number {
  const parts = s.kinds.map((k) => {
    const ratio = writeMs / k.meanMs;
    return (k.part * (1 - Math.exp(-ratio))) / ratio;
  });
  return s.perS * parts.reduce((sum, p) => sum + p, 0);
}

/** Messages, calls and bytes in each second: of one daemon, and of the store. */
export interface Cost {
  readonly entryMessages: number;
  readonly entryBytes: number;
  readonly endpointMessages: number;
  readonly endpointBytes: number;
  readonly transactions: number;
  readonly keys: number;
  readonly storeBytes: number;
  /** Keys that are alive. */
  readonly aliveKeys: number;
  /** Bytes of events on an entry daemon that watches all keys. */
  readonly eventBytes: number;
  /** Bytes more on an entry daemon while endpoint daemons are restarted in turn, and records on each of these. */
  readonly restartBytes: number;
  readonly recordsKept: number;
}

export function of(s: disturbances.Site, way: fleet.Way): Cost {
  const records = way.isTable ? 0 : KEEPERS * s.perS;
  const keys = way.writeMs === undefined ? 0 : keysPerS(s, way.writeMs);
  const ticksPerS = 1000 / (way.writeMs ?? Infinity);
  const emptyPart = ticksPerS > 0 ? Math.exp(-keys / s.entries / ticksPerS) : 1;
  const transactions = s.entries * ticksPerS * (1 - emptyPart);
  const recordsKept = (records * KEPT_S) / s.endpoints;
  // Its hosts tell a keeper again; a copy is read from two others and sent to it, and a handover the other way round.
  const carried = recordsKept * (way.repairs || way.handsOver ? 1 + KEEPERS : 1);
  return {
    entryMessages: (records + transactions) / s.entries,
    entryBytes: ((records + keys) * RECORD_BYTES) / s.entries,
    endpointMessages: records / s.endpoints,
    endpointBytes: (records * RECORD_BYTES) / s.endpoints,
    transactions,
    keys,
    storeBytes: keys * RECORD_BYTES,
    aliveKeys: keys * KEPT_S,
    eventBytes: keys * EVENT_BYTES,
    restartBytes: (carried * RECORD_BYTES * s.batch) / RESTART_S / s.entries,
    recordsKept,
  };
}
