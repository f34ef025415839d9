/**
 * Eras of a store. A store that is restored from a backup loses what it acknowledged since, and gives the same revisions out
 * again for other changes. It then begins a new era, whose number it states in each answer.
 * @module
 */

declare const brand: unique symbol;

/** Number of an era. A later era has a higher number. */
export type Era = number & { readonly [brand]: "era" };

/** The era of a store that states none. */
export const FIRST = 0 as Era;
/** Highest number of an era, so that a fencing number made from it is an exact integer. */
export const MAX = 0x1fff;

/** An answer does not state an era, or states one that is over. */
export class EraError extends Error {
  override readonly name = "EraError";
}

/** Parses the number of an era. Throws {@link EraError}. */
export function parse(text: string): Era {
  const era = /^\d{1,9}$/.test(text.trim()) ? Number(text) : NaN;
  if (era <= MAX) return era as Era;
  throw new EraError(`expected an era from 0 to ${MAX}, not ${text.slice(0, 40)}`);
}

/** Remembers the newest era that the answers of a store have stated. Answers of different calls may overtake each other. */
export class EraTracker {
  private seen: Era = FIRST;

  /** The newest era that an answer has stated. */
  get newest(): Era {
    return this.seen;
  }

  /**
   * Records the era that an answer states, if any, and returns it. Throws {@link EraError} if it cannot be parsed, or if
   * the era is over: such an answer says nothing about what the store holds now.
   */
  observe(text: string | undefined): Era {
    const era = text === undefined ? FIRST : parse(text);
    if (era < this.seen) throw new EraError(`the answer is of era ${era}, before ${this.seen}`);
    this.seen = era;
    return era;
  }
}
