/**
 * What the beginning of a stream was bound to: the service that ran it, and the version of its worker's software. Streams of
 * two software versions do not fit together, so a stream may go on only where both are the same. Pure.
 * @module
 */
import * as catalog from "../catalog.js";

/** The service and the software version of the worker that made a stream's first event. */
export interface Origin {
  readonly service: string;
  /** Software version that the worker announced; empty if it announced none. */
  readonly software: string;
}

/** The origin of a stream that begins on an endpoint of a service. */
export function of(service: Pick<catalog.Service, "name">, e: catalog.Endpoint): Origin {
  return { service: service.name, software: catalog.softwareOf(e) };
}

export function isSame(a: Origin, b: Origin): boolean {
  return a.service === b.service && a.software === b.software;
}

/** What one daemon can tell of the origins that streams of a route may have. */
export interface Witness {
  /** Origins seen within the time for which a stream may go on. */
  readonly possible: readonly Origin[];
  /** Milliseconds for which it has seen every change. */
  readonly watchedMs: number;
  /** Milliseconds since it last knew itself to be as new as the store. */
  readonly ageMs: number;
}

/**
 * The only origin that a stream can have that began at most `maxAgeMs` ago; undefined if there may be several, or if no
 * witness has watched long enough to exclude others.
 */
export function onlyOrigin(witnesses: readonly Witness[], maxAgeMs: number): Origin | undefined {
  if (!witnesses.some((w) => w.watchedMs - w.ageMs >= maxAgeMs)) return undefined;
  // What a witness has seen is possible, however old its view is.
  return agreedOrigin(witnesses.flatMap((w) => w.possible));
}

/** The one origin that all of a list are; undefined if it is empty or they differ. */
export function agreedOrigin(list: readonly Origin[]): Origin | undefined {
  const [first, ...others] = list;
  return first && others.every((o) => isSame(o, first)) ? first : undefined;
}
