/**
 * The order in which connections that wait are parsed: those that have used little time go first, and none waits long behind others
 * that go on bringing more. Pure.
 * @module
 */

/** Milliseconds by which a connection goes later for each class that it is above another. */
export const CLASS_DELAY_MS = 250;

interface Entry<T> {
  readonly item: T;
  /** Monotonic ms up to which others of class 0 go first. */
  readonly dueAt: number;
}

/** A queue of items of some classes. */
export class TurnQueue<T> {
  private readonly classes: readonly Entry<T>[][];

  /** A queue for the classes from 0 to below `count`. */
  constructor(count: number) {
    this.classes = Array.from({ length: count }, () => []);
  }

  /** Number of items. */
  get size(): number {
    return this.classes.reduce((sum, entries) => sum + entries.length, 0);
  }

  /** Adds an item of a class at a monotonic time in ms, which is not before that of an earlier call. */
  push(item: T, itemClass: number, now: number): void {
    this.classes[itemClass]?.push({ item, dueAt: now + itemClass * CLASS_DELAY_MS });
  }

  /** Removes the item that goes next and returns it. Undefined if there is none. */
  shift(): T | undefined {
    let next: Entry<T>[] = [];
    for (const entries of this.classes)
      if ((entries[0]?.dueAt ?? Infinity) < (next[0]?.dueAt ?? Infinity)) next = entries;
    return next.shift()?.item;
  }
}
