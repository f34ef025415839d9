/**
 * Which engines are known to have which adapters at hand: one index over all engines that an entry host
 * hears of, so that the holders of an adapter are found without a look at every engine.
 * @module
 */

export class Holders {
  private readonly byKey = new Map<string, Set<string>>();

  /** The engine at `address` has the adapters `now`, and had `before`. */
  changed(address: string, before: ReadonlySet<string>, now: ReadonlySet<string>): void {
    for (const key of before) if (!now.has(key)) this.remove(key, address);
    for (const key of now) if (!before.has(key)) this.add(key, address);
  }

  /** Addresses of the engines that have an adapter. */
  of(key: string): ReadonlySet<string> {
    return this.byKey.get(key) ?? NOBODY;
  }

  private add(key: string, address: string): void {
    const known = this.byKey.get(key);
    if (known) known.add(address);
    else this.byKey.set(key, new Set([address]));
  }

  private remove(key: string, address: string): void {
    const known = this.byKey.get(key);
    if (known?.delete(address) && known.size === 0) this.byKey.delete(key);
  }
}

const NOBODY: ReadonlySet<string> = new Set();
