/**
 * The register of origins: which services the routes of resumable streams lead to, and which software versions serve in each, as far
 * back as a stream may go on. It is one document in the store. A host begins resumable streams only at versions that it lists, so
 * after all daemons have restarted it still tells what a stream may have begun on. Pure functions.
 * @module
 */
import * as zod from "zod";
import * as decoding from "../../host/decoding.js";
import type * as structuredLog from "../../host/structured-log.js";
import * as eras from "../../store/era.js";
import type * as catalog from "../catalog.js";
import type * as origin from "./origin.js";

/** Key of the document. */
export const KEY = "sumacfield/origins";

/** One entry: a service that a route leads to, or a software version of a service's workers. */
export interface Row {
  readonly kind: "service" | "software";
  /** The route or the service that the entry belongs to. */
  readonly of: string;
  /** The service, or the software version; the empty one stands for workers that announce none. */
  readonly name: string;
}

/** Sets of names, by what they belong to. */
type Names = ReadonlyMap<string, ReadonlySet<string>>;

export interface Register {
  /** The era of the store in which the register is known to lack nothing; undefined if there was none. */
  readonly completeIn: eras.Era | undefined;
  /** Services that each route leads to, or has led to. */
  readonly service: Names;
  /** Software versions of each service. */
  readonly software: Names;
}

/** The register that lists nothing. */
export const EMPTY: Register = { completeIn: undefined, service: new Map(), software: new Map() };

const names = decoding.map(decoding.list(zod.string()));
const document = zod.object({ completeIn: zod.int().optional(), service: names, software: names });

/** Parses the text of the document. Throws if it cannot be parsed. */
export function parse(text: string): Register {
  const { completeIn, service, software } = document.parse(JSON.parse(text));
  return {
    completeIn: completeIn as eras.Era | undefined,
    service: toNames(service),
    software: toNames(software),
  };
}

/** Formats the document. Registers that list the same give the same text. */
export function format({ completeIn, service, software }: Register): string {
  return JSON.stringify({ completeIn, service: fromNames(service), software: fromNames(software) });
}

function toNames(lists: ReadonlyMap<string, readonly string[]>): Names {
  return new Map([...lists].map(([key, list]) => [key, new Set(list)]));
}

function fromNames(from: Names): Record<string, readonly string[]> {
  const sorted = [...from].sort(([a], [b]) => (a < b ? -1 : 1));
  return Object.fromEntries(sorted.map(([key, set]) => [key, [...set].sort()]));
}

/** All entries. */
export function rows(r: Register): readonly Row[] {
  return (["service", "software"] as const).flatMap((kind) =>
    [...r[kind]].flatMap(([of, set]) => [...set].map((name) => ({ kind, of, name }))),
  );
}

/** A text that is different for each entry. */
export function nameOf({ kind, of, name }: Row): string {
  return JSON.stringify([kind, of, name]);
}

export function hasRow(r: Register, { kind, of, name }: Row): boolean {
  return r[kind].get(of)?.has(name) ?? false;
}

/** The register with these entries. */
export function withRows(list: readonly Row[], completeIn: eras.Era | undefined): Register {
  const grouped = (kind: Row["kind"]): Names => {
    const all = new Map<string, Set<string>>();
    for (const row of list) {
      if (row.kind !== kind) continue;
      const set = all.get(row.of) ?? new Set();
      all.set(row.of, set.add(row.name));
    }
    return all;
  };
  return { completeIn, service: grouped("service"), software: grouped("software") };
}

/** A register with the entries of two, complete where the first one is. */
export function union(a: Register, b: Register): Register {
  return withRows([...rows(a), ...rows(b)], a.completeIn);
}

/** Log fields that describe a register. */
export function fields(r: Register): structuredLog.Fields {
  const software = [...r.software].map(([service, set]) => `${service}: ${[...set].join(", ")}`);
  return { completeIn: r.completeIn, routes: r.service.size, software };
}

/** Whether all entries of `part` are listed. */
export function includes(whole: Register, part: Register): boolean {
  return rows(part).every((row) => hasRow(whole, row));
}

/** Whether resumable streams may begin at an origin. */
export function lists(r: Register, { service, software }: origin.Origin): boolean {
  return hasRow(r, { kind: "software", of: service, name: software });
}

/**
 * The only origin that a stream of a route can have in an era of the store; undefined if there may be several, or if the register
 * may lack some.
 */
export function onlyOrigin(
  r: Register,
  route: catalog.Route,
  era: eras.Era,
): origin.Origin | undefined {
  if (r.completeIn !== era) return undefined;
  const now = route.shares.map((s) => s.service);
  const services = new Set([...(r.service.get(route.name) ?? []), ...now]);
  const [first, ...others] = [...services].flatMap((service) =>
    [...(r.software.get(service) ?? [])].map((software) => ({ service, software })),
  );
  return others.length === 0 ? first : undefined;
}

/** What a host knows beside the register in the store. */
export interface Knowledge {
  /** The era of the store. */
  readonly era: eras.Era;
  /** What its catalog shows. */
  readonly shown: Register;
  /** What was listed before the store was restored from a backup and is not listed again yet. */
  readonly lost: Register;
  /** Whether an entry has been in use for as long as a stream may go on, or may have been. */
  readonly isUsed: (row: Row) => boolean;
  /** Whether the host knows that nothing can be missing: it has watched for as long as a stream may go on, for example. */
  readonly isComplete: boolean;
}

/** The register as it ought to be; `stored` is undefined if the store has none. */
export function next(stored: Register | undefined, k: Knowledge): Register {
  const kept = rows(stored ?? EMPTY).filter((row) => k.isUsed(row) || hasRow(k.lost, row));
  // A store that was never restored and has no register has had no streams to list.
  const isComplete = k.isComplete || (stored === undefined && k.era === eras.FIRST);
  const completeIn = isComplete ? k.era : stored?.completeIn;
  return withRows([...kept, ...rows(k.shown), ...rows(k.lost)], completeIn);
}
