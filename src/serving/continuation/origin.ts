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

/** The one origin that all of a list are; undefined if it is empty or they differ. */
export function agreedOrigin(list: readonly Origin[]): Origin | undefined {
  const [first, ...others] = list;
  return first && others.every((o) => isSame(o, first)) ? first : undefined;
}
