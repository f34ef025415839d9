/**
 * The order in which connections that wait are parsed: most turns go to those that have used little time, and the others to the one that
 * has waited longest, so that none waits for as long as others go on bringing more. Pure.
 * @module
 */

/** Of so many items in a row, one is the one that has waited longest. */
export const OLDEST_EVERY = 4;

interface Entry<T> {
  readonly item: T;
  /** Number of items that were added before. */
  readonly order: number;
}

/** A queue of items of some classes. */
export class TurnQueue<T> {
  private readonly classes: readonly Entry<T>[][];
  private added = 0;
  private taken = 0;

  /** A queue for the classes from 0 to below `count`. */
  constructor(count: number) {
    this.classes = Array.from({ length: count }, () => []);
  }

  /** Number of items. */
  get size(): number {
    return this.classes.reduce((sum, entries) => sum + entries.length, 0);
  }

  /** Adds an item of a class. */
  push(item: T, itemClass: number): void {
    this.classes[itemClass]?.push({ item, order: this.added++ });
  }

  /** Removes the item that goes next and returns it. Undefined if there is none. */
  shift(): T | undefined {
    const isOldestNext = ++this.taken % OLDEST_EVERY === 0;
    const next = isOldestNext ? this.oldest() : this.classes.find((entries) => entries.length > 0);
    return next?.shift()?.item;
  }

  private oldest(): Entry<T>[] | undefined {
    let oldest: Entry<T>[] | undefined;
    let least = Infinity;
    for (const entries of this.classes) {
      const order = entries[0]?.order ?? Infinity;
      if (order < least) [oldest, least] = [entries, order];
    }
    return oldest;
  }
}
