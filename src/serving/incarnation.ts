/**
 * Which start of a worker something is known of. A worker may start again under the name that it had; it then
 * holds and knows nothing of before. So all that is remembered of an endpoint is remembered under its name
 * and its start together, and a new start drops it in one step.
 *
 * Starts of one worker are compared with each other alone: the clocks of hosts differ, and may step.
 * @module
 */

/** Stands between a worker's name and its start. */
const MARK = "#";

/** The id of a worker's incarnation; `born` is the Unix ms of its start, where it tells it. */
export function idOf(worker: string, born: number | undefined): string {
  if (born !== undefined) return `${worker}${MARK}${born}`;
  // A name that holds the mark is kept apart from a name with a start.
  return worker.includes(MARK) ? `${worker}${MARK}` : worker;
}

/** The name by which the worker of an incarnation knows itself. */
export function workerOf(id: string): string {
  const at = id.lastIndexOf(MARK);
  return at < 0 ? id : id.slice(0, at);
}

/** The start of an incarnation in Unix ms; undefined where its worker does not tell it. */
export function bornOf(id: string): number | undefined {
  const at = id.lastIndexOf(MARK);
  return at < 0 || at === id.length - 1 ? undefined : Number(id.slice(at + 1));
}

/** Whether two ids may mean the same start: of one worker, where each tells its start at the same one. */
export function isSame(a: string, b: string): boolean {
  if (a === b) return true;
  if (workerOf(a) !== workerOf(b)) return false;
  const [bornA, bornB] = [bornOf(a), bornOf(b)];
  return bornA === undefined || bornB === undefined || bornA === bornB;
}

/** Whether `a` is known to be an earlier start of the same worker as `b`. */
export function isOlder(a: string, b: string): boolean {
  const [bornA, bornB] = [bornOf(a), bornOf(b)];
  if (bornA === undefined || bornB === undefined) return false;
  return workerOf(a) === workerOf(b) && bornA < bornB;
}
