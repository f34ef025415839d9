/**
 * The version of the configuration that other daemons are known to have. A store that was restored from a backup may lack the
 * configuration in force until the operator writes it again, and a daemon that starts meanwhile can't tell by the store.
 * @module
 */
import type * as clock from "../../host/clock.js";

/** Milliseconds from the first configuration in which a daemon that has heard of no other daemon's waits for one. */
export const FIRST_WORD_MS = 1000;

/** What an entry daemon knows of the configurations of the endpoint daemons. */
export class PeerVersions {
  /** Highest version that was announced; 0 before the first. */
  private highest = 0;
  /** Monotonic ms at which this host first had a configuration. */
  private firstAt: number | undefined;

  constructor(private readonly clk: clock.Clock) {}

  /** This host has a configuration. */
  configured(): void {
    this.firstAt ??= this.clk.mono();
  }

  /** Takes in the version that an endpoint daemon announced. */
  announced(version: number): void {
    this.highest = Math.max(this.highest, version);
  }

  /**
   * Whether this host's configuration, of the version `own`, is the newest one as far as is known. It is not while no endpoint
   * daemon has announced one, for {@link FIRST_WORD_MS} from the first configuration.
   */
  isNewest(own: number): boolean {
    if (this.highest > 0) return own >= this.highest;
    return this.clk.mono() - (this.firstAt ?? Infinity) >= FIRST_WORD_MS;
  }
}
