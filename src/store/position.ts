/**
 * Positions in the history of a store: a revision and the era that gave it out. Revisions of different eras have nothing to
 * do with each other, so a bare revision is never compared, kept or sent.
 * @module
 */
import * as eras from "./era.js";

/** Number of revisions in an era, so that a fencing number made from a position is an exact integer. */
const REVISIONS_PER_ERA = 2 ** 40;

/** An era and a revision in it. Immutable. */
export class Position {
  private constructor(
    readonly era: eras.Era,
    readonly revision: number,
  ) {}

  /** The position before the first change of a store. */
  static readonly START = new Position(eras.FIRST, 0);

  /** The position of a revision that an answer of this era states. Throws a RangeError if it is no revision. */
  static at(era: eras.Era, revision: number): Position {
    if (Number.isInteger(revision) && revision >= 0 && revision < REVISIONS_PER_ERA) {
      return new Position(era, revision);
    }
    throw new RangeError(`${revision} is not a revision`);
  }

  /** Whether this position is later: in a later era, or in the same one at a higher revision. */
  isAfter(other: Position): boolean {
    return this.era === other.era ? this.revision > other.revision : this.era > other.era;
  }

  /** The earlier of the two positions. */
  earlier(other: Position): Position {
    return this.isAfter(other) ? other : this;
  }

  /** A number that rises with the position, over eras too. */
  get fencingNumber(): number {
    return this.era * REVISIONS_PER_ERA + this.revision;
  }
}
