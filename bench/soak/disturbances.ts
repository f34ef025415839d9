/**
 * What was done to the parts of a site in a run of the soak, and when it may excuse what was seen.
 * @module
 */

/** Something that was done to the system, and what it may excuse. */
export interface Disturbance {
  readonly kind: string;
  /** Name of the daemon, worker or store it struck. */
  readonly on: string;
  readonly from: number;
  to: number;
}

/** Milliseconds for which a trouble may show after its end: a host is in touch after three seconds. */
const AFTER_MS = 3500;

/** Whether some part was disturbed, or shortly before, between two moments. */
export function any(
  list: readonly Disturbance[],
  from: number,
  to: number,
  which: (d: Disturbance) => boolean,
): boolean {
  return list.some((d) => d.from < to && d.to + AFTER_MS > from && which(d));
}

/** The place of a worker, of which the instance there is the `N`th start. */
export function placeOf(instance: string): string {
  return instance.replace(/\.\d+$/, "");
}
