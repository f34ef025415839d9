/**
 * An index of which adapters are resident or warm on which engines. It covers all engines that an entry host is
 * connected to, so that the engines that have an adapter are found without a scan of all engines.
 * @module
 */

/** Maps adapter keys to the addresses of the endpoint daemons whose engines have them. */
export class AdapterIndex {
  private readonly byKey = new Map<string, Set<string>>();

  /** Records that the engine at `address`, which had the adapters `before`, has the adapters `now`. */
  update(address: string, before: ReadonlySet<string>, now: ReadonlySet<string>): void {
    for (const key of before) if (!now.has(key)) this.remove(key, address);
    for (const key of now) if (!before.has(key)) this.add(key, address);
  }

  /** Addresses of the endpoint daemons whose engines have an adapter. */
  addressesOf(key: string): ReadonlySet<string> {
    return this.byKey.get(key) ?? NO_ADDRESSES;
  }

  private add(key: string, address: string): void {
    const addresses = this.byKey.get(key);
    if (addresses) addresses.add(address);
    else this.byKey.set(key, new Set([address]));
  }

  private remove(key: string, address: string): void {
    const addresses = this.byKey.get(key);
    if (addresses?.delete(address) && addresses.size === 0) this.byKey.delete(key);
  }
}

const NO_ADDRESSES: ReadonlySet<string> = new Set();
