/**
 * Remembers when each row of the register of origins was last in use, as far as this host can tell.
 * @module
 */
import type * as clock from "../../host/clock.js";
import * as register from "./register.js";

export class RegisterUsage {
  private present = register.EMPTY;
  private listed = register.EMPTY;
  /** Monotonic ms at which rows that are not present were last there, or were found to be listed. */
  private readonly lastSeen = new Map<string, number>();

  constructor(private readonly clk: clock.Clock) {}

  /** Replaces the rows that are in use now. */
  update(present: register.Register): void {
    const now = this.clk.mono();
    for (const row of register.rows(this.present)) this.lastSeen.set(register.nameOf(row), now);
    this.present = present;
    for (const row of register.rows(present)) this.lastSeen.delete(register.nameOf(row));
  }

  /** Takes in the register. Another host lists a row once it is in use, which this host may not have seen. */
  list(r: register.Register): void {
    if (r === this.listed) return;
    const now = this.clk.mono();
    for (const row of register.rows(r)) {
      const isKnown = register.hasRow(this.listed, row) || register.hasRow(this.present, row);
      if (!isKnown) this.lastSeen.set(register.nameOf(row), now);
    }
    this.listed = r;
  }

  /** Whether a row has been in use within the last `ms` milliseconds. */
  isUsed(row: register.Row, ms: number): boolean {
    if (register.hasRow(this.present, row)) return true;
    const at = this.lastSeen.get(register.nameOf(row));
    return at !== undefined && this.clk.mono() - at < ms;
  }
}
