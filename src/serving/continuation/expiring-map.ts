/**
 * A map whose entries expire and whose size is bounded; the entries added first are dropped first.
 * @module
 */

/** An entry's value. */
export interface Expiring {
  /** Monotonic ms. */
  readonly expiresAt: number;
}

export class ExpiringMap<T extends Expiring> {
  private readonly entries = new Map<string, T>();

  constructor(private readonly maxSize: number) {}

  get size(): number {
    return this.entries.size;
  }

  /** The value of a key that has not expired by `now`. */
  get(key: string, now: number): T | undefined {
    const value = this.entries.get(key);
    return value && value.expiresAt > now ? value : undefined;
  }

  /** Keys and values that have not expired by `now`, the oldest first. */
  live(now: number): readonly (readonly [string, T])[] {
    return [...this.entries].filter(([, { expiresAt }]) => expiresAt > now);
  }

  /** Sets a key's value, and drops the oldest entries that have expired or are too many. */
  set(key: string, value: T, now: number): void {
    for (const [oldest, { expiresAt }] of this.entries) {
      if (expiresAt > now && this.entries.size < this.maxSize) break;
      this.entries.delete(oldest);
    }
    this.entries.set(key, value);
  }
}
