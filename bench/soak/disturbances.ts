/**
 * Record of the faults injected into a run of the soak; each may excuse what was observed during it and shortly after.
 * @module
 */

/** One fault that was injected into one part of the site. */
export interface Disturbance {
  readonly kind: string;
  /** Name of the affected daemon, worker or its place, link or store. */
  readonly on: string;
  readonly from: number;
  to: number;
}

/** Milliseconds without a disturbance after which a host is in touch again, and until which it learns what the others know. */
export const CONTACT_MS = 3000;

/** End of the names under which disturbances of links to the store are recorded. */
export const STORE_LINK = " to the store";

/**
 * Whether a disturbance that `which` selects was active, or had ended shortly before, between two times. A reload of settings
 * disturbs nothing.
 */
export function anyDisturbed(
  list: readonly Disturbance[],
  from: number,
  to: number,
  which: (d: Disturbance) => boolean,
): boolean {
  return list.some((d) => !isReload(d) && d.from < to && d.to + CONTACT_MS > from && which(d));
}

/** The place of a worker: its instance name without the `.N` that counts the starts of workers. */
export function placeOf(instance: string): string {
  return instance.replace(/\.\d+$/, "");
}

/** Whether a disturbance is of a link between two parts. */
export function isLink(d: Disturbance): boolean {
  return d.kind.startsWith("link ") || d.on.endsWith(STORE_LINK);
}

/** Whether a daemon was only told to read its settings again, which keeps no host from being in touch. */
export function isReload(d: Disturbance): boolean {
  return d.kind === "settings changed";
}

/** Whether a disturbance ended a worker or cut it off. */
export function endsOrCutsOff(d: Disturbance): boolean {
  return isLink(d) || /crashes|ends/.test(d.kind);
}

/** Whether a disturbance is of a worker, or of a link to its place. */
export function isAtWorker(d: Disturbance, instance: string): boolean {
  return d.on === instance || d.on === placeOf(instance);
}
