/**
 * Ids that tell the incarnations of a worker apart. A worker that restarts under its old name has lost its adapters and
 * its memory of earlier requests. So everything that is remembered of an endpoint is kept under an id of the worker's
 * name and its start time, and a restart discards it in one step.
 *
 * Only start times of the same worker are compared, since the clocks of hosts differ and may be stepped.
 * @module
 */

/** Separates a worker's name from its start time. */
const SEPARATOR = "#";

/** The id of a worker's incarnation; `startedAt` is its start in Unix ms, undefined where it is not reported. */
export function idOf(worker: string, startedAt: number | undefined): string {
  if (startedAt !== undefined) return `${worker}${SEPARATOR}${startedAt}`;
  // A final separator keeps a name that contains the separator from being read as a name with a start time.
  return worker.includes(SEPARATOR) ? `${worker}${SEPARATOR}` : worker;
}

/** The name of an incarnation's worker. */
export function workerOf(id: string): string {
  const index = id.lastIndexOf(SEPARATOR);
  return index < 0 ? id : id.slice(0, index);
}

/** The start time of an incarnation in Unix ms; undefined where the worker does not report it. */
export function startOf(id: string): number | undefined {
  const index = id.lastIndexOf(SEPARATOR);
  return index < 0 || index === id.length - 1 ? undefined : Number(id.slice(index + 1));
}

/** Whether two ids may denote the same incarnation: the same worker, and not two different start times. */
export function mayBeSame(a: string, b: string): boolean {
  if (a === b) return true;
  if (workerOf(a) !== workerOf(b)) return false;
  const [startA, startB] = [startOf(a), startOf(b)];
  return startA === undefined || startB === undefined || startA === startB;
}

/** Whether `a` is known to be an earlier incarnation of the same worker than `b`. */
export function isOlder(a: string, b: string): boolean {
  const [startA, startB] = [startOf(a), startOf(b)];
  if (startA === undefined || startB === undefined) return false;
  return workerOf(a) === workerOf(b) && startA < startB;
}
